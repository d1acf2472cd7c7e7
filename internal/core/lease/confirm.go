package lease

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// A start names only the ID of the worker, which a restarted one keeps, and its answer does not
// tell when the worker started. A worker that has restarted while it was idle, or while this
// process was paused, would run tasks that were sent there for what it was before, under a lease
// on its former clock. So a start waits for the answer to a hold, unless there is a recent one.

// delayedStart is a start that waits for the answer to a hold.
type delayedStart struct {
	RunTask
	// at is when it came; after is the newest call that had been sent by then.
	at    time.Time
	after uint64
}

// confirmed reports whether the instance that the core knows is certain to be the one that
// runs.
func (c *Core) confirmed() bool {
	return c.unanswered == 0 && c.now.Sub(c.confirmedAt) < confirmTerm
}

// confirmedFor reports whether a start that has waited may be sent: a hold that began after it
// came was answered.
func (c *Core) confirmedFor(d delayedStart) bool {
	return c.unanswered == 0 && c.confirmedCall > d.after && c.now.Sub(c.confirmedAt) < confirmDelay
}

// confirm records that the instance has answered a hold.
func (c *Core) confirm(call uint64, sentAt time.Time) {
	if call > c.confirmedCall {
		c.confirmedCall, c.confirmedAt = call, sentAt
	}
}

// acknowledged returns the number of the newest end that the next hold acknowledges. It is zero
// if the worker may have restarted: the numbers of its ends begin anew, and it would forget ends
// that the core has not seen.
func (c *Core) acknowledged() uint64 {
	if c.unanswered > 0 || c.now.Sub(c.confirmedAt) >= ackTerm {
		return 0
	}
	return c.seen
}

// startConfirmed sends the starts that have waited for the answer to a hold, and refuses those
// that may not start any more.
func (c *Core) startConfirmed() {
	if len(c.toStart) == 0 {
		return
	}
	delayed := c.toStart
	c.toStart = nil
	for _, d := range delayed {
		reason := c.refusal(d.RunTask)
		switch {
		case reason == 0 && (c.confirmed() || c.confirmedFor(d)):
			c.start(d.RunTask)
		case reason == 0 && c.now.Sub(d.at) < confirmLimit:
			c.toStart = append(c.toStart, d)
		case reason == 0:
			c.emit(Ended{Attempt: d.Attempt, Kind: msg.ResultNotReached, Reason: verdict.NotReached})
		default:
			c.emit(Ended{Attempt: d.Attempt, Kind: msg.ResultNotReached, Reason: reason})
		}
	}
}

// refuseDelayed ends the attempts whose start was not sent.
func (c *Core) refuseDelayed(reason verdict.RetryReason) {
	for _, d := range c.toStart {
		c.emit(Ended{Attempt: d.Attempt, Kind: msg.ResultNotReached, Reason: reason})
	}
	c.toStart = nil
}

// withdraw ends an attempt that has to stop before its start was sent.
func (c *Core) withdraw(id msg.AttemptID) {
	i := slices.IndexFunc(c.toStart, func(d delayedStart) bool { return d.Attempt == id })
	if i >= 0 {
		c.toStart = slices.Delete(c.toStart, i, i+1)
		c.emit(Ended{Attempt: id, Kind: msg.ResultNotReached, Reason: verdict.NeverStarted})
	}
}
