package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against an entry that never learns of an endpoint which announced
// itself after Hello was written and before Welcome came.
func TestAnnouncementDuringLinking(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	core := agent.New(agent.Config{Worker: "w", Incarnation: 1, HeartbeatInterval: time.Second, ResultKeep: time.Minute, Epoch: now})
	c.Assert(core.Hello().Slots, qt.Equals, 0)
	core.Step(now, agent.EndpointAnnounced{Service: "s", Slots: 4, Connections: 64, Join: 1, Number: 1})
	core.Step(now, agent.LinkUp{Entry: 5, Name: "e"})
	for _, out := range core.TakeOutputs() {
		if send, ok := out.(agent.Send); ok {
			if hello, ok := send.Message.(msg.Hello); ok && hello.Slots == 4 && send.Entry == 5 {
				return
			}
		}
	}
	c.Fatal("the entry is not told of the endpoint's slots")
}
