package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/fake/worker"
)

// restartedWorker returns a worker that has just started under the ID of the fixture's
// instance. Its clock begins anew.
func (f *fixture) restartedWorker() *worker.Worker {
	return worker.New(lease.Instance{ID: instance.ID, StartedAtMs: 8}, f.now, 8, func(string) (time.Duration, lease.EndKind) { return time.Hour, lease.Done })
}

// holdAt carries out the latest hold at the worker and applies the answer.
func (f *fixture) holdAt(w *worker.Worker) {
	outputs[lease.Hold](f)
	f.step(w.Hold(f.now, f.hold))
}

// Guards against a task that runs beyond the limit of its entry because it joins a longer
// lease than the agent knows of: a hold that names the end of a short lease on the clock of
// the earlier instance gives a restarted worker the longest lease that it grants.
func TestTaskDoesNotJoinLeaseNamedForEarlierInstance(t *testing.T) {
	f := newFixture(t)
	silent := msg.AttemptID{Entry: 2, Job: 2, Attempt: 1}
	f.step(lease.RunTask{Attempt: silent, Task: "b", Run: 1, OwnerSeen: f.now})
	start := onlyOutput[lease.Start](f)
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	const silence = 950 * time.Millisecond
	f.now = f.now.Add(silence)
	f.answerHold(lease.Answer{Status: lease.OK, Running: []lease.Running{{Task: "b", Run: 1}}})
	f.c.Assert(f.hold.Until, qt.Not(qt.Equals), time.Duration(0))
	// The worker restarts, and carries out the hold that was meant for the earlier instance.
	w := f.restartedWorker()
	for range 10 {
		if f.core.Ready() && f.hold.Until == 0 {
			break
		}
		f.now = f.now.Add(time.Millisecond)
		f.holdAt(w)
	}
	f.checkJoins(w, 600*time.Millisecond)
}

// Guards against an attempt that counts as ended with its lease while it runs: a start that
// names the end of a short lease on the clock of the earlier instance gives a restarted
// worker the longest lease that it grants, and no answer tells of the restart.
func TestAttemptEndsAfterLeaseNamedForEarlierInstance(t *testing.T) {
	f := newFixture(t)
	const age = 800 * time.Millisecond
	w := f.restartedWorker()
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now.Add(-age)})
	start := onlyOutput[lease.Start](f)
	f.c.Assert(w.Start(f.now, start).Status, qt.Equals, lease.OK)
	f.now = f.now.Add(start.Timeout)
	f.step(lease.Answer{Call: start.Call, Status: lease.NoAnswer})
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.NoAnswer})
	for range 60 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.core.Tick(f.now)
		for _, out := range f.core.TakeOutputs() {
			switch out := out.(type) {
			case lease.Hold:
				f.step(lease.Answer{Call: out.Call, Status: lease.NoAnswer})
			case lease.Stop:
				f.step(lease.Answer{Call: out.Call, Status: lease.NoAnswer})
			case lease.Ended:
				f.c.Check(w.Running(f.now)["a"], qt.Equals, uint32(0), qt.Commentf(
					"the attempt ends at %s, the lease at %s of the worker's clock", w.Clock(f.now), w.LeaseEnd()))
				return
			}
		}
	}
	f.c.Fatal("the attempt does not end")
}

// Guards against an attempt that counts as never started although it ran in the instance
// before a restart: the restarted worker, which confirms a stop and lists no run, knows
// nothing of it, and a caller is told that its job never ran.
func TestAttemptMayHaveRunBeforeRestart(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.step(lease.Answer{Call: start.Call, Status: lease.NoAnswer})
	f.step(lease.StopTask{Attempt: attempt})
	stop := onlyOutput[lease.Stop](f)
	f.step(lease.Answer{Call: stop.Call, Status: lease.NoAnswer})
	w := f.restartedWorker()
	for range 20 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.core.Tick(f.now)
		for _, out := range f.core.TakeOutputs() {
			switch out := out.(type) {
			case lease.Hold:
				f.hold = out
			case lease.Stop:
				f.step(w.Stop(f.now, out))
			case lease.Ended:
				f.c.Check(out.Kind, qt.Equals, msg.ResultAborted)
				return
			}
		}
		f.step(w.Hold(f.now, f.hold))
	}
	f.c.Fatal("the attempt does not end")
}
