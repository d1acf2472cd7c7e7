package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// idleFixture is a leased fixture with a heartbeat interval of two seconds on links
// without tasks.
func idleFixture(t *testing.T) *fixture {
	f := leasedFixture(t)
	f.core = entry.New(entry.Config{
		Name: "e", Incarnation: entryIncarnation, StartWindow: 2 * time.Second, SuspectAfter: 600 * time.Millisecond,
		LostAfter: 5 * time.Second, HeartbeatInterval: 200 * time.Millisecond, IdleHeartbeat: 2 * time.Second,
		AckDelay: 50 * time.Millisecond, RunLimit: time.Minute, MaxQueued: 1000, MaxTasks: 100, MaxPayload: 100,
	})
	f.step(entry.SetPolicy{Policy: leasedPolicy()})
	f.out = nil
	return f
}

// heartbeats counts the heartbeats since the last call, by the link that they were sent
// on.
func (f *fixture) heartbeats() map[entry.LinkID]int {
	sent := make(map[entry.LinkID]int)
	for _, o := range f.out {
		if s, ok := o.(entry.Send); ok {
			if _, ok := s.Message.(msg.EntryHeartbeat); ok {
				sent[s.Link]++
			}
		}
	}
	f.out = nil
	return sent
}

// Guards against the short heartbeat interval of running tasks on every link: an entry has
// hundreds of links, few of which carry tasks.
func TestLinksWithoutTasksHaveFewHeartbeats(t *testing.T) {
	f := idleFixture(t)
	busy, idle := f.linkLeased("w1", 32), f.linkLeased("w2", 4)
	f.submitSized("urgent", 8, 1)
	for range 10 {
		f.advance(time.Second)
		busy.clock += time.Second
		busy.send(msg.Heartbeat{Report: busy.report()})
		idle.clock += time.Second
		idle.send(msg.Heartbeat{Report: idle.report()})
	}
	sent := f.heartbeats()
	f.c.Check(sent[idle.link] >= 4 && sent[idle.link] <= 5, qt.IsTrue, qt.Commentf("%d without tasks", sent[idle.link]))
	f.c.Check(sent[busy.link] >= 20, qt.IsTrue, qt.Commentf("%d with a task", sent[busy.link]))
}

// Guards against a dispatch after an idle period that the agent refuses because the clock
// that it echoes is too old.
func TestDispatchOnIdleLinkEchoesFreshClock(t *testing.T) {
	f := idleFixture(t)
	w := f.linkLeased("w1", 32)
	before := w.clock
	f.advance(1500 * time.Millisecond)
	f.submitSized("urgent", 3, 1)
	d := f.dispatched()[w.link]
	f.c.Assert(d, qt.HasLen, 1)
	f.c.Check(d[0].EchoedClock, qt.Equals, before+1500*time.Millisecond)
	f.submitSized("urgent", 3, 1)
	f.advance(100 * time.Millisecond)
	d = f.dispatched()[w.link]
	f.c.Assert(d, qt.HasLen, 1)
	f.c.Check(d[0].EchoedClock, qt.Equals, before+1500*time.Millisecond, qt.Commentf("advanced again without a message from the agent"))
}

// Guards against a dispatch to a busy worker that the agent refuses because its lease already
// extends beyond the limit that an older clock sets.
func TestDispatchOnBusyLinkEchoesFreshClock(t *testing.T) {
	f := idleFixture(t)
	w := f.linkLeased("w1", 32)
	f.submitSized("urgent", 3, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
	before := w.clock
	f.advance(400 * time.Millisecond)
	f.submitSized("urgent", 3, 1)
	d := f.dispatched()[w.link]
	f.c.Assert(d, qt.HasLen, 1)
	f.c.Check(d[0].EchoedClock, qt.Equals, before+400*time.Millisecond)
}

// Guards against a worker that fell silent while it had no tasks: the first dispatch
// reveals it, and the task starts elsewhere once it is certain to have ended there.
func TestFirstDispatchDetectsSilentIdleWorker(t *testing.T) {
	f := idleFixture(t)
	w := f.linkLeased("w1", 32)
	f.advance(time.Second)
	f.submitSized("urgent", 3, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
	f.advance(600 * time.Millisecond)
	other := f.linkLeased("w2", 32)
	f.submitSized("urgent", 3, 1)
	sent := f.dispatched()
	f.c.Check(sent[w.link], qt.HasLen, 0)
	f.c.Check(sent[other.link], qt.HasLen, 1)
	for range 3 {
		f.advance((releaseAfter - 600*time.Millisecond - tick) / 3)
		other.send(msg.Heartbeat{Report: other.report()})
	}
	f.c.Check(f.dispatched()[other.link], qt.HasLen, 0)
	f.advance(3 * tick)
	f.c.Check(f.dispatched()[other.link], qt.HasLen, 1)
}

// Guards against agents that report room at the long interval although tasks wait, and at
// the short interval after the queue has emptied.
func TestClaimReachesIdleLinks(t *testing.T) {
	f := idleFixture(t)
	w := f.linkLeased("w1", 32)
	f.submitSized("once", 40, 1)
	f.advance(300 * time.Millisecond)
	claims := func() []msg.Claim {
		var found []msg.Claim
		for _, o := range f.out {
			if s, ok := o.(entry.Send); ok && s.Link == w.link {
				if h, ok := s.Message.(msg.EntryHeartbeat); ok {
					found = append(found, h.Claim)
				}
			}
		}
		f.out = nil
		return found
	}
	f.c.Check(claims(), qt.DeepEquals, []msg.Claim{{Waiting: 1, Unfinished: 1}})
	f.step(entry.Cancel{Job: f.jobs})
	f.advance(300 * time.Millisecond)
	f.c.Check(claims(), qt.DeepEquals, []msg.Claim{{}})
}

// Guards against a separate acknowledgement for each task of an entry that occasionally
// has a task at each of many workers.
func TestResultsOnIdleLinksAreAcknowledgedTogether(t *testing.T) {
	f := idleFixture(t)
	w := f.linkLeased("w1", 32)
	for range 4 {
		f.submitSized("urgent", 3, 1)
		d := f.dispatched()[w.link]
		f.c.Assert(d, qt.HasLen, 1)
		f.advance(60 * time.Millisecond)
		w.clock += 60 * time.Millisecond
		w.end(d[0], msg.ResultOK)
		f.advance(400 * time.Millisecond)
		w.clock += 400 * time.Millisecond
		for _, o := range f.out {
			s, _ := o.(entry.Send)
			_, ack := s.Message.(msg.Ack)
			f.c.Check(ack, qt.IsFalse)
		}
	}
}
