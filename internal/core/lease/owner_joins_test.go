package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against a lease that was extended for other entries before a task of a silent one
// starts: the worker never shortens it, so the task would run beyond OwnerTerm after the
// last sign of life of its entry.
func TestTaskDoesNotJoinLeaseBeyondItsOwner(t *testing.T) {
	f := newFixture(t)
	other := msg.AttemptID{Entry: 2, Job: 2, Attempt: 1}
	f.step(lease.RunTask{Attempt: other, Task: "b", Run: 1, OwnerSeen: f.now})
	extended := onlyOutput[lease.Start](f)
	f.step(lease.Answer{Call: extended.Call, Status: lease.OK, Clock: f.clock()})
	outputs[lease.Hold](f)
	const silence = 850 * time.Millisecond
	f.step(lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: f.now.Add(-silence)})
	if len(outputs[lease.Start](f)) == 0 {
		return
	}
	f.c.Check(extended.Until <= f.clock()-silence+lease.DefaultOwnerTerm, qt.IsTrue,
		qt.Commentf("the task starts under a lease that ends %v after its owner was seen, OwnerTerm is %v", extended.Until-f.clock()+silence, lease.DefaultOwnerTerm))
}
