package agentd

import (
	"context"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

// recordMetrics updates the metrics for one output of the agent core.
func (l *loop) recordMetrics(out agent.Output) {
	if l.metrics == nil {
		return
	}
	switch out := out.(type) {
	case agent.Start:
		l.metrics.TaskStarted()
	case agent.EntryConflict:
		l.metrics.EntryConflict()
	case agent.Send:
		if refused, ok := out.Message.(msg.Refused); ok {
			l.metrics.Retried(refused.Reason)
		}
	}
}

// gauges reads the current gauge values on the loop's goroutine. It returns false
// when the loop has stopped or ctx has ended.
func (d *Daemon) gauges(ctx context.Context) (telemetry.Gauges, bool) {
	result := make(chan telemetry.Gauges, 1)
	if !d.loop.submit(func(time.Time) {
		core := d.loop.core
		result <- telemetry.Gauges{
			RunningTasks: core.Running(), FreeSlots: core.Free(),
			Links: len(d.loop.links), Revision: core.Hello().Revision,
			EvacuatedDomains: core.EvacuatedDomains(),
		}
	}) {
		return telemetry.Gauges{}, false
	}
	select {
	case g := <-result:
		return g, true
	case <-d.loop.stopped:
	case <-ctx.Done():
	}
	return telemetry.Gauges{}, false
}
