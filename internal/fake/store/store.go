// Package store is a fake of the platform's key-value store. It has versions,
// leases and watches, enforces the platform's rate limits, and injects faults that
// tests or the HTTP control paths switch on. It serves calls in process or over HTTP.
package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/store"
)

// Rates are the store's rate limits. Calls above them are refused.
type Rates struct {
	// Writes is the largest number of writes in a second.
	Writes int `json:"writes"`
	// Reads is the largest number of reads in a second; each waiting watch counts
	// as one.
	Reads int `json:"reads"`
}

// DefaultRates are the rate limits that the platform specifies.
var DefaultRates = Rates{Writes: 300, Reads: 2000}

// watchTimeout is how long a watch waits for a change before it returns none.
const watchTimeout = 30 * time.Second

type item struct {
	value   []byte
	version uint64
	lease   store.LeaseID
	deleted bool
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is the fake store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	rates     Rates
	version   uint64
	items     map[string]item
	leases    map[store.LeaseID]lease
	lastLease store.LeaseID
	// changed is closed and replaced on every change of the items or the faults.
	changed chan struct{}
	faults  Faults
	// stale holds the items that reads return while Faults.OldData is set.
	stale        map[string]item
	staleVersion uint64
	counts       Counts
	rateWindow   window
}

var _ store.Store = (*Store)(nil)

// New returns an empty store with the given rate limits.
func New(rates Rates) *Store {
	return &Store{
		rates: rates, items: make(map[string]item), leases: make(map[store.LeaseID]lease),
		changed: make(chan struct{}),
	}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.beginCall(ctx, readCall); err != nil {
		return store.Entry{}, err
	}
	defer s.mu.Unlock()
	items, _ := s.view()
	it, ok := items[key]
	if !ok || it.deleted {
		return store.Entry{}, store.ErrNotFound.New("key %q does not exist", key)
	}
	return store.Entry{Key: key, Value: it.value, Version: it.version}, nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := s.beginCall(ctx, readCall); err != nil {
		return store.Listing{}, err
	}
	defer s.mu.Unlock()
	items, version := s.view()
	l := store.Listing{Version: version}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if it := items[key]; strings.HasPrefix(key, prefix) && !it.deleted {
			l.Entries = append(l.Entries, store.Entry{Key: key, Value: it.value, Version: it.version})
		}
	}
	return l, nil
}

// ListVersions implements store.Store.
func (s *Store) ListVersions(ctx context.Context, prefix string) (store.Listing, error) {
	l, err := s.List(ctx, prefix)
	for i := range l.Entries {
		l.Entries[i].Value = nil
	}
	return l, err
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, id store.LeaseID) (uint64, error) {
	if len(value) > store.MaxValue {
		return 0, store.ErrTooLarge.New("the value has %d bytes, at most %d are allowed", len(value), store.MaxValue)
	}
	if err := s.beginCall(ctx, writeCall); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, store.ErrNotFound.New("lease %d does not exist", id)
	}
	if s.currentVersion(key) != expected {
		return 0, store.ErrConflict.New("key %q has version %d, expected %d", key, s.currentVersion(key), expected)
	}
	s.set(key, item{value: slices.Clone(value), lease: id})
	return s.version, s.loseAnswer()
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	if err := s.beginCall(ctx, writeCall); err != nil {
		return err
	}
	defer s.mu.Unlock()
	switch s.currentVersion(key) {
	case 0:
		return store.ErrNotFound.New("key %q does not exist", key)
	case expected:
		s.set(key, item{deleted: true})
		return s.loseAnswer()
	}
	return store.ErrConflict.New("key %q has version %d, expected %d", key, s.currentVersion(key), expected)
}

// currentVersion returns the version of a key, or zero when it does not exist.
func (s *Store) currentVersion(key string) uint64 {
	if it := s.items[key]; !it.deleted {
		return it.version
	}
	return 0
}

func (s *Store) set(key string, it item) {
	s.version++
	it.version = s.version
	s.items[key] = it
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements store.Store. A waiting watch counts as one read.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (store.Changes, error) {
	if err := s.beginCall(ctx, readCall); err != nil {
		return store.Changes{}, err
	}
	s.rateWindow.waiting++
	defer func() {
		s.rateWindow.waiting--
		s.mu.Unlock()
	}()
	end := time.NewTimer(watchTimeout)
	defer end.Stop()
	for {
		if c := s.changesAfter(prefix, after); len(c.Entries)+len(c.Deleted) > 0 {
			return c, nil
		}
		version, changed := s.visibleVersion(), s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			s.mu.Lock()
			return store.Changes{Version: max(after, version)}, nil
		case <-ctx.Done():
			s.mu.Lock()
			return store.Changes{}, store.ErrUnavailable.Wrap(ctx.Err(), "the watch was cancelled")
		}
		s.mu.Lock()
		if s.faults.Down {
			return store.Changes{}, store.ErrUnavailable.New("the store is down")
		}
	}
}

// visibleVersion returns the version up to which reads and watches see changes.
func (s *Store) visibleVersion() uint64 {
	_, version := s.view()
	return version
}

// changesAfter returns the keys below the prefix that changed after the version.
func (s *Store) changesAfter(prefix string, after uint64) store.Changes {
	items, version := s.view()
	c := store.Changes{Version: version}
	if s.faults.MissEvents {
		return c
	}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		it := items[key]
		switch {
		case it.version <= after || !strings.HasPrefix(key, prefix):
		case it.deleted:
			c.Deleted = append(c.Deleted, store.Deletion{Key: key, Version: it.version})
		default:
			c.Entries = append(c.Entries, store.Entry{Key: key, Value: it.value, Version: it.version})
		}
	}
	return c
}
