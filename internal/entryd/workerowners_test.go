package entryd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a second agent that takes over a live worker's name, and
// against a restarted or replaced agent that is kept out.
func TestSecondAgentIsRejectedWhileTheFirstIsHeard(t *testing.T) {
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
