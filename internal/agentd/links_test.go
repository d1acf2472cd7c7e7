package agentd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against an endpoint that announces itself while Hello is in flight and stays
// unknown to that entry. The dev command then waited forever for workers although all
// their links were up.
func TestHelloIsResentAfterAChange(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	core := agent.New(agent.Config{Worker: "worker-1", Incarnation: 1, Epoch: now})
	k := &linker{loop: newLoop(core)}
	box := newLinkOutbox(func() {}, nil, nil)
	first := core.Hello()
	k.resendChangedHello(box, first)
	c.Assert(box.Take(), qt.HasLen, 0)
	core.Step(now, agent.EndpointAnnounced{Service: "route-desk", Slots: 8, Connections: 64, Join: 1, Number: 1})
	k.resendChangedHello(box, first)
	sent := box.Take()
	c.Assert(sent, qt.HasLen, 1)
	c.Check(sent[0].GetHello().GetService(), qt.Equals, "route-desk")
	c.Check(sent[0].GetHello().GetLeaving(), qt.IsFalse)
}

// Guards against links that stay down for long after all processes were lost together, and
// against an entry that is gone and is dialled many times a second for ever.
func TestRedialPause(t *testing.T) {
	c := qt.New(t)
	priority, deferred := &linker{priority: true}, &linker{}
	c.Check(priority.redialPause(0).high < 100*time.Millisecond, qt.IsTrue)
	c.Check(priority.redialPause(time.Minute).low >= 50*time.Millisecond, qt.IsTrue)
	c.Check(deferred.redialPause(0), qt.Equals, deferred.redialPause(time.Minute))
}

// Guards against a frame that an entry refuses because of its size: many results that wait for
// an entry are larger than what it reads at once.
func TestLargeResultsGoIntoSeveralFrames(t *testing.T) {
	c := qt.New(t)
	message := func(size int) *pb.AgentMessage {
		return &pb.AgentMessage{Message: &pb.AgentMessage_Result{Result: &pb.Result{Payload: make([]byte, size)}}}
	}
	small, large := message(100), message(maxResultBytes)
	for _, test := range []struct {
		messages []*pb.AgentMessage
		want     int
	}{
		{[]*pb.AgentMessage{small, small, small}, 3},
		{[]*pb.AgentMessage{large, small}, 1},
		{[]*pb.AgentMessage{small, large, large}, 1},
		{[]*pb.AgentMessage{large}, 1},
	} {
		c.Check(frameLength(test.messages), qt.Equals, test.want)
	}
}
