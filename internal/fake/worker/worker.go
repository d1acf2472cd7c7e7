// Package worker is a stand-in for a worker that runs tasks under a lease. It
// does no I/O and gets the time passed in; the caller brings about delays, lost
// answers, calls that are carried out late, and restarts.
package worker

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/lease"
)

const (
	// maxTerm is the longest lease that the worker grants.
	maxTerm = time.Second
	// stopTime is how long a stop takes.
	stopTime = 50 * time.Millisecond
)

// Worker is one life of the stand-in. It is not safe for concurrent use.
type Worker struct {
	Life lease.Life
	// slots is the number of tasks that fit.
	slots int
	// work returns how long a task takes and how it ends.
	work     func(task string) (time.Duration, lease.How)
	born     time.Time
	until    time.Duration
	fence    uint64
	runs     map[string]*run
	barred   map[string]uint32
	finished []lease.Finished
	ends     uint64
}

type run struct {
	number uint32
	endsAt time.Duration
	how    lease.How
}

// New returns a worker that was born at the given time.
func New(life lease.Life, now time.Time, slots int, work func(task string) (time.Duration, lease.How)) *Worker {
	return &Worker{Life: life, slots: slots, work: work, born: now, runs: make(map[string]*run), barred: make(map[string]uint32)}
}

// Clock returns the worker's clock.
func (w *Worker) Clock(now time.Time) time.Duration { return now.Sub(w.born) }

// Running returns the tasks at work with the numbers of their runs.
func (w *Worker) Running(now time.Time) map[string]uint32 {
	w.advance(now)
	running := make(map[string]uint32, len(w.runs))
	for task, r := range w.runs {
		running[task] = r.number
	}
	return running
}

// advance ends the runs that are done and those whose lease has lapsed.
func (w *Worker) advance(now time.Time) {
	clock := w.Clock(now)
	var names []string
	for name := range w.runs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r := w.runs[name]
		switch {
		case r.endsAt <= min(clock, w.until):
			w.end(name, r.how)
		case w.until < clock:
			w.end(name, lease.Broken)
		}
	}
}

func (w *Worker) end(task string, how lease.How) {
	r := w.runs[task]
	delete(w.runs, task)
	w.bar(task, r.number)
	w.ends++
	w.finished = append(w.finished, lease.Finished{Number: w.ends, Task: task, Run: r.number, How: how})
}

func (w *Worker) bar(task string, number uint32) { w.barred[task] = max(w.barred[task], number) }

func (w *Worker) renew(now time.Time, until time.Duration) {
	w.until = max(w.until, min(until, w.Clock(now)+maxTerm))
}

// admit checks a call's life and fencing token.
func (w *Worker) admit(now time.Time, call uint64, life lease.Life, fence uint64) (lease.Answer, bool) {
	w.advance(now)
	a := lease.Answer{Call: call, Status: lease.OK, Clock: w.Clock(now)}
	switch {
	case life != w.Life:
		return lease.Answer{Call: call, Status: lease.OtherLife}, false
	case fence < w.fence:
		a.Status = lease.Fenced
		return a, false
	}
	w.fence = fence
	return a, true
}

// Start carries out a start.
func (w *Worker) Start(now time.Time, s lease.Start) lease.Answer {
	a, ok := w.admit(now, s.Call, s.Life, s.Fence)
	if !ok {
		return a
	}
	present := w.runs[s.Task]
	switch {
	case s.Until <= w.Clock(now):
		a.Status = lease.Late
	case s.Run <= w.barred[s.Task], present != nil && s.Run < present.number:
		a.Status = lease.StaleRun
		w.renew(now, s.Until)
	case present != nil && s.Run == present.number:
		w.renew(now, s.Until)
	case len(w.runs) >= w.slots:
		a.Status = lease.NoRoom
		w.renew(now, s.Until)
	default:
		w.renew(now, s.Until)
		takes, how := w.work(s.Task)
		w.runs[s.Task] = &run{number: s.Run, endsAt: w.Clock(now) + takes, how: how}
	}
	return a
}

// Stop carries out a stop. The stand-in ends a run at once.
func (w *Worker) Stop(now time.Time, s lease.Stop) lease.Answer {
	a, ok := w.admit(now, s.Call, s.Life, s.Fence)
	if !ok {
		return a
	}
	if r := w.runs[s.Task]; r != nil && r.number <= s.Run {
		r.endsAt, r.how = min(r.endsAt, w.Clock(now)+stopTime), lease.Broken
	}
	w.bar(s.Task, s.Run)
	return a
}

// Hold carries out a hold without waiting.
func (w *Worker) Hold(now time.Time, h lease.Hold) lease.Answer {
	a, ok := w.admit(now, h.Call, h.Life, h.Fence)
	if !ok {
		return a
	}
	w.renew(now, h.Until)
	for name, r := range w.runs {
		a.Running = append(a.Running, lease.Running{Task: name, Run: r.number})
	}
	slices.SortFunc(a.Running, func(x, y lease.Running) int {
		if x.Task < y.Task {
			return -1
		}
		return 1
	})
	w.finished = slices.DeleteFunc(w.finished, func(f lease.Finished) bool { return f.Number <= h.Seen })
	a.Finished = slices.Clone(w.finished)
	return a
}
