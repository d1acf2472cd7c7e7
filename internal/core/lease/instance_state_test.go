package lease

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/callpace"
)

// Guards against a belief about one instance of the worker that is applied to the next, under
// the same ID or another one: its clock, its silence, the numbers of its ends, what it runs, that
// it leaves, calls in flight.
func TestNothingOfAnInstanceIsKeptForTheNext(t *testing.T) {
	at := time.Unix(1000, 0)
	var failed callpace.Pace
	failed.Failed()
	for _, next := range []Instance{{ID: "i-1", StartedAtMs: 8}, {ID: "i-2", StartedAtMs: 8}} {
		c := qt.New(t)
		core := New(Config{})
		core.lastCall = 20
		core.instanceState = instanceState{
			phase: held, instance: Instance{ID: "i-1", StartedAtMs: 7}, fenceStep: 4, clock: time.Hour, clockAt: at, stoodStill: time.Second,
			silent: true, unanswered: 3, unansweredSince: at, holdPace: failed, queryPace: failed, leaving: true, announcedLeaving: true, crashReported: true, seen: 5, acked: 4,
			lastCallBefore: 2, holdCall: 18, queryCall: 19, holdSeen: 5, nextHoldAt: at, nextQueryAt: at, holdSentAt: at, querySentAt: at, confirmedAt: at,
			confirmedCall: 17, renewedAt: at, renewalCall: 18,
			toStart: []delayedStart{{}}, unowned: map[unownedRun]unownedState{{task: "t"}: {}},
		}
		for _, field := range reflect.VisibleFields(reflect.TypeFor[instanceState]()) {
			c.Assert(reflect.ValueOf(core.instanceState).FieldByIndex(field.Index).IsZero(), qt.IsFalse, qt.Commentf("%s has no value here", field.Name))
		}
		if next.ID == core.instance.ID {
			core.restarted(next.StartedAtMs)
		} else {
			core.announced(Announced{Instance: next})
		}
		c.Check(reflect.DeepEqual(core.instanceState, newInstanceState(next, 20)), qt.IsTrue, qt.Commentf("%+v", core.instanceState))
		c.Check(core.Ready(), qt.IsFalse)
	}
}
