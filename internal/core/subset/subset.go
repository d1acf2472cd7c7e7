// Package subset answers one load pattern: hundreds of agents and dozens of
// entries, where a link between each pair costs both ends more than the tasks that
// it carries. An agent keeps a bounded number of links, most of them to entries in
// its own failure domain and the rest spread over the others. Each agent chooses by
// itself from the list of entries, by rendezvous hashing (Thaler and Ravishankar,
// 1998), so that a change of the list moves few links and no message is needed.
//
// The rule is judged by the smallest and the largest number of workers of an
// entry, by the links that a change moves, and by what is left after a loss.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// localNumerator / localDenominator is the part of the links that may stay in the
// agent's own failure domain. The rest keeps the worker in use, and its domain's
// entries supplied, when one side of the domain is short or lost.
const (
	localNumerator   = 2
	localDenominator = 3
)

// Choose returns the entries that the worker's agent links to, those first whose
// links are needed first: all of them when there are at most limit, or when limit is
// zero or less. The order of the list does not matter.
func Choose(worker, domain string, entries []msg.Peer, limit int) []msg.Peer {
	if limit <= 0 {
		limit = len(entries)
	}
	local, remote := split(rank(worker, entries), domain)
	quota := (limit*localNumerator + localDenominator - 1) / localDenominator
	chosen := slices.Clone(local[:min(quota, len(local))])
	chosen = append(chosen, spread(remote, limit-len(chosen))...)
	// The other domains may have too few entries.
	for _, e := range local[min(quota, len(local)):] {
		if len(chosen) == limit {
			break
		}
		chosen = append(chosen, e)
	}
	return chosen
}

// rank orders the entries by their weight for the worker, largest first.
func rank(worker string, entries []msg.Peer) []msg.Peer {
	ranked := slices.Clone(entries)
	weights := make(map[string]uint64, len(ranked))
	for _, e := range ranked {
		weights[e.Address] = xxhash.Sum64String(worker + "\x00" + e.Address)
	}
	slices.SortFunc(ranked, func(a, b msg.Peer) int {
		return cmp.Or(cmp.Compare(weights[b.Address], weights[a.Address]), cmp.Compare(a.Address, b.Address))
	})
	return ranked
}

// split parts the entries of the domain from the others and keeps their order.
func split(entries []msg.Peer, domain string) (local, remote []msg.Peer) {
	for _, e := range entries {
		if domain != "" && e.FailureDomain == domain {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	return local, remote
}

// spread returns n entries, in turn the next one of each failure domain. The first
// n of them are among the first n+1, so that a longer or shorter rest of the links
// moves no others.
func spread(ranked []msg.Peer, n int) []msg.Peer {
	n = min(n, len(ranked))
	var chosen []msg.Peer
	for len(chosen) < n {
		var later []msg.Peer
		seen := make(map[string]bool)
		for _, e := range ranked {
			if seen[e.FailureDomain] {
				later = append(later, e)
				continue
			}
			seen[e.FailureDomain] = true
			chosen = append(chosen, e)
		}
		ranked = later
	}
	return chosen[:max(0, n)]
}
