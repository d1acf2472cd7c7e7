package limits

import (
	"cmp"
	"maps"
	"slices"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Update applies the needs of the entry. It shrinks the entry's shares after a limit was
// lowered, gives unused parts to entries that want more, takes what is free, and
// declares what the entry wants. The needs must include every account with a limit.
func (v *Value) Update(entry string, incarnation msg.Incarnation, needs map[string]Need) error {
	h, ok := v.Holders[entry]
	if !ok || h.Incarnation != incarnation {
		return ErrNotHolder.New("entry %s is held by another incarnation or was reclaimed", entry)
	}
	h.clearDoubts()
	v.Holders[entry] = h
	maps.DeleteFunc(v.Accounts, func(account string, _ map[string]Share) bool {
		_, limited := needs[account]
		return !limited
	})
	for account, n := range needs {
		v.updateAccount(entry, account, n)
	}
	return nil
}

func (v *Value) updateAccount(entry, account string, n Need) {
	shares := v.Accounts[account]
	if shares == nil {
		shares = make(map[string]Share)
		v.Accounts[account] = shares
	}
	s, ok := shares[entry]
	if !ok {
		s.Size = n.Used
	}
	shares[entry] = s
	others := v.Sum(account) - s.Size
	s.Size = max(min(n.Used, s.Size), min(s.Size, n.Limit-others))
	s.Want = min(n.Limit, max(0, n.Used+n.Waiting-s.Size))
	shares[entry] = s
	v.giveSurplus(entry, account, n)
	v.takeFree(entry, account, n)
}

// SetElectors sets the electors of the entry: the entry itself and all holders without
// doubts.
func (v *Value) SetElectors(entry string) {
	h := v.Holders[entry]
	h.Electors = nil
	for name, o := range v.Holders {
		if name == entry || len(o.Doubts) == 0 {
			h.Electors = append(h.Electors, name)
		}
	}
	slices.Sort(h.Electors)
	v.Holders[entry] = h
}

// requesters returns the other holders that want more, those with the smallest share
// first. Equal shares are in cyclic order of names after the entry, so that a limit
// smaller than the number of entries reaches all of them in turn.
func (v Value) requesters(entry, account string) []string {
	shares := v.Accounts[account]
	var names []string
	for name, s := range shares {
		if name != entry && s.Want > 0 && len(v.Holders[name].Doubts) == 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(shares[a].Size, shares[b].Size), cyclicRank(entry, a)-cyclicRank(entry, b), cmp.Compare(a, b))
	})
	return names
}

// cyclicRank returns 0 for names after the entry's and 1 for other names.
func cyclicRank(entry, name string) int {
	if name > entry {
		return 0
	}
	return 1
}

// Target returns how much of its share the entry keeps while others want more. That is
// an equal share, which is zero when the limit is smaller than the number of entries
// with work, or what the entry needs when every requester has an equal share.
func (v Value) Target(entry, account string, n Need) int {
	size := v.Accounts[account][entry].Size
	requesters := v.requesters(entry, account)
	if len(requesters) == 0 {
		return size
	}
	demand := n.Used + n.Waiting
	claimants := len(requesters) + min(1, demand)
	equalShare := n.Limit / claimants
	if v.Accounts[account][requesters[0]].Size < max(1, equalShare) {
		return min(size, max(equalShare, n.minShare), demand)
	}
	return min(size, demand)
}

// giveSurplus transfers the unused part above the target to the requesters.
func (v *Value) giveSurplus(entry, account string, n Need) {
	shares := v.Accounts[account]
	for v.Sum(account) <= n.Limit {
		requesters := v.requesters(entry, account)
		surplus := shares[entry].Size - max(n.Used, v.Target(entry, account, n))
		if len(requesters) == 0 || surplus <= 0 {
			return
		}
		to, from := shares[requesters[0]], shares[entry]
		part := min(to.Want, max(1, surplus/(2*len(requesters))))
		to.Size, to.Want, from.Size = to.Size+part, to.Want-part, from.Size-part
		shares[requesters[0]], shares[entry] = to, from
	}
}

// takeFree adds the free part of the limit to the entry's share, leaving an equal part
// of it to each of the requesters.
func (v *Value) takeFree(entry, account string, n Need) {
	shares := v.Accounts[account]
	s := shares[entry]
	free := n.Limit - v.Sum(account)
	if free <= 0 || s.Want == 0 || !v.allDeclared(account) {
		return
	}
	claimants := len(v.requesters(entry, account)) + 1
	part := min(s.Want, (free+claimants-1)/claimants)
	s.Size, s.Want = s.Size+part, s.Want-part
	shares[entry] = s
}
