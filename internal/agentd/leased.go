package agentd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// LeasedWorker calls a worker that runs tasks under a lease. Each call ends
// within a bounded time, with the status lease.NoAnswer when no whole answer
// came. Implementations are safe for concurrent use.
type LeasedWorker interface {
	Start(ctx context.Context, s lease.Start) lease.Answer
	Stop(ctx context.Context, s lease.Stop) lease.Answer
	Hold(ctx context.Context, h lease.Hold) lease.Answer
}

// WorkerAnnouncement is what a leased worker says of itself.
type WorkerAnnouncement struct {
	Life    lease.Life
	Service string
	Slots   int
	Size    msg.Size
	Labels  []string
	// Number grows with each announcement of one life.
	Number uint64
	// Leaving says that the worker takes no new task in this life.
	Leaving bool
}

// leasedDriver joins the agent core and the lease core. It runs on the loop's
// goroutine.
type leasedDriver struct {
	loop   *loop
	core   *lease.Core
	worker LeasedWorker
	// told is the state of the lease that the agent core knows.
	told agent.LeaseChanged
}

// begin starts an attempt under the lease.
func (d *leasedDriver) begin(now time.Time, s agent.Start) {
	d.core.Step(now, lease.Begin{Attempt: s.Attempt, Task: s.Name, Run: s.Attempt.Attempt, Payload: s.Payload, Limit: s.RunLimit})
}

// carryOut does what the lease core asked for and tells whether there was
// anything.
func (d *leasedDriver) carryOut(now time.Time) bool {
	outputs := d.core.Drain()
	for _, out := range outputs {
		switch out := out.(type) {
		case lease.Start:
			go d.call(func(ctx context.Context) lease.Answer { return d.worker.Start(ctx, out) })
		case lease.Stop:
			go d.call(func(ctx context.Context) lease.Answer { return d.worker.Stop(ctx, out) })
		case lease.Hold:
			go d.call(func(ctx context.Context) lease.Answer { return d.worker.Hold(ctx, out) })
		case lease.Ended:
			d.ended(now, out)
		case lease.Changed:
			d.changed(now)
		}
	}
	return len(outputs) > 0
}

func (d *leasedDriver) ended(now time.Time, e lease.Ended) {
	if d.loop.metrics != nil {
		d.loop.metrics.TaskEnded(e.Kind)
	}
	d.loop.core.Step(now, agent.TaskEnded{Attempt: e.Attempt, Kind: e.Kind, RunTime: e.RunTime})
}

func (d *leasedDriver) changed(now time.Time) {
	state := agent.LeaseChanged{Ready: d.core.Ready(), Settled: d.core.Settled()}
	if state == d.told {
		return
	}
	d.told = state
	logevent.LeaseChanged.Log(d.loop.log, zap.Bool("ready", state.Ready), zap.Bool("settled", state.Settled))
	d.loop.core.Step(now, state)
}

// call makes a call and gives its answer to the lease core.
func (d *leasedDriver) call(request func(context.Context) lease.Answer) {
	answer := request(context.Background())
	d.loop.do(func(now time.Time) { d.core.Step(now, answer) })
}

// Announced takes what the worker says of itself. It is safe for concurrent use.
func (d *Daemon) Announced(a WorkerAnnouncement) {
	d.announce.heard(Announcement{Service: a.Service, Join: uint64(a.Life.Born), Leaving: a.Leaving})
	d.loop.do(func(now time.Time) {
		d.loop.leased.core.Step(now, lease.Announced{Life: a.Life})
		d.loop.leased.changed(now)
		d.loop.core.Step(now, agent.EndpointAnnounced{
			Service: a.Service, Slots: a.Slots, Connections: a.Slots, Size: a.Size, Labels: a.Labels, Leased: true,
			Join: uint64(a.Life.Born), Number: a.Number, Leaving: a.Leaving,
		})
	})
}

// Left takes the farewell of a worker.
func (d *Daemon) Left(life lease.Life) {
	d.loop.do(func(now time.Time) {
		if d.loop.leased.core.Left(now, life) {
			d.loop.core.Step(now, agent.EndpointLeaving{})
		}
	})
}

// Refused logs an announcement that could not be used.
func (d *Daemon) Refused(err error) {
	logevent.AnnouncementRefused.Log(d.log, zap.Error(err))
}
