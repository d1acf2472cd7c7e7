package entryd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
)

const (
	// keepAliveInterval allows two attempts before the lease lapses. 12 entries make 4
	// calls a second.
	keepAliveInterval = 3 * time.Second
	// maxRegisterDelay is the longest random delay before an entry whose lease lapsed
	// registers again, so that entries whose leases lapsed together do not register
	// together. Peers in contact with an unlisted entry keep it meanwhile.
	maxRegisterDelay = 5 * time.Second
	// unregisterTimeout bounds how long a stopping entry takes to unregister.
	unregisterTimeout = time.Second
)

// memberKey returns the store key of the process.
func memberKey(m membership.Member) string { return membership.Key(EntriesPrefix, m) }

// registerLoop keeps the entry registered in the store until ctx ends.
func (p *Platform) registerLoop(ctx context.Context) {
	backoff := store.Backoff{Min: retryDelayMin, Max: retryDelayMax}
	for ctx.Err() == nil {
		lease, err := p.register(ctx)
		if err != nil {
			if !p.waitToRetry(ctx, &backoff) {
				return
			}
			continue
		}
		backoff.Reset()
		logevent.EntryRegistered.Log(p.cfg.Log, zap.String("entry", p.cfg.Self.Name))
		if p.keepAlive(ctx, lease) {
			p.unregister(lease)
			return
		}
		logevent.EntryLeaseLapsed.Log(p.cfg.Log)
		if !clock.Sleep(ctx, rand.N(maxRegisterDelay)) {
			return
		}
	}
}

// register writes the entry under a new lease. It replaces what an earlier attempt of
// this process may have left.
func (p *Platform) register(ctx context.Context) (store.LeaseID, error) {
	value, err := json.Marshal(p.cfg.Self)
	if err != nil {
		return 0, err
	}
	lease, err := p.cfg.Store.Grant(ctx, membership.LeaseTTL)
	p.recordStoreCall(ctx, err)
	if err != nil {
		return 0, err
	}
	key := memberKey(p.cfg.Self)
	present, err := p.cfg.Store.Get(ctx, key)
	p.recordStoreCall(ctx, err)
	if err != nil && !store.IsNotFound(err) {
		return 0, err
	}
	_, err = p.cfg.Store.CompareAndSwap(ctx, key, present.Version, value, lease)
	p.recordStoreCall(ctx, err)
	return lease, err
}

// keepAlive renews the lease. It returns true when ctx has ended and false when the
// lease has lapsed.
func (p *Platform) keepAlive(ctx context.Context, lease store.LeaseID) bool {
	backoff := store.Backoff{Min: retryDelayMin, Max: retryDelayMax}
	for clock.Sleep(ctx, jitter(keepAliveInterval)) {
		for {
			err := p.cfg.Store.KeepAlive(ctx, lease)
			p.recordStoreCall(ctx, err)
			if store.IsNotFound(err) {
				return false
			}
			if err == nil {
				break
			}
			if !p.waitToRetry(ctx, &backoff) {
				return true
			}
		}
		backoff.Reset()
	}
	return true
}

// unregister revokes the lease, so that other entries learn at once that this one is
// stopping.
func (p *Platform) unregister(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	_ = p.cfg.Store.Revoke(ctx, lease)
}
