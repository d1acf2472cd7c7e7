package lease_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// fixture drives one core with scripted answers.
type fixture struct {
	c    *qt.C
	core *lease.Core
	now  time.Time
	// stoodStill is the time for which the worker's clock has stood still.
	stoodStill time.Duration
	// hold is the latest hold.
	hold lease.Hold
}

var instance = lease.Instance{ID: "i-1", StartedAtMs: 7}

// newFixture returns a core that has taken over a worker which has had no call before: it
// accepts token zero, and has no lease.
func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), core: lease.New(lease.Config{}), now: time.Unix(1000, 0)}
	f.step(lease.Announced{Instance: instance})
	f.answerHold(lease.Answer{Status: lease.OK})
	f.answerHold(lease.Answer{Status: lease.OK})
	f.c.Assert(f.core.Ready(), qt.IsTrue)
	f.core.TakeOutputs()
	return f
}

func (f *fixture) step(in lease.Input) { f.core.Step(f.now, in) }

// answerHold answers the hold that was sent last.
func (f *fixture) answerHold(a lease.Answer) {
	f.c.Helper()
	outputs[lease.Hold](f)
	a.Call, a.Clock = f.hold.Call, f.clock()
	f.step(a)
}

// clock returns the worker's clock, whose zero differs from that of the agent.
func (f *fixture) clock() time.Duration { return f.now.Sub(time.Unix(0, 0)) - f.stoodStill }

// onlyOutput returns the only output of a type since the last call and discards
// the others.
func onlyOutput[O lease.Output](f *fixture) O {
	f.c.Helper()
	found := outputs[O](f)
	f.c.Assert(found, qt.HasLen, 1)
	return found[0]
}

func outputs[O lease.Output](f *fixture) []O {
	var found []O
	for _, out := range f.core.TakeOutputs() {
		if h, ok := out.(lease.Hold); ok {
			f.hold = h
		}
		if o, ok := out.(O); ok {
			found = append(found, o)
		}
	}
	return found
}

var attempt = msg.AttemptID{Entry: 1, Job: 1, Attempt: 1}

func (f *fixture) begin() lease.Start {
	f.c.Helper()
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now})
	return onlyOutput[lease.Start](f)
}

// Guards against a worker that is taken out of use because the answer to a single
// hold is lost, which is common when calls are lost or late, and against one that
// stays in use although it is silent.
func TestUnansweredHolds(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	for range 2 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.answerHold(lease.Answer{Status: lease.NoAnswer})
		f.c.Check(f.core.Ready(), qt.IsTrue)
		f.c.Check(onlyOutput[lease.Hold](f).Until, qt.Equals, time.Duration(0))
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.answerHold(lease.Answer{Status: lease.NoAnswer})
	f.c.Check(f.core.Ready(), qt.IsFalse)
}

// Guards against a worker that is taken out of use because several holds time out within
// a few tens of milliseconds, as their timeouts are short.
func TestUnansweredHoldsInQuickSuccession(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	for range 6 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.answerHold(lease.Answer{Status: lease.NoAnswer})
		f.c.Check(f.core.Ready(), qt.IsTrue)
	}
}

// Plays a worker that leaves one call in ten without an answer: holds have to be short
// then, since no end is seen until one without an answer has timed out, and long again
// afterwards.
func TestHoldsAreShortWhileAnswersAreLost(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.now = f.now.Add(time.Millisecond)
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	hold := func(status lease.Status) lease.Hold {
		f.answerHold(lease.Answer{Status: status, Running: []lease.Running{{Task: "a", Run: 1}}})
		return onlyOutput[lease.Hold](f)
	}
	f.c.Check(hold(lease.OK).Wait, qt.Equals, lease.DefaultHoldWait)
	usual := f.hold.Timeout
	hold(lease.NoAnswer)
	f.c.Check(hold(lease.OK).Timeout < usual/2, qt.IsTrue, qt.Commentf("%v and %v", f.hold.Timeout, usual))
	for range 100 {
		hold(lease.OK)
	}
	f.c.Check(hold(lease.OK).Wait, qt.Equals, lease.DefaultHoldWait)
}

// Guards against a start that is sent again elsewhere although it succeeded and only
// its answer was lost, against one that is never sent again, and against one that
// is resolved only when some other task ends: the hold that began before the answer
// was lost is not answered in this test.
func TestUnansweredStart(t *testing.T) {
	for _, test := range []struct {
		name    string
		running []lease.Running
		stop    bool
	}{
		{"it runs", []lease.Running{{Task: "a", Run: 1}}, false},
		{"it does not run", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			start := f.begin()
			f.step(lease.Answer{Call: start.Call, Status: lease.NoAnswer})
			f.answerHold(lease.Answer{Status: lease.OK, Running: test.running})
			stops := outputs[lease.Stop](f)
			f.c.Assert(len(stops) == 1, qt.Equals, test.stop)
			if !test.stop {
				return
			}
			f.step(lease.Answer{Call: stops[0].Call, Status: lease.OK, Clock: f.clock()})
			f.answerHold(lease.Answer{Status: lease.OK})
			f.c.Check(onlyOutput[lease.Ended](f), qt.Equals, lease.Ended{Attempt: attempt, Kind: msg.ResultNotReached, Reason: verdict.NeverStarted})
		})
	}
}

// Guards against an attempt of a worker's earlier instance that is never reported as
// ended, and against a late announcement of an earlier instance that replaces the
// present one.
func TestReplacedWorker(t *testing.T) {
	f := newFixture(t)
	f.begin()
	f.step(lease.Announced{Instance: lease.Instance{ID: "i-2", StartedAtMs: 8}})
	f.c.Check(onlyOutput[lease.Ended](f), qt.Equals, lease.Ended{Attempt: attempt, Kind: msg.ResultAborted})
	f.step(lease.Announced{Instance: instance})
	f.c.Check(outputs[lease.Hold](f), qt.HasLen, 0)
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 2})
	f.c.Check(onlyOutput[lease.Ended](f).Reason, qt.Equals, verdict.WorkerLeaving)
}

// Guards against a second run of a task after a restart of the worker under the ID that it
// had: calls name only the ID, so that the new instance may run a task whose start was meant
// for the earlier one. Its attempt ends when the new instance is seen not to run it, whether
// the restart was announced or learnt from an answer.
func TestRestartedWorkerMayRunEarlierStarts(t *testing.T) {
	restarted := lease.Instance{ID: instance.ID, StartedAtMs: 8}
	for _, learn := range []struct {
		name string
		from func(f *fixture)
	}{
		{"announced", func(f *fixture) { f.step(lease.Announced{Instance: restarted}) }},
		{"answered", func(f *fixture) { f.answerHold(lease.Answer{Status: lease.OK, StartedAtMs: restarted.StartedAtMs}) }},
	} {
		for _, runs := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, runs %v", learn.name, runs), func(t *testing.T) {
				f := newFixture(t)
				start := f.begin()
				f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
				learn.from(f)
				f.c.Check(f.core.Ready(), qt.IsFalse)
				f.answerHold(lease.Answer{Status: lease.Fenced})
				var list []lease.Running
				if runs {
					list = []lease.Running{{Task: "a", Run: 1}}
				}
				f.answerHold(lease.Answer{Status: lease.OK, Running: list, StartedAtMs: restarted.StartedAtMs})
				f.c.Check(f.hold.Fence > start.Fence, qt.IsTrue)
				f.c.Check(f.core.Ready(), qt.IsTrue)
				f.answerHold(lease.Answer{Status: lease.OK, Running: list, StartedAtMs: restarted.StartedAtMs})
				ended := outputs[lease.Ended](f)
				if runs {
					f.c.Check(ended, qt.HasLen, 0)
					return
				}
				f.c.Check(ended, qt.DeepEquals, []lease.Ended{{Attempt: attempt, Kind: msg.ResultAborted}})
			})
		}
	}
}

// Guards against a fencing token that is not higher than that of an earlier agent
// process, whose late calls would then be carried out.
func TestFencingTokenFollowsWorkerClock(t *testing.T) {
	f := newFixture(t)
	first := f.begin().Fence
	f.now = f.now.Add(3 * time.Second)
	f.core = lease.New(lease.Config{})
	f.step(lease.Announced{Instance: instance})
	f.answerHold(lease.Answer{Status: lease.Fenced})
	f.answerHold(lease.Answer{Status: lease.OK})
	f.core.TakeOutputs()
	f.c.Assert(f.begin().Fence > first, qt.IsTrue)
}

// Guards against a lease that outlives an entry because tasks of other entries extend it:
// no hold or start reaches beyond OwnerTerm after the last sign of life of any entry with a
// task here, and nothing starts while that leaves no time.
func TestLeaseEndsWithTheOwnerThatIsSilent(t *testing.T) {
	f := newFixture(t)
	other := msg.AttemptID{Entry: 2, Job: 2, Attempt: 1}
	both := []lease.Running{{Task: "a", Run: 1}, {Task: "b", Run: 1}}
	seen := f.now
	start := f.begin()
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	f.step(lease.RunTask{Attempt: other, Task: "b", Run: 1, OwnerSeen: f.now})
	f.step(lease.Answer{Call: onlyOutput[lease.Start](f).Call, Status: lease.OK, Clock: f.clock()})
	limit := f.clock() + lease.DefaultOwnerTerm
	for f.now.Sub(seen) < lease.DefaultOwnerTerm-100*time.Millisecond {
		f.c.Check(f.core.Ready(), qt.IsTrue)
		f.now = f.now.Add(50 * time.Millisecond)
		f.step(lease.OwnerSeen{Owner: 2, At: f.now})
		f.answerHold(lease.Answer{Status: lease.OK, Running: both})
		hold := onlyOutput[lease.Hold](f)
		f.c.Check(hold.Until, qt.Equals, min(f.clock()+lease.DefaultTerm, limit))
	}
	f.now = f.now.Add(50 * time.Millisecond)
	f.core.Tick(f.now)
	f.c.Check(f.core.Ready(), qt.IsFalse)
	f.answerHold(lease.Answer{Status: lease.OK, Finished: []lease.Finished{{Number: 1, Task: "a", Run: 1, Kind: lease.Aborted}}, Running: both[1:]})
	f.c.Check(f.core.Ready(), qt.IsTrue)
	f.step(lease.OwnerSeen{Owner: 2, At: f.now})
	f.answerHold(lease.Answer{Status: lease.OK, Running: both[1:]})
	f.c.Check(onlyOutput[lease.Hold](f).Until, qt.Equals, f.clock()+lease.DefaultTerm)
}

// Guards against a worker that restarts under its ID and is never used again: a call to
// its earlier instance may have reached it, with a token far above its new clock.
func TestRestartedWorkerKnowsEarlierToken(t *testing.T) {
	f := newFixture(t)
	earlier := f.begin().Fence
	f.step(lease.Announced{Instance: lease.Instance{ID: "i-1", StartedAtMs: 8}})
	outputs[lease.Hold](f)
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.Fenced, Clock: time.Millisecond})
	f.c.Check(onlyOutput[lease.Hold](f).Fence > earlier, qt.IsTrue)
}

// Guards against a worker that is never used again because it restarted after its time of
// day was set back, and against a late announcement that is taken for such a restart.
func TestWorkerRestartedAtEarlierTimeOfDay(t *testing.T) {
	f := newFixture(t)
	f.begin()
	earlier := lease.Instance{ID: "i-2", StartedAtMs: 3}
	f.step(lease.Announced{Instance: earlier})
	f.c.Check(outputs[lease.Ended](f), qt.HasLen, 0)
	f.step(lease.Announced{Instance: earlier, Replaces: true})
	f.c.Check(onlyOutput[lease.Ended](f), qt.Equals, lease.Ended{Attempt: attempt, Kind: msg.ResultAborted})
	f.c.Check(f.hold.Instance, qt.Equals, earlier)
}

// Guards against a token that the agent's successor cannot derive: one above the worker's
// time of day keeps the successor waiting, and one that does not exceed those of the earlier
// instance lets late calls to that one take effect.
func TestRestartedWorkerGetsTokenOfItsTime(t *testing.T) {
	f := newFixture(t)
	earlier := f.begin().Fence
	const startedAtMs = 1_000_500
	f.step(lease.Announced{Instance: lease.Instance{ID: "i-1", StartedAtMs: startedAtMs}})
	outputs[lease.Hold](f)
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.OK, Clock: 5 * time.Millisecond})
	fence := onlyOutput[lease.Hold](f).Fence
	f.c.Check(fence, qt.Equals, uint64(startedAtMs+6))
	f.c.Check(fence > earlier, qt.IsTrue)
}

// Guards against a successor that does not get past a token far above the worker's clock
// for hours: a late call of its predecessor to an earlier instance with the same ID may
// have shown it to the worker.
func TestSuccessorPassesTokenAboveClock(t *testing.T) {
	f := newFixture(t)
	f.core = lease.New(lease.Config{})
	f.step(lease.Announced{Instance: instance})
	const highest = 50_000_000_000
	for holds := 0; !f.core.Ready(); holds++ {
		f.c.Assert(holds < 100, qt.IsTrue, qt.Commentf("token %d", f.hold.Fence))
		f.now = f.now.Add(time.Millisecond)
		outputs[lease.Hold](f)
		status := lease.OK
		if f.hold.Fence < highest {
			status = lease.Fenced
		}
		f.step(lease.Answer{Call: f.hold.Call, Status: status, Clock: time.Duration(holds+1) * time.Millisecond})
	}
}

// Guards against a task that joins a lease which extends beyond its own limit: the entry's
// sign of life is old when the dispatch arrives, the tasks of another entry have just
// extended the lease, and then the agent dies or freezes. The lease is never shortened.
func TestTaskDoesNotJoinLongerLease(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	late := msg.AttemptID{Entry: 2, Job: 2, Attempt: 1}
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	for _, test := range []struct {
		age    time.Duration
		starts bool
	}{{600 * time.Millisecond, false}, {lease.DefaultOwnerTerm - lease.DefaultTerm, true}} {
		seen := f.now.Add(-test.age)
		f.step(lease.RunTask{Attempt: late, Task: "b", Run: 1, OwnerSeen: seen})
		out := f.core.TakeOutputs()
		refused := len(out) == 1 && out[0] == lease.Ended{Attempt: late, Kind: msg.ResultNotReached, Reason: verdict.StartByPassed}
		f.c.Check(refused, qt.Equals, !test.starts, qt.Commentf("sign of life %v ago: %v", test.age, out))
	}
}
