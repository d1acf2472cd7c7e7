package agent

import "github.com/poplarlever/poplarlever/internal/core/msg"

// The functions below corrupt a core, so that tests can show that the invariants
// detect it.

// CorruptRunning makes the count of running attempts negative.
func (c *Core) CorruptRunning() { c.running = -1 }

// StartUnchecked starts an attempt without checking for a free slot.
func (c *Core) StartUnchecked(d msg.Dispatch) { c.start(c.now, &entryState{}, d) }

// LowerRevision puts an older table revision in force.
func (c *Core) LowerRevision() { c.setRevision(c.revision - 1) }

// DropResultTwice drops the result of an attempt twice.
func (c *Core) DropResultTwice(id msg.AttemptID) {
	c.dropResult(id, c.attempts[id])
	c.dropResult(id, c.attempts[id])
}

// FollowsTasks reports whether the agent follows what runs beside each task.
func (c *Core) FollowsTasks() bool { return c.colocation != nil }
