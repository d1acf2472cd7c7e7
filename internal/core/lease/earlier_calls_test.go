package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/fake/worker"
)

// Guards against a task that starts again after it is done: a hold that acknowledges the ends
// of the earlier instance makes the restarted worker forget its own, which has carried out a
// late start, and the agent takes the task as aborted.
func TestEndsOfRestartedWorkerAreNotAcknowledgedUnseen(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.answerHold(lease.Answer{Status: lease.OK, Finished: []lease.Finished{{Number: 5, Task: "b", Run: 1, Kind: lease.Done}}})
	f.step(lease.Answer{Call: start.Call, Status: lease.NoAnswer})
	pending := append(outputs[lease.Hold](f), f.hold)
	const down = 200 * time.Millisecond
	for range 10 {
		f.now = f.now.Add(down / 10)
		for _, hold := range pending {
			f.step(lease.Answer{Call: hold.Call, Status: lease.NoAnswer})
		}
		pending = outputs[lease.Hold](f)
	}
	w := worker.New(lease.Instance{ID: instance.ID, StartedAtMs: 8}, f.now, 8, func(string) (time.Duration, lease.EndKind) { return 10 * time.Millisecond, lease.Done })
	f.c.Assert(w.Start(f.now, start).Status, qt.Equals, lease.OK)
	f.now = f.now.Add(20 * time.Millisecond)
	for _, hold := range pending {
		f.step(w.Hold(f.now, hold))
	}
	for range 30 {
		for _, out := range f.core.TakeOutputs() {
			switch out := out.(type) {
			case lease.Hold:
				f.step(w.Hold(f.now, out))
			case lease.Stop:
				f.step(w.Stop(f.now, out))
			case lease.Ended:
				f.c.Check(out.Kind, qt.Equals, msg.ResultOK)
				return
			}
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.core.Tick(f.now)
	}
	f.c.Fatal("the attempt does not end")
}

// takeOver carries out holds at the worker until tasks may be started there.
func (f *fixture) takeOver(w *worker.Worker) {
	f.c.Helper()
	for range 10 {
		if f.holdAt(w); f.core.Ready() {
			return
		}
		f.now = f.now.Add(20 * time.Millisecond)
		f.core.Tick(f.now)
	}
	f.c.Fatal("the worker is not taken over")
}

// checkJoins asks for a task whose entry was last heard of some time ago, and checks that it has
// ended by the time at which its entry may start it elsewhere.
func (f *fixture) checkJoins(w *worker.Worker, age time.Duration) {
	f.c.Helper()
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now.Add(-age)})
	for _, s := range outputs[lease.Start](f) {
		f.c.Assert(w.Start(f.now, s).Status, qt.Equals, lease.OK)
	}
	limit := f.now.Add(lease.ReleaseAfter(lease.Config{}) - age)
	f.c.Check(w.Running(limit)["a"], qt.Equals, uint32(0), qt.Commentf(
		"the entry may start the task elsewhere at %s, the lease ends at %s of the worker's clock", w.Clock(limit), w.LeaseEnd()))
}

// Guards against a task that runs beyond the limit of its entry because it joins the lease of
// an earlier agent process, which the new one did not name.
func TestTaskDoesNotJoinLeaseOfEarlierAgent(t *testing.T) {
	f := &fixture{c: qt.New(t), core: lease.New(lease.Config{}), now: time.Unix(1000, 0)}
	w := worker.New(instance, f.now.Add(-time.Hour), 8, func(string) (time.Duration, lease.EndKind) { return time.Hour, lease.Done })
	w.Hold(f.now, lease.Hold{Instance: instance, Fence: 5, Until: w.Clock(f.now) + lease.DefaultTerm})
	f.now = f.now.Add(50 * time.Millisecond)
	f.step(lease.Announced{Instance: instance})
	f.takeOver(w)
	f.checkJoins(w, 800*time.Millisecond)
}

// Guards against a task that runs beyond the limit of its entry because it joins a lease that
// was named for the earlier instance and granted by the restarted worker between the news of
// the restart and the end of the takeover.
func TestTaskDoesNotJoinLeaseNamedDuringTakeover(t *testing.T) {
	f := newFixture(t)
	silent := msg.AttemptID{Entry: 2, Job: 2, Attempt: 1}
	f.step(lease.RunTask{Attempt: silent, Task: "b", Run: 1, OwnerSeen: f.now})
	start := onlyOutput[lease.Start](f)
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	f.answerHold(lease.Answer{Status: lease.OK, Running: []lease.Running{{Task: "b", Run: 1}}})
	outputs[lease.Hold](f)
	late := f.hold
	f.c.Assert(late.Until, qt.Not(qt.Equals), time.Duration(0))
	w := f.restartedWorker()
	f.step(lease.Announced{Instance: w.Instance, Replaces: true})
	for range 35 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.core.Tick(f.now)
		outputs[lease.Hold](f)
		f.step(lease.Answer{Call: f.hold.Call, Status: lease.NoAnswer})
	}
	w.Hold(f.now, late)
	f.takeOver(w)
	f.checkJoins(w, 700*time.Millisecond)
}
