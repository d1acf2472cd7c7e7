package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against an entry that closes the link of a late agent before it has
// written why, so that the agent cannot tell a rejection from a broken link.
func TestRejectedIsWrittenBeforeTheClose(t *testing.T) {
	c := qt.New(t)
	d, _ := join(t, "entry-1", nil)
	first := func(incarnation msg.Incarnation) *pb.EntryMessage {
		m, _ := greet(c, d, incarnation)
		return m
	}
	free := func() {
		waitFor(t, func() bool {
			d.links.owners.mu.Lock()
			defer d.links.owners.mu.Unlock()
			return len(d.links.owners.owners) == 0
		})
	}
	c.Assert(first(1).GetWelcome(), qt.IsNotNil)
	free()
	c.Assert(first(2).GetWelcome(), qt.IsNotNil)
	free()
	for range 100 {
		c.Assert(first(1).GetRejected(), qt.IsNotNil)
		free()
	}
}
