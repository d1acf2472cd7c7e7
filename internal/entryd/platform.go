package entryd

import (
	"cmp"
	"context"
	"crypto/tls"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

const (
	// EntriesPrefix is the prefix of the store keys under which entries register.
	EntriesPrefix = tablestore.Prefix + "entries/"

	// retryDelayMin and retryDelayMax bound the delays of a loop whose call failed.
	retryDelayMin = 50 * time.Millisecond
	retryDelayMax = 2 * time.Second
	// retryRate is the number of retries per second over all loops of the process, so
	// that 12 entries stay below a tenth of the store's 300 writes a second after an
	// outage.
	retryRate  = 2
	retryBurst = 6
)

// PlatformConfig configures how an entry uses the platform's store and exchanges its
// state with other entries.
type PlatformConfig struct {
	// Store is nil for an entry that learns everything from its peers.
	Store store.Store
	Self  membership.Member
	// Seeds are addresses of entries to ask when the store is down.
	Seeds []string
	// TLS is the client configuration for exchanges with other entries; nil means plain
	// text.
	TLS   *tls.Config
	Log   *zap.Logger
	Hooks PlatformHooks
	// Evacuations makes the entry follow the evacuations of failure domains and pass them
	// on.
	Evacuations bool
}

// PlatformHooks are called for metrics; each may be nil and must not block.
type PlatformHooks struct {
	InForce  func(revision uint64)
	Rejected func(revision uint64)
	// EvacuationRejected is called for each state of a failure domain that cannot be used.
	EvacuationRejected func()
	// StoreCall is called after each call to the store, with its error.
	StoreCall func(err error)
}

// Platform keeps the entry's policy and its list of entries up to date, from the store
// and from other entries. It is safe for concurrent use.
type Platform struct {
	cfg            PlatformConfig
	client         *http.Client
	olderDuplicate chan membership.Member
	exchange       exchangeFunc
	cancelAt       cancelFunc
	unreached      unreachedEntries
	// cancelHere cancels a job of this process and reports whether it had it.
	cancelHere  func(name jobName, uniqueName bool) bool
	applyPolicy func(entry.Policy)
	setPeers    func([]msg.Peer)
	// setEvacuations passes on what is known of evacuations after each change.
	setEvacuations func(evacuation.Report)

	// storeState is the outcome of the last call to the store.
	storeState atomic.Uint32

	mu      sync.Mutex
	inForce tablestore.InForce
	// rejected says why the newest content is not in force; empty if it is.
	rejected string
	// seeds are addresses of entries to ask when the store is down.
	seeds   []string
	mirror  *membership.Mirror
	members *membership.List
	peers   []msg.Peer
	// buffering is true until the store and the peers have been asked once. What
	// arrives meanwhile is kept in buffered, so that the first revision applied is the
	// newest.
	buffering bool
	buffered  []tablestore.Content
	// revisions holds the revision that each address reported last.
	revisions  map[string]uint64
	duplicates []string
	// evacuations merges what the store and the other entries tell; evacuationVersions holds
	// the newest version that each address reported last.
	evacuations        evacuation.State
	evacuationVersions map[string]uint64
	// malformed holds the versions of the keys among the entries that cannot be used.
	malformed map[string]uint64
	// olderAskedAt is when an older process of this name was last asked for an answer.
	olderAskedAt time.Time
	// undecodableVersion is the store version of the last table that could not be
	// decoded.
	undecodableVersion uint64
	retryBudget        store.Budget
	// revisionChanged has a value after a newer revision came into force or an evacuation
	// changed.
	revisionChanged chan struct{}
}

// NewPlatform returns a platform that does nothing until the Daemon that joined it
// runs.
func NewPlatform(cfg PlatformConfig) *Platform {
	client := httpserver.NewTLSClient(cfg.TLS)
	unpooled := httpserver.NewTLSClient(cfg.TLS)
	unpooled.Transport.(*http.Transport).DisableKeepAlives = true
	return &Platform{
		cancelAt: newCancel(client, unpooled, cfg.TLS != nil), cancelHere: func(jobName, bool) bool { return false },
		cfg: cfg, client: client, olderDuplicate: make(chan membership.Member, 1), exchange: newExchange(client, cfg.TLS != nil),
		applyPolicy: func(entry.Policy) {}, setPeers: func([]msg.Peer) {}, setEvacuations: func(evacuation.Report) {},
		seeds: cfg.Seeds, mirror: membership.NewMirror(), members: membership.New(cfg.Self), buffering: true,
		revisions: make(map[string]uint64), evacuationVersions: make(map[string]uint64), revisionChanged: make(chan struct{}, 1),
		retryBudget: store.Budget{PerSecond: retryRate, Burst: retryBurst},
	}
}

// SetSeeds replaces the addresses of entries to ask when the store is down.
func (p *Platform) SetSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = addresses
}

// Revision returns the revision in force, or zero without one.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inForce.Content().Revision
}

// Peers returns the other entries.
func (p *Platform) Peers() []msg.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.peers)
}

// StoreReachable reports whether the last call to the store was answered.
func (p *Platform) StoreReachable() bool { return p.storeState.Load() == storeStateUp }

// Values of Platform.storeState; zero means that no call has ended.
const (
	storeStateUp   = 1
	storeStateDown = 2
)

// run keeps the policy and the list of entries up to date until ctx ends, and the entry
// registered until registered ends. An entry that stops leaves the list at once, and follows
// all changes for as long as it serves.
func (p *Platform) run(ctx, registered context.Context) {
	p.bootstrap(ctx)
	loops := []func(context.Context){p.exchangeLoop, p.pushLoop}
	if p.cfg.Store != nil {
		loops = append(loops, p.watchLoop, p.pollLoop)
	}
	var group sync.WaitGroup
	for _, loop := range loops {
		group.Go(func() { loop(ctx) })
	}
	if p.cfg.Store != nil {
		group.Go(func() { p.registerLoop(registered) })
	}
	group.Wait()
}

const (
	// bootstrapTimeout bounds the first read of the store.
	bootstrapTimeout = time.Second
	// peerTimeout is how long the start waits for peers once the store has answered. It
	// allows several round trips to a live entry.
	peerTimeout = 60 * time.Millisecond
	// bootstrapPeers is the number of entries that are asked in addition to the store.
	// If all entries started at once and each asked all others, they would delay their
	// callers.
	bootstrapPeers = 3
)

// bootstrap asks the store and then known entries, and puts the newest revision among
// their answers in force. Once the store has answered, it asks only a few entries and
// does not wait for those that are down.
func (p *Platform) bootstrap(ctx context.Context) {
	// The store lists the entries to ask, so it is read first.
	timeout, maxPeers := time.Duration(math.MaxInt64), math.MaxInt
	if p.loadAtStart(ctx) {
		timeout, maxPeers = peerTimeout, bootstrapPeers
	}
	exchanged := make(chan struct{})
	go func() {
		defer close(exchanged)
		p.exchangeEach(ctx, sample(p.peerAddresses(), maxPeers), true)
	}()
	select {
	case <-exchanged:
	case <-time.After(timeout):
	}
	p.applyBuffered()
	if p.Revision() == 0 {
		logevent.RevisionUnknown.Log(p.cfg.Log)
	}
	// Push this revision only if an entry has reported an older one. The others most likely
	// have it, and pushes from many entries that start at once would delay callers.
	select {
	case <-p.revisionChanged:
	default:
	}
	if p.reportedOlder() {
		p.requestPush()
	}
}

// reportedOlder reports whether an entry that is past its own start has reported an older
// state than this one's.
func (p *Platform) reportedOlder() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, evacuations := p.inForce.Content().Revision, p.evacuations.Version()
	for address, reported := range p.revisions {
		if reported > 0 && (reported < revision || p.evacuationVersions[address] < evacuations) {
			return true
		}
	}
	return false
}

// loadAtStart reads the store once and reports whether it has a revision.
func (p *Platform) loadAtStart(ctx context.Context) bool {
	if p.cfg.Store == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	if p.loadStore(ctx) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.storedContent()
	return found
}

func (p *Platform) applyBuffered() {
	p.mu.Lock()
	buffered := p.buffered
	p.buffering, p.buffered = false, nil
	p.mu.Unlock()
	slices.SortFunc(buffered, func(a, b tablestore.Content) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, c := range buffered {
		p.applyIfNewer(c)
	}
}

// applyIfNewer puts a revision in force if it is newer than the present one, and reports
// what of it cannot be applied. Content that is no table changes nothing.
func (p *Platform) applyIfNewer(c tablestore.Content) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.buffering {
		p.buffered = append(p.buffered, c)
		return
	}
	policy, newer, err := p.inForce.Offer(c)
	switch {
	case err != nil:
		p.reportRejected(c.Revision, err)
	case newer:
		p.rejected = ""
		p.applyPolicy(policy)
		logevent.RevisionInForce.Log(p.cfg.Log, zap.Uint64("revision", c.Revision), zap.Int("unapplied_values", len(p.inForce.Unapplied())))
		p.logUnapplied(c.Revision)
		if p.cfg.Hooks.InForce != nil {
			p.cfg.Hooks.InForce(c.Revision)
		}
		p.requestPush()
	}
}

// requestPush makes pushLoop tell other entries of a change.
func (p *Platform) requestPush() {
	select {
	case p.revisionChanged <- struct{}{}:
	default:
	}
}

// refreshPeers passes on the list of entries if it has changed, and reports names that
// two processes use. p.mu must be held.
func (p *Platform) refreshPeers(now time.Time) {
	known := p.members.Known(now)
	peers := make([]msg.Peer, len(known))
	for i, m := range known {
		peers[i] = msg.Peer{Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain}
	}
	if !slices.Equal(peers, p.peers) {
		p.peers = peers
		p.setPeers(slices.Clone(peers))
		logevent.EntryListChanged.Log(p.cfg.Log, zap.Int("entries", len(peers)+1))
	}
	duplicates := p.members.Duplicates(now)
	if !slices.Equal(duplicates, p.duplicates) && len(duplicates) > 0 {
		logevent.EntryDuplicate.Log(p.cfg.Log, zap.Strings("entries", duplicates))
	}
	p.duplicates = duplicates
	p.reportOlderDuplicate(now)
}

// recordStoreCall records the outcome of a call to the store. It ignores calls whose
// ctx has ended.
func (p *Platform) recordStoreCall(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if p.cfg.Hooks.StoreCall != nil {
		p.cfg.Hooks.StoreCall(err)
	}
	state := uint32(storeStateDown)
	if err == nil || store.IsConflict(err) || store.IsNotFound(err) || store.IsHistoryGone(err) {
		state = storeStateUp
	}
	switch {
	case p.storeState.Swap(state) == state:
	case state == storeStateUp:
		logevent.StoreReachable.Log(p.cfg.Log)
	default:
		logevent.StoreUnreachable.Log(p.cfg.Log, zap.String("error", err.Error()))
	}
}

// waitToRetry waits for the longer of the loop's backoff and the delay of the process's
// retry budget. It returns false when ctx has ended.
func (p *Platform) waitToRetry(ctx context.Context, b *store.Backoff) bool {
	p.mu.Lock()
	wait := max(b.Next(), p.retryBudget.Take(time.Now()))
	p.mu.Unlock()
	return clock.Sleep(ctx, wait)
}
