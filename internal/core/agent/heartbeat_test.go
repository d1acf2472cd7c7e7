package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// newIdleFixture returns a fixture of a leased worker with ample room and two linked
// entries; the heartbeat of an idle link is due every two seconds.
func newIdleFixture(t *testing.T) *fixture {
	f := newLeasedFixture(t)
	f.core = agent.New(agent.Config{
		Worker: "w", Incarnation: self, ResultKeep: time.Minute, HeartbeatInterval: 200 * time.Millisecond,
		IdleHeartbeat: 2 * time.Second, EntrySilence: 1200 * time.Millisecond, OrphanAfter: time.Hour, Epoch: f.now,
	})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.step(agent.LinkUp{Entry: other, Name: "o"})
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32}, Join: 1, Number: 1, Leased: true})
	f.step(agent.LeaseChanged{Ready: true, Settled: true})
	f.core.TakeOutputs()
	return f
}

// Guards against heartbeats at the rate of running tasks on every link, when few of
// hundreds of links carry tasks.
func TestIdleLinksHaveFewHeartbeats(t *testing.T) {
	f := newIdleFixture(t)
	f.occupy(1, 3)
	sent := make(map[msg.Incarnation]int)
	for range 10 {
		f.advanceFine(time.Second)
		for _, s := range outputs[agent.Send](f) {
			sent[s.Entry]++
		}
		f.receive(msg.EntryHeartbeat{})
		f.step(agent.Received{Entry: other, Message: msg.EntryHeartbeat{}})
	}
	f.c.Check(sent[entry] >= 45, qt.IsTrue, qt.Commentf("%d to an entry with a running task", sent[entry]))
	f.c.Check(sent[other] >= 4 && sent[other] <= 5, qt.IsTrue, qt.Commentf("%d to an entry without tasks", sent[other]))
}

// Guards against heartbeats in addition to the messages of each short task.
func TestShortTaskNeedsNoHeartbeat(t *testing.T) {
	f := newIdleFixture(t)
	f.advanceFine(time.Second)
	f.core.TakeOutputs()
	f.occupy(1, 3)
	f.advanceFine(100 * time.Millisecond)
	f.end(attempt(entry, 1), msg.ResultOK)
	f.advanceFine(500 * time.Millisecond)
	f.c.Assert(sentTo[msg.Heartbeat](f, entry), qt.HasLen, 0)
}

// Guards against closing an idle link at the silence limit of a busy one, and
// against keeping a busy link until the limit of an idle one.
func TestSilenceLimitDependsOnTasks(t *testing.T) {
	f := newIdleFixture(t)
	f.occupy(1, 3)
	f.advanceFine(1300 * time.Millisecond)
	closed := outputs[agent.CloseLink](f)
	f.c.Assert(closed, qt.DeepEquals, []agent.CloseLink{{Entry: entry}})
	f.advanceFine(3 * time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 0)
	f.advanceFine(time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.DeepEquals, []agent.CloseLink{{Entry: other}})
}
