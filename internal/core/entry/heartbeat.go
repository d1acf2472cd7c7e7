package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// An entry is linked to many agents, a few of which run its tasks at any moment. A link
// without outstanding attempts needs no proof of life every few hundred milliseconds: a
// dispatch on it starts the short heartbeat interval again. The figure to keep low is the
// number of messages on links without tasks.

// maxIdleMisses is the number of heartbeats that the peer on a link without tasks may
// miss.
const maxIdleMisses = 2

// idleAllowance is how much longer an agent may be silent while no attempt is outstanding
// there.
func (c *Core) idleAllowance() time.Duration {
	return maxIdleMisses * (c.cfg.IdleHeartbeat - c.cfg.HeartbeatInterval)
}

// busy reports whether attempts are outstanding at the worker.
func (w *worker) busy() bool { return len(w.outstanding) > 0 }

// heartbeatDue reports whether a heartbeat has to be sent: as proof of life, with the
// short interval while attempts are outstanding, or because tasks began or ceased to wait.
func (c *Core) heartbeatDue(now time.Time, w *worker) bool {
	quiet := now.Sub(w.lastSent)
	if quiet >= c.cfg.HeartbeatInterval && (w.busy() || w.claimedWaiting != (c.claim(w).Waiting > 0)) {
		return true
	}
	return quiet >= c.cfg.IdleHeartbeat
}

// nextClaim returns the claim for a message to the worker and records whether it has
// waiting tasks.
func (c *Core) nextClaim(w *worker) msg.Claim {
	claim := c.claim(w)
	w.claimedWaiting = claim.Waiting > 0
	return claim
}

// silentTooLong reports whether the worker is to be marked suspect. An agent has to prove
// that it is alive from the dispatch of an attempt on.
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

// advanceClock takes the estimate of the agent's clock as its newest reading for a
// dispatch: the last clock that the agent sent may be too old for it to accept the attempt.
// The estimate is never ahead of the agent's clock, so the attempt is stopped no later than
// after a reading that came just now.
func (w *worker) advanceClock(now time.Time) {
	w.clock, w.clockSeen = w.clockAt(now), now
}
