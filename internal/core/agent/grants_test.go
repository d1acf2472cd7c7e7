package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

const other = entry + 1

// newSharedFixture returns a fixture with two linked entries, each with one granted slot.
func newSharedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.step(agent.LinkUp{Entry: other, Name: "o"})
	f.core.TakeOutputs()
	return f
}

func (f *fixture) dispatchFrom(from msg.Incarnation, job uint64, claim msg.Claim) {
	d := f.dispatchOf(attempt(from, job))
	d.Claim = claim
	f.step(agent.Received{Entry: from, Message: d})
}

// sentTo returns the messages of one type sent to the entry and discards the
// other outputs.
func sentTo[M msg.FromAgent](f *fixture, to msg.Incarnation) []M {
	var found []M
	for _, s := range outputs[agent.Send](f) {
		if m, ok := s.Message.(M); ok && s.Entry == to {
			found = append(found, m)
		}
	}
	return found
}

// Guards against a slot that is granted to two entries, which costs a refusal.
func TestSlotsAreGrantedOnce(t *testing.T) {
	f := newSharedFixture(t)
	f.advance(1100 * time.Millisecond)
	free := make(map[msg.Incarnation]msg.Slots)
	for _, s := range outputs[agent.Send](f) {
		free[s.Entry] = s.Message.(msg.Heartbeat).Report
	}
	f.c.Assert(free, qt.HasLen, 2)
	for _, report := range free {
		f.c.Check(report.Free, qt.Equals, 1)
		f.c.Check(report.Spare, qt.Equals, 1)
	}
}

// Guards against idle slots that an entry with work cannot use because they are
// granted to another.
func TestSlotGrantedToIdleEntryIsUsable(t *testing.T) {
	f := newSharedFixture(t)
	f.dispatchFrom(entry, 1, msg.Claim{})
	f.dispatchFrom(entry, 2, msg.Claim{})
	f.c.Assert(f.core.Running(), qt.Equals, slots)
	f.core.TakeOutputs()
	f.dispatchFrom(other, 3, msg.Claim{})
	refused := sentMessages[msg.Refused](f)
	f.c.Assert(refused, qt.HasLen, 1)
	f.c.Assert(refused[0].Reason, qt.Equals, verdict.NoSlot)
}

// Guards against a freed slot that is granted to two entries, against one that
// stays with an entry without work, and against a claim that outlives its link.
func TestFreedSlotGoesToTheStrongestClaim(t *testing.T) {
	for _, test := range []struct {
		name           string
		owner, claim   msg.Claim
		unlinked       bool
		passed         int
		ownerFreeAfter int
	}{
		{name: "no claim", ownerFreeAfter: 1},
		{name: "idle owner", claim: msg.Claim{Waiting: 1, Unfinished: 9}, passed: 1},
		{name: "stronger claim", owner: msg.Claim{Waiting: 5, Unfinished: 5}, claim: msg.Claim{Waiting: 1, Unfinished: 4}, passed: 1},
		{name: "weaker claim", owner: msg.Claim{Waiting: 5, Unfinished: 5}, claim: msg.Claim{Waiting: 1, Unfinished: 6}, ownerFreeAfter: 1},
		{name: "equal claim", owner: msg.Claim{Waiting: 5, Unfinished: 5}, claim: msg.Claim{Waiting: 1, Unfinished: 5}, ownerFreeAfter: 1},
		{name: "broken link", claim: msg.Claim{Waiting: 1, Unfinished: 1}, unlinked: true, ownerFreeAfter: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newSharedFixture(t)
			f.dispatchFrom(entry, 1, msg.Claim{})
			f.dispatchFrom(entry, 2, test.owner)
			f.step(agent.Received{Entry: other, Message: msg.EntryHeartbeat{Claim: test.claim}})
			if test.unlinked {
				f.step(agent.LinkDown{Entry: other})
			}
			f.core.TakeOutputs()
			f.end(attempt(entry, 1), msg.ResultOK)
			var passed, ownerFree int
			for _, s := range outputs[agent.Send](f) {
				switch m := s.Message.(type) {
				case msg.SlotsFree:
					passed += m.Report.Free
				case msg.Result:
					ownerFree = m.Report.Free
				}
			}
			f.c.Check(passed, qt.Equals, test.passed)
			f.c.Check(ownerFree, qt.Equals, test.ownerFreeAfter)
		})
	}
}

// Guards against a granted slot that another entry takes before the dispatch can
// arrive, and against one that stays reserved although its entry does not use it.
func TestGrantReservationExpires(t *testing.T) {
	for _, test := range []struct {
		name    string
		wait    time.Duration
		refused int
	}{{"at once", 0, 1}, {"after it has expired", 100 * time.Millisecond, 0}} {
		t.Run(test.name, func(t *testing.T) {
			f := newSharedFixture(t)
			f.dispatchFrom(entry, 1, msg.Claim{})
			f.dispatchFrom(entry, 2, msg.Claim{})
			f.step(agent.Received{Entry: other, Message: msg.EntryHeartbeat{Claim: msg.Claim{Waiting: 1, Unfinished: 1}}})
			f.end(attempt(entry, 1), msg.ResultOK)
			f.c.Assert(sentTo[msg.SlotsFree](f, other), qt.HasLen, 1)
			f.now = f.now.Add(test.wait)
			f.dispatchFrom(entry, 3, msg.Claim{})
			f.c.Assert(sentMessages[msg.Refused](f), qt.HasLen, test.refused)
			f.dispatchFrom(other, 4, msg.Claim{})
			f.c.Assert(f.core.Running(), qt.Equals, slots)
		})
	}
}

// Guards against an unbounded number of grant messages when claims are not used.
func TestGrantMessagesAreBounded(t *testing.T) {
	f := newSharedFixture(t)
	granted := 0
	for job := range uint64(100) {
		f.dispatchFrom(entry, 2*job, msg.Claim{})
		f.dispatchFrom(entry, 2*job+1, msg.Claim{})
		f.step(agent.Received{Entry: other, Message: msg.EntryHeartbeat{Claim: msg.Claim{Waiting: 1, Unfinished: 1}}})
		f.end(attempt(entry, 2*job), msg.ResultOK)
		f.end(attempt(entry, 2*job+1), msg.ResultOK)
		granted += len(sentTo[msg.SlotsFree](f, other))
		f.now = f.now.Add(100 * time.Millisecond)
	}
	f.c.Assert(granted > 0, qt.IsTrue)
	// Four at once and 0.04 for each of 200 dispatches.
	f.c.Assert(granted <= 12, qt.IsTrue, qt.Commentf("%d messages", granted))
}
