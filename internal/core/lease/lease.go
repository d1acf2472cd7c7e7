// Package lease is the state machine of the tasks that one worker runs under a
// lease. It starts and stops tasks, renews the lease, recovers the state of tasks
// after lost answers, and reports for each attempt how it ended or that it never
// started.
//
// Its guarantees rest on three rules. A call that got no answer may be carried out
// much later, so every call that starts or renews names the end of the lease on
// the worker's clock; after that time nothing that the call started can run. Each
// agent process uses a higher fencing token than the ones before it, taken
// from the worker's own clock, so that their late calls have no effect. And the lease,
// which is one for all tasks of the worker, never extends beyond OwnerTerm after the
// newest sign of life of any entry that has a task there, nor beyond StopTerm after the
// request of a stop that is not confirmed: a task that has to end does so in time even if
// its stop gets no answer or this process dies.
//
// The caller drives it with Step and Tick, passing the time, and collects what
// has to be done with TakeOutputs. The package does no I/O, starts no goroutine and
// reads no clock. A Core is not safe for concurrent use.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/callpace"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/roundtrip"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Config holds the timing of one worker's lease.
type Config struct {
	// Term is the length of the lease from each renewal.
	Term time.Duration
	// MaxTerm is the longest lease that a worker grants, whatever end a call names.
	MaxTerm time.Duration
	// HoldWait is how long the worker may wait for an end before it answers a
	// hold. It is shorter than Term by several round trips.
	HoldWait time.Duration
	// OwnerTerm is how long after the newest sign of life of its entry a task may still
	// have a lease.
	OwnerTerm time.Duration
	// StopTerm is how long after its stop was requested a task may still have a lease.
	StopTerm time.Duration
	// ProbeInterval is the pause between holds of a worker that does not answer, and
	// between repeated stops of a run that belongs to no attempt.
	ProbeInterval time.Duration
}

// Defaults of Config for a worker that limits leases to a second and for callers that
// send a job again 1.3 s after its entry has died.
const (
	DefaultTerm          = 900 * time.Millisecond
	DefaultMaxTerm       = time.Second
	DefaultHoldWait      = 40 * time.Millisecond
	DefaultOwnerTerm     = 1150 * time.Millisecond
	DefaultStopTerm      = 900 * time.Millisecond
	DefaultProbeInterval = 200 * time.Millisecond
)

const (
	// clockSlack is by how much a worker's clock may run slow.
	clockSlack = 0.02
	// abortTime is how long a worker takes to end what runs when the lease lapses.
	abortTime = 60 * time.Millisecond
	// tickSlack is how late the caller's ticks may be.
	tickSlack = 100 * time.Millisecond
	// stopRetryDelay is the pause before a stop that got no answer is sent again for the first
	// time.
	stopRetryDelay = 20 * time.Millisecond
	// silentAfterHolds and silentAfter are the number of holds in a row without an answer,
	// and the time since the first of them, at which the worker counts as silent. The
	// answers to a few may be lost, and short timeouts follow each other within
	// milliseconds.
	silentAfterHolds = 3
	silentAfter      = 200 * time.Millisecond
	// refusedAfter takes the place of silentAfter while the worker's VM refuses
	// connections, and refusedPause is the pause between holds then: a refusal comes within
	// a fraction of a millisecond.
	refusedAfter = 50 * time.Millisecond
	refusedPause = 10 * time.Millisecond
	// lostAfterHolds is the number of holds in a row that must omit a running task
	// before it counts as lost.
	lostAfterHolds = 2
	// clockRefresh is the age of the newest reading of the worker's clock at which an idle
	// worker is asked for another one.
	clockRefresh = 2 * time.Second
	// minStartLease is the shortest lease with which a task is started. A shorter one means
	// that a task whose end is not proven keeps the lease from being extended.
	minStartLease = 100 * time.Millisecond
	// confirmTerm is how long an answer shows which instance runs: a process takes longer to
	// start again, unless its connections break meanwhile. A start that has waited for an answer
	// is sent up to confirmDelay after the hold, so that a process that is late by more than
	// confirmTerm still starts tasks; confirmLimit is how long a start waits.
	confirmTerm, confirmDelay, confirmLimit = 150 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond
	// ackTerm is how long after it was sent an answered hold lets later ones acknowledge ends.
	// While tasks run, a hold is always under way and fails when the worker crashes, so that
	// only a pause of this process hides a restart. A slow process still acknowledges ends.
	ackTerm = 500 * time.Millisecond
)

// holdSpacing spaces out holds and queries that fail at once. Its Max lets silentAfter pass with no more than
// eight connections and without delaying the moment at which the worker counts as silent by
// more than that.
var holdSpacing = callpace.Bounds{Min: 10 * time.Millisecond, Max: 50 * time.Millisecond}

// answerBounds limit the timeouts of calls, apart from the time that a hold waits at the
// worker. The worker is on the same VM and answers within a millisecond; the rest is the
// delay of this process, which has a fraction of a core.
var answerBounds = roundtrip.Bounds{Min: 10 * time.Millisecond, Max: 30 * time.Millisecond}

// phase is the progress of this process in taking over the worker.
type phase uint8

const (
	// absent means that no worker has announced itself.
	absent phase = iota
	// readingClock waits for the worker's clock, from which the fencing token is
	// derived.
	readingClock
	// clearing stops what earlier agents started.
	clearing
	// held is the steady state: nothing of earlier agents runs.
	held
)

// Core is the state of one worker's lease.
type Core struct {
	cfg   Config
	now   time.Time
	fence uint64
	// promisedEnd is the furthest end of the lease that was ever sent. A restarted worker may
	// carry out what was sent to its earlier instance.
	promisedEnd time.Time
	// leaseUnknown is set while the worker may have a lease that ends after promisedEnd, or get
	// one until it has seen the present token: from calls of another agent process, or from
	// calls that were meant for an earlier instance.
	leaseUnknown bool
	// answers follows the answer times of starts and stops, and the loss of all answers.
	answers  roundtrip.Estimator
	lastCall uint64
	byName   map[string]*execution
	owners   map[msg.Incarnation]*owner
	// limited is set while the lease cannot be extended by minStartLease.
	limited bool
	// evacuated is set while the worker's failure domain is evacuated, whichever instance of
	// the worker runs.
	evacuated bool
	byCall    map[uint64]call
	out       []Output
	instanceState
}

// instanceState is what is believed of one instance of the worker. Each instance begins with a
// new value, so that nothing of an earlier one is applied to it.
type instanceState struct {
	phase    phase
	instance Instance
	// fenceStep is by how much the next token exceeds the one that was too low. It doubles
	// until a token is accepted: the one that the worker has seen may be far above its clock.
	fenceStep uint64
	// clock is the worker's clock in its newest answer, which came at clockAt. It may have
	// stood still for stoodStill since then.
	clock      time.Duration
	clockAt    time.Time
	stoodStill time.Duration
	// silent is set while the worker does not answer holds. Its lease is then not
	// renewed.
	silent bool
	// unanswered counts the holds in a row without an answer; unansweredSince is when the
	// first of them had timed out.
	unanswered      int
	unansweredSince time.Time
	// holdPace and queryPace space out holds and queries that fail at once.
	holdPace, queryPace callpace.Pace
	// leaving is set when the worker has deregistered, announcedLeaving when it has
	// announced that it is going to end.
	leaving, announcedLeaving bool
	// crashReported is set once Crashed was emitted for the instance.
	crashReported bool
	// seen is the number of the newest end that was applied, acked that of the
	// newest one that the worker knows to be applied.
	seen, acked uint64
	// lastCallBefore is the last call to earlier instances: its answer may be theirs.
	lastCallBefore uint64
	// holdCall is the hold that waits for its answer, or zero. queryCall is a second
	// one, which does not wait for an end.
	holdCall, queryCall uint64
	holdSeen            uint64
	// nextHoldAt and nextQueryAt are when the next hold and query may be sent.
	nextHoldAt, nextQueryAt time.Time
	// holdSentAt and querySentAt are when holdCall and queryCall were sent. The instance has
	// answered confirmedCall, a hold that was sent at confirmedAt, and none that is newer.
	holdSentAt, querySentAt, confirmedAt time.Time
	confirmedCall                        uint64
	// renewalCall is the newest call that names an end of the lease, sent at renewedAt. An answer
	// to it or to a later hold shows that no other instance has carried it out.
	renewedAt   time.Time
	renewalCall uint64
	// toStart holds the starts that wait until the instance has answered a hold.
	toStart []delayedStart
	unowned map[unownedRun]unownedState
}

// newInstanceState returns the state of an instance that is taken over after the given call.
func newInstanceState(instance Instance, lastCall uint64) instanceState {
	return instanceState{instance: instance, phase: readingClock, lastCallBefore: lastCall, unowned: make(map[unownedRun]unownedState)}
}

// owner is an entry that has attempts at the worker.
type owner struct {
	// seen is the time of the newest proof that the entry is alive.
	seen     time.Time
	attempts int
}

// call is a start or a stop that waits for its answer.
type call struct {
	execution *execution
	isStop    bool
	sentAt    time.Time
}

// unownedRun is a run at the worker that belongs to no attempt of this process.
type unownedRun struct {
	task string
	run  uint32
}

// unownedState is the progress of stopping a run that belongs to no attempt.
type unownedState struct{ foundAt, retryAt time.Time }

// New returns a core without a worker. Zero fields of cfg take their defaults.
func New(cfg Config) *Core {
	cfg.Term = cmp.Or(cfg.Term, DefaultTerm)
	cfg.MaxTerm = cmp.Or(cfg.MaxTerm, DefaultMaxTerm)
	cfg.HoldWait = cmp.Or(cfg.HoldWait, DefaultHoldWait)
	cfg.OwnerTerm = cmp.Or(cfg.OwnerTerm, DefaultOwnerTerm)
	cfg.StopTerm = cmp.Or(cfg.StopTerm, DefaultStopTerm)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	return &Core{
		cfg: cfg, answers: roundtrip.New(answerBounds), byName: make(map[string]*execution), byCall: make(map[uint64]call),
		owners: make(map[msg.Incarnation]*owner),
	}
}

// ReleaseAfter returns how long after the newest sign of life of its entry a task may
// still run, including the drift of the worker's clock and the delay of the caller's ticks.
func ReleaseAfter(cfg Config) time.Duration {
	return cmp.Or(cfg.OwnerTerm, DefaultOwnerTerm) + lapseSlack(cmp.Or(cfg.Term, DefaultTerm))
}

// lapseSlack returns how long after the end of a lease of the given length something may
// still run.
func lapseSlack(term time.Duration) time.Duration {
	return time.Duration(clockSlack*float64(term)) + abortTime + tickSlack
}

// TakeOutputs returns the outputs gathered since the last call, in order.
func (c *Core) TakeOutputs() []Output {
	out := c.out
	c.out = nil
	return out
}

// Ready reports whether tasks may be started: the worker answers, is not leaving, its
// lease can be extended, and nothing of earlier agents runs.
func (c *Core) Ready() bool { return c.phase == held && !c.silent && !c.leaving && !c.limited }

// Settled reports whether nothing that an earlier agent started runs any more.
func (c *Core) Settled() bool { return c.phase == held }

// Step applies one input.
func (c *Core) Step(now time.Time, in Input) {
	c.advance(now)
	switch in := in.(type) {
	case Announced:
		c.announced(in)
	case RunTask:
		c.runTask(in)
	case StopTask:
		c.withdraw(in.Attempt)
		c.stop(c.find(in.Attempt))
	case OwnerSeen:
		c.ownerSeen(in)
	case Suspended:
		c.suspended(in.For)
	case Answer:
		c.answer(in)
	case SetEvacuated:
		// startConfirmed refuses the starts that wait. One that is under way to the worker may
		// still be carried out until the end of the lease that it names.
		c.evacuated = in.Evacuated
	}
	c.updateLimited()
	c.startConfirmed()
	c.holdIfDue()
}

// Tick stops attempts past their run time, repeats stops that got no answer, aborts
// attempts whose lease has lapsed and sends the hold that is due.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	c.abortLapsed()
	for _, e := range c.sortedExecutions() {
		if c.lapsedUnconfirmed(e) {
			c.finish(e, msg.ResultAborted, verdict.NeverStarted)
			continue
		}
		if !e.endBy.IsZero() && !c.now.Before(e.endBy) {
			c.stop(e)
		}
		if e.stopDue(c.now) {
			c.sendStop(e)
		}
	}
	c.updateLimited()
	c.startConfirmed()
	c.holdIfDue()
}

func (c *Core) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// sortedExecutions returns the executions by name, so that outputs have a fixed order.
func (c *Core) sortedExecutions() []*execution {
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

// announced begins to take over a new instance of the worker. A late announcement of
// an earlier instance changes nothing.
func (c *Core) announced(in Announced) {
	known := in.Instance == c.instance && !(in.Replaces && c.leaving)
	if known {
		c.announcedLeaving = c.announcedLeaving || in.Leaving
		return
	}
	if c.phase != absent && !in.Replaces && in.Instance.StartedAtMs <= c.instance.StartedAtMs {
		return
	}
	if c.phase != absent && in.Instance.ID == c.instance.ID {
		c.restarted(in.Instance.StartedAtMs)
		c.announcedLeaving = in.Leaving
		return
	}
	c.reportCrash()
	c.refuseDelayed(verdict.WrongIncarnation)
	c.abortAll()
	fresh := New(c.cfg)
	fresh.now, fresh.out, fresh.lastCall, fresh.evacuated = c.now, c.out, c.lastCall, c.evacuated
	fresh.instanceState = newInstanceState(in.Instance, c.lastCall)
	fresh.announcedLeaving = in.Leaving
	*c = *fresh
}

// restarted takes the worker over again after a restart under the same ID. Calls name only
// the ID, so that the new instance may have carried out calls that were meant for the
// earlier one: what it runs decides about the attempts.
func (c *Core) restarted(startedAtMs int64) {
	c.reportCrash()
	c.refuseDelayed(verdict.WrongIncarnation)
	if end := c.now.Add(c.cfg.MaxTerm); !c.renewalConfirmed() && end.After(c.promisedEnd) {
		// The new instance may have carried the call out until now, and granted its longest
		// lease: an end on the earlier instance's clock is far ahead on its own.
		c.promisedEnd = end
	}
	c.leaseUnknown = c.leaseUnknown || !c.renewalConfirmed()
	c.instanceState = newInstanceState(Instance{ID: c.instance.ID, StartedAtMs: startedAtMs}, c.lastCall)
	for _, e := range c.byName {
		e.workerRestarted(c.lastCall)
	}
	c.emit(Restarted{Instance: c.instance, Attempts: len(c.byName)})
	c.emit(StateChanged{})
}

// Fence returns the fencing token of the latest calls.
func (c *Core) Fence() uint64 { return c.fence }

// WorkerLeaving records that the worker is ending, and reports whether that applies
// to its present instance. The lease is not renewed any more.
func (c *Core) WorkerLeaving(now time.Time, instance Instance) bool {
	c.advance(now)
	if instance.ID != c.instance.ID || c.phase == absent {
		return false
	}
	c.leaving = true
	c.emit(StateChanged{})
	return true
}

// abortAll reports every attempt as aborted. It is called when the worker's
// present instance or its lease has ended.
func (c *Core) abortAll() {
	for _, e := range c.sortedExecutions() {
		c.finish(e, msg.ResultAborted, verdict.NeverStarted)
	}
}

// abortLapsed ends the attempts at a silent or leaving worker once the lease has
// lapsed.
func (c *Core) abortLapsed() {
	if (c.silent || c.leaving) && len(c.byName) > 0 && !c.now.Before(c.lapsedBy()) {
		c.abortAll()
	}
}

// lapsedUnconfirmed reports whether an attempt has ended with its lease, although its stop
// was never confirmed. A worker that answers lists the end before that.
func (c *Core) lapsedUnconfirmed(e *execution) bool {
	return e.stopRequested && !c.now.Before(e.stopRequestedAt.Add(c.cfg.StopTerm)) && !c.now.Before(c.lapsedBy())
}

// renewalConfirmed reports whether the instance that the core knows has carried out the newest
// call that names an end of the lease, if anything has.
func (c *Core) renewalConfirmed() bool { return c.confirmedCall >= c.renewalCall }

// lapsedBy returns when every lease that was ever sent has lapsed.
func (c *Core) lapsedBy() time.Time {
	end := c.promisedEnd
	if longest := c.renewedAt.Add(c.cfg.MaxTerm); !c.renewalConfirmed() && longest.After(end) {
		// A restarted worker may have carried the call out.
		end = longest
	}
	return end.Add(lapseSlack(c.cfg.MaxTerm))
}

// workerClock estimates the worker's clock. The estimate is never ahead of the real one,
// which may be slow.
func (c *Core) workerClock() time.Duration {
	return c.clock + time.Duration((1-clockSlack)*float64(c.now.Sub(c.clockAt)-c.stoodStill))
}

// suspended records that the worker's clock may have stood still: leases may end later by as
// much.
func (c *Core) suspended(d time.Duration) {
	c.stoodStill += d
	// The worker was not started again meanwhile.
	c.confirmedAt, c.holdSentAt, c.querySentAt = c.confirmedAt.Add(d), c.holdSentAt.Add(d), c.querySentAt.Add(d)
	c.promisedEnd, c.renewedAt = c.promisedEnd.Add(d), c.renewedAt.Add(d)
}

// ownerSeen records a sign of life of an entry that has attempts here.
func (c *Core) ownerSeen(in OwnerSeen) {
	if o := c.owners[in.Owner]; o != nil && in.At.After(o.seen) {
		o.seen = in.At
	}
}

// leaseEnd returns the end of a lease that is renewed now, which lies in the past while
// the lease must not be extended.
func (c *Core) leaseEnd() time.Time {
	end := c.now.Add(c.cfg.Term)
	for _, o := range c.owners {
		if limit := o.seen.Add(c.cfg.OwnerTerm); limit.Before(end) {
			end = limit
		}
	}
	for _, e := range c.byName {
		if e.stopRequested && e.stopLimit.Before(end) {
			end = e.stopLimit
		}
	}
	for _, u := range c.unowned {
		if limit := u.foundAt.Add(c.cfg.StopTerm); limit.Before(end) {
			end = limit
		}
	}
	return end
}

// updateLimited follows whether the lease can be extended far enough to start tasks.
func (c *Core) updateLimited() {
	if limited := c.leaseEnd().Sub(c.now) < minStartLease; limited != c.limited {
		c.limited = limited
		c.emit(StateChanged{})
		if limited {
			c.emit(c.limit())
		}
	}
}

// limit returns what keeps the lease from being extended.
func (c *Core) limit() Limited {
	l := Limited{UnconfirmedStops: len(c.unowned)}
	for _, e := range c.byName {
		if e.stopRequested {
			l.UnconfirmedStops++
		}
	}
	for _, o := range c.owners {
		l.OwnerSilence = max(l.OwnerSilence, c.now.Sub(o.seen))
	}
	return l
}

// renewUntil returns the lease's new end on the worker's clock, for the call with the given
// number, and records it. It returns zero while the lease must not be extended.
func (c *Core) renewUntil(call uint64) time.Duration {
	end := c.leaseEnd()
	if !end.After(c.now) {
		return 0
	}
	if end.After(c.promisedEnd) {
		c.promisedEnd = end
	}
	c.renewedAt, c.renewalCall = c.now, call
	return c.workerClock() + end.Sub(c.now)
}

func (c *Core) nextCall() uint64 {
	c.lastCall++
	return c.lastCall
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }
