package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// unreachable answers each hold at once with the status for a time, and returns the crashes
// that were reported and the number of holds.
func (f *fixture) unreachable(status lease.Status, d time.Duration) (crashes []lease.Crashed, holds int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.core.Tick(f.now)
		for answered := true; answered; {
			answered = false
			for _, out := range f.core.TakeOutputs() {
				switch out := out.(type) {
				case lease.Hold:
					f.hold = out
					holds++
					f.step(lease.Answer{Call: out.Call, Status: status})
					answered = holds < 10000
				case lease.Crashed:
					crashes = append(crashes, out)
				}
			}
		}
	}
	return crashes, holds
}

// Guards against a crash of the worker that looks like any other end of its tasks, and
// against an unreachable or leaving worker that is taken for a crashed one.
func TestCrashIsReported(t *testing.T) {
	next, sameID := lease.Instance{ID: "i-2", StartedAtMs: 8}, lease.Instance{ID: instance.ID, StartedAtMs: 8}
	for _, test := range []struct {
		name    string
		status  lease.Status
		lasts   time.Duration
		leaving bool
		next    lease.Instance
		crashes int
	}{
		{"connections are refused", lease.NotListening, 500 * time.Millisecond, false, next, 1},
		{"the worker does not answer and is back", lease.NoAnswer, 500 * time.Millisecond, false, next, 1},
		{"the worker does not answer", lease.NoAnswer, 500 * time.Millisecond, false, lease.Instance{}, 0},
		{"the worker is back under its ID", lease.NoAnswer, 500 * time.Millisecond, false, sameID, 1},
		{"the worker is back under its ID after refusals", lease.NotListening, 500 * time.Millisecond, false, sameID, 1},
		{"one connection is refused", lease.NotListening, 5 * time.Millisecond, false, lease.Instance{}, 0},
		{"another instance answers", lease.WrongInstance, 5 * time.Millisecond, false, lease.Instance{}, 1},
		{"the worker leaves", lease.NotListening, 500 * time.Millisecond, true, next, 0},
		{"the worker is back after its lease", lease.NoAnswer, 3 * time.Second, false, next, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			s := f.begin()
			f.step(lease.Answer{Call: s.Call, Status: lease.OK, Clock: f.clock()})
			f.step(lease.Announced{Instance: instance, Leaving: test.leaving})
			f.now = f.now.Add(30 * time.Millisecond)
			f.step(lease.Answer{Call: f.hold.Call, Status: test.status})
			crashes, _ := f.unreachable(test.status, test.lasts)
			if test.next != (lease.Instance{}) {
				f.step(lease.Announced{Instance: test.next})
				crashes = append(crashes, outputs[lease.Crashed](f)...)
			}
			f.c.Assert(crashes, qt.HasLen, test.crashes)
			for _, crash := range crashes {
				f.c.Check(crash.Instance, qt.Equals, instance)
				f.c.Assert(crash.Attempts, qt.HasLen, 1)
				f.c.Check(crash.Attempts[0].Attempt, qt.Equals, attempt)
				f.c.Check(crash.Attempts[0].Unconfirmed, qt.IsFalse)
				f.c.Check(crash.Attempts[0].RunTime <= 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", crash.Attempts[0].RunTime))
			}
		})
	}
}

// Guards against a task that counts as having crashed a worker which never answered its
// start, and against an order of the tasks that depends on chance.
func TestCrashNamesUnconfirmedStarts(t *testing.T) {
	f := newFixture(t)
	s := f.begin()
	f.step(lease.Answer{Call: s.Call, Status: lease.OK, Clock: f.clock()})
	f.now = f.now.Add(30 * time.Millisecond)
	second := msg.AttemptID{Entry: 1, Job: 2, Attempt: 1}
	f.step(lease.RunTask{Attempt: second, Task: "b", Run: 1})
	start := onlyOutput[lease.Start](f)
	f.step(lease.Answer{Call: start.Call, Status: lease.NoAnswer})
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.NotListening})
	crashes, _ := f.unreachable(lease.NotListening, 500*time.Millisecond)
	f.c.Assert(crashes, qt.HasLen, 1)
	f.c.Assert(crashes[0].Attempts, qt.DeepEquals, []lease.CrashedAttempt{
		{Attempt: second, RunTime: 0, Unconfirmed: true},
		{Attempt: attempt, RunTime: 30 * time.Millisecond},
	})
}

// Guards against hundreds of connections to a worker that accepts each and resets it, and
// against a later verdict on such a worker.
func TestWorkerThatResetsConnectionsIsCalledRarely(t *testing.T) {
	f := newFixture(t)
	s := f.begin()
	f.step(lease.Answer{Call: s.Call, Status: lease.OK, Clock: f.clock()})
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.NoAnswer})
	_, holds := f.unreachable(lease.NoAnswer, 250*time.Millisecond)
	f.c.Check(f.core.Ready(), qt.IsFalse)
	f.c.Check(holds <= 9, qt.IsTrue, qt.Commentf("%d holds", holds))
	_, holds = f.unreachable(lease.NoAnswer, time.Second)
	f.c.Check(holds <= 6, qt.IsTrue, qt.Commentf("%d holds", holds))
}
