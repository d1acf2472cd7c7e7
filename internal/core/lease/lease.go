// Package lease is the state machine of the tasks that one worker runs under a
// lease. It starts, holds, stops and finds again what runs there, and says for
// each attempt how it ended, or that it never started.
//
// Two facts carry its promises. A call that got no answer may be carried out
// much later, so every call names the time on the worker's clock up to which
// the lease then lasts; after that time nothing that the call started can run.
// And each agent process uses a higher fencing token than the ones before it,
// taken from the worker's own clock, so that their late calls do nothing.
//
// The caller drives it with Step and Tick, passing the time, and collects what
// has to be done with Drain. The package does no I/O, starts no goroutine and
// reads no clock. A Core is not safe for concurrent use.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Config holds the timing of one worker's lease.
type Config struct {
	// Term is the length of the lease from each renewal.
	Term time.Duration
	// HoldWait is how long the worker may wait for an end before it answers a
	// hold. It is shorter than Term by several round trips.
	HoldWait time.Duration
	// ProbePause is the pause between holds of a worker that does not answer.
	ProbePause time.Duration
}

// Defaults of Config for a worker that limits leases to a second.
const (
	DefaultTerm       = 900 * time.Millisecond
	DefaultHoldWait   = 40 * time.Millisecond
	DefaultProbePause = 200 * time.Millisecond
)

const (
	// clockSlack is by how much a worker's clock may run slow.
	clockSlack = 0.02
	// killTime is how long a worker takes to end what runs when the lease lapses.
	killTime = 60 * time.Millisecond
	// tickSlack is what the caller's ticks may be late.
	tickSlack = 100 * time.Millisecond
	// stopPause is the pause before a stop that got no answer is sent again.
	stopPause = 20 * time.Millisecond
	// silentHolds is the number of holds in a row without an answer after which the
	// worker counts as silent. The answer to a single one may be lost.
	silentHolds = 3
	// missedHolds is the number of holds in a row that must lack a running task
	// before it counts as lost.
	missedHolds = 2
)

// phase is how far this process has taken over the worker.
type phase uint8

const (
	// absent means that no worker has announced itself.
	absent phase = iota
	// asking waits for the worker's clock, from which the fencing token is taken.
	asking
	// clearing stops what earlier agents started.
	clearing
	// held is the steady state.
	held
)

// Core is the state of one worker's lease.
type Core struct {
	cfg   Config
	now   time.Time
	phase phase
	life  Life
	fence uint64
	// clock is the worker's clock in its newest answer, which came at clockAt.
	clock   time.Duration
	clockAt time.Time
	// lapses is when the lease of everything that was ever sent has lapsed.
	lapses time.Time
	// silent is set while the worker does not answer holds. Its lease is then not
	// renewed.
	silent bool
	// unanswered counts the holds in a row without an answer.
	unanswered int
	// leaving is set when the worker said that it ends now.
	leaving bool
	// seen is the number of the newest end that was taken note of, acked that of
	// the newest one that the worker knows to be.
	seen, acked uint64
	calls       uint64
	// holdCall is the hold that waits for its answer, or zero. lookCall is a second
	// one, which does not wait for an end.
	holdCall, lookCall uint64
	holdSeen           uint64
	probeAt            time.Time
	byName             map[string]*execution
	byCall             map[uint64]call
	strays             map[stray]time.Time
	out                []Output
}

// call is a start or a stop that waits for its answer.
type call struct {
	run  *execution
	stop bool
}

// stray is a run at the worker that no attempt of this process stands for.
type stray struct {
	task string
	run  uint32
}

// New returns a core without a worker. Zero fields of cfg take their defaults.
func New(cfg Config) *Core {
	cfg.Term = cmp.Or(cfg.Term, DefaultTerm)
	cfg.HoldWait = cmp.Or(cfg.HoldWait, DefaultHoldWait)
	cfg.ProbePause = cmp.Or(cfg.ProbePause, DefaultProbePause)
	return &Core{cfg: cfg, byName: make(map[string]*execution), byCall: make(map[uint64]call), strays: make(map[stray]time.Time)}
}

// Tail returns how long after a renewal something may still run.
func Tail(cfg Config) time.Duration {
	term := cmp.Or(cfg.Term, DefaultTerm)
	return term + time.Duration(clockSlack*float64(term)) + killTime + tickSlack
}

// Drain returns the outputs gathered since the last call, in order.
func (c *Core) Drain() []Output {
	out := c.out
	c.out = nil
	return out
}

// Ready tells whether the worker answers and nothing of earlier agents runs.
func (c *Core) Ready() bool { return c.phase == held && !c.silent && !c.leaving }

// Settled tells whether nothing that an earlier agent started runs any more.
func (c *Core) Settled() bool { return c.phase == held }

// Step applies one input.
func (c *Core) Step(now time.Time, in Input) {
	c.advance(now)
	switch in := in.(type) {
	case Announced:
		c.announced(in.Life)
	case Begin:
		c.begin(in)
	case End:
		c.stop(c.find(in.Attempt))
	case Answer:
		c.answer(in)
	}
	c.keepHolding()
}

// Tick ends what is overdue and repeats calls that got no answer.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	c.lapse()
	for _, e := range c.ordered() {
		if !e.endBy.IsZero() && !c.now.Before(e.endBy) {
			c.stop(e)
		}
		if e.retryStop(c.now) {
			c.sendStop(e)
		}
	}
	c.keepHolding()
}

func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// ordered returns the executions by name, so that outputs have a fixed order.
func (c *Core) ordered() []*execution {
	all := make([]*execution, 0, len(c.byName))
	for _, e := range c.byName {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *execution) int { return cmp.Compare(a.name, b.name) })
	return all
}

func (c *Core) find(id msg.AttemptID) *execution {
	for _, e := range c.byName {
		if e.id == id {
			return e
		}
	}
	return nil
}

// announced begins to take over a new life of the worker. An announcement of an
// earlier life that arrives late changes nothing.
func (c *Core) announced(life Life) {
	if life == c.life || c.phase != absent && life.Born <= c.life.Born {
		return
	}
	c.endAll()
	fresh := New(c.cfg)
	fresh.now, fresh.out, fresh.calls, fresh.phase, fresh.life = c.now, c.out, c.calls, asking, life
	*c = *fresh
}

// Left says that the worker ends now, and returns whether it is about the present
// life. The lease is not renewed any more.
func (c *Core) Left(now time.Time, life Life) bool {
	c.advance(now)
	if life.ID != c.life.ID || c.phase == absent {
		return false
	}
	c.leaving = true
	c.emit(Changed{})
	return true
}

// endAll reports every attempt as aborted. It is called when the worker's
// present life or its lease has ended.
func (c *Core) endAll() {
	for _, e := range c.ordered() {
		c.finish(e, msg.ResultAborted, verdict.NeverStarted)
	}
}

// lapse ends what ran at a worker that has been silent until its lease lapsed.
func (c *Core) lapse() {
	if (c.silent || c.leaving) && len(c.byName) > 0 && !c.now.Before(c.lapses) {
		c.endAll()
	}
}

// workerClock estimates the worker's clock. It is never ahead of the real one
// by more than clockSlack of the time since the last answer.
func (c *Core) workerClock() time.Duration { return c.clock + c.now.Sub(c.clockAt) }

// renewal returns the lease's new end on the worker's clock and remembers when
// it has surely passed.
func (c *Core) renewal() time.Duration {
	end := c.now.Add(Tail(c.cfg))
	if end.After(c.lapses) {
		c.lapses = end
	}
	return c.workerClock() + c.cfg.Term
}

func (c *Core) nextCall() uint64 {
	c.calls++
	return c.calls
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }
