package agent

import "time"

// This file answers one load pattern: hundreds of links of which a few carry tasks
// at any moment. Proof of life at the pace that running tasks need would cost each
// entry many times the messages of its tasks, so a link without tasks gets it at a
// slower pace. The rule is judged by the messages on links without tasks.

// idleMisses is the number of heartbeats that the other end of a link without tasks
// may miss.
const idleMisses = 2

// heartbeatDue tells whether the entry has to hear from the agent. An entry counts
// the silence from its dispatch on, so that short tasks need no heartbeat.
func (c *Core) heartbeatDue(now time.Time, e *entryState) bool {
	if e.running > 0 && now.Sub(e.lastSent) >= c.cfg.HeartbeatInterval && now.Sub(e.busySince) >= c.cfg.HeartbeatInterval {
		return true
	}
	return now.Sub(e.lastSent) >= c.cfg.IdleHeartbeat
}

// silenceLimit returns the silence of the entry after which its link is given up.
func (c *Core) silenceLimit(e *entryState) time.Duration {
	if e.running > 0 {
		return c.cfg.EntrySilence
	}
	return c.cfg.EntrySilence + idleMisses*(c.cfg.IdleHeartbeat-c.cfg.HeartbeatInterval)
}
