package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
)

// Guards against queries that follow each other without a pause while the hold waits on an
// older connection and the worker resets each new one.
func TestResetQueriesAreSpacedOut(t *testing.T) {
	f := newFixture(t)
	s := f.begin()
	f.step(lease.Answer{Call: s.Call, Status: lease.NoAnswer})
	queries := 0
	for range 60 {
		for answered := true; answered && queries < 10000; {
			answered = false
			for _, h := range outputs[lease.Hold](f) {
				if h.Until == 0 {
					queries++
					answered = true
					f.step(lease.Answer{Call: h.Call, Status: lease.NoAnswer})
				}
			}
		}
		f.now = f.now.Add(time.Millisecond)
		f.core.Tick(f.now)
	}
	f.c.Check(queries >= 2 && queries <= 5, qt.IsTrue, qt.Commentf("%d queries", queries))
}

// Guards against a stop that has waited for its timeout and is held up again because of its
// pace, while the worker answers other calls.
func TestStopThatTimedOutIsNotDelayedAgain(t *testing.T) {
	f := newFixture(t)
	s := f.begin()
	f.step(lease.Answer{Call: s.Call, Status: lease.OK, Clock: f.clock()})
	f.step(lease.StopTask{Attempt: attempt})
	for range 2 {
		stop := onlyOutput[lease.Stop](f)
		f.now = f.now.Add(30 * time.Millisecond)
		f.step(lease.Answer{Call: stop.Call, Status: lease.NoAnswer})
		f.now = f.now.Add(20 * time.Millisecond)
		f.core.Tick(f.now)
	}
	onlyOutput[lease.Stop](f)
}

// Guards against hundreds of connections for the stops of one task while the worker resets each.
func TestResetStopsAreSpacedOut(t *testing.T) {
	f := newFixture(t)
	s := f.begin()
	f.step(lease.Answer{Call: s.Call, Status: lease.OK, Clock: f.clock()})
	f.step(lease.StopTask{Attempt: attempt})
	stops := 0
	for range 800 {
		for _, stop := range outputs[lease.Stop](f) {
			stops++
			f.step(lease.Answer{Call: stop.Call, Status: lease.NoAnswer})
		}
		f.now = f.now.Add(time.Millisecond)
		f.core.Tick(f.now)
	}
	f.c.Check(stops >= 4 && stops <= 8, qt.IsTrue, qt.Commentf("%d stops", stops))
}
