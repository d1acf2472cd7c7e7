package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// The agent sees each crash of its worker and the tasks of all entries that ran then. It
// tells every entry, also one that links later: a job that is sent again to another entry
// brings along what its tasks did before.

const (
	// crashKeep is how long a crash is remembered. It is longer than callers send a job
	// again.
	crashKeep = 30 * time.Second
	// maxCrashes and maxCrashedTasks bound the crashes remembered and the tasks of each.
	maxCrashes, maxCrashedTasks = 8, 64
)

// crashLog holds the worker's recent crashes, oldest first.
type crashLog struct {
	crashes []loggedCrash
	last    uint64
}

type loggedCrash struct {
	number uint64
	at     time.Time
	crash  msg.WorkerCrash
}

func (l *crashLog) add(now time.Time, crash msg.WorkerCrash) {
	if len(l.crashes) >= maxCrashes {
		l.crashes = append([]loggedCrash(nil), l.crashes[1:]...)
	}
	l.last++
	l.crashes = append(l.crashes, loggedCrash{l.last, now, crash})
}

// unsent returns the recent crashes that the entry was not told of, and counts them as
// told.
func (l *crashLog) unsent(now time.Time, e *entryState) []msg.WorkerCrash {
	var crashes []msg.WorkerCrash
	for _, o := range l.crashes {
		if o.number > e.crashesSent && now.Sub(o.at) < crashKeep {
			crashes = append(crashes, o.crash)
		}
	}
	e.crashesSent = l.last
	return crashes
}

// workerCrashed records a crash and tells every entry.
func (c *Core) workerCrashed(now time.Time, in WorkerCrashed) {
	crash := msg.WorkerCrash{Instance: in.Instance}
	for _, a := range in.Attempts[:min(len(in.Attempts), maxCrashedTasks)] {
		if known := c.attempts[a.Attempt]; known != nil {
			crash.Tasks = append(crash.Tasks, msg.CrashedTask{Name: known.taskName, JobType: known.jobType, RunTime: a.RunTime, Unconfirmed: a.Unconfirmed})
		}
	}
	c.crashes.add(now, crash)
	c.sendHellos(now)
}

// TaskNames returns the names of the tasks of attempts at a leased worker.
func (c *Core) TaskNames(attempts []CrashedAttempt) []string {
	var names []string
	for _, a := range attempts {
		if known := c.attempts[a.Attempt]; known != nil {
			names = append(names, known.taskName)
		}
	}
	return names
}
