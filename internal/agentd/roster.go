package agentd

import (
	"context"
	"sync"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// roster decides which entries the agent keeps links to. It starts with the
// addresses of the settings and follows the lists of entries that linked
// entries send. It is safe for concurrent use.
type roster struct {
	worker     string
	limit      int
	configured []msg.Peer
	// start begins to keep a link to the address until the context ends, and calls
	// ended after that. It does not block.
	start func(ctx context.Context, address string)

	mu      sync.Mutex
	ctx     context.Context
	learned []msg.Peer
	// listed are the entries in the store.
	listed  []msg.Peer
	dialled map[string]*dialled
	// aliases maps an address to another one of the same entry.
	aliases map[string]string
}

// dialled is an address that a linker works on.
type dialled struct {
	cancel context.CancelFunc
	// linked is the incarnation of the entry that is linked now, or zero.
	linked msg.Incarnation
	// ending is set when the linker was told to stop and has not returned. Two
	// linkers of one entry at once could end each other's link.
	ending bool
}

func (d *dialled) stop() {
	d.ending = true
	d.cancel()
}

func newRoster(worker string, addresses []string, limit int) *roster {
	return &roster{
		worker: worker, limit: limit, configured: peersAt(addresses),
		dialled: make(map[string]*dialled), aliases: make(map[string]string),
	}
}

func peersAt(addresses []string) []msg.Peer {
	peers := make([]msg.Peer, len(addresses))
	for i, a := range addresses {
		peers[i].Address = a
	}
	return peers
}

// discover adds the entries that the store lists. Entries that linked entries name
// stay: the store's list may lack those whose leases lapsed while it was away.
func (r *roster) discover(peers []msg.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = peers
	r.choose()
}

// linked tells whether any entry is linked.
func (r *roster) linked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.dialled {
		if d.linked != 0 {
			return true
		}
	}
	return false
}

// configure replaces the addresses of the settings.
func (r *roster) configure(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configured = peersAt(addresses)
	r.choose()
}

// run starts the first links.
func (r *roster) run(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx = ctx
	r.choose()
}

// learn takes over the list of an entry that is linked.
func (r *roster) learn(peers []msg.Peer) {
	if len(peers) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learned = peers
	r.choose()
}

// up notes that the entry at the address accepted a link. Another address of
// the same entry is given up, since an entry keeps one link to each agent.
func (r *roster) up(address string, entry msg.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, d := range r.dialled {
		if other != address && d.linked == entry {
			d.stop()
			r.aliases[other] = address
		}
	}
	if d := r.dialled[address]; d != nil {
		d.linked = entry
	}
}

// down notes that the link to the address has ended.
func (r *roster) down(address string, entry msg.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.dialled[address]; d != nil && d.linked == entry {
		d.linked = 0
	}
	r.choose()
}

// ended notes that the linker of the address has returned.
func (r *roster) ended(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.dialled, address)
	r.choose()
}

// choose starts links to chosen entries and gives up attempts to reach others.
// A link that is up stays until it ends, so that no result has to find another
// way.
func (r *roster) choose() {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	wanted := make(map[string]bool)
	for _, e := range pickEntries(r.worker, r.candidates(), r.limit) {
		wanted[e.Address] = true
		if r.dialled[e.Address] == nil {
			ctx, cancel := context.WithCancel(r.ctx)
			r.dialled[e.Address] = &dialled{cancel: cancel}
			r.start(ctx, e.Address)
		}
	}
	for address, d := range r.dialled {
		if !wanted[address] && d.linked == 0 && !d.ending {
			d.stop()
		}
	}
}

// candidates returns the entries to choose from: the learned list, that of the
// store and the addresses of the settings, but for those that turned out to be another address
// of a linked entry. Addresses of the settings are never given up because of a
// list, since lists grow one entry at a time while a fleet starts.
func (r *roster) candidates() []msg.Peer {
	list := append([]msg.Peer(nil), r.learned...)
	known := make(map[string]bool)
	for _, e := range list {
		known[e.Address] = true
	}
	for _, e := range r.listed {
		if !known[e.Address] {
			known[e.Address] = true
			list = append(list, e)
		}
	}
	for _, e := range r.configured {
		same := r.dialled[r.aliases[e.Address]]
		if !known[e.Address] && (same == nil || same.linked == 0) {
			list = append(list, e)
		}
	}
	return list
}
