package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Guards against thousands of calls to a worker whose VM refuses connections: a refusal
// comes within a fraction of a millisecond.
func TestRefusedHoldsArePaced(t *testing.T) {
	f := newFixture(t)
	s := f.begin()
	f.step(lease.Answer{Call: s.Call, Status: lease.OK, Clock: f.clock()})
	f.step(lease.Answer{Call: f.hold.Call, Status: lease.NotListening})
	_, holds := f.unreachable(lease.NotListening, time.Second)
	f.c.Assert(holds <= 20, qt.IsTrue, qt.Commentf("%d holds", holds))
	f.c.Assert(f.core.Ready(), qt.IsFalse)
}

// Guards against a task that waits for the lease to lapse although its start was refused
// before it was sent.
func TestRefusedStartNeverRan(t *testing.T) {
	f := newFixture(t)
	s := f.begin()
	f.step(lease.Answer{Call: s.Call, Status: lease.NotListening})
	end := onlyOutput[lease.Ended](f)
	f.c.Assert(end.Kind, qt.Equals, msg.ResultNotReached)
	f.c.Assert(end.Reason, qt.Equals, verdict.NotReached)
}
