package entryd

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// ErrCutOff is the error type of a stop that ended jobs in progress.
var ErrCutOff = errorx.NewNamespace("entryd").NewType("cut_off")

const (
	// drainPollInterval is how often a stopping entry checks for jobs in progress.
	drainPollInterval = 20 * time.Millisecond
	// quietAfter is how long no job may be in progress at a stopping entry before it
	// counts as left by its callers. It may still be the only one that they can reach.
	quietAfter = 200 * time.Millisecond
	// closeTimeout bounds the closing of connections without requests.
	closeTimeout = time.Second
)

// Hurry ends a planned stop at once. Jobs in progress fail.
func (d *Daemon) Hurry() { d.abortDrainOnce.Do(func() { close(d.abortDrain) }) }

// drain makes the entry not ready, so that the load balancer stops using it, and waits
// until its callers have left or the limit is reached. After readyDelay it refuses jobs
// that cannot be expected to end within the limit. Jobs that are left at the limit fail
// when the loop ends, with NotRun if no task was dispatched.
func (d *Daemon) drain(limit time.Duration) error {
	logevent.ProcessStopping.Log(d.log)
	d.setReady(false)
	for _, s := range d.adapterServers {
		s.EndConnections()
	}
	end := time.Now().Add(limit)
	d.sleepUnlessAborted(min(d.opts.readyDelay, limit))
	d.keyed.draining.Store(true)
	d.loop.step(entry.BeginDrain{Until: clock.Now().Add(time.Until(end))})
	lastBusy := time.Time{}
	for {
		jobs, acks := 0, 0
		if d.loop.call(context.Background(), func(time.Time) {
			jobs, acks = d.loop.core.Jobs(), d.loop.core.PendingAcks()
		}) != nil {
			return nil
		}
		if jobs+acks > 0 {
			lastBusy = time.Now()
		} else if time.Since(lastBusy) >= quietAfter {
			return nil
		}
		if !time.Now().Before(end) || !d.sleepUnlessAborted(drainPollInterval) {
			if jobs == 0 {
				return nil
			}
			logevent.JobsCutOff.Log(d.log, zap.Int("jobs", jobs))
			return ErrCutOff.New("the stop ended %d jobs in progress", jobs)
		}
	}
}

// sleepUnlessAborted sleeps for t. It returns false early when Hurry was called.
func (d *Daemon) sleepUnlessAborted(t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-d.abortDrain:
		return false
	}
}

// closeServer waits until callers have received their answers, and then closes the
// remaining connections, such as the agents' streams.
func (d *Daemon) closeServer() error {
	end := time.Now().Add(finalAnswerTimeout)
	for d.admission.inFlight.Load() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return d.server.Shutdown(ctx)
}
