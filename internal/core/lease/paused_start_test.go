package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against a start without an end of the lease, from a process that handles a
// dispatch after a pause and before its next tick.
func TestStartAfterPauseNamesAnEndOfTheLease(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
	f.now = f.now.Add(lease.DefaultOwnerTerm - 150*time.Millisecond)
	f.answerHold(lease.Answer{Status: lease.OK, Running: []lease.Running{{Task: "a", Run: 1}}})
	f.c.Assert(f.core.Ready(), qt.IsTrue)
	outputs[lease.Start](f)
	f.now = f.now.Add(200 * time.Millisecond)
	f.step(lease.RunTask{Attempt: msg.AttemptID{Entry: 2, Job: 2, Attempt: 1}, Task: "b", Run: 1, OwnerSeen: f.now})
	for _, s := range outputs[lease.Start](f) {
		f.c.Check(s.Until > f.clock(), qt.IsTrue, qt.Commentf("the start names the end %v at the worker's time %v", s.Until, f.clock()))
	}
}
