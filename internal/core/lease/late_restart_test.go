package lease_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
)

// Guards against a start time in the answer of another worker at the address that is taken
// for a restart of the present one.
func TestAnswerOfAnotherWorkerIsNoRestart(t *testing.T) {
	f := newFixture(t)
	start := f.begin()
	f.step(lease.Answer{Call: start.Call, Status: lease.WrongInstance, StartedAtMs: 8})
	f.c.Check(outputs[lease.Restarted](f), qt.HasLen, 0)
}

// Guards against an answer of a replaced worker to an earlier call that is taken for a
// restart of the worker that replaced it.
func TestLateAnswerOfReplacedWorkerIsNoRestart(t *testing.T) {
	f := newFixture(t)
	f.begin()
	earlier := f.hold.Call
	f.step(lease.Announced{Instance: lease.Instance{ID: "i-2", StartedAtMs: 8}})
	f.core.TakeOutputs()
	f.step(lease.Answer{Call: earlier, Status: lease.OK, Clock: f.clock(), StartedAtMs: instance.StartedAtMs})
	f.c.Check(outputs[lease.Restarted](f), qt.HasLen, 0)
}
