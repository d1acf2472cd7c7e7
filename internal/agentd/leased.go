package agentd

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/hostport"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// LeasedWorker calls a worker that runs tasks under a lease. Each call returns within
// a bounded time, with the status lease.NoAnswer if no complete response arrived.
// Implementations are safe for concurrent use.
type LeasedWorker interface {
	Start(ctx context.Context, s lease.Start) lease.Answer
	Stop(ctx context.Context, s lease.Stop) lease.Answer
	Hold(ctx context.Context, h lease.Hold) lease.Answer
	// SetAddress sets the address (host:port) of later calls.
	SetAddress(address string)
}

// WorkerAnnouncement is the state that a leased worker announces. Its JSON form is kept in
// the store.
type WorkerAnnouncement struct {
	Instance lease.Instance
	// Address is where the worker takes calls (host:port).
	Address string
	Service string
	Slots   int
	Size    msg.Size
	Labels  []string
	// Number increases with each announcement of one Instance.
	Number uint64
	// Leaving means that the worker accepts no new tasks in this Instance.
	Leaving bool
}

// Validate returns an error for an announcement that no worker can have made. It may come
// from another writer and must not be used.
func (a WorkerAnnouncement) Validate() error {
	switch {
	case a.Instance.ID == "" || a.Service == "":
		return errMalformedAnnouncement.New("the announcement names no worker or no service")
	case a.Instance.StartedAtMs <= 0:
		return errMalformedAnnouncement.New("the worker started at %d ms, which is not a time after 1970", a.Instance.StartedAtMs)
	case a.Slots < 0:
		return errMalformedAnnouncement.New("the worker has %d slots", a.Slots)
	case !(a.Size.Cores >= 0) || math.IsInf(a.Size.Cores, 1):
		return errMalformedAnnouncement.New("the worker has %v cores", a.Size.Cores)
	}
	if err := hostport.Check(a.Address); err != nil {
		return errMalformedAnnouncement.Wrap(err, "the worker cannot be called")
	}
	return nil
}

// leasedDriver passes inputs and outputs between the agent core, the lease core and
// the worker. Its methods except call run on the loop's goroutine.
type leasedDriver struct {
	loop   *loop
	core   *lease.Core
	worker LeasedWorker
	// tracker and record follow the announcements that are accepted; each may be nil.
	tracker *endpointTracker
	record  *recordKeeper
	// reported is the lease state last given to the agent core.
	reported agent.LeaseChanged
	instances
}

// startAttempt starts an attempt under the lease.
func (d *leasedDriver) startAttempt(now time.Time, s agent.Start) {
	d.core.Step(now, lease.RunTask{Attempt: s.Attempt, Task: s.Name, Run: s.Attempt.Attempt, Payload: s.Payload, Limit: s.RunLimit, OwnerSeen: s.EntrySeen})
}

// processOutputs executes the pending outputs of the lease core and reports whether
// there were any.
func (d *leasedDriver) processOutputs(now time.Time) bool {
	outputs := d.core.TakeOutputs()
	for _, out := range outputs {
		switch out := out.(type) {
		case lease.Start:
			go d.call(func(ctx context.Context) lease.Answer { return sendStart(ctx, d.worker, clock.Now(), out) })
		case lease.Stop:
			go d.call(func(ctx context.Context) lease.Answer { return d.worker.Stop(ctx, out) })
		case lease.Hold:
			go d.call(func(ctx context.Context) lease.Answer { return d.worker.Hold(ctx, out) })
		case lease.Crashed:
			d.workerCrashed(now, out)
		case lease.Ended:
			d.attemptEnded(now, out)
		case lease.Restarted:
			d.restarted(now, out.Instance)
			logevent.WorkerRestarted.Log(d.loop.log, zap.String("id", out.Instance.ID),
				zap.Int64("started_at_ms", out.Instance.StartedAtMs), zap.Int("attempts", out.Attempts),
				zap.Bool("announced", d.present.announced != nil))
		case lease.Limited:
			logevent.LeaseLimited.Log(d.loop.log, zap.Int("unconfirmed_stops", out.UnconfirmedStops),
				zap.Int64("owner_silence_ms", out.OwnerSilence.Milliseconds()))
		case lease.StateChanged:
			d.reportLease(now)
		}
	}
	return len(outputs) > 0
}

// workerCrashed tells the agent core which attempts ran when the worker crashed.
func (d *leasedDriver) workerCrashed(now time.Time, crash lease.Crashed) {
	if d.loop.metrics != nil {
		d.loop.metrics.WorkerCrashed()
	}
	in := agent.WorkerCrashed{Instance: crash.Instance.StartedAtMs}
	for _, a := range crash.Attempts {
		in.Attempts = append(in.Attempts, agent.CrashedAttempt(a))
	}
	latest := crash.Attempts[0]
	logevent.WorkerCrashed.Log(d.loop.log, zap.String("instance", crash.Instance.ID), zap.Int("tasks", len(crash.Attempts)),
		zap.Strings("names", d.loop.core.TaskNames(in.Attempts)), zap.Duration("latest_ran", latest.RunTime))
	d.loop.core.Step(now, in)
}

func (d *leasedDriver) attemptEnded(now time.Time, e lease.Ended) {
	if d.loop.metrics != nil {
		d.loop.metrics.TaskEnded(e.Kind)
		if e.Reason == verdict.Evacuated {
			d.loop.metrics.Retried(e.Reason)
		}
	}
	d.loop.core.Step(now, agent.TaskEnded{Attempt: e.Attempt, Kind: e.Kind, RunTime: e.RunTime})
}

func (d *leasedDriver) reportLease(now time.Time) {
	state := agent.LeaseChanged{Ready: d.core.Ready(), Settled: d.core.Settled()}
	if state.Settled {
		d.instanceAnswered()
	}
	if state == d.reported {
		return
	}
	d.reported = state
	logevent.LeaseChanged.Log(d.loop.log, zap.Bool("ready", state.Ready), zap.Bool("settled", state.Settled))
	d.loop.core.Step(now, state)
}

// sendStart makes the call unless it is too late. This process may have stood still since the
// lease core decided to start the task.
func sendStart(ctx context.Context, worker LeasedWorker, now time.Time, s lease.Start) lease.Answer {
	if now.After(s.SendBy) {
		return lease.Answer{Call: s.Call, Status: lease.NotSent}
	}
	return worker.Start(ctx, s)
}

// call sends a request to the worker and passes the answer to the lease core. It
// blocks until the answer.
func (d *leasedDriver) call(request func(context.Context) lease.Answer) {
	answer := request(context.Background())
	d.loop.submit(func(now time.Time) { d.core.Step(now, answer) })
}

// Announced handles an announcement of the leased worker. It is safe for concurrent
// use.
func (d *Daemon) Announced(a WorkerAnnouncement) {
	d.loop.submit(func(now time.Time) { d.loop.leased.applyAnnouncement(now, a) })
}

// Left handles a leased worker's notice that the given instance is leaving. A zero StartedAtMs
// means that the notice does not tell when it started. It is safe for concurrent use.
func (d *Daemon) Left(instance lease.Instance) {
	d.loop.submit(func(now time.Time) {
		if d.loop.leased.left(now, instance) {
			if d.record != nil {
				d.record.left(instance.ID)
			}
			d.loop.core.Step(now, agent.EndpointLeaving{})
		}
	})
}

// Refused logs an announcement that was rejected with err.
func (d *Daemon) Refused(err error) { d.loop.announcementRefused(err) }

func (l *loop) announcementRefused(err error) {
	if l.metrics != nil {
		l.metrics.AnnouncementRefused()
	}
	logevent.AnnouncementRefused.Log(l.log, zap.Error(err))
}
