package agent

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// A leased worker's tasks can be stopped. The agent stops those of an entry that
// no longer echoes a recent agent clock: the entry, or the path to it, may be
// gone, and its caller may send the job again elsewhere.

// leaseChanged stores the state of the worker's lease. An entry that has attempts of an earlier
// agent process has to know that they are under a lease, before the worker is heard of.
func (c *Core) leaseChanged(now time.Time, in LeaseChanged) {
	before := c.endpoint.advertised()
	c.endpoint.leased, c.endpoint.ready, c.endpoint.settled = true, in.Ready, in.Settled
	if before != c.endpoint.advertised() {
		c.sendHellos(now)
	}
}

// leaseRefusal returns why an attempt must not start at a leased worker, or zero.
// A dispatch with an old clock was delayed on the way and is refused, since the
// entry may have given it up. One from before the worker's present description may have been
// sent here for what an earlier instance was.
func (c *Core) leaseRefusal(now time.Time, d msg.Dispatch) verdict.RetryReason {
	switch {
	case c.Clock(now)-d.EchoedClock >= c.cfg.OrphanAfter:
		return verdict.StartByPassed
	case d.EchoedClock < c.endpoint.describedAt, d.Report != 0 && d.Report < c.endpoint.describedBy:
		return verdict.WrongIncarnation
	case c.stalled(now):
		return verdict.WorkerStalled
	case !d.Size.FitsIn(c.Room()):
		return verdict.NoSlot
	}
	return 0
}

// echoed records the agent clock that an entry has sent back, if it is newer than those
// before.
func (c *Core) echoed(now time.Time, e *entryState, clock time.Duration) {
	clock = min(clock, c.Clock(now))
	if clock <= e.echoedClock {
		return
	}
	e.echoedClock = clock
	if c.endpoint.leased && e.running > 0 {
		c.emit(EntrySeen{Entry: e.incarnation, At: c.cfg.Epoch.Add(clock)})
	}
}

// stopOrphans stops the attempts of entries that have echoed no recent agent clock.
func (c *Core) stopOrphans(now time.Time) {
	if !c.endpoint.leased || c.running == 0 {
		return
	}
	var stopped OrphansStopped
	for _, id := range c.runningIDs() {
		e := c.entries.byIncarnation[id.Entry]
		if e != nil && c.Clock(now)-e.echoedClock < c.cfg.OrphanAfter || !c.stopAttempt(id) {
			continue
		}
		if id.Entry != stopped.Entry && stopped.Attempts > 0 {
			c.emit(stopped)
			stopped.Attempts = 0
		}
		stopped.Entry = id.Entry
		stopped.Attempts++
	}
	if stopped.Attempts > 0 {
		c.emit(stopped)
	}
}

// stopAttempts stops every running attempt of the entry at a leased worker.
func (c *Core) stopAttempts(e *entryState) {
	if !c.endpoint.leased {
		return
	}
	for _, id := range c.runningIDs() {
		if id.Entry == e.incarnation {
			c.stopAttempt(id)
		}
	}
}

// stopRevoked stops attempts that an entry has revoked.
func (c *Core) stopRevoked(refs []msg.AttemptRef) {
	for _, ref := range refs {
		c.stopAttempt(ref.Attempt)
	}
}

// stopAttempt requests the end of a running attempt and reports whether it is the first
// request.
func (c *Core) stopAttempt(id msg.AttemptID) bool {
	a := c.attempts[id]
	if a == nil || a.state != stateRunning || a.stopping || !c.endpoint.leased {
		return false
	}
	a.stopping = true
	c.stall.detector.Stopping(id)
	c.emit(StopTask{Attempt: id})
	return true
}

// runningIDs returns the running attempts in a fixed order, those of one entry together.
func (c *Core) runningIDs() []msg.AttemptID {
	var ids []msg.AttemptID
	for id, a := range c.attempts {
		if a.state == stateRunning {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, msg.AttemptID.Compare)
	return ids
}
