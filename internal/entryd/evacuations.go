package entryd

import (
	"strings"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// putEvacuations stores the requests to evacuate in a listing without values, which need no
// value, and reports whether the mirror changed. p.mu must be held.
func (p *Platform) putEvacuations(listing store.Listing) bool {
	changed := false
	for _, e := range listing.Entries {
		if strings.HasPrefix(e.Key, tablestore.EvacuationsPrefix) {
			changed = p.mirror.Put(e) || changed
		}
	}
	return changed
}

// mergeStoredEvacuations applies the requests to evacuate in the mirror. listedAt is the
// version of the listing that the mirror reflects, zero if it does not reflect one. p.mu must
// be held.
func (p *Platform) mergeStoredEvacuations(listedAt uint64) {
	if !p.cfg.Evacuations {
		return
	}
	r := evacuation.Report{ListedAt: listedAt}
	add := func(key string, evacuated bool, version uint64) {
		if domain, ok := strings.CutPrefix(key, tablestore.EvacuationsPrefix); ok {
			r.Domains = append(r.Domains, evacuation.Domain{Name: domain, Evacuated: evacuated, Version: version})
		}
	}
	p.mirror.Entries(func(e store.Entry) { add(e.Key, true, e.Version) })
	p.mirror.Deletions(func(d store.Deletion) { add(d.Key, false, d.Version) })
	p.mergeEvacuations(r)
}

// mergePeerEvacuations applies what the entry at the address reported. p.mu must be held.
func (p *Platform) mergePeerEvacuations(address string, encoded *pb.Evacuations) {
	if !p.cfg.Evacuations {
		return
	}
	r := linkpb.DecodeEvacuations(encoded)
	newest := uint64(0)
	for _, d := range r.Domains {
		newest = max(newest, d.Version)
	}
	p.evacuationVersions[address] = newest
	p.mergeEvacuations(r)
}

// mergeEvacuations applies a report, passes the state on if it is newer, and logs what cannot
// be applied. p.mu must be held.
func (p *Platform) mergeEvacuations(r evacuation.Report) {
	listedAt := p.evacuations.Report().ListedAt
	changes, rejected := p.evacuations.Merge(r)
	for _, rejection := range rejected {
		logevent.EvacuationRejected.Log(p.cfg.Log, zap.String("domain", rejection.Domain.Name),
			zap.Uint64("version", rejection.Domain.Version), zap.Error(rejection.Err))
		if p.cfg.Hooks.EvacuationRejected != nil {
			p.cfg.Hooks.EvacuationRejected()
		}
	}
	if state := p.evacuations.Report(); len(changes) > 0 || state.ListedAt != listedAt {
		p.setEvacuations(state)
	}
	if len(changes) > 0 {
		p.requestPush()
	}
}

// encodeEvacuations returns what other entries are told, nil if nothing is known. p.mu must be
// held.
func (p *Platform) encodeEvacuations() *pb.Evacuations {
	if r := p.evacuations.Report(); !r.Empty() {
		return linkpb.EncodeEvacuations(r)
	}
	return nil
}
