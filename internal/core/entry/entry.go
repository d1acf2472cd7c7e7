// Package entry is the entry's state machine. It admits jobs, queues their tasks,
// dispatches each task to a worker that is believed to have a free slot, and answers each
// job once: complete or failed.
//
// A task is dispatched again only after proof that the earlier attempt did not start: a
// refusal by the agent, or its answer that the attempt never starts. Job types that allow
// several attempts also retry a task after proof that its earlier attempt has ended.
//
// The caller drives it with Step and Tick, passing the time, and collects the resulting
// actions with TakeOutputs. The package does no I/O, starts no goroutine and reads no clock. A
// Core is not safe for concurrent use.
package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/crashlog"
	"github.com/poplarlever/poplarlever/internal/core/estimate"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/limits"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// Config holds the fixed properties of one entry process.
type Config struct {
	Name        string
	Incarnation msg.Incarnation
	// FailureDomain is the failure domain of the entry's VM.
	FailureDomain string
	Seed          uint64
	// StartWindow is how long after its dispatch an attempt may start.
	StartWindow time.Duration
	// SuspectAfter is how long a worker with outstanding attempts may be silent before it
	// gets no new tasks. The time counts from the dispatch of the first of them at the
	// earliest.
	SuspectAfter time.Duration
	// LostAfter is how long a worker may be silent before its attempts are given up.
	LostAfter time.Duration
	// HeartbeatInterval is the longest time without a message to an agent with outstanding
	// attempts.
	HeartbeatInterval time.Duration
	// IdleHeartbeat is the longest time without a message to any other agent. New raises
	// it to HeartbeatInterval if it is shorter.
	IdleHeartbeat time.Duration
	// ProbeAfter is how long after its dispatch an attempt without a result is probed: the
	// entry sends a revoke, which does not affect a running attempt. The interval doubles
	// with each probe. Zero means defaultProbeAfter.
	ProbeAfter time.Duration
	// AckDelay is how long an acknowledgement waits for other traffic when the agent
	// leaves or this entry drains. Otherwise it waits for the heartbeat interval of the
	// link.
	AckDelay time.Duration
	// RunLimit is the longest time that an endpoint may take for a task.
	RunLimit time.Duration
	// LearnSpeeds lets the core learn run times and workers' speeds, and decide by them.
	LearnSpeeds bool
	// ShedByJobType lets jobs give way on arrival while their service is full: those of types
	// that send more than usual, and of less urgent types.
	ShedByJobType bool
	// MaxQueued is the largest number of queued tasks.
	MaxQueued int
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks int
	// MaxPayload is the largest payload of a task, in bytes.
	MaxPayload int
	// SeparateJobTypes makes the entry learn which job types slow each other down and prefer
	// different workers for them.
	SeparateJobTypes bool
}

// defaultProbeAfter is above StartWindow, after which an attempt that has not started
// never will, and above the run time of most tasks.
const defaultProbeAfter = 3 * time.Second

// pauseThreshold is the gap between ticks from which this process counts as paused.
// Silence of the workers during the gap then proves nothing. Ticks come every few tens of
// milliseconds.
const pauseThreshold = 500 * time.Millisecond

// resubmitThreshold is the gap between ticks from which callers may have given up on this
// process and resubmitted their jobs to another entry.
const resubmitThreshold = time.Second

// Core is the state of one entry.
type Core struct {
	cfg    Config
	rng    *rand.Rand
	policy Policy
	// mostUrgent holds the smallest priority of the job types of each service.
	mostUrgent map[string]int
	// self is this entry as agents reach it, peers are the other entries.
	self  msg.Peer
	peers []msg.Peer
	// peersSentAt is when agents were last sent a changed list of entries; peersChanged is
	// set while they have an older list.
	peersSentAt  time.Time
	peersChanged bool
	// now never goes back, even when a tick is delivered late.
	now      time.Time
	lastTick time.Time
	workers  workerSet
	queue    queue
	usage    *limits.Ledger
	// allotted is nil before the first SetAllotments; limits are then split evenly.
	allotted map[string]int
	jobs     map[uint64]*job
	attempts map[msg.AttemptID]*attempt
	timers   timerHeap
	// dispatches counts all dispatches. It is the first Seq of new workers; see
	// worker.seq.
	dispatches uint64
	// revokeTargets lists the workers with queued revokes, in the order of their first
	// one.
	revokeTargets []*worker
	crashes       crashlog.Log
	// discardedRunTimes counts reported run times that cannot be ones.
	discardedRunTimes uint64
	// estimates is nil unless the core learns run times and speeds.
	estimates *estimate.Estimator
	// separations is nil unless Config.SeparateJobTypes is set.
	separations *separations
	// messageDelay is the mean delay of the latest messages from agents, in seconds.
	messageDelay float64
	latestDelay  time.Duration
	evacuations  evacuation.State
	// evacuating is set while the evacuation of a failure domain is in force.
	evacuating bool
	draining   bool
	// drainUntil is when this process stops; set while draining.
	drainUntil time.Time
	out        []Output
}

// New returns a core with no workers, no jobs and no policy.
func New(cfg Config) *Core {
	if cfg.ProbeAfter <= 0 {
		cfg.ProbeAfter = defaultProbeAfter
	}
	cfg.IdleHeartbeat = max(cfg.IdleHeartbeat, cfg.HeartbeatInterval)
	usage := limits.NewLedger()
	return &Core{
		cfg:         cfg,
		usage:       usage,
		rng:         rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		jobs:        make(map[uint64]*job),
		attempts:    make(map[msg.AttemptID]*attempt),
		queue:       newQueue(usage),
		workers:     newWorkerSet(),
		estimates:   newEstimates(cfg),
		separations: newSeparations(cfg.SeparateJobTypes),
	}
}

// TakeOutputs returns the outputs gathered since the last call, in order.
func (c *Core) TakeOutputs() []Output {
	out := c.out
	c.out = nil
	return out
}

// Jobs returns the number of jobs without an answer.
func (c *Core) Jobs() int { return len(c.jobs) }

// Outstanding returns the number of attempts whose outcome is not known.
func (c *Core) Outstanding() int { return len(c.attempts) }

// advance moves the core's time forward, never back, and returns it.
func (c *Core) advance(now time.Time) time.Time {
	if now.After(c.now) {
		c.now = now
	}
	return c.now
}

// Step applies one input.
func (c *Core) Step(now time.Time, in Input) {
	now = c.advance(now)
	if now.Sub(c.lastTick) >= pauseThreshold {
		// Inputs that waited for the end of a pause come before the next tick.
		c.handlePause(now)
	}
	switch in := in.(type) {
	case Submit:
		c.submit(now, in.Job)
	case Cancel:
		c.cancel(in.Job)
	case LinkUp:
		c.linkUp(now, in)
	case LinkDown:
		c.linkDown(now, in.Link)
	case Received:
		c.receive(now, in)
	case SetPolicy:
		if in.Policy.Revision > c.policy.Revision {
			c.setPolicy(now, in.Policy)
		}
	case SetAllotments:
		c.allotted = in.Allotted
		c.applyAllotments()
	case SetPeers:
		c.setPeers(in)
	case SetEvacuations:
		c.setEvacuations(now, in.Report)
	case BeginDrain:
		c.draining, c.drainUntil = true, in.Until
	case StopNow:
		c.failAll(verdict.Stopped)
	}
	c.dispatchQueued(now)
}

// Tick applies deadlines and timeouts, and sends heartbeats, acknowledgements and queued
// revokes that are due.
func (c *Core) Tick(now time.Time) {
	now = c.advance(now)
	c.handlePause(now)
	c.usage.Expire(now)
	c.expireCrashes(now)
	c.fireTimers(now)
	c.sendPeers(now)
	c.checkWorkers(now)
	c.expireEvacuationRefusals(now)
	c.refuseEvacuated()
	c.checkOverdue(now)
	c.checkSeparations(now)
	c.dispatchQueued(now)
	c.flushRevokes(now)
}

// handlePause detects a pause of this process. The gap does not count as silence of the
// workers, whose messages may still be unread, and jobs that callers may have resubmitted
// are failed.
func (c *Core) handlePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	if !c.lastTick.IsZero() && gap >= resubmitThreshold {
		c.failPaused()
	}
	if !c.lastTick.IsZero() && gap >= pauseThreshold {
		for _, w := range c.workers.list {
			w.lastHeard = w.lastHeard.Add(min(gap, now.Sub(w.lastHeard)))
		}
	}
	c.lastTick = now
}

// setPolicy puts a newer table revision in force and announces it to the agents.
func (c *Core) setPolicy(now time.Time, p Policy) {
	invariant.Check(p.Revision > c.policy.Revision, invariant.RevisionForward, "entry %s goes from table revision %d to %d", c.cfg.Name, c.policy.Revision, p.Revision)
	c.policy, c.mostUrgent = p, mostUrgent(p)
	c.applyAllotments()
	c.separations.applyPolicy(p)
	for _, w := range c.workers.list {
		if w.linked() && w.revision < p.Revision {
			c.sendTable(now, w)
		}
	}
}

// minPeersInterval is the shortest time between two lists of entries sent to the agents.
// While a fleet starts, each entry learns of the others one after the other.
const minPeersInterval = time.Second

// setPeers replaces the list of entries. A later tick sends it to the agents.
func (c *Core) setPeers(in SetPeers) {
	if in.Self == c.self && slices.Equal(in.Peers, c.peers) {
		return
	}
	c.self, c.peers, c.peersChanged = in.Self, in.Peers, true
	c.applyAllotments()
}

// sendPeers sends a changed list of entries to the agents, which choose their links from
// it.
func (c *Core) sendPeers(now time.Time) {
	if !c.peersChanged || now.Sub(c.peersSentAt) < minPeersInterval {
		return
	}
	c.peersChanged, c.peersSentAt = false, now
	for _, w := range c.workers.list {
		if w.linked() {
			c.sendTo(now, w, c.welcome())
		}
	}
}

func (c *Core) welcome() msg.Welcome {
	peers := c.peers
	if c.self.Address != "" {
		peers = append(slices.Clone(peers), c.self)
	}
	return msg.Welcome{
		Entry: c.cfg.Name, Incarnation: c.cfg.Incarnation, Peers: peers, Revision: c.policy.Revision,
		ColocationEvery: c.separations.colocationEvery(),
	}
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }
