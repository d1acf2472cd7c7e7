package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against a link that has gone silent without a reset and is kept for ten
// seconds, the default limit, although a new connection would work at once.
func TestSilentLinkIsClosedAfterEntrySilence(t *testing.T) {
	f := newFixture(t)
	f.core = agent.New(agent.Config{
		Worker: "w", Incarnation: self, ResultKeep: time.Minute, HeartbeatInterval: 200 * time.Millisecond,
		EntrySilence: 1200 * time.Millisecond, Epoch: f.now,
	})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.advance(time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 0)
	f.receive(msg.EntryHeartbeat{})
	f.advance(time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 0)
	f.advance(300 * time.Millisecond)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 1)
}
