package lease_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
)

// Guards against a lease that is named far ahead of the worker's clock because that has not been
// read: a worker that has just restarted answers the takeover within its first millisecond.
func TestNoStartBeforeClockIsKnown(t *testing.T) {
	f := newFixture(t)
	f.step(lease.Announced{Instance: lease.Instance{ID: instance.ID, StartedAtMs: 8}, Replaces: true})
	for range 2 {
		outputs[lease.Hold](f)
		f.step(lease.Answer{Call: f.hold.Call, Status: lease.OK, StartedAtMs: 8})
	}
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now})
	for _, s := range outputs[lease.Start](f) {
		f.c.Check(s.Until <= lease.DefaultTerm, qt.IsTrue, qt.Commentf("the lease ends at %v", s.Until))
	}
}
