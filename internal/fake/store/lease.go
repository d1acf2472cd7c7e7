package store

import (
	"context"
	"time"

	"github.com/poplarlever/poplarlever/internal/store"
)

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.beginCall(ctx, writeCall); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	time.AfterFunc(ttl, func() { s.expireLease(id) })
	return id, s.loseAnswer()
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := s.beginCall(ctx, writeCall); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrNotFound.New("lease %d does not exist", id)
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return s.loseAnswer()
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.beginCall(ctx, writeCall); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return store.ErrNotFound.New("lease %d does not exist", id)
	}
	s.endLease(id)
	return s.loseAnswer()
}

// expireLease ends a lease whose TTL has passed. For a lease that was kept alive it
// sets a timer for the new expiry time.
func (s *Store) expireLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	if left := time.Until(l.expiresAt); left > 0 {
		time.AfterFunc(left, func() { s.expireLease(id) })
		return
	}
	s.endLease(id)
}

// LapseLeases expires every lease at once, as if all holders had been paused.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// endLease removes a lease and deletes the keys attached to it.
func (s *Store) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.lease == id && !it.deleted {
			s.set(key, item{deleted: true})
		}
	}
}
