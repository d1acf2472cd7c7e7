package lease

import (
	"time"
)

// keepHolding sends the next hold when one is due.
func (c *Core) keepHolding() {
	c.lookAtOnce()
	if c.holdCall != 0 || c.now.Before(c.probeAt) {
		return
	}
	switch c.phase {
	case absent:
	case asking:
		// A token of zero learns the clock and renews nothing.
		c.hold(Hold{})
	case clearing:
		c.hold(Hold{Fence: c.fence, Seen: c.seen})
	case held:
		c.holdSteady()
	}
}

// holdSteady renews the lease while something runs, and acknowledges the ends
// that came last.
func (c *Core) holdSteady() {
	switch {
	case len(c.byName) == 0 && len(c.strays) == 0 && c.acked == c.seen && !c.silent:
	case c.unanswered > 0, c.leaving, len(c.byName) == 0:
		// A worker that does not answer gets no longer lease: once it has lapsed,
		// nothing runs there.
		c.hold(Hold{Fence: c.fence, Seen: c.seen})
	default:
		c.hold(Hold{Fence: c.fence, Seen: c.seen, Until: c.renewal(), Wait: c.cfg.HoldWait})
	}
}

// lookAtOnce asks what runs, beside the hold that waits for an end, while it is
// not known whether an attempt has started.
func (c *Core) lookAtOnce() {
	if c.phase != held || c.lookCall != 0 || c.holdCall == 0 || c.unanswered > 0 {
		return
	}
	for _, e := range c.byName {
		if e.inDoubt() && c.holdCall <= e.since {
			c.lookCall = c.nextCall()
			c.emit(Hold{Call: c.lookCall, Life: c.life, Fence: c.fence, Seen: c.seen})
			return
		}
	}
}

func (c *Core) hold(h Hold) {
	h.Call, h.Life = c.nextCall(), c.life
	c.holdCall, c.holdSeen = h.Call, h.Seen
	c.emit(h)
}

// answer applies the outcome of a call. Answers to calls of an earlier life are
// passed over.
func (c *Core) answer(in Answer) {
	if in.Call == c.holdCall && in.Call != 0 {
		c.holdCall = 0
		c.noteClock(in)
		c.holdAnswered(in)
		return
	}
	if in.Call == c.lookCall && in.Call != 0 {
		c.lookCall = 0
		c.noteClock(in)
		if in.Status == OK {
			c.takeLists(in)
		}
		return
	}
	waiting, ok := c.byCall[in.Call]
	if !ok {
		return
	}
	delete(c.byCall, in.Call)
	c.noteClock(in)
	if waiting.stop {
		c.stopAnswered(waiting.run, in.Call, in.Status)
		return
	}
	c.startAnswered(waiting.run, in.Status)
	if in.Status == Fenced {
		c.retake()
	}
}

// noteClock keeps the newest reading of the worker's clock. An answer that was
// overtaken has an older one.
func (c *Core) noteClock(in Answer) {
	if in.Clock >= c.clock && in.Clock > 0 {
		c.clock, c.clockAt = in.Clock, c.now
	}
}

func (c *Core) holdAnswered(in Answer) {
	switch in.Status {
	case OK, Fenced:
		c.unanswered, c.probeAt = 0, time.Time{}
		c.setSilent(false)
	default:
		if c.unanswered++; c.unanswered >= silentHolds {
			c.setSilent(true)
			c.probeAt = c.now.Add(c.cfg.ProbePause)
		}
		return
	}
	switch c.phase {
	case asking:
		c.fence = max(c.fence, uint64(c.clock/time.Millisecond)) + 1
		c.phase = clearing
	case clearing:
		c.clear(in)
	case held:
		if in.Status == Fenced {
			c.retake()
			return
		}
		c.acked = max(c.acked, c.holdSeen)
		c.takeLists(in)
	}
}

// retake takes the worker over again with a higher token. Two agents of one
// worker are the cause.
func (c *Core) retake() {
	c.phase = asking
	c.emit(Changed{})
}

func (c *Core) setSilent(silent bool) {
	if c.silent != silent {
		c.silent = silent
		c.emit(Changed{})
	}
}

// clear stops what earlier agents started, until nothing of it runs.
func (c *Core) clear(in Answer) {
	if in.Status == Fenced {
		c.phase = asking
		return
	}
	c.takeLists(in)
	if len(c.strays) == 0 {
		c.phase = held
		c.emit(Changed{})
		return
	}
	c.probeAt = c.now.Add(clearPause)
}

// clearPause is the pause between looks at what an earlier agent started; a stop
// takes up to 50 ms.
const clearPause = 20 * time.Millisecond

// takeLists applies the lists in the answer to a hold.
func (c *Core) takeLists(in Answer) {
	for _, f := range in.Finished {
		if f.Number > c.seen {
			c.seen = f.Number
			c.ended(f)
		}
	}
	listed := make(map[string]bool, len(in.Running))
	present := make(map[stray]bool)
	for _, r := range in.Running {
		e, ok := c.byName[r.Task]
		if ok && e.run == r.Run {
			listed[r.Task] = true
			e.missed = 0
			if e.state == doubtful {
				e.state, e.ran = running, true
			}
			continue
		}
		present[stray{r.Task, r.Run}] = true
		c.stopStray(stray{r.Task, r.Run})
	}
	for s := range c.strays {
		if !present[s] {
			delete(c.strays, s)
		}
	}
	for _, e := range c.ordered() {
		if !listed[e.name] {
			c.judge(e, in.Call)
		}
	}
}

// stopStray stops a run that no attempt stands for, such as one of an earlier
// agent or one that was carried out late.
func (c *Core) stopStray(s stray) {
	if again, ok := c.strays[s]; ok && c.now.Before(again) {
		return
	}
	c.strays[s] = c.now.Add(c.cfg.ProbePause)
	c.emit(Stop{Call: c.nextCall(), Life: c.life, Task: s.task, Run: s.run, Fence: c.fence})
}
