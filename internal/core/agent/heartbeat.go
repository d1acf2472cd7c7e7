package agent

import "time"

// An entry may have hundreds of links, few of which carry tasks at any moment.
// Heartbeats at the rate that running tasks need would cost each entry many times
// the messages of its tasks, so a link without tasks has a lower rate. The cost to
// measure is the number of messages on links without tasks.

// allowedIdleMisses is the number of heartbeats that the other end of a link without
// tasks may miss.
const allowedIdleMisses = 2

// heartbeatDue reports whether a heartbeat to the entry is due. An entry counts the
// silence from its dispatch on, so that short tasks need no heartbeat.
func (c *Core) heartbeatDue(now time.Time, e *entryState) bool {
	if e.running > 0 && now.Sub(e.lastSent) >= c.cfg.HeartbeatInterval && now.Sub(e.busySince) >= c.cfg.HeartbeatInterval {
		return true
	}
	return now.Sub(e.lastSent) >= c.cfg.IdleHeartbeat
}

// silenceLimit returns the silence of the entry after which its link is closed.
func (c *Core) silenceLimit(e *entryState) time.Duration {
	if e.running > 0 {
		return c.cfg.EntrySilence
	}
	return c.cfg.EntrySilence + allowedIdleMisses*(c.cfg.IdleHeartbeat-c.cfg.HeartbeatInterval)
}
