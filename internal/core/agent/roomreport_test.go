package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// newLeasedFixture returns a fixture of a leased worker with 32 cores and two linked
// entries, the second of which runs no tasks.
func newLeasedFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), now: time.Unix(1000, 0)}
	f.core = agent.New(agent.Config{
		Worker: "w", Incarnation: self, ResultKeep: time.Minute, HeartbeatInterval: 10 * time.Second,
		OrphanAfter: time.Hour, Epoch: f.now,
	})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.step(agent.LinkUp{Entry: other, Name: "o"})
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32}, Join: 1, Number: 1, Leased: true})
	f.step(agent.LeaseChanged{Ready: true, Settled: true})
	f.core.TakeOutputs()
	return f
}

// occupy dispatches a task that needs the given cores.
func (f *fixture) occupy(job uint64, cores float64) {
	d := f.dispatchOf(attempt(entry, job))
	d.Size, d.TaskName = msg.Size{Cores: cores}, "task"
	f.receive(d)
}

// advanceFine lets time pass in ticks of 20 ms, the interval of the agent's loop.
func (f *fixture) advanceFine(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(20 * time.Millisecond)
		f.core.Tick(f.now)
	}
}

// Guards against reporting every change of room to every entry when short tasks come
// and go at a worker with ample room. At a thousand tasks a second such reports take
// most of an entry's processor time.
func TestAmpleRoomIsNotReported(t *testing.T) {
	f := newLeasedFixture(t)
	for job := range uint64(50) {
		f.occupy(job, 3)
		f.advanceFine(100 * time.Millisecond)
		f.end(attempt(entry, job), msg.ResultOK)
		f.advanceFine(100 * time.Millisecond)
	}
	f.c.Assert(sentTo[msg.Heartbeat](f, other), qt.HasLen, 0)
}

// Guards against an entry that counts on room which is no longer free, or does not
// learn of room that has become free at a full worker.
func TestScarceRoomIsReported(t *testing.T) {
	f := newLeasedFixture(t)
	f.occupy(1, 28)
	f.advanceFine(100 * time.Millisecond)
	gone := sentTo[msg.Heartbeat](f, other)
	f.c.Assert(gone, qt.HasLen, 1)
	f.c.Assert(gone[0].Report.Room.Cores, qt.Equals, 4.0)
	f.end(attempt(entry, 1), msg.ResultOK)
	f.advanceFine(100 * time.Millisecond)
	back := sentTo[msg.Heartbeat](f, other)
	f.c.Assert(back, qt.HasLen, 1)
	f.c.Assert(back[0].Report.Room.Cores, qt.Equals, 32.0)
}

// Guards against reporting room to an entry with waiting tasks no sooner than to one
// without.
func TestClaimedRoomIsReportedSooner(t *testing.T) {
	reports := func(claim msg.Claim) int {
		f := newLeasedFixture(t)
		f.step(agent.Received{Entry: other, Message: msg.EntryHeartbeat{Claim: claim}})
		f.occupy(0, 28)
		for job := range uint64(20) {
			f.occupy(job+1, 2)
			f.advanceFine(20 * time.Millisecond)
			f.end(attempt(entry, job+1), msg.ResultOK)
			f.advanceFine(20 * time.Millisecond)
		}
		return len(sentTo[msg.Heartbeat](f, other))
	}
	waiting, idle := reports(msg.Claim{Waiting: 3, Unfinished: 1}), reports(msg.Claim{})
	qt.Assert(t, waiting > 2*idle, qt.IsTrue, qt.Commentf("%d reports to an entry with waiting tasks, %d to another", waiting, idle))
}

// Guards against reports of room that come faster the later an entry reads them: it has
// tasks waiting because it is late, and agents report most often to such an entry.
func TestLateEntryGetsFewerReports(t *testing.T) {
	reports := func(wait time.Duration) int {
		f := newLeasedFixture(t)
		d := f.dispatchOf(attempt(other, 1000))
		d.Size, d.WaitForRoom, d.Claim = msg.Size{Cores: 1}, wait, msg.Claim{Waiting: 3, Unfinished: 1}
		f.step(agent.Received{Entry: other, Message: d})
		f.occupy(0, 28)
		for job := range uint64(20) {
			f.occupy(job+1, 2)
			f.advanceFine(20 * time.Millisecond)
			f.end(attempt(entry, job+1), msg.ResultOK)
			f.advanceFine(20 * time.Millisecond)
		}
		return len(sentTo[msg.Heartbeat](f, other))
	}
	late, onTime := reports(50*time.Millisecond), reports(time.Millisecond)
	qt.Assert(t, onTime > 4*late, qt.IsTrue, qt.Commentf("%d reports to an entry that is late by 50 ms, %d to another", late, onTime))
}
