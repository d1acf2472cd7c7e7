// Package agent is the agent's state machine. It owns the slots of one worker,
// decides which attempts start, keeps their results until the entry has
// acknowledged them, and records attempts that must never start.
//
// The caller drives it with Step and Tick, passing the time, and collects what
// has to be done with TakeOutputs. The package does no I/O, starts no goroutine and
// reads no clock. A Core is not safe for concurrent use.
package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// Config holds the fixed properties of one agent process.
type Config struct {
	Worker        string
	FailureDomain string
	Incarnation   msg.Incarnation
	// ResultKeep is how long a result waits for its acknowledgement.
	ResultKeep time.Duration
	// HeartbeatInterval is the longest silence towards a linked entry that has
	// attempts running here.
	HeartbeatInterval time.Duration
	// IdleHeartbeat is the longest silence towards any other linked entry. Values
	// below HeartbeatInterval are raised to it.
	IdleHeartbeat time.Duration
	// EntrySilence is the silence after which a link to an entry is closed. Zero
	// means defaultEntrySilence.
	EntrySilence time.Duration
	// GrantsPerDispatch bounds the SlotsFree messages per accepted dispatch. A
	// larger value shortens the answers of jobs that meet a full fleet. Zero means
	// defaultGrantsPerDispatch.
	GrantsPerDispatch float64
	// OrphanAfter is the age at which the newest agent clock that an entry has
	// echoed counts as expired: the entry's tasks under a lease are then stopped.
	// Zero means defaultOrphanAfter.
	OrphanAfter time.Duration
	// ReleaseAfter is the age of the newest agent clock that an entry has echoed at which
	// none of its tasks under a lease runs any more, even if they could not be stopped.
	ReleaseAfter time.Duration
	// DetectStalls lets the agent notice that the tasks of a leased worker make no progress.
	DetectStalls bool
	// Epoch is the zero of the agent's clock, on which Dispatch.StartBy is given.
	Epoch time.Time
	// Evacuations makes the agent refuse dispatches while entries say that its failure
	// domain is evacuated.
	Evacuations bool
}

// defaultEntrySilence equals the entry's own limit for a silent worker, so that
// neither side keeps a link that the other has closed.
const defaultEntrySilence = 10 * time.Second

const (
	// defaultOrphanAfter is shorter than the time after which a caller whose entry
	// is gone sends its job again. The difference is the time to stop the tasks.
	defaultOrphanAfter = 900 * time.Millisecond
)

// pauseThreshold is the gap between ticks at which the agent itself counts as
// having been paused, so that the silence of entries in the gap is ignored.
// Ticks come every few tens of milliseconds.
const pauseThreshold = 500 * time.Millisecond

// Core is the state of one agent.
type Core struct {
	cfg Config
	// now never goes back, even when a tick is delivered late.
	now      time.Time
	lastTick time.Time
	endpoint endpointState
	// stopping is never reset: the process is ending.
	stopping       bool
	entries        entrySet
	attempts       map[msg.AttemptID]*attempt
	expiries       expiryHeap
	running        int
	unacknowledged int
	// used is the sum of the sizes of running attempts.
	used msg.Size
	// waiting holds the dispatches that wait for room, in the order of their arrival.
	waiting  []waitingDispatch
	releases releaseRate
	// lastReport is the number of the latest slot report.
	lastReport uint64
	// grantBudget is the number of SlotsFree messages that may be sent now.
	grantBudget float64
	revision    uint64
	outcomes    outcomeCounter
	stall       stallState
	crashes     crashLog
	// colocation is nil while no entry asks for it.
	colocation  *colocation.Tracker
	evacuations evacuation.State
	out         []Output
}

// New returns a core with no endpoint and no links.
func New(cfg Config) *Core {
	if cfg.EntrySilence <= 0 {
		cfg.EntrySilence = defaultEntrySilence
	}
	cfg.IdleHeartbeat = max(cfg.IdleHeartbeat, cfg.HeartbeatInterval)
	if cfg.GrantsPerDispatch <= 0 {
		cfg.GrantsPerDispatch = defaultGrantsPerDispatch
	}
	if cfg.OrphanAfter <= 0 {
		cfg.OrphanAfter = defaultOrphanAfter
	}
	return &Core{
		cfg: cfg, now: cfg.Epoch, entries: newEntrySet(), grantBudget: grantBurst,
		attempts: make(map[msg.AttemptID]*attempt),
	}
}

// Clock returns the agent's clock at now, the time base of Dispatch.StartBy.
func (c *Core) Clock(now time.Time) time.Duration { return now.Sub(c.cfg.Epoch) }

// TakeOutputs returns the outputs gathered since the last call, in order.
func (c *Core) TakeOutputs() []Output {
	out := c.out
	c.out = nil
	return out
}

// Free returns the number of slots that accept an attempt now.
func (c *Core) Free() int {
	if c.stopping || c.endpoint.leased || !c.endpoint.accepts() {
		return 0
	}
	return max(0, c.endpoint.capacity()-c.running-c.endpoint.blockedSlots())
}

// Room returns the free capacity of a leased worker, or zero for one without a
// lease.
func (c *Core) Room() msg.Size {
	if c.stopping || !c.endpoint.leased || !c.endpoint.accepts() {
		return msg.Size{}
	}
	return c.endpoint.size.Minus(c.used)
}

// Running returns the number of attempts at the endpoint.
func (c *Core) Running() int { return c.running }

// Unacknowledged returns the number of results that wait for acknowledgement.
func (c *Core) Unacknowledged() int { return c.unacknowledged }

// advance moves the core's time forward and returns it.
func (c *Core) advance(now time.Time) time.Time {
	if now.After(c.now) {
		c.now = now
	}
	return c.now
}

// Step applies one input.
func (c *Core) Step(now time.Time, in Input) {
	now = c.advance(now)
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) >= pauseThreshold {
		// An input that waited for the end of a pause must not renew the permission of tasks
		// that their entries have taken as over meanwhile.
		c.stopOrphans(now)
	}
	switch in := in.(type) {
	case LinkUp:
		c.linkUp(now, in)
	case LinkDown:
		c.entries.unlink(in.Entry)
	case DrainLink:
		c.drainLink(now, in.Entry)
	case Received:
		c.receive(now, in)
	case EndpointAnnounced:
		c.endpointAnnounced(now, in)
	case EndpointRestarted:
		c.endpointRestarted(now, in)
	case EndpointLeaving:
		c.endpointLeaving(now, in.Join)
	case EndpointLost:
		c.endpointLost(now)
	case LeaseChanged:
		c.leaseChanged(now, in)
	case WorkerCrashed:
		c.workerCrashed(now, in)
	case Stop:
		c.stop(now)
	case TaskEnded:
		c.taskEnded(now, in)
	case RevisionChanged:
		c.setRevision(max(c.revision, in.Revision))
	}
	c.startWaiting(now)
	c.balanceGrants()
	c.checkSlots()
}

// Tick drops expired records, closes silent and drained links, stops orphaned
// attempts and sends the heartbeats that are due.
func (c *Core) Tick(now time.Time) {
	now = c.advance(now)
	c.expire(now)
	c.closeSilentLinks(now)
	c.stopOrphans(now)
	c.checkStall(now)
	c.setColocation(now)
	c.closeDrainedLinks(now)
	c.startWaiting(now)
	for _, e := range c.entries.linked {
		if c.heartbeatDue(now, e) || c.roomReportDue(now, e) {
			c.send(now, e, msg.Heartbeat{Report: c.report(e), Revision: c.revision})
		}
	}
	c.checkSlots()
}

func (c *Core) setRevision(r uint64) {
	invariant.Check(r >= c.revision, invariant.RevisionForward, "agent %s goes from table revision %d to %d", c.cfg.Worker, c.revision, r)
	c.revision = r
}

func (c *Core) checkSlots() {
	invariant.Check(c.running >= 0, invariant.SlotsInRange, "agent %s counts %d running attempts", c.cfg.Worker, c.running)
	c.checkGrants()
}

// report returns a new slot report for the entry.
func (c *Core) report(e *entryState) msg.Slots {
	c.balanceGrants()
	c.lastReport++
	e.reportedRoom = c.roomFor(e)
	return msg.Slots{Room: e.reportedRoom, Stalled: c.stall.detector.Stalled(),
		Free: e.granted, Spare: max(0, c.Free()-e.granted-c.reservedForOthers(e)), Covers: e.lastSeq, Number: c.lastReport,
		Outcomes: c.outcomes.total,
	}
}

// Hello returns the first message for a new link.
func (c *Core) Hello() msg.Hello { return c.hello(&entryState{}) }

func (c *Core) hello(e *entryState) msg.Hello {
	return msg.Hello{
		Worker:        c.cfg.Worker,
		FailureDomain: c.cfg.FailureDomain,
		Incarnation:   c.cfg.Incarnation,
		Service:       c.endpoint.service,
		Slots:         c.endpoint.slots,
		Report:        c.report(e),
		Connections:   c.endpoint.connections,
		Size:          c.endpoint.size,
		Revision:      c.revision,
		Leaving:       c.stopping || e.draining() || !c.endpoint.accepts(),
		ReleaseAfter:  c.releaseAfter(),
		Labels:        c.endpoint.labels,
		Settled:       c.endpoint.settled,
		Crashes:       c.crashes.unsent(c.now, e),
		EvacuatedAt:   c.evacuatedAt(),
	}
}

// releaseAfter returns the value of msg.Hello.ReleaseAfter, which is zero for a worker
// without a lease.
func (c *Core) releaseAfter() time.Duration {
	if !c.endpoint.leased {
		return 0
	}
	return c.cfg.ReleaseAfter
}

// sendHellos sends the endpoint's current properties to all linked entries.
func (c *Core) sendHellos(now time.Time) {
	for _, e := range c.entries.linked {
		c.send(now, e, c.hello(e))
	}
}

func (c *Core) sendLeaving(now time.Time) {
	for _, e := range c.entries.linked {
		c.send(now, e, msg.Leaving{Report: c.report(e)})
	}
}

func (c *Core) stop(now time.Time) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.sendLeaving(now)
}

func (c *Core) send(now time.Time, e *entryState, m msg.FromAgent) {
	if !e.up {
		return
	}
	e.lastSent = now
	c.emit(Send{Entry: e.incarnation, Message: m})
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }
