package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// minDrainTime is the shortest time between the Leaving message on a drained link
// and its close. Messages that the entry sent before it received Leaving arrive in
// that time.
const minDrainTime = time.Second

// draining reports whether the link is to be closed once it has no open attempts.
func (e *entryState) draining() bool { return !e.drainingSince.IsZero() }

// drainLink tells the entry to send no more tasks, so that its link can be closed.
func (c *Core) drainLink(now time.Time, id msg.Incarnation) {
	e := c.entries.link(id)
	if e == nil || e.draining() {
		return
	}
	e.drainingSince = now
	c.send(now, e, msg.Leaving{Report: c.report(e)})
}

// closeDrainedLinks closes the links that have drained for minDrainTime and have no
// open attempts.
func (c *Core) closeDrainedLinks(now time.Time) {
	var drained []*entryState
	for _, e := range c.entries.linked {
		if e.draining() && now.Sub(e.drainingSince) >= minDrainTime && !c.hasOpenAttempts(e) {
			drained = append(drained, e)
		}
	}
	for _, e := range drained {
		c.entries.unlink(e.incarnation)
		c.emit(CloseLink{Entry: e.incarnation})
	}
}

// hasOpenAttempts reports whether attempts of the entry are running or have results
// that it has not acknowledged.
func (c *Core) hasOpenAttempts(e *entryState) bool {
	for id, a := range c.attempts {
		if id.Entry == e.incarnation && (a.state == stateRunning || a.state == stateDone) {
			return true
		}
	}
	return false
}
