package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// linkWorker links another worker, which reports the given slots.
func (f *fixture) linkWorker(name string, inc msg.Incarnation, report msg.Slots) entry.LinkID {
	f.link++
	f.step(entry.LinkUp{Link: f.link, Clock: f.clock, Hello: msg.Hello{
		Worker: name, Incarnation: inc, Service: "s", Slots: 4, Report: report, Revision: 7,
	}})
	return f.link
}

// dispatchedTo returns the number of dispatches on each link since the last call.
func (f *fixture) dispatchedTo() map[entry.LinkID]int {
	counts := make(map[entry.LinkID]int)
	for _, o := range f.out {
		if s, ok := o.(entry.Send); ok {
			if _, ok := s.Message.(msg.Dispatch); ok {
				counts[s.Link]++
			}
		}
	}
	f.out = nil
	return counts
}

// Guards against dispatches that use other entries' slots while granted ones are free, and
// against spare slots that are left unused.
func TestGrantedSlotsGoFirst(t *testing.T) {
	f := newFixture(t, 0)
	spare := f.linkWorker("spare", 6, msg.Slots{Spare: 3, Number: 1})
	granted := f.linkWorker("granted", 7, msg.Slots{Free: 1, Number: 1})
	f.submit(1, time.Minute)
	f.c.Assert(f.dispatchedTo(), qt.DeepEquals, map[entry.LinkID]int{granted: 1})
	f.submit(4, time.Minute)
	f.c.Assert(f.dispatchedTo(), qt.DeepEquals, map[entry.LinkID]int{spare: 3})
}

// Guards against a report whose spare slots are counted again although dispatches in
// flight use them.
func TestDispatchesInFlightUseSpareSlots(t *testing.T) {
	f := newFixture(t, 0)
	f.linkWorker("spare", 6, msg.Slots{Free: 1, Spare: 2, Number: 1})
	f.submit(2, time.Minute)
	f.c.Assert(f.dispatchedTo()[f.link], qt.Equals, 2)
	f.receive(msg.Heartbeat{Report: msg.Slots{Free: 1, Spare: 2, Number: 2}})
	f.submit(4, time.Minute)
	f.c.Assert(f.dispatchedTo()[f.link], qt.Equals, 1)
}

// Guards against a dispatch to each worker of a fleet that has filled up unnoticed.
func TestRefusalDiscardsStaleReports(t *testing.T) {
	f := newFixture(t, 0)
	for inc := range msg.Incarnation(3) {
		f.linkWorker(string('a'+rune(inc)), 10+inc, msg.Slots{Free: 1, Number: 1})
	}
	f.advance(500 * time.Millisecond)
	f.submit(1, time.Minute)
	var d msg.Dispatch
	for _, o := range f.out {
		if s, ok := o.(entry.Send); ok {
			if m, ok := s.Message.(msg.Dispatch); ok {
				d, f.link = m, s.Link
			}
		}
	}
	f.out = nil
	f.receive(msg.Refused{Attempt: d.Attempt, Reason: verdict.NoSlot, Report: msg.Slots{Covers: d.Seq, Number: 2}})
	f.c.Assert(f.dispatchedTo(), qt.HasLen, 0)
	f.receive(msg.SlotsFree{Report: msg.Slots{Free: 1, Covers: d.Seq, Number: 3}})
	f.c.Assert(f.dispatchedTo(), qt.HasLen, 1)
}

// Guards against a claim for tasks that have a slot, which makes agents send needless
// grants, and against a missing claim while tasks wait.
func TestClaims(t *testing.T) {
	f := newFixture(t, 2)
	f.submit(5, time.Minute)
	for _, d := range take[msg.Dispatch](f) {
		f.c.Check(d.Claim, qt.Equals, msg.Claim{Waiting: 3, Unfinished: 5})
	}
	f.advance(time.Second + tick)
	f.c.Assert(take[msg.EntryHeartbeat](f)[0].Claim, qt.Equals, msg.Claim{Waiting: 3, Unfinished: 5})
	f = newFixture(t, 2)
	f.submit(2, time.Minute)
	for _, d := range take[msg.Dispatch](f) {
		f.c.Check(d.Claim, qt.Equals, msg.Claim{})
	}
}

// Guards against two extra messages for each task that runs for a few seconds.
func TestNoEarlyProbeOfSeenAttempt(t *testing.T) {
	f := newFixture(t, 1)
	f.submit(1, time.Minute)
	d := take[msg.Dispatch](f)[0]
	f.receive(msg.Heartbeat{Report: f.report(0, d.Seq), Revision: 7})
	f.advanceWithHeartbeats(12 * time.Second)
	f.c.Assert(take[msg.Revoke](f), qt.HasLen, 0)
	f.advanceWithHeartbeats(2 * time.Second)
	f.c.Assert(take[msg.Revoke](f), qt.HasLen, 1)
}
