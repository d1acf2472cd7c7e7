package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// This file follows what runs beside each task of a leased worker, while a linked entry asks
// for it. Only the agent knows the tasks of all entries.

// setColocation starts or ends to follow the tasks. Entries may link before the worker has
// announced itself.
func (c *Core) setColocation(now time.Time) {
	asked := false
	for _, e := range c.entries.linked {
		asked = asked || e.colocationEvery > 0
	}
	switch {
	case !asked && c.colocation != nil:
		c.colocation = nil
		for _, a := range c.attempts {
			a.beside = nil
		}
	case asked && c.colocation == nil && c.endpoint.leased:
		c.colocation = colocation.New(now)
		for _, id := range c.runningIDs() {
			a := c.attempts[id]
			a.beside = c.colocation.Adopt(now, a.jobType, a.size.Cores)
		}
	}
}

func (c *Core) followStart(now time.Time, a *attempt) {
	if c.colocation != nil && c.endpoint.leased {
		a.beside = c.colocation.Start(now, a.jobType, a.size.Cores)
	}
}

// followEnd returns what ran beside an attempt, if its entry asked for it.
func (c *Core) followEnd(now time.Time, in TaskEnded, a *attempt) colocation.Summary {
	if c.colocation == nil || a.beside == nil {
		return colocation.Summary{}
	}
	beside := c.colocation.End(now, a.beside, c.endpoint.size.Cores)
	a.beside = nil
	e := c.entries.byIncarnation[in.Attempt.Entry]
	if e == nil || !c.endpoint.leased || in.Kind != msg.ResultOK || e.colocationEvery == 0 || in.Attempt.Job%uint64(e.colocationEvery) != 0 {
		return colocation.Summary{}
	}
	return beside
}
