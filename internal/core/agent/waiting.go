package agent

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Several entries share the workers, and learn of each other's tasks from reports that are
// older the more an entry has to do. When the workers are nearly full, half of the
// dispatches of an entry that is behind meet a worker without room, and each refusal costs
// it two further messages: it falls behind still more. Such a dispatch may wait here for
// the next task to end, which is sooner than the entry could send it elsewhere. The figure
// to keep low is the number of dispatches for each task that runs.

// waitingDispatch is a dispatch that waits for room until a time.
type waitingDispatch struct {
	entry    *entryState
	dispatch msg.Dispatch
	until    time.Time
}

// roomExpected reports whether room for the dispatch is expected within the time that it
// may wait, behind those that already wait. Only the release of cores is followed, so a
// dispatch that lacks another resource is not expected to find it.
func (c *Core) roomExpected(now time.Time, d msg.Dispatch) bool {
	if !c.endpoint.leased || d.WaitForRoom <= 0 || !d.Size.FitsIn(c.endpoint.size) {
		return false
	}
	room, others := c.Room(), d.Size
	if others.Cores = 0; !others.FitsIn(room) {
		return false
	}
	missing := d.Size.Cores - room.Cores
	for _, w := range c.waiting {
		missing += w.dispatch.Size.Cores
	}
	return c.releases.expect(now, missing) <= d.WaitForRoom
}

// await keeps a dispatch until there is room for it.
func (c *Core) await(now time.Time, e *entryState, d msg.Dispatch) {
	e.claim = d.Claim
	c.attempts[d.Attempt] = &attempt{state: stateWaiting, startBy: d.StartBy, size: d.Size, taskName: d.TaskName, jobType: d.JobType}
	c.waiting = append(c.waiting, waitingDispatch{entry: e, dispatch: d, until: now.Add(d.WaitForRoom)})
}

// startWaiting starts the waiting dispatches that have room, and refuses those that may not
// start any more or have waited for too long. Those that were revoked or whose link has
// broken never start.
func (c *Core) startWaiting(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, w := range waiting {
		a, id := c.attempts[w.dispatch.Attempt], w.dispatch.Attempt
		if a == nil || a.state != stateWaiting {
			continue
		}
		if c.entries.link(id.Entry) != w.entry {
			c.recordNeverStarts(id, w.dispatch.StartBy)
			continue
		}
		switch reason := c.refusal(now, w.entry, w.dispatch); {
		case reason == 0:
			c.start(now, w.entry, w.dispatch)
		case reason == verdict.NoSlot && now.Before(w.until):
			c.waiting = append(c.waiting, w)
		default:
			c.refuse(now, w.entry, w.dispatch, reason)
		}
	}
}

// releaseHorizon is the time over which the rate of released cores is averaged.
const releaseHorizon = 500 * time.Millisecond

// releaseRate follows the cores that ending tasks release. The zero value is ready for use.
type releaseRate struct {
	// sum is the decayed sum of the released cores, as of at.
	sum float64
	at  time.Time
}

func (r *releaseRate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/releaseHorizon.Seconds())
}

func (r *releaseRate) add(now time.Time, cores float64) { r.sum, r.at = r.decayed(now)+cores, now }

// expect returns the time until this many cores are released.
func (r *releaseRate) expect(now time.Time, cores float64) time.Duration {
	rate := r.decayed(now) / releaseHorizon.Seconds()
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(max(0, cores)/rate, releaseHorizon.Seconds()) * float64(time.Second))
}
