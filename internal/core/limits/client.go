package limits

import (
	"reflect"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Times holds the durations of confirmations and tasks.
type Times struct {
	// ConfirmationTTL is how long an elector's confirmation is valid after it was
	// requested.
	ConfirmationTTL time.Duration
	// MaxTaskTime is the longest time from the dispatch of a task to its end: the start
	// window plus the run limit.
	MaxTaskTime time.Duration
}

// drainTime is the time after which a holder that receives no more confirmations has
// no running task left. It includes an eighth for clock drift.
func (t Times) drainTime() time.Duration { return (t.ConfirmationTTL + t.MaxTaskTime) * 9 / 8 }

// Client is the state of one entry incarnation: what it knows of the value, what it
// may start, and which holders it confirms.
type Client struct {
	name        string
	incarnation msg.Incarnation
	times       Times
	version     uint64
	observed    Value
	// pending holds the values written against version whose outcome is unknown.
	pending []Value
	// confirmedAt holds, for each elector, when its latest confirmation was requested.
	confirmedAt map[string]time.Time
	// unwrittenDoubts holds, by name, the holders that this entry doubts although the
	// observed value does not say so yet.
	unwrittenDoubts map[string]holderTerm
	// takingOver is set when the latest proposed join takes over a predecessor's shares.
	takingOver bool
	// inherited holds, by account, how much the predecessor's tasks may use until
	// inheritedUntil, which is zero until enough electors confirm this incarnation.
	inherited      map[string]int
	inheritedUntil time.Time
	// shareGrewAt holds, by account, when the share last grew.
	shareGrewAt map[string]time.Time
	// quorumLosses holds, by name, since when a holder has been without a quorum.
	quorumLosses map[string]quorumLoss
}

// holderTerm identifies a term of a holder's incarnation.
type holderTerm struct {
	incarnation msg.Incarnation
	term        uint64
}

type quorumLoss struct {
	holderTerm
	since time.Time
}

// NewClient returns a client that has observed no value and may not start any tasks.
func NewClient(name string, incarnation msg.Incarnation, times Times) *Client {
	return &Client{
		name: name, incarnation: incarnation, times: times,
		confirmedAt: make(map[string]time.Time), unwrittenDoubts: make(map[string]holderTerm), quorumLosses: make(map[string]quorumLoss),
		shareGrewAt: make(map[string]time.Time),
	}
}

// isHolder reports whether this incarnation is a holder in the value.
func (c *Client) isHolder(v Value) bool {
	return v.Holders[c.name].Incarnation == c.incarnation
}

// Observe processes a value read from the store and ignores one that is not newer
// than the last. A newer version resolves all pending writes: a write that expects an
// older version can no longer take effect.
func (c *Client) Observe(now time.Time, version uint64, v Value) {
	if version <= c.version {
		return
	}
	before := c.observed
	c.version, c.observed, c.pending = version, v.Clone(), nil
	clear(c.unwrittenDoubts)
	c.recordShareGrowth(now, before)
	for name, h := range c.observed.Holders {
		t := holderTerm{h.Incarnation, h.Term}
		if !h.lostQuorum() {
			delete(c.quorumLosses, name)
		} else if c.quorumLosses[name].holderTerm != t {
			c.quorumLosses[name] = quorumLoss{t, now}
		}
	}
	if c.isHolder(v) && !c.isHolder(before) && c.takingOver {
		c.inheritShares()
	}
}

// recordShareGrowth records the time for each account whose share grew.
func (c *Client) recordShareGrowth(now time.Time, before Value) {
	for account, shares := range c.observed.Accounts {
		if shares[c.name].Size > before.Accounts[account][c.name].Size {
			c.shareGrewAt[account] = now
		}
	}
}

// minShareHold is how long an entry keeps a share of one task of an account whose
// limit is smaller than the number of entries with work.
const minShareHold = time.Second

// withMinShare sets minShare in the need while minShareHold has not passed since the
// share grew.
func (c *Client) withMinShare(now time.Time, account string, n Need) Need {
	if at, ok := c.shareGrewAt[account]; ok && now.Sub(at) < minShareHold {
		n.minShare = 1
	}
	return n
}

// inheritShares counts all shares of the predecessor as used by its tasks.
func (c *Client) inheritShares() {
	c.inherited, c.inheritedUntil = make(map[string]int), time.Time{}
	for account, shares := range c.observed.Accounts {
		if s := shares[c.name].Size; s > 0 {
			c.inherited[account] = s
		}
	}
}

// Inherited returns how much of the account's share the predecessor's tasks may use.
func (c *Client) Inherited(account string) int { return c.inherited[account] }

// RecordConfirmation records an elector's confirmation that was requested at the given
// time.
func (c *Client) RecordConfirmation(elector string, asked time.Time) {
	if asked.After(c.confirmedAt[elector]) {
		c.confirmedAt[elector] = asked
	}
}

// Confirms reports whether this entry confirms a holder. It confirms the newest
// incarnation that it knows of each name, unless it doubts it.
func (c *Client) Confirms(name string, incarnation msg.Incarnation) bool {
	h := c.observed.Holders[name]
	doubt, doubted := c.unwrittenDoubts[name]
	return h.Incarnation == incarnation && !slices.Contains(h.Doubts, c.name) &&
		!(doubted && doubt == holderTerm{h.Incarnation, h.Term})
}

// Tick stops counting the predecessor's use once its last task must have ended. That
// is drainTime after enough electors confirm this incarnation that no predecessor can
// have a quorum.
func (c *Client) Tick(now time.Time) {
	switch {
	case len(c.inherited) == 0:
	case c.inheritedUntil.IsZero():
		if h := c.observed.Holders[c.name]; len(h.Electors) == 1 || h.excludesPredecessor(c.confirmations(now, h)) {
			c.inheritedUntil = now.Add(c.times.drainTime())
		}
	case !now.Before(c.inheritedUntil):
		c.inherited = nil
	}
}

// Authorised reports whether a quorum of the electors confirms this incarnation, so
// that its allotments cannot have been reclaimed.
func (c *Client) Authorised(now time.Time) bool {
	if !c.isHolder(c.observed) || !c.hasQuorum(now, c.observed.Holders[c.name]) {
		return false
	}
	return !slices.ContainsFunc(c.pending, func(v Value) bool { return !c.hasQuorum(now, v.Holders[c.name]) })
}

func (c *Client) hasQuorum(now time.Time, h Holder) bool {
	return c.confirmations(now, h)+1 >= h.quorum()
}

// confirmations counts the other electors whose confirmation is valid.
func (c *Client) confirmations(now time.Time, h Holder) int {
	count := 0
	for _, name := range h.Electors {
		asked, ok := c.confirmedAt[name]
		if name != c.name && ok && now.Sub(asked) < c.times.ConfirmationTTL {
			count++
		}
	}
	return count
}

// Allotted returns how many tasks of the account may run here, in addition to what the
// predecessor's tasks may use. It excludes what a pending write gives away.
func (c *Client) Allotted(now time.Time, account string, n Need) int {
	if !c.Authorised(now) {
		return 0
	}
	n = c.withMinShare(now, account, n)
	allotted := min(c.observed.Allotted(c.name, account, n.Limit), c.observed.Target(c.name, account, n))
	for _, v := range c.pending {
		allotted = min(allotted, v.Accounts[account][c.name].Size)
	}
	return max(0, allotted-c.inherited[account])
}

// Write is a value to write if the version in the store is still ExpectedVersion.
type Write struct {
	ExpectedVersion uint64
	Value           Value
}

// Propose returns the write that the entry needs, or false when it needs none. Used in
// each need includes what Inherited returns. The caller must apply Allotted before it
// sends the write, so that no task uses what the write gives away.
func (c *Client) Propose(now time.Time, needs map[string]Need, lapsed func(name string) bool) (Write, bool) {
	next := c.observed.Clone()
	_, known := next.Holders[c.name]
	holding := c.isHolder(next)
	if !holding {
		c.takingOver = known
		next.Join(c.name, c.incarnation)
	}
	if holding || !known {
		c.updateShares(now, &next, needs)
		c.doubtAndReclaim(now, &next, lapsed)
	}
	if reflect.DeepEqual(next, c.observed.Clone()) {
		return Write{}, false
	}
	c.pending = append(c.pending, next)
	return Write{ExpectedVersion: c.version, Value: next}, true
}

func (c *Client) updateShares(now time.Time, v *Value, needs map[string]Need) {
	adjusted := make(map[string]Need, len(needs))
	for account, n := range needs {
		adjusted[account] = c.withMinShare(now, account, n)
	}
	if err := v.Update(c.name, c.incarnation, adjusted); err == nil && len(c.inherited) == 0 {
		v.SetElectors(c.name)
	}
}

// doubtAndReclaim doubts holders whose lease has lapsed, and reclaims the allotments of
// those that have had no quorum for drainTime.
func (c *Client) doubtAndReclaim(now time.Time, v *Value, lapsed func(name string) bool) {
	for name, h := range c.observed.Holders {
		if name == c.name || !lapsed(name) {
			continue
		}
		if v.Doubt(c.name, name) {
			c.unwrittenDoubts[name] = holderTerm{h.Incarnation, h.Term}
		}
		if l, ok := c.quorumLosses[name]; ok && now.Sub(l.since) >= c.times.drainTime() {
			v.Reclaim(name, l.incarnation, l.holderTerm.term)
		}
	}
}
