package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// partPause is the shortest time between the word that a link will end and its end.
// What the entry had sent before it heard of it arrives in that time.
const partPause = time.Second

// parting tells whether the link ends as soon as nothing needs it.
func (e *entryState) parting() bool { return !e.partedAt.IsZero() }

// part tells the entry to send no more tasks, so that its link can end.
func (c *Core) part(now time.Time, id msg.Incarnation) {
	e := c.entries.link(id)
	if e == nil || e.parting() {
		return
	}
	e.partedAt = now
	c.send(now, e, msg.Leaving{Report: c.report(e)})
}

// closeParted ends the links that are not wanted and that nothing needs any more.
func (c *Core) closeParted(now time.Time) {
	var over []*entryState
	for _, e := range c.entries.linked {
		if e.parting() && now.Sub(e.partedAt) >= partPause && !c.owes(e) {
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
