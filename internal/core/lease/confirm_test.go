package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against a task that starts in a worker that has restarted under its ID while it was
// idle, or while the agent was paused: it was sent there for what the worker was before, perhaps
// another kind.
func TestStartAfterSilenceWaitsForTheInstance(t *testing.T) {
	restarted := lease.Instance{ID: instance.ID, StartedAtMs: instance.StartedAtMs + 1}
	for _, test := range []struct {
		name string
		// answer is what the worker says to the hold that the start waits for.
		answer lease.Answer
		act    func(f *fixture)
		starts int
		ends   int
	}{
		{"same instance", lease.Answer{Status: lease.OK, StartedAtMs: instance.StartedAtMs}, nil, 1, 0},
		{"restarted", lease.Answer{Status: lease.OK, StartedAtMs: restarted.StartedAtMs}, nil, 0, 1},
		{"no answer", lease.Answer{Status: lease.NoAnswer}, nil, 0, 0},
		{"no answer for long", lease.Answer{Status: lease.NoAnswer}, func(f *fixture) { f.now = f.now.Add(time.Second); f.core.Tick(f.now) }, 0, 1},
		{"stopped", lease.Answer{Status: lease.NoAnswer}, func(f *fixture) { f.step(lease.StopTask{Attempt: attempt}) }, 0, 1},
		{"other worker", lease.Answer{Status: lease.NoAnswer}, func(f *fixture) {
			f.step(lease.Announced{Instance: lease.Instance{ID: "i-2", StartedAtMs: 9}})
		}, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.now = f.now.Add(time.Second)
			f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now})
			starts := len(outputs[lease.Start](f))
			f.c.Check(starts, qt.Equals, 0, qt.Commentf("the start was sent before the instance was known"))
			test.answer.Call, test.answer.Clock = f.hold.Call, f.clock()
			f.step(test.answer)
			if test.act != nil {
				test.act(f)
			}
			ends := 0
			for _, o := range f.core.TakeOutputs() {
				switch o := o.(type) {
				case lease.Start:
					starts++
				case lease.Ended:
					ends++
					f.c.Check(o.Kind, qt.Equals, msg.ResultNotReached)
				}
			}
			f.c.Check(starts, qt.Equals, test.starts)
			f.c.Check(ends, qt.Equals, test.ends)
		})
	}
}

// Guards against a start at a worker whose connection has just broken: it may have crashed and
// run again under its ID within milliseconds.
func TestStartAfterBrokenHoldWaitsForTheInstance(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	f.answerHold(lease.Answer{Status: lease.NoAnswer})
	f.step(lease.RunTask{Attempt: msg.AttemptID{Entry: 1, Job: 2, Attempt: 1}, Task: "b", Run: 1, OwnerSeen: f.now})
	f.c.Check(outputs[lease.Start](f), qt.HasLen, 0)
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.OK, Clock: f.clock(), StartedAtMs: instance.StartedAtMs})
	f.c.Check(outputs[lease.Start](f), qt.HasLen, 1)
}

// Guards against a start that is sent after the agent stood still, to a worker that has restarted
// under its ID meanwhile.
func TestStartIsSentWhileTheInstanceIsKnown(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.c.Check(start.SendBy.Sub(f.now) <= 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", start.SendBy.Sub(f.now)))
	f.step(lease.Answer{Call: start.Call, Status: lease.NotSent})
	f.c.Check(onlyOutput[lease.Ended](f).Kind, qt.Equals, msg.ResultNotReached)
}

// Guards against an agent that is late, by more than the time for which an answer shows which
// instance runs, and starts no task at an idle worker any more.
func TestLateAgentStartsTasks(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(time.Second)
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now})
	clock := f.clock()
	outputs[lease.Start](f)
	f.now = f.now.Add(300 * time.Millisecond)
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.OK, Clock: clock, StartedAtMs: instance.StartedAtMs})
	f.c.Check(outputs[lease.Start](f), qt.HasLen, 1)
}
