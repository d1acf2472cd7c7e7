package entryd

import (
	"sync/atomic"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

// Counts counts refusals and failures by reason. It is safe for concurrent use.
type Counts struct {
	// metrics is nil when the process exports none.
	metrics  *telemetry.Metrics
	byReason [256]atomic.Uint64
}

func (c *Counts) add(r verdict.Reason) {
	c.byReason[r].Add(1)
	if c.metrics != nil {
		c.metrics.CallerError(r)
	}
}

// Reason returns the number of refusals and failures with the reason.
func (c *Counts) Reason(r verdict.Reason) uint64 { return c.byReason[r].Load() }
