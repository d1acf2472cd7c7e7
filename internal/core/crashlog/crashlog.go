// Package crashlog decides which tasks are given up because workers crash under them.
//
// It is made for a task that crashes each worker that starts it: the worker is gone for
// seconds, and the tasks of other jobs that ran there are lost with it. The tasks that
// merely shared the worker must not be blamed for it, and a crash says nothing about which
// of them was the cause. The rule counts the crashes under each task by its name, which a
// job that is sent again keeps. It is judged by the workers lost, and by the sound jobs
// given up.
//
// The package does no I/O and reads no clock. A Log is not safe for concurrent use.
package crashlog

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// maxCrashes is the number of crashes under a task after which it is given up, and
	// maxUnconfirmed that number if some came before the worker had answered the start.
	maxCrashes, maxUnconfirmed = 2, 3
	// keep is how long a task is remembered after the latest crash under it. It is longer
	// than callers send a job again.
	keep = 30 * time.Second
	// maxTasks bounds the tasks remembered.
	maxTasks = 4096
)

// crashID identifies a crash.
type crashID struct {
	worker   string
	instance int64
}

// record holds the crashes under a task. confirmed counts those after the worker had
// answered the start.
type record struct {
	crashes   []crashID
	confirmed int
	latest    time.Time
}

// Log holds the recent crashes of all workers. The zero value is empty.
type Log struct {
	tasks map[string]*record
	// order lists the tasks by their first crash, oldest first.
	order []string
}

// Crashed records a crash of a worker. A crash that was recorded before changes nothing.
func (l *Log) Crashed(now time.Time, worker string, c msg.WorkerCrash) {
	if l.tasks == nil {
		l.tasks = make(map[string]*record)
	}
	for _, t := range c.Tasks {
		if t.Name != "" {
			l.add(now, t, crashID{worker, c.Instance})
		}
	}
}

// add records a crash under a task.
func (l *Log) add(now time.Time, t msg.CrashedTask, id crashID) {
	r := l.tasks[t.Name]
	if r == nil {
		if len(l.order) >= maxTasks {
			l.forgetOldest()
		}
		r = &record{}
		l.tasks[t.Name] = r
		l.order = append(l.order, t.Name)
	}
	if slices.Contains(r.crashes, id) {
		return
	}
	r.crashes, r.latest = append(r.crashes, id), now
	if !t.Unconfirmed {
		r.confirmed++
	}
}

func (l *Log) forgetOldest() {
	delete(l.tasks, l.order[0])
	l.order = slices.Delete(l.order, 0, 1)
}

// Suspect reports whether a worker crashed under the task.
func (l *Log) Suspect(name string) bool { return l.tasks[name] != nil }

// GiveUp reports whether so many workers crashed under the task that it must not start
// again.
func (l *Log) GiveUp(name string) bool {
	r := l.tasks[name]
	return r != nil && (r.confirmed >= maxCrashes || len(r.crashes) >= maxUnconfirmed)
}

// Expire forgets old crashes.
func (l *Log) Expire(now time.Time) {
	for len(l.order) > 0 && now.Sub(l.tasks[l.order[0]].latest) >= keep {
		l.forgetOldest()
	}
}
