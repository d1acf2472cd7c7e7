package agentd

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/subset"
)

// priorityLinks is the number of links that an agent dials without an initial pause.
// When all processes start at once, these links give each entry slots for its first
// tasks without being delayed by the dials of the other links.
const priorityLinks = 4

// replaceAfter is how long the dials of a chosen entry have to fail before another
// entry is chosen in addition. It exceeds the time that an entry takes to restart.
const replaceAfter = 2 * time.Second

// entrySelector decides which entries the agent links to and starts and stops their
// linkers. It chooses from the configured addresses, the store's list and the lists
// that linked entries send. It is safe for concurrent use.
type entrySelector struct {
	worker, domain string
	limit          int
	configured     []msg.Peer
	// startLinker starts a linker of the address, which runs until the context ends and
	// then calls linkerReturned. Without priority, it may delay its first dial. It does
	// not block.
	startLinker func(ctx context.Context, address string, priority bool)
	// drainLink closes the link to an entry once that entry's tasks at this worker have
	// ended.
	drainLink func(entry msg.Incarnation)

	mu  sync.Mutex
	ctx context.Context
	// reported holds the newest list that the entry at each address sent. Lists of
	// entries that are no longer linked are used only while no entry is linked.
	reported map[string][]msg.Peer
	// inStore is the newest list read from the store.
	inStore []msg.Peer
	linkers map[string]*linkerState
	// aliases maps an address to another address of the same entry, at which that entry
	// is linked instead.
	aliases map[string]string
}

// linkerState is the state of one address for which a linker was started.
type linkerState struct {
	cancel context.CancelFunc
	// linkedEntry is the incarnation of the entry linked at this address, zero if none.
	linkedEntry msg.Incarnation
	// failingSince is when the first dial failed since the last link, zero if none did.
	failingSince time.Time
	// stopping is set when the linker was told to stop but has not returned. A new one
	// has to wait for that, since two linkers of one entry could end each other's link.
	stopping bool
	// draining is set once the current link is being drained.
	draining bool
}

func (d *linkerState) stop() {
	d.stopping = true
	d.cancel()
}

func newEntrySelector(worker, domain string, addresses []string, limit int) *entrySelector {
	return &entrySelector{
		worker: worker, domain: domain, limit: limit, configured: peersAt(addresses), drainLink: func(msg.Incarnation) {},
		reported: make(map[string][]msg.Peer), linkers: make(map[string]*linkerState), aliases: make(map[string]string),
	}
}

func peersAt(addresses []string) []msg.Peer {
	peers := make([]msg.Peer, len(addresses))
	for i, a := range addresses {
		peers[i].Address = a
	}
	return peers
}

// setInStore replaces the store's list. Entries that linked entries reported remain
// candidates, because the store's list may lack those whose leases expired while the
// store was unavailable.
func (s *entrySelector) setInStore(peers []msg.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inStore = peers
	s.updateLinks()
}

// hasLink reports whether any entry is linked.
func (s *entrySelector) hasLink() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasLinkLocked()
}

func (s *entrySelector) hasLinkLocked() bool {
	for _, d := range s.linkers {
		if d.linkedEntry != 0 {
			return true
		}
	}
	return false
}

// setConfigured replaces the configured addresses.
func (s *entrySelector) setConfigured(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configured = peersAt(addresses)
	s.updateLinks()
}

// start starts the linkers of the chosen entries. They are stopped when ctx ends.
func (s *entrySelector) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	s.updateLinks()
}

// setReported stores the list of entries sent by the entry at the address. An empty
// list is ignored.
func (s *entrySelector) setReported(address string, peers []msg.Peer) {
	if len(peers) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported[address] = peers
	s.dropUnlinkedLists()
	s.updateLinks()
}

// dropUnlinkedLists drops the lists of entries that are not linked. It keeps them all
// while no entry is linked.
func (s *entrySelector) dropUnlinkedLists() {
	if !s.hasLinkLocked() {
		return
	}
	for address := range s.reported {
		if d := s.linkers[address]; d == nil || d.linkedEntry == 0 {
			delete(s.reported, address)
		}
	}
}

// linkUp records that the entry at the address accepted a link. A linker of another
// address of the same entry is stopped, since an entry keeps one link to each agent.
func (s *entrySelector) linkUp(address string, entry msg.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, d := range s.linkers {
		if other != address && d.linkedEntry == entry {
			d.stop()
			s.aliases[other] = address
		}
	}
	if d := s.linkers[address]; d != nil {
		d.linkedEntry, d.draining, d.failingSince = entry, false, time.Time{}
	}
}

// linkDown records that the link to the address has ended.
func (s *entrySelector) linkDown(address string, entry msg.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.linkers[address]; d != nil && d.linkedEntry == entry {
		d.linkedEntry = 0
	}
	s.dropUnlinkedLists()
	s.updateLinks()
}

// linkerReturned records that the linker of the address has returned.
func (s *entrySelector) linkerReturned(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.linkers, address)
	s.updateLinks()
}

// dialFailed records that a dial of the address has failed.
func (s *entrySelector) dialFailed(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.linkers[address]
	if d == nil {
		return
	}
	if d.failingSince.IsZero() {
		d.failingSince = now
	}
	s.updateLinksAt(now)
}

// unreachable reports whether dials of the address have failed for replaceAfter, so
// that another entry is needed in its place.
func (s *entrySelector) unreachable(now time.Time, address string) bool {
	d := s.linkers[address]
	return d != nil && d.linkedEntry == 0 && !d.failingSince.IsZero() && now.Sub(d.failingSince) >= replaceAfter
}

func (s *entrySelector) updateLinks() { s.updateLinksAt(time.Now()) }

// updateLinksAt starts linkers of the chosen entries and stops those of others that are
// not linked. A chosen entry that is unreachable is still dialled, and another one is
// chosen in addition. A link to an entry that is no longer chosen is drained once all
// reachable chosen entries are linked.
func (s *entrySelector) updateLinksAt(now time.Time) {
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	candidates := s.candidates()
	reachable := slices.DeleteFunc(slices.Clone(candidates), func(e msg.Peer) bool { return s.unreachable(now, e.Address) })
	wanted := make(map[string]bool)
	complete := len(reachable) > 0
	for i, e := range subset.Choose(s.worker, s.domain, reachable, s.limit) {
		wanted[e.Address] = true
		s.ensureLinker(e.Address, i < priorityLinks)
		d := s.linkers[e.Address]
		complete = complete && d.linkedEntry != 0 && !d.draining
	}
	for _, e := range subset.Choose(s.worker, s.domain, candidates, s.limit) {
		wanted[e.Address] = true
		s.ensureLinker(e.Address, false)
	}
	for address, d := range s.linkers {
		switch {
		case wanted[address]:
		case d.linkedEntry == 0 && !d.stopping:
			d.stop()
		case d.linkedEntry != 0 && !d.draining && complete && s.limit > 0:
			d.draining = true
			s.drainLink(d.linkedEntry)
		}
	}
}

// ensureLinker starts a linker of the address unless there already is one.
func (s *entrySelector) ensureLinker(address string, priority bool) {
	if s.linkers[address] == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		s.linkers[address] = &linkerState{cancel: cancel}
		s.startLinker(ctx, address, priority)
	}
}

// candidates returns the entries to choose from: those reported by linked entries,
// those in the store and the configured addresses, except aliases of a linked entry.
// Configured addresses remain candidates even if no list contains them, because lists
// grow one entry at a time while a fleet starts.
func (s *entrySelector) candidates() []msg.Peer {
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
	for _, peers := range s.reported {
		add(peers)
	}
	add(s.inStore)
	for _, e := range s.configured {
		same := s.linkers[s.aliases[e.Address]]
		if same == nil || same.linkedEntry == 0 {
			add([]msg.Peer{e})
		}
	}
	return list
}
