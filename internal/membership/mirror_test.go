package membership

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/store"
)

// Guards against a copy in which a key returns to an older version. Listings, single
// keys and watch results arrive late, repeatedly and in any order; the newest listing,
// applied last, must make the copy exact.
func TestMirrorNeverGoesBack(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		states := drawStates(t)
		m := NewMirror()
		reached := make(map[string]uint64)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			state := states[rapid.IntRange(0, len(states)-1).Draw(t, "state")]
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				m.Load(state)
			case 1:
				m.Missing(state)
			case 2:
				m.Apply(store.Changes{Version: state.Version, Entries: state.Entries})
			case 3:
				for _, e := range state.Entries {
					m.Put(e)
				}
			}
			m.Entries(func(e store.Entry) {
				if e.Version < reached[e.Key] {
					t.Fatalf("%s reverted from version %d to %d", e.Key, reached[e.Key], e.Version)
				}
				reached[e.Key] = e.Version
			})
		}
		newest := states[len(states)-1]
		m.Load(newest)
		for _, e := range newest.Entries {
			got, ok := m.Get(e.Key)
			if !ok || got.Version != e.Version {
				t.Fatalf("%s has version %d, want %d", e.Key, got.Version, e.Version)
			}
		}
		if len(m.entries) != len(newest.Entries) {
			t.Fatalf("%d keys, want %d", len(m.entries), len(newest.Entries))
		}
	})
}

// drawStates returns the store's listings after each of a random sequence of writes
// and deletions.
func drawStates(t *rapid.T) []store.Listing {
	keys := make(map[string]uint64)
	states := []store.Listing{{}}
	for version := uint64(1); version <= 12; version++ {
		key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
		if rapid.Bool().Draw(t, "delete") {
			delete(keys, key)
		} else {
			keys[key] = version
		}
		l := store.Listing{Version: version}
		for k, v := range keys {
			l.Entries = append(l.Entries, store.Entry{Key: k, Version: v})
		}
		states = append(states, l)
	}
	return states
}

// Guards against a poll that overlooks a change that the watch did not deliver.
func TestMissingReturnsKeysToFetch(t *testing.T) {
	m := NewMirror()
	m.Load(store.Listing{Version: 3, Entries: []store.Entry{{Key: "a", Version: 1}, {Key: "b", Version: 3}}})
	fetch, removed := m.Missing(store.Listing{Version: 5, Entries: []store.Entry{{Key: "b", Version: 4}, {Key: "c", Version: 5}}})
	qt.Assert(t, fetch, qt.DeepEquals, []string{"b", "c"})
	qt.Assert(t, removed, qt.IsTrue)
	_, found := m.Get("a")
	qt.Assert(t, found, qt.IsFalse)
}

// Guards against a key that stays deleted although it was written again: one answer of a watch
// holds its deletion and its next value.
func TestKeyIsWrittenAgainAfterItsDeletion(t *testing.T) {
	m := NewMirror()
	m.Put(store.Entry{Key: "a", Version: 5})
	m.Apply(store.Changes{Version: 9, Deleted: []store.Deletion{{Key: "a", Version: 6}}, Entries: []store.Entry{{Key: "a", Version: 8}}})
	e, found := m.Get("a")
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, e.Version, qt.Equals, uint64(8))
}

// Guards against a key that a watch restores: the answers to several calls arrive in any order,
// and each holds some of the writes and deletions since an earlier version. After the deletion
// of a key, an older value of it must not return, and the newest event decides.
func TestDeletionsAreAppliedByVersion(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			key     string
			deleted bool
		}
		var events []event
		for range 12 {
			events = append(events, event{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")), rapid.Bool().Draw(t, "deleted")})
		}
		m := NewMirror()
		newest := make(map[string]uint64)
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			from := rapid.IntRange(0, len(events)-1).Draw(t, "from")
			to := rapid.IntRange(from, len(events)-1).Draw(t, "to")
			changes := store.Changes{Version: uint64(to + 1)}
			for i := from; i <= to; i++ {
				e, version := events[i], uint64(i+1)
				if e.deleted {
					changes.Deleted = append(changes.Deleted, store.Deletion{Key: e.key, Version: version})
				} else {
					changes.Entries = append(changes.Entries, store.Entry{Key: e.key, Version: version})
				}
				newest[e.key] = max(newest[e.key], version)
			}
			m.Apply(changes)
			for key, version := range newest {
				got, found := m.Get(key)
				if deleted := events[version-1].deleted; found == deleted || found && got.Version != version {
					t.Fatalf("%s: newest event %d deletes %v, found %v with version %d", key, version, deleted, found, got.Version)
				}
			}
		}
	})
}

// Guards against a copy that grows with every key that was ever deleted, and against a
// recent deletion that is forgotten.
func TestDeletedKeysAreBounded(t *testing.T) {
	m := NewMirror()
	for i := range uint64(3 * maxDeleted) {
		m.Apply(store.Changes{Version: i + 1, Deleted: []store.Deletion{{Key: fmt.Sprint(i), Version: i + 1}}})
		qt.Assert(t, len(m.deletedAt) <= maxDeleted, qt.IsTrue)
		qt.Assert(t, m.Put(store.Entry{Key: fmt.Sprint(i), Version: i}), qt.IsFalse)
	}
}
