package entryd

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// exchangeInterval is how often an entry exchanges its state with another one,
	// chosen at random.
	exchangeInterval = 2 * time.Second
	exchangeTimeout  = time.Second
	// pushDelay is the longest random delay before a new revision is pushed. Most
	// entries learn the revision from their own watch within this time.
	pushDelay = 200 * time.Millisecond
	// pushFanout is the number of entries to which each entry pushes a new revision.
	// They push it on, so that with a few dozen entries one in ten thousand gets no
	// push and learns the revision from a periodic exchange.
	pushFanout = 8
)

// exchangeFunc sends a request to the entry at an address and returns its response.
type exchangeFunc func(ctx context.Context, address string, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error)

// newExchange returns a function that uses the client, over TLS if overTLS is set.
func newExchange(client *http.Client, overTLS bool) exchangeFunc {
	scheme := "http://"
	if overTLS {
		scheme = "https://"
	}
	return func(ctx context.Context, address string, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
		peer := poplarleverv1connect.NewPeerClient(client, scheme+address)
		resp, err := peer.Exchange(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}
}

// exchangeLoop exchanges with one random entry at a time, or with all known entries
// while there is no revision.
func (p *Platform) exchangeLoop(ctx context.Context) {
	backoff := store.Backoff{Min: retryDelayMin, Max: retryDelayMax}
	for {
		if p.Revision() == 0 {
			p.exchangeAll(ctx)
			if !clock.Sleep(ctx, backoff.Next()) {
				return
			}
			continue
		}
		if addresses := p.peerAddresses(); len(addresses) > 0 {
			p.exchangeWith(ctx, addresses[rand.IntN(len(addresses))], true)
		}
		if !clock.Sleep(ctx, jitter(exchangeInterval)) {
			return
		}
	}
}

// pushLoop pushes each new revision, and each change of an evacuation, to a few of the
// entries that have not reported it.
func (p *Platform) pushLoop(ctx context.Context) {
	for {
		select {
		case <-p.revisionChanged:
		case <-ctx.Done():
			return
		}
		if !clock.Sleep(ctx, rand.N(pushDelay)) {
			return
		}
		p.exchangeEach(ctx, sample(p.outdatedAddresses(), pushFanout), false)
	}
}

// outdatedAddresses returns the addresses that have not reported the revision in force or the
// newest evacuation.
func (p *Platform) outdatedAddresses() []string {
	addresses := p.peerAddresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, evacuations := p.inForce.Content().Revision, p.evacuations.Version()
	return slices.DeleteFunc(addresses, func(a string) bool {
		return p.revisions[a] >= revision && p.evacuationVersions[a] >= evacuations
	})
}

// sample returns n of the addresses at random, or all when there are fewer. It shuffles
// the slice.
func sample(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// peerAddresses returns every address where another entry may answer.
func (p *Platform) peerAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := append(p.members.Candidates(), p.seeds...)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == p.cfg.Self.Address })
}

func (p *Platform) exchangeAll(ctx context.Context) { p.exchangeEach(ctx, p.peerAddresses(), true) }

func (p *Platform) exchangeEach(ctx context.Context, addresses []string, withEntries bool) {
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { p.exchangeWith(ctx, address, withEntries) })
	}
	group.Wait()
}

// exchangeWith exchanges with one entry, and sends it the table when its revision is
// older.
func (p *Platform) exchangeWith(ctx context.Context, address string, withEntries bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := p.newRequest(withEntries)
	resp, err := p.exchange(ctx, address, req)
	if err != nil {
		return
	}
	p.recordExchange(address, resp)
	if resp.GetRevision() >= req.GetRevision() {
		return
	}
	req = p.newRequest(false)
	req.Table = p.tableIfNewer(resp.GetRevision())
	if resp, err = p.exchange(ctx, address, req); err == nil {
		p.recordExchange(address, resp)
	}
}

func (p *Platform) newRequest(withEntries bool) *pb.ExchangeRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := &pb.ExchangeRequest{Self: encodeMember(p.cfg.Self), Revision: p.inForce.Content().Revision, Evacuations: p.encodeEvacuations()}
	if withEntries {
		req.Entries = encodeMembers(p.members.Known(time.Now()))
	}
	return req
}

// tableIfNewer returns the table for an entry whose revision is older, else nil.
func (p *Platform) tableIfNewer(revision uint64) *pb.TableContent {
	p.mu.Lock()
	defer p.mu.Unlock()
	content := p.inForce.Content()
	if content.Revision <= revision {
		return nil
	}
	return &pb.TableContent{Revision: content.Revision, Csv: content.CSV}
}

// exchangeMessage is the common part of exchange requests and responses.
type exchangeMessage interface {
	GetSelf() *pb.PeerEntry
	GetRevision() uint64
	GetEntries() []*pb.PeerEntry
	GetTable() *pb.TableContent
	GetEvacuations() *pb.Evacuations
}

// recordExchange records what the entry at the address sent, and applies its table and its
// evacuations.
func (p *Platform) recordExchange(address string, m exchangeMessage) {
	p.mu.Lock()
	now := time.Now()
	if self := decodeMember(m.GetSelf()); self.Validate() == nil {
		p.members.Contact(now, self)
	}
	if entries := m.GetEntries(); len(entries) > 0 {
		p.members.Mention(now, decodeMembers(entries))
	}
	p.revisions[address] = m.GetRevision()
	p.mergePeerEvacuations(address, m.GetEvacuations())
	p.refreshPeers(now)
	p.mu.Unlock()
	if t := m.GetTable(); t != nil {
		p.applyIfNewer(tablestore.Content{Revision: t.GetRevision(), CSV: t.GetCsv()})
	}
}

// Exchange implements the Peer service.
func (p *Platform) Exchange(_ context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	return connect.NewResponse(p.answerExchange(req.Msg)), nil
}

func (p *Platform) answerExchange(req *pb.ExchangeRequest) *pb.ExchangeResponse {
	p.recordExchange(req.GetSelf().GetAddress(), req)
	resp := &pb.ExchangeResponse{Self: encodeMember(p.cfg.Self), Revision: p.Revision(), Table: p.tableIfNewer(req.GetRevision())}
	p.mu.Lock()
	defer p.mu.Unlock()
	resp.Evacuations = p.encodeEvacuations()
	if len(req.GetEntries()) > 0 || req.GetRevision() == 0 {
		resp.Entries = encodeMembers(p.members.Known(time.Now()))
	}
	return resp
}

func encodeMember(m membership.Member) *pb.PeerEntry {
	return &pb.PeerEntry{
		Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain,
		Incarnation: m.Incarnation, StartedNs: m.Started.UnixNano(),
	}
}

func decodeMember(e *pb.PeerEntry) membership.Member {
	return membership.Member{
		Name: e.GetName(), Address: e.GetAddress(), FailureDomain: e.GetFailureDomain(),
		Incarnation: e.GetIncarnation(), Started: time.Unix(0, e.GetStartedNs()).UTC(),
	}
}

func encodeMembers(members []membership.Member) []*pb.PeerEntry {
	out := make([]*pb.PeerEntry, len(members))
	for i, m := range members {
		out[i] = encodeMember(m)
	}
	return out
}

// decodeMembers skips members that no entry can be: another entry may pass on what it
// found in the store.
func decodeMembers(entries []*pb.PeerEntry) []membership.Member {
	out := make([]membership.Member, 0, len(entries))
	for _, e := range entries {
		if m := decodeMember(e); m.Validate() == nil {
			out = append(out, m)
		}
	}
	return out
}
