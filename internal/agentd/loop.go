// Package agentd runs the agent core beside one endpoint: it keeps links to
// entries, takes the endpoint's announcements and passes tasks to it.
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
	// tickInterval is how often timeouts are checked.
	tickInterval = 20 * time.Millisecond
	// inputBacklog is the number of inputs that may wait for the core.
	inputBacklog = 1024
)

// loop is the goroutine that owns the core.
type loop struct {
	core     *agent.Core
	inputs   chan func(now time.Time)
	stopped  chan struct{}
	links    map[msg.Incarnation]*outgoing
	endpoint *endpointClient
	// leased is nil for an endpoint without a lease.
	leased *leasedDriver
	// revision is the table revision in force.
	revision atomic.Uint64
	// metrics is nil when the process exports none.
	metrics *telemetry.Metrics
	log     *zap.Logger
}

func newLoop(core *agent.Core) *loop {
	return &loop{
		core:    core,
		inputs:  make(chan func(time.Time), inputBacklog),
		stopped: make(chan struct{}),
		log:     zap.NewNop(),
		links:   make(map[msg.Incarnation]*outgoing),
	}
}

// do runs f on the loop's goroutine. It returns false after the loop stopped.
func (l *loop) do(f func(now time.Time)) bool {
	select {
	case l.inputs <- f:
		return true
	case <-l.stopped:
		return false
	}
}

// step gives the core an input.
func (l *loop) step(in agent.Input) bool {
	return l.do(func(now time.Time) { l.core.Step(now, in) })
}

func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-l.inputs:
			f(clock.Now())
		case <-ticker.C:
			l.tick(clock.Now())
		case <-ctx.Done():
			return
		}
		l.carryOut()
	}
}

func (l *loop) tick(now time.Time) {
	l.core.Tick(now)
	if l.leased != nil {
		l.leased.core.Tick(now)
	}
}

// carryOut does what the cores asked for.
func (l *loop) carryOut() {
	l.carryOutAgent()
	for l.leased != nil && l.leased.carryOut(clock.Now()) {
		l.carryOutAgent()
	}
}

// carryOutAgent does what the agent core asked for.
func (l *loop) carryOutAgent() {
	for _, out := range l.core.Drain() {
		l.count(out)
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
				l.leased.begin(clock.Now(), out)
				continue
			}
			go l.runTask(out)
		case agent.StopTask:
			l.leased.core.Step(clock.Now(), lease.End{Attempt: out.Attempt})
		case agent.ApplyTable:
			l.core.Step(clock.Now(), agent.RevisionChanged(out))
			l.revision.Store(max(l.revision.Load(), out.Revision))
		}
	}
}

func (l *loop) runTask(s agent.Start) {
	ended := l.endpoint.run(s)
	if l.metrics != nil {
		l.metrics.TaskEnded(ended.Kind)
	}
	l.step(ended)
}
