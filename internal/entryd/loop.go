// Package entryd runs the entry core: it serves callers, operators and the
// links from agents, and owns the goroutine that drives the core.
package entryd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

const (
	// tickInterval is how often timeouts are checked.
	tickInterval = 20 * time.Millisecond
	// inputQueueSize is the number of inputs that can wait for the core.
	inputQueueSize = 4096
)

// loop owns the core and runs it on a single goroutine. The core, waiters and links are
// used only on that goroutine.
type loop struct {
	core    *entry.Core
	inputs  chan func(now time.Time)
	stopped chan struct{}
	waiters map[uint64]*waiter
	links   map[entry.LinkID]*linkOutbox
	// metrics is nil when the process exports none.
	metrics *telemetry.Metrics
	log     *zap.Logger
	load    load
	// afterPause is called after a pause of the process.
	afterPause func()
	pauses     *clock.Pauses
}

// waiter receives the progress and the answer of one job.
type waiter struct {
	// name is the job's name, empty if the caller gave it none.
	name        string
	submittedAt time.Time
	answer      chan entry.Answer
	// progress is nil unless the caller asked for it. It holds only the newest value.
	progress chan entry.Progress
}

func newLoop(core *entry.Core) *loop {
	return &loop{
		core:       core,
		inputs:     make(chan func(time.Time), inputQueueSize),
		stopped:    make(chan struct{}),
		log:        zap.NewNop(),
		pauses:     clock.NewPauses(clock.Read),
		afterPause: func() {},
		waiters:    make(map[uint64]*waiter),
		links:      make(map[entry.LinkID]*linkOutbox),
	}
}

// post queues f to run on the loop's goroutine. It returns false after the loop has
// stopped.
func (l *loop) post(f func(now time.Time)) bool {
	select {
	case l.inputs <- f:
		return true
	case <-l.stopped:
		return false
	}
}

// step queues an input for the core. It returns false after the loop has stopped.
func (l *loop) step(in entry.Input) bool {
	return l.post(func(now time.Time) { l.core.Step(now, in) })
}

// call runs f on the loop's goroutine and waits until it has returned.
func (l *loop) call(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	if !l.post(func(now time.Time) { defer close(done); f(now) }) {
		return context.Canceled
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.stopped:
		return context.Canceled
	}
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
			l.tick()
		case <-ctx.Done():
			l.core.Step(clock.Now(), entry.StopNow{})
			l.handleOutputs()
			l.closeLinks()
			return
		}
		l.handleOutputs()
	}
}

// tick handles the queued inputs and then checks timeouts. Otherwise a delay of this
// process could look like a silent worker or an overdue task.
func (l *loop) tick() {
	for range len(l.inputs) {
		f := <-l.inputs
		f(clock.Now())
	}
	for _, p := range l.pauses.Take() {
		l.paused(p)
		l.afterPause()
	}
	now := clock.Now()
	l.core.Tick(now)
	l.logLoad(now)
}

func (l *loop) paused(p clock.Pause) {
	logevent.LogPause(l.log, p)
	if l.metrics != nil {
		l.metrics.Paused(p)
	}
}

// closeLinks ends all streams, because the server's shutdown waits for them.
func (l *loop) closeLinks() {
	for _, box := range l.links {
		box.Close()
	}
}

// handleOutputs carries out the outputs of the core.
func (l *loop) handleOutputs() {
	for _, out := range l.core.TakeOutputs() {
		l.recordOutput(out)
		l.load.output(out)
		switch out := out.(type) {
		case entry.Send:
			if box, ok := l.links[out.Link]; ok {
				box.enqueue(out.Message)
			}
		case entry.CloseLink:
			if box, ok := l.links[out.Link]; ok {
				box.Close()
			}
		case entry.WorkerConflict:
			logevent.WorkerConflict.Log(l.log, zap.String("worker", out.Worker),
				zap.Uint64("current", uint64(out.Current)), zap.Uint64("late", uint64(out.Late)))
		case entry.WorkerJudged:
			logevent.WorkerJudged.Log(l.log, zap.String("worker", out.Worker), zap.Stringer("health", out.Health))
		case entry.WorkerSpeedLearned:
			logevent.SpeedLearned.Log(l.log, zap.String("worker", out.Worker), zap.Float64("speed", out.Speed), zap.Float64("uncertainty", out.Uncertainty))
		case entry.WorkerDegraded:
			logevent.WorkerDegraded.Log(l.log, zap.String("worker", out.Worker), zap.Float64("speed", out.Speed), zap.Float64("ratio", out.Ratio))
		case entry.RunTimeDiscarded:
			if out.Count&(out.Count-1) == 0 {
				logevent.RunTimeDiscarded.Log(l.log, zap.String("worker", out.Worker), zap.Int64("run_time_ns", int64(out.RunTime)), zap.Uint64("count", out.Count))
			}
		case entry.AttemptsReleased:
			logevent.AttemptsReleased.Log(l.log, zap.String("worker", out.Worker),
				zap.Int("attempts", out.Attempts), zap.Int64("silence_ms", out.Silence.Milliseconds()))
		case entry.JobTypeConfined:
			logevent.JobTypeConfined.Log(l.log, zap.String("service", out.Service), zap.String("job_type", out.JobType), zap.Bool("confined", out.Confined))
		case entry.EvacuationChanged:
			logevent.EvacuationChanged.Log(l.log, zap.String("domain", out.Name), zap.Bool("evacuated", out.Evacuated),
				zap.Uint64("version", out.Version), zap.Int("workers", out.Workers))
		case entry.JobTypesSeparated:
			logevent.PairSeparated.Log(l.log, zap.String("service", out.Service), zap.String("job_type", out.JobType), zap.String("neighbour", out.Neighbour),
				zap.Bool("separated", out.Separated), zap.Float64("slowdown", out.Slowdown), zap.Float64("low", out.Low), zap.Int("runs", out.Runs))
		case entry.ColocationRejected:
			logevent.BesideRejected.Log(l.log, zap.String("worker", out.Worker), zap.Int("count", out.Count))
		case entry.JobEnding:
			if w, ok := l.waiters[out.Job]; ok {
				logevent.JobEnding.Log(l.log, zap.String("job", w.name), zap.Stringer("reason", out.Reason),
					zap.Int("outstanding", out.Outstanding), zap.Int("dropped", out.Dropped))
			}
		case entry.Answered:
			if w, ok := l.waiters[out.Job]; ok {
				delete(l.waiters, out.Job)
				w.answer <- out.Answer
			}
		case entry.Progress:
			if w, ok := l.waiters[out.Job]; ok {
				w.reportProgress(out)
			}
		}
	}
}

// reportProgress replaces an unread progress value by the new one.
func (w *waiter) reportProgress(p entry.Progress) {
	if w.progress == nil {
		return
	}
	select {
	case w.progress <- p:
		return
	default:
	}
	select {
	case <-w.progress:
	default:
	}
	w.progress <- p
}
