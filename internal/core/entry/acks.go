package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// maxAckBytes bounds the payloads that an agent keeps for results which the entry has
	// received but not acknowledged. An agent has 32 MB for everything.
	maxAckBytes = 256 << 10
	// maxAcks bounds the number of such results.
	maxAcks = 1024
)

// acks holds the received results of one agent that are not acknowledged yet. A dispatch
// or a heartbeat carries the acknowledgements.
type acks struct {
	ids   []msg.AttemptID
	bytes int
	// since is when the oldest of them arrived.
	since time.Time
}

func (a *acks) add(now time.Time, r msg.Result) {
	if len(a.ids) == 0 {
		a.since = now
	}
	a.ids = append(a.ids, r.Attempt)
	a.bytes += len(r.Payload)
}

// take returns the attempts to acknowledge and clears the list.
func (a *acks) take() []msg.AttemptID {
	ids := a.ids
	*a = acks{}
	return ids
}

// sendAcks sends acknowledgements in a message of their own when the agent leaves or this
// entry drains, when the agent keeps too many results for lack of them, or when messages
// that cannot carry them have delayed the heartbeat.
func (c *Core) sendAcks(now time.Time, w *worker) {
	if len(w.acks.ids) == 0 {
		return
	}
	wait := c.cfg.HeartbeatInterval
	if !w.busy() {
		// Without outstanding attempts, the only cost is that the agent keeps the results
		// longer.
		wait = c.cfg.IdleHeartbeat
	}
	if w.state == workerLeaving || c.draining {
		wait = c.cfg.AckDelay
	}
	if now.Sub(w.acks.since) >= wait || w.acks.bytes >= maxAckBytes || len(w.acks.ids) >= maxAcks {
		c.sendTo(now, w, msg.Ack{Attempts: w.acks.take()})
	}
}
