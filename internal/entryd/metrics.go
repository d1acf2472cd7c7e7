package entryd

import (
	"context"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

var outcomeLabels = map[entry.Outcome]string{
	entry.Complete: telemetry.OutcomeComplete,
	entry.Failed:   telemetry.OutcomeFailed,
	entry.Refused:  telemetry.OutcomeRefused,
}

// recordOutput updates the metrics for an output of the core.
func (l *loop) recordOutput(out entry.Output) {
	if l.metrics == nil {
		return
	}
	switch out := out.(type) {
	case entry.Retried:
		l.metrics.Retried(out.Reason)
	case entry.WorkerJudged:
		l.metrics.WorkerJudged(out.Health)
	case entry.RunTimeDiscarded:
		l.metrics.RunTimeDiscarded()
	case entry.JobTypeConfined:
		if out.Confined {
			l.metrics.JobTypeConfined()
		}
	case entry.JobTypesSeparated:
		l.metrics.PairSeparated(out.Separated)
	case entry.ColocationRejected:
		l.metrics.ColocationRejected(out.Count)
	case entry.ResultAfterEnd:
		l.metrics.EndedAfterJob(out.Kind)
	case entry.WorkerConflict:
		l.metrics.WorkerConflict()
	case entry.Send:
		if _, ok := out.Message.(msg.Dispatch); ok {
			l.metrics.TaskDispatched()
		}
	case entry.Answered:
		took := time.Duration(0)
		if w, ok := l.waiters[out.Job]; ok {
			took = time.Since(w.submittedAt)
		}
		l.metrics.Answered(outcomeLabels[out.Answer.Outcome], out.Answer.Reason, took)
	}
}

// recordResult updates the metrics for a task's result. It ignores other messages.
func (l *loop) recordResult(m msg.FromAgent) {
	if result, ok := m.(msg.Result); ok && l.metrics != nil {
		l.metrics.TaskEnded(result.Kind)
	}
}

// readGauges returns the values of the gauges. It returns false when ctx has ended or
// the loop has stopped.
func (d *Daemon) readGauges(ctx context.Context) (telemetry.Gauges, bool) {
	var s entry.Snapshot
	if d.loop.call(ctx, func(time.Time) { s = d.loop.core.Snapshot() }) != nil {
		return telemetry.Gauges{}, false
	}
	g := telemetry.Gauges{
		QueuedTasks: s.QueuedTasks, RunningTasks: s.RunningTasks, OpenJobs: s.Jobs,
		MessageDelay: s.MessageDelay, LearnedWorkers: s.LearnedWorkers, Links: s.Links, Revision: s.Revision, StoreReachable: d.storeReachable(),
	}
	g.SeparatedPairs, g.ObservedPairs = len(s.SeparatedPairs), s.ObservedPairs
	report := d.tableReport()
	g.EvacuatedDomains = len(s.Evacuated)
	g.UnappliedValues, g.TableRejected = report.unapplied, report.rejected != ""
	for _, w := range s.Workers {
		g.FreeSlots += w.Free
	}
	return g, true
}

// storeReachable reports whether the latest call to the store was answered.
func (d *Daemon) storeReachable() bool { return d.platform != nil && d.platform.StoreReachable() }
