// Package limits divides the accounts' limits of running tasks among the entries.
// Each limit is split into integer allotments owned by entry names. All allotments are
// stored as one value that is changed by compare-and-swap only. Only its owner makes an
// allotment smaller, except that an entry without a quorum can be reclaimed.
//
// Value implements the rules for changes, Client tracks what one entry may rely on, and
// Ledger counts what one entry uses. The package does no I/O and reads no clock; its
// types are not safe for concurrent use.
package limits

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

var namespace = errorx.NewNamespace("limits")

// ErrNotHolder means that another incarnation owns the entry's allotments, or that
// they were reclaimed.
var ErrNotHolder = namespace.NewType("not_holder")

// Value is the state that all entries share through the store.
type Value struct {
	Holders map[string]Holder `json:"holders"`
	// Accounts holds the shares by account and entry name. A holder without a share
	// has not yet declared what it uses.
	Accounts map[string]map[string]Share `json:"accounts"`
}

// Holder is an entry name that may own allotments.
type Holder struct {
	Incarnation msg.Incarnation `json:"incarnation"`
	// Electors are the holders whose confirmations the holder relies on.
	Electors []string `json:"electors"`
	// Doubts lists the electors that no longer confirm the holder.
	Doubts []string `json:"doubts,omitempty"`
	// Term increases when the holder clears the doubts.
	Term uint64 `json:"term"`
}

// quorum returns the number of electors, including the holder, whose confirmation the
// holder needs to start tasks.
func (h Holder) quorum() int { return len(h.Electors)/2 + 1 }

// lostQuorum reports whether the doubts leave too few electors for a quorum.
func (h Holder) lostQuorum() bool { return len(h.Electors)-len(h.Doubts) < h.quorum() }

// excludesPredecessor reports whether so many other electors confirm an incarnation
// that too few are left for a quorum of its predecessor.
func (h Holder) excludesPredecessor(others int) bool {
	return others >= len(h.Electors)/2+len(h.Electors)%2
}

// Share is the allotment of one entry for one account. Want is how much more the entry
// could use.
type Share struct {
	Size int `json:"size"`
	Want int `json:"want,omitempty"`
}

// Need is the local state of a limited account at one entry.
type Need struct {
	Limit int
	// Used counts the attempts that may be running.
	Used    int
	Waiting int
	// minShare is the smallest share that the entry keeps while it has work.
	minShare int
}

// Clone returns a deep copy.
func (v Value) Clone() Value {
	c := Value{Holders: make(map[string]Holder, len(v.Holders)), Accounts: make(map[string]map[string]Share, len(v.Accounts))}
	for name, h := range v.Holders {
		h.Electors, h.Doubts = slices.Clone(h.Electors), slices.Clone(h.Doubts)
		c.Holders[name] = h
	}
	for account, shares := range v.Accounts {
		c.Accounts[account] = maps.Clone(shares)
	}
	return c
}

// Sum returns the total of the account's allotments.
func (v Value) Sum(account string) int {
	sum := 0
	for _, s := range v.Accounts[account] {
		sum += s.Size
	}
	return sum
}

// Allotted returns how many tasks of the account the entry may run. It is smaller than
// the share while other entries have not yet shrunk theirs to a lowered limit, and zero
// until all holders have declared what they use.
func (v Value) Allotted(entry, account string, limit int) int {
	s, ok := v.Accounts[account][entry]
	if !ok || !v.allDeclared(account) {
		return 0
	}
	others := v.Sum(account) - s.Size
	return max(0, min(s.Size, limit-others))
}

// allDeclared reports whether every holder has declared what it uses of the account.
func (v Value) allDeclared(account string) bool {
	for name := range v.Holders {
		if _, ok := v.Accounts[account][name]; !ok {
			return false
		}
	}
	return true
}

// Join makes the entry a holder, or lets a new incarnation take over the allotments of
// its predecessor. The electors do not change, since the predecessor may still rely on
// them.
func (v *Value) Join(entry string, incarnation msg.Incarnation) {
	h, ok := v.Holders[entry]
	if !ok {
		h = Holder{Electors: []string{entry}}
	}
	h.Incarnation = incarnation
	h.clearDoubts()
	v.Holders[entry] = h
}

// clearDoubts removes the doubts, if there are any, and starts a new term.
func (h *Holder) clearDoubts() {
	if len(h.Doubts) > 0 {
		h.Doubts = nil
		h.Term++
	}
}

// Leave releases all allotments of a stopping entry. The caller must ensure that none
// of its tasks is running.
func (v *Value) Leave(entry string, incarnation msg.Incarnation) error {
	if v.Holders[entry].Incarnation != incarnation {
		return ErrNotHolder.New("entry %s is held by another incarnation", entry)
	}
	v.removeHolder(entry)
	return nil
}

func (v *Value) removeHolder(entry string) {
	delete(v.Holders, entry)
	for _, shares := range v.Accounts {
		delete(shares, entry)
	}
}

// Doubt records that the elector no longer confirms the entry, whose lease has lapsed.
// It reports whether it changed the value.
func (v *Value) Doubt(elector, entry string) bool {
	h, ok := v.Holders[entry]
	if !ok || elector == entry || !slices.Contains(h.Electors, elector) || slices.Contains(h.Doubts, elector) {
		return false
	}
	h.Doubts = append(slices.Clone(h.Doubts), elector)
	v.Holders[entry] = h
	return true
}

// Reclaim removes an entry that has lost its quorum in the given term, and reports
// whether it did. The caller must have waited since the loss until the last task of the
// entry must have ended.
func (v *Value) Reclaim(entry string, incarnation msg.Incarnation, term uint64) bool {
	h, ok := v.Holders[entry]
	if !ok || h.Incarnation != incarnation || h.Term != term || !h.lostQuorum() {
		return false
	}
	v.removeHolder(entry)
	return true
}
