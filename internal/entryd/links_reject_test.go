package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against an entry that closes the link of an outdated agent before it has sent
// the reason, so that the agent cannot tell a rejection from a broken link.
func TestRejectedIsSentBeforeLinkCloses(t *testing.T) {
	c := qt.New(t)
	d, _ := startJoined(t, "entry-1", nil)
	firstMessage := func(incarnation msg.Incarnation) *pb.EntryMessage {
		m, _ := openLink(c, d, incarnation)
		return m
	}
	waitForRelease := func() {
		waitFor(t, func() bool {
			d.links.owners.mu.Lock()
			defer d.links.owners.mu.Unlock()
			return len(d.links.owners.owners) == 0
		})
	}
	c.Assert(firstMessage(1).GetWelcome(), qt.IsNotNil)
	waitForRelease()
	c.Assert(firstMessage(2).GetWelcome(), qt.IsNotNil)
	waitForRelease()
	for range 100 {
		c.Assert(firstMessage(1).GetRejected(), qt.IsNotNil)
		waitForRelease()
	}
}
