package entryd

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// ErrCutOff is the error of a stop that ended jobs in progress.
var ErrCutOff = errorx.NewNamespace("entryd").NewType("cut_off")

const (
	// drainPollInterval is how often a stopping entry looks for jobs in progress.
	drainPollInterval = 20 * time.Millisecond
	// closeTimeout bounds the closing of connections without requests.
	closeTimeout = time.Second
)

// Hurry makes a planned stop end at once: jobs in progress fail.
func (d *Daemon) Hurry() { d.abortDrainOnce.Do(func() { close(d.abortDrain) }) }

// drain lets the balancer take the entry out, refuses new jobs and waits until
// the jobs in progress have their answers. What is left at the limit is failed
// by the loop's end: with NotRun when no task was dispatched.
func (d *Daemon) drain(limit time.Duration) error {
	logevent.ProcessStopping.Log(d.log)
	d.setReady(false)
	for _, s := range d.adapterServers {
		s.EndConnections()
	}
	end := time.Now().Add(limit)
	d.sleepUnlessAborted(min(d.opts.readyDelay, limit))
	d.keyed.draining.Store(true)
	d.loop.step(entry.BeginDrain{})
	for {
		jobs, acks := 0, 0
		if d.loop.call(context.Background(), func(time.Time) {
			jobs, acks = d.loop.core.Jobs(), d.loop.core.PendingAcks()
		}) != nil || jobs+acks == 0 {
			return nil
		}
		if !time.Now().Before(end) || !d.sleepUnlessAborted(drainPollInterval) {
			if jobs == 0 {
				return nil
			}
			logevent.JobsCutOff.Log(d.log, zap.Int("jobs", jobs))
			return ErrCutOff.New("the stop cut off %d jobs", jobs)
		}
	}
}

// sleepUnlessAborted returns false when the stop has to hurry.
func (d *Daemon) sleepUnlessAborted(t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-d.abortDrain:
		return false
	}
}

// closeServer waits until callers have their answers and closes the rest,
// such as the agents' streams.
func (d *Daemon) closeServer() error {
	end := time.Now().Add(finalAnswerTimeout)
	for d.guard.inFlight.Load() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return d.server.Shutdown(ctx)
}
