package lease

import (
	"slices"
	"time"
)

// holdIfDue sends the next hold when one is due.
func (c *Core) holdIfDue() {
	c.queryUnresolved()
	if c.holdCall != 0 || c.now.Before(c.nextHoldAt) {
		return
	}
	switch c.phase {
	case absent:
	case readingClock:
		// A hold with a zero token only reads the worker's clock.
		c.sendHold(Hold{})
	case clearing:
		c.sendHold(Hold{Fence: c.fence, Seen: c.acknowledged()})
	case held:
		c.holdSteadyState()
	}
}

// holdSteadyState renews the lease while something runs, acknowledges the newest ends,
// and keeps a recent reading of an idle worker's clock, which also reveals a restart.
func (c *Core) holdSteadyState() {
	switch {
	case len(c.byName) == 0 && len(c.toStart) == 0 && len(c.unowned) == 0 && c.acked == c.seen && !c.silent && c.clockKnown():
	case c.unanswered > 0, c.leaving, len(c.byName) == 0:
		// The lease of a worker that does not answer is not extended: once it has lapsed,
		// nothing runs there.
		c.sendHold(Hold{Fence: c.fence, Seen: c.acknowledged()})
	default:
		c.sendHold(Hold{Fence: c.fence, Seen: c.acknowledged(), Until: c.renewUntil(c.lastCall + 1), Wait: c.holdWait()})
	}
}

// clockKnown reports whether the estimate of the worker's clock is close enough to start
// tasks with it.
func (c *Core) clockKnown() bool {
	return c.stoodStill == 0 && c.now.Sub(c.clockAt) < clockRefresh
}

// holdWait returns how long a hold waits for an end. While answers are lost it is short:
// no end is seen until a hold without an answer has timed out.
func (c *Core) holdWait() time.Duration {
	if c.answers.Lossy() {
		return min(c.cfg.HoldWait, c.answers.Timeout())
	}
	return c.cfg.HoldWait
}

// queryUnresolved sends a second hold, which does not wait for an end, while an
// attempt needs a hold and the pending one began too early to show it.
func (c *Core) queryUnresolved() {
	if c.phase != held || c.queryCall != 0 || c.holdCall == 0 || c.unanswered > 0 || c.now.Before(c.nextQueryAt) {
		return
	}
	needed := slices.ContainsFunc(c.toStart, func(d delayedStart) bool { return c.holdCall <= d.after })
	for _, e := range c.byName {
		needed = needed || e.needsHold() && c.holdCall <= e.conclusiveAfter
	}
	if needed {
		c.queryCall, c.querySentAt = c.nextCall(), c.now
		c.emit(Hold{Call: c.queryCall, Timeout: c.answers.Timeout(), Instance: c.instance, Fence: c.fence, Seen: c.acknowledged()})
	}
}

func (c *Core) sendHold(h Hold) {
	h.Call, h.Instance, h.Timeout = c.nextCall(), c.instance, h.Wait+c.answers.Timeout()
	c.holdCall, c.holdSeen, c.holdSentAt = h.Call, h.Seen, c.now
	c.emit(h)
}

// answer applies the outcome of a call. Answers to calls of an earlier instance are
// ignored.
func (c *Core) answer(in Answer) {
	if in.Status == OK && in.StartedAtMs != 0 && in.StartedAtMs != c.instance.StartedAtMs && in.Call > c.lastCallBefore {
		c.restarted(in.StartedAtMs)
		return
	}
	if in.Call == c.holdCall && in.Call != 0 {
		c.holdCall = 0
		c.updateClock(in)
		c.holdAnswered(in)
		return
	}
	if in.Call == c.queryCall && in.Call != 0 {
		c.queryCall = 0
		c.updateClock(in)
		c.queryAnswered(in)
		return
	}
	waiting, ok := c.byCall[in.Call]
	if !ok {
		return
	}
	delete(c.byCall, in.Call)
	c.updateClock(in)
	switch in.Status {
	case NotSent:
	case NoAnswer, NotListening:
		c.answers.Unanswered()
	default:
		c.answers.Answered(c.now.Sub(waiting.sentAt))
	}
	if waiting.isStop {
		c.stopAnswered(waiting, in)
		return
	}
	c.startAnswered(waiting.execution, in.Status)
	if in.Status == Fenced {
		c.restartTakeover()
	}
}

// queryAnswered applies the answer to a query. Whether the worker is silent is left to holds.
func (c *Core) queryAnswered(in Answer) {
	if in.Status != OK {
		c.queryPace.Failed()
		c.nextQueryAt = c.queryPace.Next(c.querySentAt, holdSpacing)
		return
	}
	c.queryPace.Answered()
	c.nextQueryAt = time.Time{}
	c.answers.Alive()
	c.confirm(in.Call, c.querySentAt)
	c.applyLists(in)
}

// updateClock keeps the newest reading of the worker's clock. Answers that arrive
// out of order carry older ones.
func (c *Core) updateClock(in Answer) {
	if in.Call > c.lastCallBefore && in.Clock >= c.clock && in.Clock > 0 {
		c.clock, c.clockAt, c.stoodStill = in.Clock, c.now, 0
	}
}

func (c *Core) holdAnswered(in Answer) {
	switch in.Status {
	case OK, Fenced:
		c.answers.Alive()
		c.unanswered, c.nextHoldAt = 0, time.Time{}
		c.holdPace.Answered()
		c.setSilent(false)
		if in.Status == OK {
			c.confirm(in.Call, c.holdSentAt)
		}
	default:
		c.answers.Unanswered()
		if c.unanswered++; c.unanswered == 1 {
			c.unansweredSince = c.now
		}
		c.holdPace.Failed()
		c.nextHoldAt = c.holdPace.Next(c.holdSentAt, holdSpacing)
		after := silentAfter
		if in.Status == NotListening {
			after = refusedAfter
			c.nextHoldAt = c.now.Add(refusedPause)
		}
		if c.unanswered >= silentAfterHolds && c.now.Sub(c.unansweredSince) >= after {
			c.setSilent(true)
			c.nextHoldAt = c.now.Add(c.cfg.ProbeInterval)
		}
		c.noteUnreachable(in.Status)
		return
	}
	switch c.phase {
	case readingClock:
		// The calls of another process that brought a token may have named the end of a lease.
		c.leaseUnknown = c.leaseUnknown || in.Status == Fenced
		c.raiseFence()
		c.phase = clearing
	case clearing:
		c.clearUnowned(in)
	case held:
		if in.Status == Fenced {
			c.restartTakeover()
			return
		}
		c.acked = max(c.acked, c.holdSeen)
		c.applyLists(in)
	}
}

// raiseFence takes a token above those of earlier agents, after a reading of the worker's
// clock.
func (c *Core) raiseFence() {
	c.fence = max(c.fence, c.workerTimeMs()) + max(1, c.fenceStep)
}

// workerTimeMs returns the time of day at the worker in milliseconds, from its start and
// its clock. It rises also across restarts of the worker, whose clock begins anew.
func (c *Core) workerTimeMs() uint64 {
	return uint64(max(0, c.instance.StartedAtMs) + c.clock.Milliseconds())
}

// restartTakeover takes the worker over again with a higher token, after another
// agent of the same worker has used a higher one.
func (c *Core) restartTakeover() {
	c.phase = readingClock
	c.emit(StateChanged{})
}

func (c *Core) setSilent(silent bool) {
	if c.silent != silent {
		c.silent = silent
		c.emit(StateChanged{})
	}
}

// clearUnowned stops what earlier agents started, until nothing of it runs.
func (c *Core) clearUnowned(in Answer) {
	if in.Status == Fenced {
		c.phase, c.fenceStep, c.leaseUnknown = readingClock, max(1, 2*c.fenceStep), true
		return
	}
	c.fenceStep = 0
	if end := c.now.Add(c.cfg.MaxTerm); c.leaseUnknown && end.After(c.promisedEnd) {
		// From here on, the worker refuses calls with lower tokens.
		c.promisedEnd = end
	}
	c.leaseUnknown = false
	c.applyLists(in)
	// Within the first millisecond of a worker its clock reads zero, which tells nothing.
	if len(c.unowned) == 0 && !c.clockAt.IsZero() {
		c.phase = held
		c.emit(StateChanged{})
		return
	}
	c.nextHoldAt = c.now.Add(clearInterval)
}

// clearInterval is the pause between holds while runs of an earlier agent are being
// stopped; a stop takes up to 50 ms.
const clearInterval = 20 * time.Millisecond

// applyLists applies the lists in the answer to a hold.
func (c *Core) applyLists(in Answer) {
	for _, f := range in.Finished {
		if f.Number > c.seen {
			c.seen = f.Number
			c.runFinished(f)
		}
	}
	listed := make(map[string]bool, len(in.Running))
	present := make(map[unownedRun]bool)
	for _, r := range in.Running {
		e, ok := c.byName[r.Task]
		if ok && e.run == r.Run {
			listed[r.Task] = true
			e.missed = 0
			if e.state == startUnknown {
				e.state, e.ran = running, true
			}
			continue
		}
		present[unownedRun{r.Task, r.Run}] = true
		c.stopUnowned(unownedRun{r.Task, r.Run})
	}
	for s := range c.unowned {
		if !present[s] {
			delete(c.unowned, s)
		}
	}
	for _, e := range c.sortedExecutions() {
		if !listed[e.name] {
			c.resolveUnlisted(e, in.Call)
		}
	}
}

// stopUnowned stops a run that belongs to no attempt of this process, such as one
// of an earlier agent or one whose start was carried out late.
func (c *Core) stopUnowned(s unownedRun) {
	state, known := c.unowned[s]
	switch {
	case !known:
		state.foundAt = c.now
	case c.now.Before(state.retryAt):
		return
	}
	state.retryAt = c.now.Add(c.cfg.ProbeInterval)
	c.unowned[s] = state
	c.emit(Stop{Call: c.nextCall(), Timeout: c.answers.Timeout(), Instance: c.instance, Task: s.task, Run: s.run, Fence: c.fence})
}
