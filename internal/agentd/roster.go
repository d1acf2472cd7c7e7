package agentd

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/subset"
)

// firstLinks is the number of links that an agent dials without a pause. When all
// processes start at once, these give each entry room for its first tasks, and the
// others do not hold them up.
const firstLinks = 4

// replaceAfter is how long the dials of a chosen entry fail until another one is
// chosen beside it: longer than an entry that is restarted takes to be back.
const replaceAfter = 2 * time.Second

// roster decides which entries the agent keeps links to. It starts with the
// addresses of the settings and follows the store's list and the lists that
// linked entries send. It is safe for concurrent use.
type roster struct {
	worker, domain string
	limit          int
	configured     []msg.Peer
	// start begins to keep a link to the address until the context ends, and calls
	// ended after that. A link that is not needed first may wait for others. It does
	// not block.
	start func(ctx context.Context, address string, first bool)
	// drain ends the link to an entry once its tasks here have ended.
	drain func(entry msg.Incarnation)

	mu  sync.Mutex
	ctx context.Context
	// learned holds the newest list of each address. Lists of entries that are not
	// linked any more count only while no entry is linked.
	learned map[string][]msg.Peer
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
	// failing is when the dials that failed since the last link began, or zero.
	failing time.Time
	// ending is set when the linker was told to stop and has not returned. Two
	// linkers of one entry at once could end each other's link.
	ending bool
	// draining is set when the present link was told to end.
	draining bool
}

func (d *dialled) stop() {
	d.ending = true
	d.cancel()
}

func newRoster(worker, domain string, addresses []string, limit int) *roster {
	return &roster{
		worker: worker, domain: domain, limit: limit, configured: peersAt(addresses), drain: func(msg.Incarnation) {},
		learned: make(map[string][]msg.Peer), dialled: make(map[string]*dialled), aliases: make(map[string]string),
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
	return r.anyLinked()
}

func (r *roster) anyLinked() bool {
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

// learn takes over the list of the entry that is linked at the address.
func (r *roster) learn(address string, peers []msg.Peer) {
	if len(peers) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learned[address] = peers
	r.forgetLists()
	r.choose()
}

// forgetLists drops the lists of entries that are not linked, unless none is.
func (r *roster) forgetLists() {
	if !r.anyLinked() {
		return
	}
	for address := range r.learned {
		if d := r.dialled[address]; d == nil || d.linked == 0 {
			delete(r.learned, address)
		}
	}
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
		d.linked, d.draining, d.failing = entry, false, time.Time{}
	}
}

// down notes that the link to the address has ended.
func (r *roster) down(address string, entry msg.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.dialled[address]; d != nil && d.linked == entry {
		d.linked = 0
	}
	r.forgetLists()
	r.choose()
}

// ended notes that the linker of the address has returned.
func (r *roster) ended(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.dialled, address)
	r.choose()
}

// failed notes that a dial of the address has failed.
func (r *roster) failed(now time.Time, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.dialled[address]
	if d == nil {
		return
	}
	if d.failing.IsZero() {
		d.failing = now
	}
	r.chooseAt(now)
}

// unreachable tells whether another entry is needed in place of the address.
func (r *roster) unreachable(now time.Time, address string) bool {
	d := r.dialled[address]
	return d != nil && d.linked == 0 && !d.failing.IsZero() && now.Sub(d.failing) >= replaceAfter
}

func (r *roster) choose() { r.chooseAt(time.Now()) }

// chooseAt starts links to chosen entries and gives up attempts to reach others.
// An entry that cannot be reached is dialled further, with another one beside it. A
// link to an entry that is not chosen any more ends once all chosen ones are linked
// that can be reached.
func (r *roster) chooseAt(now time.Time) {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	candidates := r.candidates()
	reachable := slices.DeleteFunc(slices.Clone(candidates), func(e msg.Peer) bool { return r.unreachable(now, e.Address) })
	wanted := make(map[string]bool)
	complete := len(reachable) > 0
	for i, e := range subset.Choose(r.worker, r.domain, reachable, r.limit) {
		wanted[e.Address] = true
		r.dial(e.Address, i < firstLinks)
		d := r.dialled[e.Address]
		complete = complete && d.linked != 0 && !d.draining
	}
	for _, e := range subset.Choose(r.worker, r.domain, candidates, r.limit) {
		wanted[e.Address] = true
		r.dial(e.Address, false)
	}
	for address, d := range r.dialled {
		switch {
		case wanted[address]:
		case d.linked == 0 && !d.ending:
			d.stop()
		case d.linked != 0 && !d.draining && complete && r.limit > 0:
			d.draining = true
			r.drain(d.linked)
		}
	}
}

// dial starts a linker of the address unless there is one.
func (r *roster) dial(address string, first bool) {
	if r.dialled[address] == nil {
		ctx, cancel := context.WithCancel(r.ctx)
		r.dialled[address] = &dialled{cancel: cancel}
		r.start(ctx, address, first)
	}
}

// candidates returns the entries to choose from: those that linked entries name,
// those in the store and the addresses of the settings, but for addresses that
// turned out to be another one of a linked entry. Addresses of the settings are never
// given up because of a list, since lists grow one entry at a time while a fleet
// starts.
func (r *roster) candidates() []msg.Peer {
	var list []msg.Peer
	known := make(map[string]bool)
	add := func(peers []msg.Peer) {
		for _, e := range peers {
			if !known[e.Address] {
				known[e.Address] = true
				list = append(list, e)
			}
		}
	}
	for _, peers := range r.learned {
		add(peers)
	}
	add(r.listed)
	for _, e := range r.configured {
		same := r.dialled[r.aliases[e.Address]]
		if same == nil || same.linked == 0 {
			add([]msg.Peer{e})
		}
	}
	return list
}
