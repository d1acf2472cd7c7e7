// Package entry is the entry's state machine. It admits jobs, holds their
// tasks in a queue, dispatches each task to a worker that is believed to have
// a free slot, and answers each job once: complete or failed.
//
// A task is dispatched again only after proof that the earlier attempt did not
// start: a refusal by the agent, or its answer that the attempt never starts.
//
// The caller drives it with Step and Tick, passing the time, and collects what
// has to be done with Drain. The package does no I/O, starts no goroutine and
// reads no clock. A Core is not safe for concurrent use.
package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/limits"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// Config holds the fixed properties of one entry process.
type Config struct {
	Name        string
	Incarnation msg.Incarnation
	// FailureDomain is that of the entry's VM.
	FailureDomain string
	Seed          uint64
	// StartWindow is how long after its dispatch an attempt may start.
	StartWindow time.Duration
	// SuspectAfter is the silence after which a worker with outstanding attempts gets
	// no new tasks, counted from the first of them at the earliest.
	SuspectAfter time.Duration
	// LostAfter is the silence after which a worker's attempts are given up.
	LostAfter time.Duration
	// HeartbeatInterval is the longest silence towards an agent with outstanding
	// attempts.
	HeartbeatInterval time.Duration
	// IdleHeartbeat is the longest silence towards any other agent. One that is not
	// longer than HeartbeatInterval means HeartbeatInterval.
	IdleHeartbeat time.Duration
	// ProbeAfter is how long after its dispatch an attempt without an answer is
	// asked about, by a revoke that a running attempt survives. The pause
	// doubles with each question. Zero means defaultProbeAfter.
	ProbeAfter time.Duration
	// AckDelay is how long an acknowledgement waits for other traffic when the
	// agent leaves or this entry drains. Otherwise it waits for HeartbeatInterval.
	AckDelay time.Duration
	// RunLimit is the longest time that an endpoint may take for a task.
	RunLimit time.Duration
	// MaxQueued is the largest number of queued tasks.
	MaxQueued int
	// MaxTasks is the largest job, in tasks.
	MaxTasks int
	// MaxPayload is the largest payload of a task, in bytes.
	MaxPayload int
}

// defaultProbeAfter is above StartWindow, after which an attempt that did not
// start never will, and above the run time of most tasks.
const defaultProbeAfter = 3 * time.Second

// pauseThreshold is the gap between ticks from which on the entry itself counts as
// paused, so that the silence of workers in the gap proves nothing. Ticks come
// every few tens of milliseconds.
const pauseThreshold = 500 * time.Millisecond

// resubmitThreshold is the gap between ticks from which on callers may have given up
// waiting for this process and sent their jobs again elsewhere.
const resubmitThreshold = time.Second

// Core is the state of one entry.
type Core struct {
	cfg    Config
	rng    *rand.Rand
	policy Policy
	// self is this entry as agents reach it, peers are the others.
	self  msg.Peer
	peers []msg.Peer
	// peersSentAt is when the agents were last told of a change of peers; peersChanged is
	// set while they know an older list.
	peersSentAt  time.Time
	peersChanged bool
	// now never goes back, even when a tick was delivered late.
	now      time.Time
	lastTick time.Time
	workers  workerSet
	queue    queue
	usage    *limits.Ledger
	// allotted is nil while the limits hold for this entry alone.
	allotted map[string]int
	jobs     map[uint64]*job
	attempts map[msg.AttemptID]*attempt
	// jobTypes holds the job types that failed and have not succeeded since.
	jobTypes map[jobTypeKey]*jobTypeHealth
	timers   timerHeap
	// dispatches counts all dispatches; see worker.seq.
	dispatches uint64
	// revokeTargets lists workers with gathered revokes, in the order of the first.
	revokeTargets []*worker
	draining      bool
	out           []Output
}

// New returns a core with no workers, no jobs and no policy.
func New(cfg Config) *Core {
	if cfg.ProbeAfter <= 0 {
		cfg.ProbeAfter = defaultProbeAfter
	}
	cfg.IdleHeartbeat = max(cfg.IdleHeartbeat, cfg.HeartbeatInterval)
	usage := limits.NewLedger()
	return &Core{
		cfg:      cfg,
		usage:    usage,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		jobs:     make(map[uint64]*job),
		attempts: make(map[msg.AttemptID]*attempt),
		jobTypes: make(map[jobTypeKey]*jobTypeHealth),
		queue:    newQueue(usage),
		workers:  newWorkerSet(),
	}
}

// Drain returns the outputs gathered since the last call, in order.
func (c *Core) Drain() []Output {
	out := c.out
	c.out = nil
	return out
}

// Jobs returns the number of jobs without an answer.
func (c *Core) Jobs() int { return len(c.jobs) }

// Outstanding returns the number of attempts without an answer.
func (c *Core) Outstanding() int { return len(c.attempts) }

// advance moves the core's time forward.
func (c *Core) advance(now time.Time) time.Time {
	if now.After(c.now) {
		c.now = now
	}
	return c.now
}

// Step applies one input.
func (c *Core) Step(now time.Time, in Input) {
	now = c.advance(now)
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
		c.allot()
	case SetPeers:
		c.setPeers(in)
	case BeginDrain:
		c.draining = true
	case StopNow:
		c.failAll(verdict.Stopped)
	}
	c.dispatchQueued(now)
}

// Tick applies deadlines and timeouts, and sends heartbeats and what was
// gathered for each agent.
func (c *Core) Tick(now time.Time) {
	now = c.advance(now)
	c.handlePause(now)
	c.usage.Expire(now)
	c.fireTimers(now)
	c.sendPeers(now)
	c.checkWorkers(now)
	c.checkOverdue(now)
	c.dispatchQueued(now)
	c.flushRevokes(now)
}

// handlePause does not hold a pause of this process against the workers,
// whose messages may still wait to be read.
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

// setPolicy puts a revision in force.
func (c *Core) setPolicy(now time.Time, p Policy) {
	invariant.Check(p.Revision > c.policy.Revision, invariant.RevisionForward, "entry %s goes from table revision %d to %d", c.cfg.Name, c.policy.Revision, p.Revision)
	c.policy = p
	c.allot()
	for _, w := range c.workers.list {
		if w.linked() && w.revision < p.Revision {
			c.sendTable(now, w)
		}
	}
}

// minPeersInterval is the shortest time between two lists of entries for the agents. While
// a fleet starts, each entry learns of the others one after the other.
const minPeersInterval = time.Second

// setPeers takes over the list of entries.
func (c *Core) setPeers(in SetPeers) {
	if in.Self == c.self && slices.Equal(in.Peers, c.peers) {
		return
	}
	c.self, c.peers, c.peersChanged = in.Self, in.Peers, true
	c.allot()
}

// sendPeers tells the agents, which choose their links from it, of a new list of
// entries.
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
	}
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }
