package entryd

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// pollInterval bounds how long a change goes unseen when every watch misses it; a
// revision must be in force within 3 s. A poll is one call that returns only versions:
// 12 entries make 6 calls a second.
const pollInterval = 2 * time.Second

// jitter returns a duration between 80% and 120% of d.
func jitter(d time.Duration) time.Duration { return d*4/5 + rand.N(d*2/5) }

// loadStore reads all keys of the prefix into the mirror.
func (p *Platform) loadStore(ctx context.Context) error {
	listing, err := p.cfg.Store.List(ctx, tablestore.Prefix)
	p.recordStoreCall(ctx, err)
	if err != nil {
		return err
	}
	p.updateMirror(listing.Version, func() bool { return p.mirror.Load(listing) })
	return nil
}

// watchLoop applies the store's changes to the mirror until ctx ends.
func (p *Platform) watchLoop(ctx context.Context) {
	backoff := store.Backoff{Min: retryDelayMin, Max: retryDelayMax}
	loaded := p.mirrorVersion() > 0
	for ctx.Err() == nil {
		err := p.watchOnce(ctx, &loaded)
		if err == nil {
			backoff.Reset()
		} else if !p.waitToRetry(ctx, &backoff) {
			return
		}
	}
}

func (p *Platform) watchOnce(ctx context.Context, loaded *bool) error {
	if !*loaded {
		if err := p.loadStore(ctx); err != nil {
			return err
		}
		*loaded = true
	}
	after := p.mirrorVersion()
	changes, err := p.cfg.Store.Watch(ctx, tablestore.Prefix, after)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.recordStoreCall(ctx, err)
	if store.IsHistoryGone(err) {
		return p.loadStore(ctx)
	}
	if err != nil {
		return err
	}
	p.updateMirror(0, func() bool { return p.mirror.Apply(changes) })
	if len(changes.Entries)+len(changes.Deleted) > 0 && changes.Version <= after {
		return store.ErrUnavailable.New("the watch returned changes that are not new")
	}
	return nil
}

func (p *Platform) mirrorVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mirror.Version()
}

// pollLoop finds changes that the watch missed.
func (p *Platform) pollLoop(ctx context.Context) {
	backoff := store.Backoff{Min: retryDelayMin, Max: retryDelayMax}
	for clock.Sleep(ctx, jitter(pollInterval)) {
		for p.poll(ctx) != nil {
			if !p.waitToRetry(ctx, &backoff) {
				return
			}
		}
		backoff.Reset()
	}
}

func (p *Platform) poll(ctx context.Context) error {
	listing, err := p.cfg.Store.ListVersions(ctx, tablestore.Prefix)
	p.recordStoreCall(ctx, err)
	if err != nil {
		return err
	}
	var fetch []string
	p.updateMirror(listing.Version, func() bool {
		requested := p.putEvacuations(listing)
		var removed bool
		fetch, removed = p.mirror.Missing(listing)
		return removed || requested
	})
	for _, key := range fetch {
		e, err := p.cfg.Store.Get(ctx, key)
		p.recordStoreCall(ctx, err)
		if store.IsNotFound(err) {
			continue
		}
		if err != nil {
			return err
		}
		p.updateMirror(0, func() bool { return p.mirror.Put(e) })
	}
	return nil
}

// updateMirror changes the mirror and applies what is new in it. change reports whether
// the mirror has changed. listedAt is the version of the listing that it applies, zero if it
// applies none.
func (p *Platform) updateMirror(listedAt uint64, change func() bool) {
	p.mu.Lock()
	now := time.Now()
	if listedAt < p.mirror.Version() {
		listedAt = 0
	}
	changed := change()
	if changed || listedAt > 0 {
		p.mergeStoredEvacuations(listedAt)
	}
	if changed {
		p.members.SetListed(now, p.listedMembers())
	} else {
		p.members.Confirm(now)
	}
	p.refreshPeers(now)
	content, found := p.storedContent()
	p.mu.Unlock()
	if changed && found {
		p.applyIfNewer(content)
	}
}

// storedContent returns the table in the mirror, if it can be decoded. p.mu must be
// held.
func (p *Platform) storedContent() (tablestore.Content, bool) {
	e, ok := p.mirror.Get(tablestore.Key)
	if !ok {
		return tablestore.Content{}, false
	}
	content, err := tablestore.ContentOf(e.Value)
	if err != nil && e.Version != p.undecodableVersion {
		p.undecodableVersion = e.Version
		p.reportRejected(content.Revision, err)
	}
	return content, err == nil
}

// listedMembers returns the entries in the mirror. It skips those that cannot be used and
// logs each version of them once. p.mu must be held.
func (p *Platform) listedMembers() []membership.Member {
	var members []membership.Member
	malformed := make(map[string]uint64)
	p.mirror.Entries(func(e store.Entry) {
		if !strings.HasPrefix(e.Key, EntriesPrefix) {
			return
		}
		m, err := membership.Decode(EntriesPrefix, e)
		if err == nil {
			members = append(members, m)
			return
		}
		malformed[e.Key] = e.Version
		if p.malformed[e.Key] != e.Version {
			logevent.EntryMalformed.Log(p.cfg.Log, zap.String("key", e.Key), zap.Error(err))
		}
	})
	p.malformed = malformed
	return members
}
