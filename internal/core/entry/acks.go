package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// maxAckBytes bounds the payload that an agent keeps for results which the
	// entry has received. An agent has 32 MB for everything.
	maxAckBytes = 256 << 10
	// maxAcks bounds their number.
	maxAcks = 1024
)

// acks are the results of one agent that wait for their acknowledgement, which
// a dispatch or a heartbeat carries.
type acks struct {
	ids   []msg.AttemptID
	bytes int
	// since is when the oldest came.
	since time.Time
}

func (a *acks) add(now time.Time, r msg.Result) {
	if len(a.ids) == 0 {
		a.since = now
	}
	a.ids = append(a.ids, r.Attempt)
	a.bytes += len(r.Payload)
}

// take returns the attempts and forgets them.
func (a *acks) take() []msg.AttemptID {
	ids := a.ids
	*a = acks{}
	return ids
}

// sendAcks sends acknowledgements by themselves when the agent leaves or this
// entry drains, when the agent keeps too much for want of them, or when messages that
// cannot carry them held back the heartbeat.
func (c *Core) sendAcks(now time.Time, w *worker) {
	if len(w.acks.ids) == 0 {
		return
	}
	wait := c.cfg.HeartbeatInterval
	if !w.busy() {
		// The agent only keeps the results longer.
		wait = c.cfg.IdleHeartbeat
	}
	if w.state == workerLeaving || c.draining {
		wait = c.cfg.AckDelay
	}
	if now.Sub(w.acks.since) >= wait || w.acks.bytes >= maxAckBytes || len(w.acks.ids) >= maxAcks {
		c.sendTo(now, w, msg.Ack{Attempts: w.acks.take()})
	}
}
