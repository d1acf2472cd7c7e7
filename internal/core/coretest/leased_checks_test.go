package coretest

import (
	"strings"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// namingSlack covers the rounding of times on a worker's clock.
	namingSlack = 2 * time.Millisecond
	// driftSlack is how much longer a lease of the longest term lasts on a slow clock.
	driftSlack = time.Duration(maxClockSlowness * float64(lease.DefaultTerm))
)

// attemptLimits holds what limits the lease of the attempts of one agent process.
type attemptLimits struct {
	// ownerSeen holds the newest sign of life of each entry.
	ownerSeen map[msg.Incarnation]time.Time
	open      map[msg.AttemptID]*openAttempt
}

// openAttempt is an attempt that has not ended. The lease of one whose stop was requested
// ends at stopLimit.
type openAttempt struct{ stopLimit time.Time }

func newAttemptLimits() attemptLimits {
	return attemptLimits{ownerSeen: make(map[msg.Incarnation]time.Time), open: make(map[msg.AttemptID]*openAttempt)}
}

func (l *attemptLimits) seen(owner msg.Incarnation, at time.Time) {
	if at.After(l.ownerSeen[owner]) {
		l.ownerSeen[owner] = at
	}
}

// limit returns the latest end of a lease under which the attempt runs.
func (l *attemptLimits) limit(id msg.AttemptID) time.Time {
	limit := l.ownerSeen[id.Entry].Add(lease.DefaultOwnerTerm)
	if at := l.open[id].stopLimit; !at.IsZero() && at.Before(limit) {
		return at
	}
	return limit
}

// runKey names a run that an agent has ordered, jobTask a task of a job at one entry.
type (
	runKey struct {
		agent, task string
		run         uint32
	}
	jobTask struct {
		job  uint64
		task uint32
	}
)

// failf reports the first failure of each kind.
func (b *boundedLinks) failf(kind, format string, args ...any) {
	b.w.tracef("FAILURE: "+kind+": "+format, args...)
	if b.failures[kind]++; b.failures[kind] == 1 {
		b.w.c.Errorf("%s: %s: "+format, append([]any{b.w.now.Sub(time.Unix(1000, 0)), kind}, args...)...)
	}
}

// observeAgent follows the limits of attempts.
func (b *boundedLinks) observeAgent(a *leasedAgent, out agent.Output) {
	l := &a.attempts
	switch out := out.(type) {
	case agent.Start:
		l.seen(out.Attempt.Entry, out.EntrySeen)
		b.ordered[runKey{a.name, out.Name, out.Attempt.Attempt}] = out.Attempt
	case agent.EntrySeen:
		l.seen(out.Entry, out.At)
	case agent.StopTask:
		if o := l.open[out.Attempt]; o != nil {
			o.stopLimit = b.w.now.Add(lease.DefaultStopTerm)
			if limit := l.ownerSeen[out.Attempt.Entry].Add(lease.DefaultOwnerTerm); limit.Before(o.stopLimit) {
				o.stopLimit = limit
			}
		}
	}
}

// observeLease checks the lease that a call names, and passes on what the driver does.
func (b *boundedLinks) observeLease(a *leasedAgent, out lease.Output) {
	w := b.w
	switch out := out.(type) {
	case lease.Start:
		// An attempt whose start waits has no lease yet.
		a.attempts.open[b.ordered[runKey{a.name, out.Task, out.Run}]] = &openAttempt{}
		if !a.driver.described {
			b.failf("start before an announcement", "%s starts run %d of %s", a.name, out.Run, out.Task)
		}
		b.checkNaming(a, out.Instance, out.Until)
	case lease.Hold:
		b.checkNaming(a, out.Instance, out.Until)
	case lease.Ended:
		delete(a.attempts.open, out.Attempt)
	case lease.Restarted:
		b.seen["restarts under the same ID found"]++
		a.workerRestarted(out.Instance)
	case lease.Crashed:
		in := agent.WorkerCrashed{Instance: out.Instance.StartedAtMs}
		for _, at := range out.Attempts {
			in.Attempts = append(in.Attempts, agent.CrashedAttempt(at))
		}
		a.core.Step(w.now, in)
	}
}

// checkNaming checks that a lease which is named for the worker's present instance ends, on
// that instance's clock, before the limits of all attempts there.
func (b *boundedLinks) checkNaming(a *leasedAgent, instance lease.Instance, until time.Duration) {
	w := b.w
	if until == 0 || instance != a.worker.Instance {
		return
	}
	end := w.now.Add(until - a.worker.Clock(w.now))
	for id := range a.attempts.open {
		if limit := a.attempts.limit(id); end.After(limit.Add(namingSlack)) {
			b.failf("lease beyond the limit of an attempt", "%s names an end %s after that of %v", a.name, end.Sub(limit), id)
		}
	}
}

// lateCall returns a function that lets the worker carry out a call later. Unless lateAcross is
// set, an instance that the call is not meant for carries it out only once an agent has taken the
// instance over: then the fencing token of a call of another agent process, or to another
// instance, must be too low.
func (b *boundedLinks) lateCall(a *leasedAgent, out lease.Output) func() {
	if b.w.now.Before(a.workerDownUntil) {
		// The connection is refused.
		return func() {}
	}
	receiver, gen := a.worker, a.gen
	instance := instanceOf(out)
	return func() {
		takenOver := a.lease.Settled() && a.driver.present.instance == a.worker.Instance
		meant := a.worker == receiver && receiver.Instance == instance
		if !meant && !takenOver && !b.lateAcross {
			return
		}
		answer := b.carryOut(a, out)
		if takenOver && (a.gen != gen || a.worker.Instance != instance) && answer.Status == lease.OK {
			b.failf("call of before a takeover", "%s carries out %T%+v", a.name, out, out)
		}
	}
}

func instanceOf(out lease.Output) lease.Instance {
	switch out := out.(type) {
	case lease.Start:
		return out.Instance
	case lease.Stop:
		return out.Instance
	case lease.Hold:
		return out.Instance
	}
	return lease.Instance{}
}

// carryOut lets the worker carry out a call and checks its lease and its start.
func (b *boundedLinks) carryOut(a *leasedAgent, out lease.Output) lease.Answer {
	w := b.w
	var number uint64
	var instance lease.Instance
	var until time.Duration
	start, isStart := out.(lease.Start)
	switch out := out.(type) {
	case lease.Start:
		number, instance, until = out.Call, out.Instance, out.Until
	case lease.Stop:
		number, instance = out.Call, out.Instance
	case lease.Hold:
		number, instance, until = out.Call, out.Instance, out.Until
	}
	if w.now.Before(a.workerDownUntil) {
		return lease.Answer{Call: number, Status: lease.NotListening}
	}
	named := instance == a.worker.Instance
	if clock := a.worker.Clock(w.now); named && until > clock+lease.DefaultTerm+namingSlack {
		b.failf("lease beyond its term", "%s: until %s at %s on the clock of %v", a.name, until, clock, instance)
	}
	if !isStart {
		return a.carryOutUnchecked(out)
	}
	present, end := a.worker.Unseen(w.now, start.Task)
	answer := a.carryOutUnchecked(out)
	if answer.Status != lease.OK || present == start.Run && end == nil {
		return answer
	}
	if !named {
		b.seen["starts carried out by the next instance"]++
	}
	w.tracef("%s: run %d of %s starts in %v, named for %v", a.name, start.Run, start.Task, a.worker.Instance, instance)
	if present != 0 && end == nil {
		b.failf("two runs", "run %d of %s starts at %s beside run %d", start.Run, start.Task, a.name, present)
	}
	job, _, _ := strings.Cut(start.Task, ".")
	b.startedAt[job] = a
	b.checkStart(a, start, named)
	return answer
}

// checkStart checks a run that has started: no other run of the task is in progress, its entry
// has not taken an end of the task, and the lease ends before the attempt's limit. The last
// two do not hold for a start that another instance was meant to carry out.
func (b *boundedLinks) checkStart(a *leasedAgent, start lease.Start, named bool) {
	w := b.w
	for _, other := range w.agents {
		if other == a {
			continue
		}
		if run, end := other.worker.Unseen(w.now, start.Task); run != 0 && end == nil {
			b.failf("two runs", "run %d of %s starts at %s while run %d goes on at %s with %s of its lease left (as named: %v)",
				start.Run, start.Task, a.name, run, other.name, other.worker.LeaseEnd()-other.worker.Clock(w.now), named)
		}
	}
	id, known := b.ordered[runKey{a.name, start.Task, start.Run}]
	if !named || !known {
		return
	}
	if b.taken[jobTask{id.Job, id.Task}] {
		b.failf("start after an acknowledged end", "run %d of %s starts at %s", start.Run, start.Task, a.name)
	}
	if a.attempts.open[id] == nil {
		return
	}
	end := w.now.Add(a.worker.LeaseEnd() - a.worker.Clock(w.now))
	if limit := a.attempts.limit(id); end.After(limit.Add(namingSlack + driftSlack)) {
		b.failf("lease beyond the limit of a new attempt", "%s starts run %d of %s under a lease that ends %s after its limit", a.name, start.Run, start.Task, end.Sub(limit))
	}
}

// progress records that an entry has taken the result that it is receiving as the end of its
// task.
func (b *boundedLinks) progress(out entry.Progress) {
	if id := b.receiving.Attempt; out.Finished > b.finished[out.Job] && b.receiving.Kind == msg.ResultOK && id.Job == out.Job {
		b.taken[jobTask{id.Job, id.Task}] = true
	}
	b.finished[out.Job] = out.Finished
}

// checkQuiet checks that every caller has an answer and that nothing runs or waits.
func (b *boundedLinks) checkQuiet() {
	w := b.w
	for _, c := range w.newer.callers {
		b.failf("no answer", "%s", c.name)
	}
	for _, e := range w.entries {
		for _, name := range e.openJobs {
			b.failf("no answer", "%s has %s open", e.name, name)
		}
	}
	for _, a := range w.agents {
		for task := range a.worker.Running(w.now) {
			b.failf("runs on", "%s runs at %s", task, a.name)
		}
		if n := a.core.Running(); n != 0 {
			b.failf("runs on", "%s counts %d running attempts", a.name, n)
		}
		if room := a.core.Room(); room != (msg.Size{Cores: workerCores}) {
			b.failf("worker not usable", "%s has room for %v", a.name, room)
		}
	}
}
