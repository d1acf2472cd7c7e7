package agent

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// A leased worker's tasks can be stopped. The agent stops those of an entry that
// has stopped vouching for them: the entry, or the path to it, may be gone, and
// its caller may send the job again elsewhere.

// leaseChanged notes how far the driver holds the worker's lease.
func (c *Core) leaseChanged(now time.Time, in LeaseChanged) {
	before := c.endpoint.visible()
	c.endpoint.ready, c.endpoint.settled = in.Ready, in.Settled
	if before != c.endpoint.visible() {
		c.sendHellos(now)
	}
}

// leaseRefusal returns why an attempt must not start at a leased worker, or
// zero. A dispatch that was long on its way is refused, since the entry may have
// given it up.
func (c *Core) leaseRefusal(now time.Time, d msg.Dispatch) verdict.RetryReason {
	switch {
	case c.Clock(now)-d.Heard >= c.cfg.OrphanAfter:
		return verdict.StartByPassed
	case !d.Size.Within(c.Room()):
		return verdict.NoSlot
	}
	return 0
}

// stopOrphans stops the attempts of entries that no longer vouch for them.
func (c *Core) stopOrphans(now time.Time) {
	if !c.endpoint.leased || c.running == 0 {
		return
	}
	for _, id := range c.runningIDs() {
		e := c.entries.byIncarnation[id.Entry]
		if e == nil || c.Clock(now)-e.vouched >= c.cfg.OrphanAfter {
			c.stopAttempt(id)
		}
	}
}

// stopAttempts stops every running attempt of the entry.
func (c *Core) stopAttempts(e *entryState) {
	if !c.endpoint.leased {
		return
	}
	for _, id := range c.runningIDs() {
		if id.Entry == e.incarnation {
			c.stopAttempt(id)
		}
	}
}

// stopRevoked stops the attempts that an entry does not want any more.
func (c *Core) stopRevoked(refs []msg.AttemptRef) {
	for _, ref := range refs {
		c.stopAttempt(ref.Attempt)
	}
}

func (c *Core) stopAttempt(id msg.AttemptID) {
	a := c.attempts[id]
	if a == nil || a.state != stateRunning || a.stopping || !c.endpoint.leased {
		return
	}
	a.stopping = true
	c.emit(StopTask{Attempt: id})
}

// runningIDs returns the running attempts in a fixed order.
func (c *Core) runningIDs() []msg.AttemptID {
	var ids []msg.AttemptID
	for id, a := range c.attempts {
		if a.state == stateRunning {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, msg.AttemptID.Compare)
	return ids
}
