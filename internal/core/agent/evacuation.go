package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
)

// While the worker's failure domain is evacuated no attempt starts, whichever entry sends it:
// an entry that is cut off may not know of the evacuation. Running attempts go on. What one
// entry said holds until a newer state is learned, also when no entry is linked.

// Evacuated reports whether the worker's failure domain is evacuated.
func (c *Core) Evacuated() bool { return c.evacuations.Evacuated(c.cfg.FailureDomain) }

// evacuatedAt returns the store version of the evacuation, or zero without one.
func (c *Core) evacuatedAt() uint64 {
	if d := c.evacuations.Get(c.cfg.FailureDomain); d.Evacuated {
		return d.Version
	}
	return 0
}

// EvacuatedDomains returns the number of failure domains whose evacuation is in force.
func (c *Core) EvacuatedDomains() int { return len(c.evacuations.InForce()) }

// applyEvacuations merges what an entry knows of evacuations. The step that follows refuses the
// dispatches that wait for room.
func (c *Core) applyEvacuations(now time.Time, r evacuation.Report) {
	if !c.cfg.Evacuations {
		return
	}
	before := c.evacuatedAt()
	changes, rejected := c.evacuations.Merge(r)
	for _, rejection := range rejected {
		c.emit(EvacuationRejected{rejection})
	}
	for _, change := range changes {
		if change.Flipped && change.Name == c.cfg.FailureDomain {
			c.emit(EvacuationChanged{change.Domain})
		}
	}
	if c.evacuatedAt() != before {
		// An entry that knows of the withdrawal but has never seen the evacuation answers.
		c.sendHellos(now)
	}
}
