package membership

import (
	"maps"
	"slices"

	"github.com/poplarlever/poplarlever/internal/store"
)

// Mirror is a local copy of the keys below a prefix of the store. No key ever
// returns to an older version: stale data, late responses and missed events leave
// the newest state seen in place. It is not safe for concurrent use.
type Mirror struct {
	entries map[string]store.Entry
	version uint64
	// deletedAt holds the version at which a key was found to be deleted, so that
	// late responses do not restore it. Only entry processes that have ended and
	// evacuations that were withdrawn leave deleted keys behind; beyond maxDeleted the
	// oldest ones are dropped.
	deletedAt map[string]uint64
}

// maxDeleted is the largest number of deleted keys that are remembered. A response is late by
// seconds, in which far fewer keys are deleted.
const maxDeleted = 4096

// NewMirror returns an empty copy.
func NewMirror() *Mirror {
	return &Mirror{entries: make(map[string]store.Entry), deletedAt: make(map[string]uint64)}
}

// Version returns the store version that the copy has reached.
func (m *Mirror) Version() uint64 { return m.version }

// Get returns the key's entry and whether the copy contains it.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// Entries calls f for each entry of the copy, in no particular order.
func (m *Mirror) Entries(f func(store.Entry)) {
	for _, e := range m.entries {
		f(e)
	}
}

// Deletions calls f for each remembered deletion, in no particular order.
func (m *Mirror) Deletions(f func(store.Deletion)) {
	for key, version := range m.deletedAt {
		f(store.Deletion{Key: key, Version: version})
	}
}

// Put stores the value of one key and reports whether it was newer than the copy's.
func (m *Mirror) Put(e store.Entry) bool {
	if m.entries[e.Key].Version >= e.Version || m.deletedAt[e.Key] >= e.Version {
		return false
	}
	delete(m.deletedAt, e.Key)
	m.entries[e.Key] = e
	return true
}

// Load applies a full listing and reports whether the copy changed. A listing older
// than the copy is ignored.
func (m *Mirror) Load(l store.Listing) bool {
	if l.Version < m.version {
		return false
	}
	changed := m.removeUnlisted(l)
	for _, e := range l.Entries {
		changed = m.Put(e) || changed
	}
	m.version = l.Version
	return changed
}

// Missing applies a listing without values. It removes the keys that the listing
// lacks and returns those whose values have to be fetched, and whether it removed
// any. A listing older than the copy is ignored.
func (m *Mirror) Missing(l store.Listing) (fetch []string, removed bool) {
	if l.Version < m.version {
		return nil, false
	}
	removed = m.removeUnlisted(l)
	for _, e := range l.Entries {
		if m.entries[e.Key].Version < e.Version {
			fetch = append(fetch, e.Key)
		}
	}
	return fetch, removed
}

// removeUnlisted removes the keys that the listing lacks, except those newer than
// the listing. It reports whether it removed any.
func (m *Mirror) removeUnlisted(l store.Listing) bool {
	listed := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.Key] = true
	}
	removed := false
	for key := range m.entries {
		if !listed[key] {
			removed = m.remove(key, l.Version) || removed
		}
	}
	return removed
}

// remove deletes a key that did not exist at the given version, unless the copy's
// entry is newer. It reports whether the copy changed: also the deletion of a key that the
// copy lacks is recorded, since a late response may still carry the key.
func (m *Mirror) remove(key string, version uint64) bool {
	if m.entries[key].Version > version || m.deletedAt[key] >= version {
		return false
	}
	delete(m.entries, key)
	m.deletedAt[key] = version
	if len(m.deletedAt) > maxDeleted {
		m.dropOldDeletions()
	}
	return true
}

// dropOldDeletions forgets the older half of the deleted keys.
func (m *Mirror) dropOldDeletions() {
	versions := slices.Sorted(maps.Values(m.deletedAt))
	limit := versions[len(versions)/2]
	maps.DeleteFunc(m.deletedAt, func(_ string, version uint64) bool { return version <= limit })
}

// Apply applies the result of a watch and reports whether the copy changed.
func (m *Mirror) Apply(c store.Changes) bool {
	changed := false
	for _, d := range c.Deleted {
		changed = m.remove(d.Key, d.Version) || changed
	}
	for _, e := range c.Entries {
		changed = m.Put(e) || changed
	}
	m.version = max(m.version, c.Version)
	return changed
}
