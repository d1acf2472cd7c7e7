// Package membership holds what an entry knows of the other entries: the
// store's list, which is kept while the store is down, and the entries that it
// has talked to. It does no I/O and gets the time passed in.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// LeaseTTL is how long an entry stays listed in the store without a sign of
	// life.
	LeaseTTL = 10 * time.Second
	// ContactTTL is how long an entry counts as known after it was talked to,
	// or stays a candidate after another entry named it.
	ContactTTL = 30 * time.Second
	// duplicateAfter exceeds the time for which a restarted entry's predecessor
	// stays listed.
	duplicateAfter = LeaseTTL + 5*time.Second
)

// Member is one entry process.
type Member struct {
	Name          string    `json:"name"`
	Address       string    `json:"address"`
	FailureDomain string    `json:"failure_domain"`
	Incarnation   uint64    `json:"incarnation"`
	Started       time.Time `json:"started"`
}

type id struct {
	name        string
	incarnation uint64
}

type record struct {
	member Member
	// listed tells whether the store's last list has the entry.
	listed bool
	// since is when the entry was first listed or talked to.
	since time.Time
	// contact is when it was last talked to, mentioned when another entry last
	// named it.
	contact, mentioned time.Time
}

// List is one entry's view. It is not safe for concurrent use.
type List struct {
	self    Member
	records map[id]*record
	// listedAt is when the store's list was last confirmed.
	listedAt time.Time
}

// New returns a list that knows only the process itself.
func New(self Member) *List {
	return &List{self: self, records: make(map[id]*record)}
}

func (l *List) get(m Member) *record {
	k := id{m.Name, m.Incarnation}
	r, ok := l.records[k]
	if !ok {
		r = &record{}
		l.records[k] = r
	}
	r.member = m
	return r
}

func (l *List) isSelf(m Member) bool {
	return m.Name == l.self.Name && m.Incarnation == l.self.Incarnation
}

// SetListed replaces the store's list.
func (l *List) SetListed(now time.Time, members []Member) {
	l.listedAt = now
	for _, r := range l.records {
		r.listed = false
	}
	for _, m := range members {
		if l.isSelf(m) {
			continue
		}
		r := l.get(m)
		r.listed = true
		if r.since.IsZero() {
			r.since = now
		}
	}
	l.expire(now)
}

// Confirm says that the store's list has not changed.
func (l *List) Confirm(now time.Time) { l.listedAt = now }

// Contact says that an entry was talked to.
func (l *List) Contact(now time.Time, m Member) {
	if m.Name == "" || l.isSelf(m) {
		return
	}
	r := l.get(m)
	r.contact = now
	if r.since.IsZero() {
		r.since = now
	}
}

// Mention takes the entries that another entry named. They become candidates
// for an exchange, and known once they have answered one, so that entries
// cannot keep a dead one alive by naming it to each other.
func (l *List) Mention(now time.Time, members []Member) {
	for _, m := range members {
		if m.Name != "" && !l.isSelf(m) {
			l.get(m).mentioned = now
		}
	}
	l.expire(now)
}

func (l *List) expire(now time.Time) {
	maps.DeleteFunc(l.records, func(_ id, r *record) bool {
		return !r.known(now) && now.Sub(r.mentioned) >= ContactTTL
	})
}

func (r *record) known(now time.Time) bool {
	return r.listed || now.Sub(r.contact) < ContactTTL
}

// Known returns the other entries that are listed or were talked to lately,
// the newest process of each name, ordered by name.
func (l *List) Known(now time.Time) []Member {
	newest := make(map[string]Member)
	for _, r := range l.records {
		if m, ok := newest[r.member.Name]; r.known(now) && (!ok || m.olderThan(r.member)) {
			newest[r.member.Name] = r.member
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

func (m Member) olderThan(o Member) bool {
	return cmp.Or(m.Started.Compare(o.Started), cmp.Compare(m.Incarnation, o.Incarnation)) < 0
}

// Candidates returns the addresses to exchange with, those that were only
// mentioned included, in order.
func (l *List) Candidates() []string {
	addresses := make(map[string]bool)
	for _, r := range l.records {
		if r.member.Address != l.self.Address {
			addresses[r.member.Address] = true
		}
	}
	return slices.Sorted(maps.Keys(addresses))
}

// Duplicates returns the names that two live processes use, in order. Processes at
// one address follow each other. A predecessor whose lease has not lapsed yet does
// not count.
func (l *List) Duplicates(now time.Time) []string {
	live := map[string]map[string]bool{l.self.Name: {l.self.Address: true}}
	for _, r := range l.records {
		if !l.live(now, r) {
			continue
		}
		if live[r.member.Name] == nil {
			live[r.member.Name] = make(map[string]bool)
		}
		live[r.member.Name][r.member.Address] = true
	}
	maps.DeleteFunc(live, func(_ string, addresses map[string]bool) bool { return len(addresses) < 2 })
	return slices.Sorted(maps.Keys(live))
}

// live tells whether there is evidence of the process that a dead one could
// not have left behind. One at this process's address has ended, however long the
// store lists it: leases stand still while the store is away.
func (l *List) live(now time.Time, r *record) bool {
	if r.member.Address == l.self.Address {
		return false
	}
	old := now.Sub(r.since) >= duplicateAfter && !r.since.IsZero()
	listed := r.listed && now.Sub(l.listedAt) < LeaseTTL && l.listedAt.Sub(r.since) >= duplicateAfter
	return old && (listed || now.Sub(r.contact) < LeaseTTL)
}
