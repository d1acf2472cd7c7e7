// Package worker is a fake of a worker that runs tasks under a lease. It does no
// I/O and takes the time as a parameter. The caller simulates delays, lost answers,
// late calls and restarts.
package worker

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/lease"
)

const (
	// maxLeaseTerm is the longest lease that the worker grants.
	maxLeaseTerm = time.Second
	// stopTime is the longest time from a stop call to the end of the run.
	stopTime = 50 * time.Millisecond
)

// Worker is one instance of the fake worker, from one restart to the next. It is not
// safe for concurrent use.
type Worker struct {
	Instance lease.Instance
	// slots is the number of tasks that can run at once.
	slots int
	// taskOutcome returns the run time of a task and how it ends.
	taskOutcome  func(task string) (time.Duration, lease.EndKind)
	startTime    time.Time
	clockRate    float64
	leaseEnd     time.Duration
	highestFence uint64
	runs         map[string]*run
	blockedRuns  map[string]uint32
	finished     []lease.Finished
	endCount     uint64
	// hangs is set while runs make no progress, since hungSince on the worker's clock.
	hangs     bool
	hungSince time.Duration
	// OnEnd, unless nil, is called with each run that ends.
	OnEnd func(RunEnd)
}

type run struct {
	number uint32
	// started and endsAt are readings of the worker's clock.
	started, endsAt time.Duration
	kind            lease.EndKind
	stopping        bool
}

// RunEnd is the end of a run. All times are readings of the worker's clock.
type RunEnd struct {
	Task   string
	Run    uint32
	Kind   lease.EndKind
	Lapsed bool
	// At is when the run ended. The worker ends runs only when it is called, so that SeenAt
	// may be later; LeaseEnd is the end of the lease at that time.
	At, SeenAt, LeaseEnd time.Duration
}

// New returns a worker whose clock starts at now.
func New(instance lease.Instance, now time.Time, slots int, taskOutcome func(task string) (time.Duration, lease.EndKind)) *Worker {
	return &Worker{Instance: instance, clockRate: 1, slots: slots, taskOutcome: taskOutcome, startTime: now, runs: make(map[string]*run), blockedRuns: make(map[string]uint32)}
}

// SetClockRate makes the worker's clock slow, with a rate below 1. It is called before any
// call is executed.
func (w *Worker) SetClockRate(rate float64) { w.clockRate = rate }

// Clock returns the reading of the worker's clock, which begins at its start.
func (w *Worker) Clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(w.startTime)) * w.clockRate)
}

// SetHanging lets the worker's runs stand still from now on, or go on. It answers every call
// meanwhile, starts tasks and stops them.
func (w *Worker) SetHanging(now time.Time, hangs bool) {
	w.advance(now)
	clock := w.Clock(now)
	for _, r := range w.runs {
		if w.hangs && !hangs && !r.stopping {
			r.endsAt += clock - max(w.hungSince, r.started)
		}
	}
	if w.hangs != hangs {
		w.hangs, w.hungSince = hangs, clock
	}
}

// LeaseEnd returns the end of the lease on the worker's clock.
func (w *Worker) LeaseEnd() time.Duration { return w.leaseEnd }

// Running returns the running tasks with their run numbers.
func (w *Worker) Running(now time.Time) map[string]uint32 {
	w.advance(now)
	running := make(map[string]uint32, len(w.runs))
	for task, r := range w.runs {
		running[task] = r.number
	}
	return running
}

// advance ends the runs whose time is over and, after the lease has expired, all
// others.
func (w *Worker) advance(now time.Time) {
	clock := w.Clock(now)
	var names []string
	for name := range w.runs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if end, over := w.endOf(name, clock); over {
			w.endRun(name, end)
		}
	}
}

// endOf returns how a run has ended at a reading of the clock, and whether it has.
func (w *Worker) endOf(task string, clock time.Duration) (end RunEnd, over bool) {
	r := w.runs[task]
	end = RunEnd{Task: task, Run: r.number, SeenAt: clock, LeaseEnd: w.leaseEnd}
	switch {
	case r.endsAt <= min(clock, w.leaseEnd) && (!w.hangs || r.stopping):
		end.Kind, end.At = r.kind, r.endsAt
	case w.leaseEnd < clock:
		end.Kind, end.At, end.Lapsed = lease.Aborted, w.leaseEnd, true
	default:
		return RunEnd{}, false
	}
	return end, true
}

// Unseen returns the run of a task whose end the worker has not seen, and how it has ended,
// without making the worker see it. The end is nil while the run is in progress; the number is
// 0 if there is no such run.
func (w *Worker) Unseen(now time.Time, task string) (number uint32, end *RunEnd) {
	r := w.runs[task]
	if r == nil {
		return 0, nil
	}
	if e, over := w.endOf(task, w.Clock(now)); over {
		end = &e
	}
	return r.number, end
}

func (w *Worker) endRun(task string, end RunEnd) {
	r := w.runs[task]
	delete(w.runs, task)
	w.blockRuns(task, r.number)
	w.endCount++
	w.finished = append(w.finished, lease.Finished{Number: w.endCount, Task: task, Run: r.number, Kind: end.Kind})
	if w.OnEnd != nil {
		w.OnEnd(end)
	}
}

// blockRuns prevents later starts of a task with the run number or a lower one.
func (w *Worker) blockRuns(task string, number uint32) {
	w.blockedRuns[task] = max(w.blockedRuns[task], number)
}

// renewLease extends the lease by at most maxLeaseTerm and never shortens it.
func (w *Worker) renewLease(now time.Time, until time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.Clock(now)+maxLeaseTerm))
}

// checkCall reports whether the worker accepts a call with this instance and fencing
// token. The answer explains a rejection. A call names only the ID of the instance, which
// a restarted worker may have again.
func (w *Worker) checkCall(now time.Time, call uint64, instance lease.Instance, fence uint64) (lease.Answer, bool) {
	w.advance(now)
	a := lease.Answer{Call: call, Status: lease.OK, Clock: w.Clock(now)}
	switch {
	case instance.ID != w.Instance.ID:
		return lease.Answer{Call: call, Status: lease.WrongInstance}, false
	case fence < w.highestFence:
		a.Status = lease.Fenced
		return a, false
	}
	w.highestFence = fence
	return a, true
}

// Start executes a start call. A repeated start of the current run only renews the
// lease.
func (w *Worker) Start(now time.Time, s lease.Start) lease.Answer {
	a, ok := w.checkCall(now, s.Call, s.Instance, s.Fence)
	if !ok {
		return a
	}
	present := w.runs[s.Task]
	switch {
	case s.Until <= w.Clock(now):
		a.Status = lease.LeaseExpired
	case s.Run <= w.blockedRuns[s.Task], present != nil && s.Run < present.number:
		a.Status = lease.StaleRun
		w.renewLease(now, s.Until)
	case present != nil && s.Run == present.number:
		w.renewLease(now, s.Until)
	case len(w.runs) >= w.slots:
		a.Status = lease.NoRoom
		w.renewLease(now, s.Until)
	default:
		w.renewLease(now, s.Until)
		takes, kind := w.taskOutcome(s.Task)
		w.runs[s.Task] = &run{number: s.Run, started: w.Clock(now), endsAt: w.Clock(now) + takes, kind: kind}
	}
	return a
}

// Stop executes a stop call. It blocks the run and the task's earlier runs, and ends
// the current one within stopTime.
func (w *Worker) Stop(now time.Time, s lease.Stop) lease.Answer {
	a, ok := w.checkCall(now, s.Call, s.Instance, s.Fence)
	if !ok {
		return a
	}
	if r := w.runs[s.Task]; r != nil && r.number <= s.Run {
		r.endsAt, r.kind, r.stopping = min(max(r.endsAt, w.Clock(now)), w.Clock(now)+stopTime), lease.Aborted, true
	}
	w.blockRuns(s.Task, s.Run)
	return a
}

// Hold executes a hold call. It ignores h.Wait and answers at once.
func (w *Worker) Hold(now time.Time, h lease.Hold) lease.Answer {
	a, ok := w.checkCall(now, h.Call, h.Instance, h.Fence)
	if !ok {
		return a
	}
	a.StartedAtMs = w.Instance.StartedAtMs
	w.renewLease(now, h.Until)
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
