// Package agentd is the agent process that runs beside one endpoint. It does the I/O
// for the agent core: it maintains links to entries, receives the endpoint's
// announcements and passes tasks to it.
package agentd

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

const (
	// tickInterval is how often the cores check their timeouts.
	tickInterval = 20 * time.Millisecond
	// inputBacklog is the capacity of the input queue; beyond it, senders block.
	inputBacklog = 1024
)

// loop owns the cores. Only the goroutine that executes run accesses core, links and
// leased; other goroutines submit functions to it.
type loop struct {
	core     *agent.Core
	inputs   chan func(now time.Time)
	stopped  chan struct{}
	links    map[msg.Incarnation]*linkOutbox
	endpoint *endpointClient
	// leased is nil unless tasks run under a lease.
	leased *leasedDriver
	// revision is the table revision in force.
	revision atomic.Uint64
	// metrics is nil if the process exports none.
	metrics *telemetry.Metrics
	log     *zap.Logger
	pauses  clock.PauseDetector
	// read returns the time and how long the VM has been suspended, as clock.Read.
	read func() (now time.Time, suspended time.Duration)
	// suspended is the time of suspension that the lease core knows of.
	suspended time.Duration
}

func newLoop(core *agent.Core) *loop {
	_, suspended := clock.Read()
	return &loop{
		core: core, read: clock.Read, suspended: suspended,
		inputs:  make(chan func(time.Time), inputBacklog),
		stopped: make(chan struct{}),
		log:     zap.NewNop(),
		links:   make(map[msg.Incarnation]*linkOutbox),
	}
}

// submit queues f to run on the loop's goroutine and does not wait for it. It returns
// false if f was not queued because the loop has stopped; a queued f does not run if
// the loop stops first.
func (l *loop) submit(f func(now time.Time)) bool {
	select {
	case l.inputs <- f:
		return true
	case <-l.stopped:
		return false
	}
}

// submitInput queues an input for the agent core.
func (l *loop) submitInput(in agent.Input) bool {
	return l.submit(func(now time.Time) { l.core.Step(now, in) })
}

func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-l.inputs:
			f(l.now())
		case <-ticker.C:
			l.tick()
		case <-ctx.Done():
			return
		}
		l.processOutputs()
	}
}

// now returns the time of the next input. The lease core learns first of a suspension of the
// VM: leases that it would name by this time lasted longer on the worker's clock.
func (l *loop) now() time.Time {
	now, suspended := l.read()
	if d := suspended - l.suspended; d > 0 {
		l.suspended = suspended
		if l.leased != nil {
			l.leased.core.Step(now, lease.Suspended{For: d})
		}
	}
	return now
}

func (l *loop) tick() {
	now := l.now()
	if p, paused := l.pauses.Tick(now, l.suspended); paused {
		l.paused(p)
	}
	l.core.Tick(now)
	if l.leased != nil {
		l.leased.core.Tick(now)
	}
}

func (l *loop) paused(p clock.Pause) {
	logevent.LogPause(l.log, p)
	if l.metrics != nil {
		l.metrics.Paused(p)
	}
}

// processOutputs executes the outputs of both cores until none is left.
func (l *loop) processOutputs() {
	l.processAgentOutputs()
	for l.leased != nil && l.leased.processOutputs(l.now()) {
		l.processAgentOutputs()
	}
}

// processAgentOutputs executes the pending outputs of the agent core.
func (l *loop) processAgentOutputs() {
	for _, out := range l.core.TakeOutputs() {
		l.recordMetrics(out)
		switch out := out.(type) {
		case agent.Send:
			if box, ok := l.links[out.Entry]; ok {
				box.put(out.Message)
			}
		case agent.CloseLink:
			if box, ok := l.links[out.Entry]; ok {
				box.Close()
			}
		case agent.EntryConflict:
			logevent.EntryConflict.Log(l.log, zap.String("entry", out.Name),
				zap.Uint64("current", uint64(out.Current)), zap.Uint64("late", uint64(out.Late)))
		case agent.Start:
			if out.Leased {
				l.leased.startAttempt(l.now(), out)
				continue
			}
			go l.runTask(out)
		case agent.EntrySeen:
			l.leased.core.Step(l.now(), lease.OwnerSeen{Owner: out.Entry, At: out.At})
		case agent.OrphansStopped:
			logevent.OrphansStopped.Log(l.log, zap.Uint64("entry_incarnation", uint64(out.Entry)), zap.Int("attempts", out.Attempts))
		case agent.WorkerStalled:
			l.workerStalled(out)
		case agent.StopTask:
			l.leased.core.Step(l.now(), lease.StopTask{Attempt: out.Attempt})
		case agent.EvacuationChanged:
			l.evacuationChanged(out)
		case agent.EvacuationRejected:
			l.evacuationRejected(out.Rejection)
		case agent.ApplyTable:
			l.core.Step(l.now(), agent.RevisionChanged(out))
			l.revision.Store(max(l.revision.Load(), out.Revision))
		}
	}
}

func (l *loop) workerStalled(s agent.WorkerStalled) {
	if !s.Stalled {
		logevent.WorkerProgress.Log(l.log)
		return
	}
	if l.metrics != nil {
		l.metrics.WorkerStalled()
	}
	logevent.WorkerStalled.Log(l.log, zap.Int("attempts", s.Attempts))
}

func (l *loop) runTask(s agent.Start) {
	ended := l.endpoint.run(s)
	if l.metrics != nil {
		l.metrics.TaskEnded(ended.Kind)
	}
	l.submitInput(ended)
}
