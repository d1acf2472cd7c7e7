package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// drainPause is the shortest time between the word that a link will end and its end.
// What the entry had sent before it heard of it arrives in that time.
const drainPause = time.Second

// draining tells whether the link ends as soon as nothing needs it.
func (e *entryState) draining() bool { return !e.drainingSince.IsZero() }

// drainLink tells the entry to send no more tasks, so that its link can end.
func (c *Core) drainLink(now time.Time, id msg.Incarnation) {
	e := c.entries.link(id)
	if e == nil || e.draining() {
		return
	}
	e.drainingSince = now
	c.send(now, e, msg.Leaving{Report: c.report(e)})
}

// closeDrained ends the links that are not wanted and that nothing needs any more.
func (c *Core) closeDrained(now time.Time) {
	var over []*entryState
	for _, e := range c.entries.linked {
		if e.draining() && now.Sub(e.drainingSince) >= drainPause && !c.owes(e) {
			over = append(over, e)
		}
	}
	for _, e := range over {
		c.entries.unlink(e.incarnation)
		c.emit(CloseLink{Entry: e.incarnation})
	}
}

// owes tells whether attempts of the entry run here or their results wait for
// their acknowledgement.
func (c *Core) owes(e *entryState) bool {
	for id, a := range c.attempts {
		if id.Entry == e.incarnation && (a.state == stateRunning || a.state == stateDone) {
			return true
		}
	}
	return false
}
