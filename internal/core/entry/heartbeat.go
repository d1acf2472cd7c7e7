package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// This file answers one load pattern: an entry that is linked to many agents of
// which a few run its tasks at any moment. A link without outstanding attempts
// needs no proof of life every few hundred milliseconds: a dispatch there starts
// the proof anew. The rule is judged by the messages on links without tasks.

// maxIdleMisses is the number of heartbeats that the other end of a link without tasks
// may miss.
const maxIdleMisses = 2

// idleAllowance is what the silence of an agent may last longer while no attempt is
// outstanding there.
func (c *Core) idleAllowance() time.Duration {
	return maxIdleMisses * (c.cfg.IdleHeartbeat - c.cfg.HeartbeatInterval)
}

// busy tells whether the entry waits for the end of attempts at the worker.
func (w *worker) busy() bool { return len(w.outstanding) > 0 }

// heartbeatDue tells whether the agent has to hear from the entry: that the entry
// lives, while attempts are outstanding, or that tasks began or ceased to wait.
func (c *Core) heartbeatDue(now time.Time, w *worker) bool {
	quiet := now.Sub(w.lastSent)
	if quiet >= c.cfg.HeartbeatInterval && (w.busy() || w.claimedWaiting != (c.claim(w).Waiting > 0)) {
		return true
	}
	return quiet >= c.cfg.IdleHeartbeat
}

// nextClaim returns the claim for a message to the worker and notes it.
func (c *Core) nextClaim(w *worker) msg.Claim {
	claim := c.claim(w)
	w.claimedWaiting = claim.Waiting > 0
	return claim
}

// silentTooLong tells whether the worker is to be suspected. An agent owes a sign
// of life for an attempt from its dispatch on.
func (c *Core) silentTooLong(now time.Time, w *worker) bool {
	silence := now.Sub(w.lastHeard)
	if w.busy() && min(silence, now.Sub(w.busySince)) >= c.cfg.SuspectAfter {
		return true
	}
	return silence >= c.cfg.SuspectAfter+c.idleAllowance()
}

// lostAfter returns the silence after which the worker's attempts and its link are
// given up.
func (c *Core) lostAfter(w *worker) time.Duration {
	if w.busy() {
		return c.cfg.LostAfter
	}
	return c.cfg.LostAfter + c.idleAllowance()
}

// advanceClock takes the estimate of the agent's clock as its newest reading when a
// dispatch ends a quiet time on the link: what the agent said last may be too old
// to vouch for the attempt. The estimate is never ahead of the agent's clock, so
// that the attempt is stopped no later than after a reading that came just now.
func (w *worker) advanceClock(now time.Time) {
	w.clock, w.clockSeen = w.clockAt(now), now
}
