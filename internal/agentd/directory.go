package agentd

import (
	"context"
	"encoding/json"
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
	// directoryInterval is how often a linked agent reads the list of entries. At
	// 960 agents that makes 32 reads a second.
	directoryInterval = 30 * time.Second
	// lonelyInterval is the same for an agent without a link: all entries that it
	// knew may have been replaced.
	lonelyInterval = time.Second
	directoryLimit = time.Second
	// firstDirectoryLimit bounds the wait for the first list, without which only the
	// entries of the settings are known: all agents of a fleet know the same few.
	firstDirectoryLimit = 300 * time.Millisecond
)

// Directory returns the entries that are listed in the store.
type Directory func(ctx context.Context) ([]msg.Peer, error)

// StoreDirectory reads the entries that have registered below the prefix.
func StoreDirectory(s store.Store, prefix string) Directory {
	return func(ctx context.Context) ([]msg.Peer, error) {
		listing, err := s.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		var peers []msg.Peer
		for _, e := range listing.Entries {
			var m membership.Member
			if json.Unmarshal(e.Value, &m) == nil && m.Address != "" {
				peers = append(peers, msg.Peer{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain})
			}
		}
		return peers, nil
	}
}

// WithDirectory makes the agent look for entries in the store, so that it finds
// them when all that it knew have been replaced.
func WithDirectory(d Directory) Option { return func(o *options) { o.directory = d } }

// findEntries reads the list of entries, then keeps links and follows the list
// until ctx ends.
func (d *Daemon) findEntries(ctx context.Context) {
	if d.opts.directory != nil {
		d.readDirectory(ctx, firstDirectoryLimit)
	}
	d.dial(ctx)
	if d.opts.directory != nil {
		d.followDirectory(ctx)
	}
}

func (d *Daemon) readDirectory(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	peers, err := d.opts.directory(ctx)
	if err != nil {
		logevent.DirectoryUnread.Log(d.log, zap.Error(err))
		return
	}
	d.roster.discover(peers)
}

// followDirectory reads the list of entries until ctx ends.
func (d *Daemon) followDirectory(ctx context.Context) {
	last := time.Now()
	for clock.Sleep(ctx, lonelyInterval*4/5+rand.N(lonelyInterval*2/5)) {
		if d.roster.linked() && time.Since(last) < directoryInterval {
			continue
		}
		last = time.Now()
		d.readDirectory(ctx, directoryLimit)
	}
}
