package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

const (
	// reservationTime is how long a grant that answers a claim is reserved: a few
	// round trips, so that the dispatch it prompts is not refused.
	reservationTime = 10 * time.Millisecond
	// defaultGrantsPerDispatch is the fraction of a SlotsFree message that each
	// accepted dispatch adds to the budget. docs/decisions/placement.md has the
	// figures.
	defaultGrantsPerDispatch = 0.04
	// grantBurst is the largest number of SlotsFree messages without a dispatch in
	// between.
	grantBurst = 4
)

// Each free slot is granted to one linked entry. An entry that dispatches
// beyond its grants takes a slot from another, which learns of it from the next
// report, so that idle slots follow demand without extra messages. Apart from
// reserved ones, grants are advisory: what starts depends on the free slots alone.

// granted returns the sum of all grants.
func (c *Core) granted() int {
	sum := 0
	for _, e := range c.entries.linked {
		sum += e.granted
	}
	return sum
}

// reserved reports whether the entry's grants are reserved for it.
func (e *entryState) reserved(now time.Time) bool { return now.Before(e.reservedUntil) }

// reservedForOthers returns the slots that are reserved for entries other than e.
func (c *Core) reservedForOthers(e *entryState) int {
	sum := 0
	for _, o := range c.entries.linked {
		if o != e && o.reserved(c.now) {
			sum += o.granted
		}
	}
	return sum
}

// balanceGrants makes the sum of the grants equal the free slots. New slots are
// split evenly; lost ones are taken from the entries with the most grants.
func (c *Core) balanceGrants() {
	if len(c.entries.linked) == 0 {
		return
	}
	for excess := c.granted() - c.Free(); excess > 0; excess-- {
		c.mostGranted().granted--
	}
	for missing := c.Free() - c.granted(); missing > 0; missing-- {
		c.leastGranted().granted++
	}
}

func (c *Core) mostGranted() *entryState {
	return slices.MaxFunc(c.entries.linked, func(a, b *entryState) int { return cmp.Compare(a.granted, b.granted) })
}

// grantDonor returns the entry that gives up a slot to the taker, or nil. It is
// the one with the most running attempts, since their results soon tell it. An
// entry that is not told wastes a dispatch on the slot once the worker is full.
func (c *Core) grantDonor(taker *entryState) *entryState {
	var donor *entryState
	for _, e := range c.entries.linked {
		if e == taker || e.granted == 0 || e.reserved(c.now) {
			continue
		}
		if donor == nil || e.running > donor.running {
			donor = e
		}
	}
	return donor
}

// leastGranted returns the entry with the fewest grants. Each agent breaks ties
// by its incarnation, so that no entry gets the odd slot of every worker.
func (c *Core) leastGranted() *entryState {
	linked := c.entries.linked
	first := int(uint64(c.cfg.Incarnation) % uint64(len(linked)))
	least := linked[first]
	for i := range linked {
		if e := linked[(first+i)%len(linked)]; e.granted < least.granted {
			least = e
		}
	}
	return least
}

// redistributeGrants splits the free slots evenly after an entry has linked.
func (c *Core) redistributeGrants() {
	for _, e := range c.entries.linked {
		e.granted = 0
	}
	c.balanceGrants()
}

// useGrant takes a free slot for a dispatch of the entry, from another entry if
// it has no grant left, and adds to the grant budget.
func (c *Core) useGrant(e *entryState) {
	c.grantBudget = min(grantBurst, c.grantBudget+c.cfg.GrantsPerDispatch)
	if e.granted > 0 {
		e.granted--
		return
	}
	if donor := c.grantDonor(e); donor != nil {
		donor.granted--
	}
}

// grantFreedSlots grants the slot of an ended attempt to the entry of the
// attempt, which learns of it from the Result, or to one with a stronger claim.
func (c *Core) grantFreedSlots(now time.Time, owner *entryState) {
	for c.Free() > c.granted() && len(c.entries.linked) > 0 {
		if best := c.strongestClaim(owner); best != nil && c.spendGrantBudget() {
			c.grantReserved(now, best, 1)
			continue
		}
		if owner == nil {
			c.balanceGrants()
			return
		}
		owner.granted++
	}
}

// grantNewSlots tells entries with waiting tasks of slots that the endpoint has
// freed.
func (c *Core) grantNewSlots(now time.Time) {
	c.balanceGrants()
	for _, e := range c.entries.linked {
		if e.claim.Waiting > 0 && e.granted > 0 && c.spendGrantBudget() {
			c.grantReserved(now, e, 0)
		}
	}
}

// strongestClaim returns the entry whose claim is stronger than that of the
// owner, or nil. The claim with fewer unfinished tasks is the stronger one.
func (c *Core) strongestClaim(owner *entryState) *entryState {
	var best *entryState
	if owner != nil && owner.claim.Waiting > 0 {
		best = owner
	}
	for _, e := range c.entries.linked {
		if e.claim.Waiting > 0 && (best == nil || e.claim.Unfinished < best.claim.Unfinished) {
			best = e
		}
	}
	if best == owner {
		return nil
	}
	return best
}

// applyClaim stores the entry's claim and moves to it the idle slots of entries
// without a claim.
func (c *Core) applyClaim(now time.Time, e *entryState, claim msg.Claim) {
	e.claim = claim
	wanted := claim.Waiting - e.granted
	if wanted <= 0 || !slices.ContainsFunc(c.entries.linked, func(o *entryState) bool { return o.hasIdleSlotsFor(now, e) }) || !c.spendGrantBudget() {
		return
	}
	for _, o := range c.entries.linked {
		if o.hasIdleSlotsFor(now, e) {
			moved := min(wanted, o.granted)
			o.granted -= moved
			wanted -= moved
			e.granted += moved
		}
	}
	c.grantReserved(now, e, 0)
}

// hasIdleSlotsFor reports whether the entry has idle slots for the claimant.
func (e *entryState) hasIdleSlotsFor(now time.Time, claimant *entryState) bool {
	return e != claimant && e.granted > 0 && e.claim.Waiting == 0 && !e.reserved(now)
}

// grantReserved grants further slots, reserves all slots granted to the entry and
// tells the entry.
func (c *Core) grantReserved(now time.Time, e *entryState, slots int) {
	e.granted += slots
	e.claim.Waiting = max(0, e.claim.Waiting-e.granted)
	e.reservedUntil = now.Add(reservationTime)
	c.send(now, e, msg.SlotsFree{Report: c.report(e)})
}

// spendGrantBudget takes one SlotsFree message from the budget and reports whether
// it was available.
func (c *Core) spendGrantBudget() bool {
	if c.grantBudget < 1 {
		return false
	}
	c.grantBudget--
	return true
}

func (c *Core) checkGrants() {
	for _, e := range c.entries.linked {
		invariant.Check(e.granted >= 0, invariant.SlotsInRange, "agent %s grants %d slots to %s", c.cfg.Worker, e.granted, e.name)
	}
	sum := c.granted()
	invariant.Check(sum <= c.Free(), invariant.SlotsInRange, "agent %s grants %d slots of %d that are free", c.cfg.Worker, sum, c.Free())
}
