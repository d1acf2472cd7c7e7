// Package membership tracks the other entries that an entry knows: those in the
// store's list, which is kept while the store is unavailable, and those that it
// has exchanged messages with. It does no I/O and takes the time as an argument.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// LeaseTTL is how long an entry stays listed in the store without renewing its
	// lease.
	LeaseTTL = 10 * time.Second
	// ContactTTL is how long an entry counts as known after the last exchange with
	// it, or remains a candidate after another entry named it.
	ContactTTL = 30 * time.Second
	// duplicateAfter is how long a process has to be seen before it counts as a
	// duplicate. It exceeds the time for which the predecessor of a restarted entry
	// stays listed.
	duplicateAfter = LeaseTTL + 5*time.Second
	// maxRecords bounds the processes that are remembered beside those of the store's list.
	// Whoever reaches an entry's address can name as many as it likes.
	maxRecords = 1024
)

// Member describes one entry process. Name and Incarnation identify it.
type Member struct {
	Name          string    `json:"name"`
	Address       string    `json:"address"`
	FailureDomain string    `json:"failure_domain"`
	Incarnation   uint64    `json:"incarnation"`
	Started       time.Time `json:"started"`
}

type memberKey struct {
	name        string
	incarnation uint64
}

type record struct {
	member Member
	// listed reports whether the store's latest list contains the entry.
	listed bool
	// firstSeen is when the entry was first listed or contacted.
	firstSeen time.Time
	// lastContact is the time of the last exchange with it, lastMentioned when
	// another entry last named it.
	lastContact, lastMentioned time.Time
}

// List is one entry's view of the other entries. It is not safe for concurrent use.
type List struct {
	self    Member
	records map[memberKey]*record
	// listedAt is when the store's list was last read or confirmed.
	listedAt time.Time
}

// New returns a list without other entries.
func New(self Member) *List {
	return &List{self: self, records: make(map[memberKey]*record)}
}

func (l *List) getOrAdd(m Member) *record {
	k := memberKey{m.Name, m.Incarnation}
	r, ok := l.records[k]
	if !ok {
		r = &record{}
		l.records[k] = r
	}
	r.member = m
	return r
}

// full reports whether a process that is not remembered yet finds no room.
func (l *List) full(m Member) bool {
	_, known := l.records[memberKey{m.Name, m.Incarnation}]
	return !known && len(l.records) >= maxRecords
}

func (l *List) isSelf(m Member) bool {
	return m.Name == l.self.Name && m.Incarnation == l.self.Incarnation
}

// SetListed replaces the list of entries that are registered in the store. One that has left
// the list remains a candidate: it may be stopping, and serves until its last job has ended.
func (l *List) SetListed(now time.Time, members []Member) {
	l.listedAt = now
	for _, r := range l.records {
		if r.listed {
			r.lastMentioned = now
		}
		r.listed = false
	}
	for _, m := range members {
		if l.isSelf(m) {
			continue
		}
		r := l.getOrAdd(m)
		r.listed = true
		if r.firstSeen.IsZero() {
			r.firstSeen = now
		}
	}
	l.expire(now)
}

// Confirm records that the store's list is unchanged at the given time.
func (l *List) Confirm(now time.Time) { l.listedAt = now }

// Contact records an exchange with an entry.
func (l *List) Contact(now time.Time, m Member) {
	if l.full(m) {
		l.expire(now)
	}
	if m.Name == "" || l.isSelf(m) || l.full(m) {
		return
	}
	r := l.getOrAdd(m)
	r.lastContact = now
	if r.firstSeen.IsZero() {
		r.firstSeen = now
	}
}

// Mention records entries that another entry named. They become candidates for an
// exchange, but count as known only after they have answered one. Otherwise entries
// could keep a dead one known by naming it to each other.
func (l *List) Mention(now time.Time, members []Member) {
	if len(l.records) >= maxRecords {
		l.expire(now)
	}
	for _, m := range members {
		if m.Name != "" && !l.isSelf(m) && !l.full(m) {
			l.getOrAdd(m).lastMentioned = now
		}
	}
	l.expire(now)
}

func (l *List) expire(now time.Time) {
	maps.DeleteFunc(l.records, func(_ memberKey, r *record) bool {
		return !r.known(now) && now.Sub(r.lastMentioned) >= ContactTTL
	})
}

func (r *record) known(now time.Time) bool {
	return r.listed || now.Sub(r.lastContact) < ContactTTL
}

// Known returns the other entries that are listed or were contacted within
// ContactTTL: the newest process of each name, ordered by name.
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

// Candidates returns the addresses to exchange messages with in sorted order,
// including those that were only mentioned.
func (l *List) Candidates() []string {
	addresses := make(map[string]bool)
	for _, r := range l.records {
		if r.member.Address != l.self.Address {
			addresses[r.member.Address] = true
		}
	}
	return slices.Sorted(maps.Keys(addresses))
}

// Duplicates returns the names that several live processes use, in sorted order.
// Processes at the same address are successors of each other and do not count as
// duplicates, nor does a predecessor whose lease has not expired yet.
func (l *List) Duplicates(now time.Time) []string {
	live := map[string]map[string]bool{l.self.Name: {l.self.Address: true}}
	for _, r := range l.records {
		if !l.isLive(now, r) {
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

// isLive reports whether there is evidence of the process that a dead one could not
// have left behind. A process at this one's own address must have ended, however
// long it stays listed: leases do not expire while the store is unavailable.
func (l *List) isLive(now time.Time, r *record) bool {
	if r.member.Address == l.self.Address {
		return false
	}
	old := now.Sub(r.firstSeen) >= duplicateAfter && !r.firstSeen.IsZero()
	listed := r.listed && now.Sub(l.listedAt) < LeaseTTL && l.listedAt.Sub(r.firstSeen) >= duplicateAfter
	return old && (listed || now.Sub(r.lastContact) < LeaseTTL)
}
