package agentd

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
)

const (
	// directoryInterval is how often a linked agent reads the list of entries: with
	// 960 agents, 32 reads per second.
	directoryInterval = 30 * time.Second
	// unlinkedDirectoryInterval replaces directoryInterval for an agent without links,
	// since all entries that it knew may have been replaced.
	unlinkedDirectoryInterval = time.Second
	directoryTimeout          = time.Second
	// firstDirectoryTimeout bounds the wait for the first list. Without it, only the
	// configured entries are known, the same few for all agents of a fleet.
	firstDirectoryTimeout = 300 * time.Millisecond
)

// Directory returns the entries that are registered in the store.
type Directory func(ctx context.Context) ([]msg.Peer, error)

// StoreDirectory returns a Directory that reads the keys below the prefix. It skips
// values that are not valid registrations; entries log them.
func StoreDirectory(s store.Store, prefix string) Directory {
	return func(ctx context.Context) ([]msg.Peer, error) {
		listing, err := s.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		var peers []msg.Peer
		for _, e := range listing.Entries {
			if m, err := membership.Decode(prefix, e); err == nil {
				peers = append(peers, msg.Peer{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain})
			}
		}
		return peers, nil
	}
}

// WithDirectory makes the agent also look up entries in the store, so that it finds
// new ones when all that it knew have been replaced.
func WithDirectory(d Directory) Option { return func(o *options) { o.directory = d } }

// maintainLinks reads the list of entries, starts the links and then polls the list
// until ctx ends.
func (d *Daemon) maintainLinks(ctx context.Context) {
	if d.opts.directory != nil {
		d.readDirectory(ctx, firstDirectoryTimeout)
	}
	d.startLinks(ctx)
	if d.opts.directory != nil {
		d.pollDirectory(ctx)
	}
}

func (d *Daemon) readDirectory(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peers, err := d.opts.directory(ctx)
	if err != nil {
		logevent.DirectoryUnread.Log(d.log, zap.Error(err))
		return
	}
	d.selector.setInStore(peers)
}

// pollDirectory reads the list of entries periodically until ctx ends.
func (d *Daemon) pollDirectory(ctx context.Context) {
	last := time.Now()
	for clock.Sleep(ctx, unlinkedDirectoryInterval*4/5+rand.N(unlinkedDirectoryInterval*2/5)) {
		if d.selector.hasLink() && time.Since(last) < directoryInterval {
			continue
		}
		last = time.Now()
		d.readDirectory(ctx, directoryTimeout)
	}
}
