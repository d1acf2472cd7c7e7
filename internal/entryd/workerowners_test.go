package entryd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a second agent that takes over the name of a live worker, and against
// rejecting an agent that was restarted or that replaces a dead one.
func TestSecondAgentIsRejectedWhileFirstIsLive(t *testing.T) {
	c := qt.New(t)
	s, now := newWorkerOwners(), time.Unix(0, 0)
	c.Assert(s.acquire("w", 1, now), qt.IsTrue)
	c.Check(s.acquire("w", 2, now.Add(time.Second)), qt.IsFalse)
	c.Check(s.acquire("w", 1, now.Add(time.Second)), qt.IsTrue)
	s.touch("w", 1, now.Add(2*time.Second))
	c.Check(s.acquire("w", 2, now.Add(4*time.Second)), qt.IsFalse)
	c.Check(s.acquire("w", 2, now.Add(2*time.Second+ownerTimeout)), qt.IsTrue)
	s.release("w", 1)
	s.release("w", 2)
	c.Check(s.acquire("w", 3, now), qt.IsTrue)
	s.release("w", 3)
	c.Check(s.owners, qt.HasLen, 0)
}
