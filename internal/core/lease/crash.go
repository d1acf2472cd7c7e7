package lease

import (
	"cmp"
	"slices"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// A task may crash each worker that starts it, so it matters which tasks ran at a crash. A
// worker has crashed when another instance takes its place, or when its VM refuses
// connections while it counts as silent. Refused connections are no proof that its tasks
// have ended: they are started elsewhere only when the lease has lapsed or the next instance
// has announced itself.

// noteUnreachable reports a crash that the status of a hold without an answer shows.
func (c *Core) noteUnreachable(s Status) {
	if c.silent && s == NotListening || s == WrongInstance {
		c.reportCrash()
	}
}

// reportCrash reports the attempts at an instance that has ended without saying that it
// would, the one started last first.
func (c *Core) reportCrash() {
	if c.crashReported || c.phase != held || c.leaving || c.announcedLeaving {
		return
	}
	c.crashReported = true
	at := c.now
	if c.unanswered > 0 {
		at = c.unansweredSince
	}
	crash := Crashed{Instance: c.instance}
	for _, e := range c.byName {
		if e.state != stopped {
			crash.Attempts = append(crash.Attempts, CrashedAttempt{e.id, max(0, at.Sub(e.startedAt)), !e.ran})
		}
	}
	if len(crash.Attempts) == 0 {
		return
	}
	slices.SortFunc(crash.Attempts, func(a, b CrashedAttempt) int {
		return cmp.Or(cmp.Compare(a.RunTime, b.RunTime), msg.AttemptID.Compare(a.Attempt, b.Attempt))
	})
	c.emit(crash)
}
