package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Guards against a start that waited for the worker's answer and is sent although the failure
// domain was evacuated meanwhile, against one after a restart of the worker, and against a
// running task that is stopped.
func TestEvacuationRefusesStarts(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(time.Second)
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now})
	f.c.Assert(outputs[lease.Start](f), qt.HasLen, 0)
	f.step(lease.SetEvacuated{Evacuated: true})
	refused := []lease.Ended{{Attempt: attempt, Kind: msg.ResultNotReached, Reason: verdict.Evacuated}}
	f.c.Check(outputs[lease.Ended](f), qt.DeepEquals, refused)
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.OK, Clock: f.clock(), StartedAtMs: instance.StartedAtMs})
	f.c.Check(outputs[lease.Start](f), qt.HasLen, 0)

	next := lease.Instance{ID: "i-2", StartedAtMs: 9}
	f.step(lease.Announced{Instance: next})
	for range 2 {
		f.answerHold(lease.Answer{Status: lease.OK, StartedAtMs: next.StartedAtMs})
	}
	f.c.Assert(f.core.Ready(), qt.IsTrue)
	f.core.TakeOutputs()
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now})
	f.c.Check(outputs[lease.Ended](f), qt.DeepEquals, refused)
	f.step(lease.SetEvacuated{})
	f.begin()
	f.step(lease.SetEvacuated{Evacuated: true})
	for _, o := range f.core.TakeOutputs() {
		_, hold := o.(lease.Hold)
		f.c.Check(hold, qt.IsTrue, qt.Commentf("%T for a running task", o))
	}
}
