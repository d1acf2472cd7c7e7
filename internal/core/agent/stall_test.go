package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// newStallFixture returns a leased worker of 32 cores at which tasks of 100 ms have ended, and
// at which eight tasks of eight jobs run.
func newStallFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), now: time.Unix(1000, 0)}
	f.core = agent.New(agent.Config{
		Worker: "w", Incarnation: self, ResultKeep: time.Minute, HeartbeatInterval: 10 * time.Second,
		OrphanAfter: time.Hour, Epoch: f.now, DetectStalls: true,
	})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.step(agent.LinkUp{Entry: other, Name: "o"})
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32}, Join: 1, Number: 1, Leased: true})
	f.step(agent.LeaseChanged{Ready: true, Settled: true})
	for job := range uint64(20) {
		f.occupy(100+job, 3)
		f.advanceFine(100 * time.Millisecond)
		f.step(agent.TaskEnded{Attempt: attempt(entry, 100+job), Kind: msg.ResultOK, RunTime: 100 * time.Millisecond})
	}
	for job := range uint64(8) {
		f.occupy(job, 3)
	}
	f.core.TakeOutputs()
	return f
}

// until lets time pass until the worker is reported to be stalled, or the limit is over, and
// returns how long it took.
func (f *fixture) untilStalled(limit time.Duration) (time.Duration, bool) {
	for start := f.now; f.now.Sub(start) < limit; {
		f.advanceFine(20 * time.Millisecond)
		for _, s := range outputs[agent.WorkerStalled](f) {
			if s.Stalled {
				return f.now.Sub(start), true
			}
		}
	}
	return 0, false
}

// try dispatches a task and returns whether it started, or why not.
func (f *fixture) try(from msg.Incarnation, job uint64) verdict.RetryReason {
	f.core.TakeOutputs()
	d := f.dispatchOf(attempt(from, job))
	d.Size, d.TaskName, d.EchoedClock = msg.Size{Cores: 3}, "trial", f.core.Clock(f.now)
	f.step(agent.Received{Entry: from, Message: d})
	_, refused := outcomes(f)
	if len(refused) > 0 {
		return refused[0].Reason
	}
	return 0
}

// turns returns the entries that see room in a report within a time, in order and without
// repetitions.
func (f *fixture) turns(d time.Duration) []msg.Incarnation {
	var turns []msg.Incarnation
	for end := f.now.Add(d); f.now.Before(end); {
		f.advanceFine(20 * time.Millisecond)
		for _, o := range f.core.TakeOutputs() {
			if s, ok := o.(agent.Send); ok {
				if h, ok := s.Message.(msg.Heartbeat); ok && h.Report.Room.Cores > 0 && (len(turns) == 0 || turns[len(turns)-1] != s.Entry) {
					turns = append(turns, s.Entry)
				}
			}
		}
	}
	return turns
}

// Guards against a stall that is noticed late or not told to every entry, tasks that are taken
// during it, trial tasks that are not asked for or are asked for from an entry with nothing to
// send alone, and a worker that stays out of use, or comes back without a sign of progress.
func TestStallFromStartToRecovery(t *testing.T) {
	f := newStallFixture(t)
	took, found := f.untilStalled(time.Second)
	f.c.Assert(found, qt.IsTrue)
	f.c.Check(took <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))

	f.c.Check(f.try(entry, 50), qt.Equals, verdict.WorkerStalled)
	f.c.Check(f.try(other, 51), qt.Equals, verdict.WorkerStalled)
	f.step(agent.LinkUp{Entry: 79, Name: "new"})
	f.c.Check(f.core.Hello().Report.Stalled, qt.IsTrue)
	f.c.Check(f.core.Hello().Report.Room, qt.Equals, msg.Size{})
	f.step(agent.LinkDown{Entry: 79})
	f.receive(msg.Revoke{Attempts: []msg.AttemptRef{{Attempt: attempt(entry, 0)}, {Attempt: attempt(entry, 1)}}, Stop: true})
	f.end(attempt(entry, 0), msg.ResultAborted)
	f.c.Check(outputs[agent.WorkerStalled](f), qt.HasLen, 0, qt.Commentf("a stopped task is no progress"))

	f.c.Check(f.turns(900*time.Millisecond), qt.HasLen, 0)
	turns := f.turns(time.Second)
	f.c.Check(len(turns) >= 3 && turns[0] != turns[1], qt.IsTrue, qt.Commentf("%v", turns))
	f.c.Check(f.try(other, 52), qt.Equals, verdict.RetryReason(0))
	f.c.Check(f.try(entry, 53), qt.Equals, verdict.WorkerStalled, qt.Commentf("a second trial task within a second"))

	f.step(agent.TaskEnded{Attempt: attempt(other, 52), Kind: msg.ResultEndpointError, RunTime: time.Millisecond})
	f.c.Check(f.core.Hello().Report.Stalled, qt.IsTrue, qt.Commentf("a task that failed, which the worker may have refused, proves nothing"))
	f.advanceFine(time.Second)
	f.c.Check(f.try(entry, 54), qt.Equals, verdict.RetryReason(0))
	f.step(agent.TaskEnded{Attempt: attempt(entry, 54), Kind: msg.ResultOK, RunTime: 100 * time.Millisecond})
	told := make(map[msg.Incarnation]bool)
	for _, o := range f.core.TakeOutputs() {
		if s, ok := o.(agent.Send); ok {
			if h, ok := s.Message.(msg.Heartbeat); ok && !h.Report.Stalled && h.Report.Room.Cores > 0 {
				told[s.Entry] = true
			}
		}
	}
	f.c.Check(told, qt.DeepEquals, map[msg.Incarnation]bool{entry: true, other: true})
	f.c.Check(f.try(other, 55), qt.Equals, verdict.RetryReason(0))
}

// Guards against a pause of the agent that hides a stall after it for as long again: an end
// that is noticed when the agent goes on must not count as one of the future.
func TestStallAfterAPauseIsNoticed(t *testing.T) {
	f := newStallFixture(t)
	f.now = f.now.Add(5 * time.Second)
	f.step(agent.TaskEnded{Attempt: attempt(entry, 0), Kind: msg.ResultOK, RunTime: 100 * time.Millisecond})
	took, found := f.untilStalled(2 * time.Second)
	f.c.Check(found, qt.IsTrue)
	f.c.Check(took <= time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// Guards against a pause of the agent or a worker that is not ready that is taken for a stall.
func TestTimeInWhichNoEndIsSeenIsNoStall(t *testing.T) {
	f := newStallFixture(t)
	f.now = f.now.Add(5 * time.Second)
	f.core.Tick(f.now)
	f.c.Check(outputs[agent.WorkerStalled](f), qt.HasLen, 0)
	f.step(agent.LeaseChanged{Settled: true})
	_, found := f.untilStalled(3 * time.Second)
	f.c.Check(found, qt.IsFalse)
	f.step(agent.LeaseChanged{Ready: true, Settled: true})
	_, found = f.untilStalled(time.Second)
	f.c.Check(found, qt.IsTrue)
}

// Guards against a stall of an earlier instance that is never said to be over, or is held
// against the next one.
func TestNextInstanceIsNotStalled(t *testing.T) {
	for _, next := range []agent.Input{
		agent.EndpointRestarted{Join: 2},
		agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32}, Join: 2, Number: 1, Leased: true},
	} {
		f := newStallFixture(t)
		_, found := f.untilStalled(time.Second)
		f.c.Assert(found, qt.IsTrue)
		f.step(next)
		f.c.Check(outputs[agent.WorkerStalled](f), qt.DeepEquals, []agent.WorkerStalled{{}})
		f.c.Check(f.core.Hello().Report.Stalled, qt.IsFalse)
	}
}

// Guards against a worker that is taken for stalled although too little is known: it is idle,
// runs one task, tasks of one job, or tasks of types that have not ended here.
func TestLittleEvidenceIsNoStall(t *testing.T) {
	for name, start := range map[string]func(f *fixture){
		"idle":          func(f *fixture) {},
		"one task":      func(f *fixture) { f.occupy(30, 3) },
		"one job":       func(f *fixture) { f.runTasks("", 30, 30, 30, 30, 30, 30, 30, 30) },
		"unknown types": func(f *fixture) { f.runTasks("new", 30, 31, 32, 33, 34, 35, 36, 37) },
	} {
		f := newStallFixture(t)
		for job := range uint64(8) {
			f.end(attempt(entry, job), msg.ResultOK)
		}
		start(f)
		_, found := f.untilStalled(20 * time.Second)
		f.c.Check(found, qt.IsFalse, qt.Commentf("%s", name))
	}
}

// runTasks starts a task of each of the jobs.
func (f *fixture) runTasks(jobType string, jobs ...uint64) {
	for i, job := range jobs {
		id := attempt(entry, job)
		id.Task = uint32(i)
		d := f.dispatchOf(id)
		d.Size, d.TaskName, d.JobType = msg.Size{Cores: 3}, "task", jobType
		f.receive(d)
	}
}
