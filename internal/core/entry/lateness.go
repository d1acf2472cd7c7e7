package entry

import "time"

// During a burst, an entry with little processor time reads the messages of its agents
// late. It then knows less of the workers' room, more of its dispatches are refused, and
// each refusal waits to be read as well. The entry measures how late it is, lets agents keep
// a dispatch for about as long as a refusal would hold the task up, and does not count the
// delay as run time of a task. The figure to keep high is the part of the jobs that such an
// entry answers in time.

const (
	// latenessGain is the weight of one message in the mean delay.
	latenessGain = 1.0 / 32
	// clockTolerance is by how much of the elapsed time the clocks of two VMs may drift
	// apart.
	clockTolerance = 200e-6
	// delaysPerRefusal is how many delays a refusal costs: its own, and those of the
	// dispatches that follow, as the next worker is likely to be full as well.
	delaysPerRefusal = 4
	// maxWaitForRoom bounds the time that a dispatch may wait at an agent.
	maxWaitForRoom = 100 * time.Millisecond
	// maxDelay bounds what one message adds to the mean. After a pause of this process all
	// messages are late once.
	maxDelay = 2 * maxWaitForRoom
)

// transit measures how long messages of one agent are under way beyond the fastest one. The
// clocks of the two VMs have different zeros.
type transit struct {
	// least is the least difference of the clocks, seen at.
	least time.Duration
	at    time.Time
}

// delay returns the delay of a message that the agent sent at the reading clock of its own
// clock.
func (t *transit) delay(now time.Time, clock time.Duration) time.Duration {
	offset := now.Sub(time.Unix(0, 0)) - clock
	if !t.at.IsZero() {
		t.least += time.Duration(clockTolerance * float64(now.Sub(t.at)))
	}
	if t.at.IsZero() || offset < t.least {
		t.least = offset
	}
	t.at = now
	return offset - t.least
}

// recordDelay records the delay of a message from the worker's agent.
func (c *Core) recordDelay(now time.Time, w *worker, clock time.Duration) {
	c.latestDelay = w.transit.delay(now, clock)
	c.messageDelay += latenessGain * (min(c.latestDelay, maxDelay).Seconds() - c.messageDelay)
}

// LatestDelay returns how long the latest message from an agent was under way beyond the
// fastest one of its agent.
func (c *Core) LatestDelay() time.Duration { return c.latestDelay }

// MessageDelay returns how long messages from agents wait to be read, on the mean of the
// latest ones.
func (c *Core) MessageDelay() time.Duration {
	return time.Duration(c.messageDelay * float64(time.Second))
}

// waitForRoom returns how long a dispatch of the job may wait at an agent: as long as its
// refusal would hold the task up. Half of the time until the job's latest start is left for
// a further dispatch, unless that is less than the delay of one message.
func (c *Core) waitForRoom(now time.Time, j *job) time.Duration {
	wait := delaysPerRefusal * c.MessageDelay()
	if !j.latestStart.IsZero() {
		wait = min(wait, max(j.latestStart.Sub(now)/2, c.MessageDelay()))
	}
	return min(wait, maxWaitForRoom)
}

// answerAllowance returns by how much later than the run time of its task an answer may be
// read because this entry is late: the dispatch may have waited for room, and the answer
// waits to be read. A burst delays some messages by more than the mean.
func (c *Core) answerAllowance() time.Duration { return 3 * min(c.MessageDelay(), maxWaitForRoom) }
