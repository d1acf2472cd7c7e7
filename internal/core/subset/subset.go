// Package subset chooses the entries that an agent links to. With hundreds of
// agents and dozens of entries, a link between each pair would cost both ends more
// than the tasks that it carries. An agent therefore keeps a bounded number of
// links, most of them to entries in its own failure domain and the rest spread over
// the other domains. Each agent chooses independently from the list of entries, by
// rendezvous hashing (Thaler and Ravishankar, 1998), so that a change of the list
// moves few links and needs no message.
//
// The tests check the smallest and the largest number of workers of an entry, the
// number of links that a change moves, and the links that remain after a loss.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// localNumerator / localDenominator is the largest fraction of the links that stay
// in the agent's own failure domain while other domains have enough entries. The
// other links keep the worker in use when its domain has few or no entries, and
// supply entries whose domain has few or no workers.
const (
	localNumerator   = 2
	localDenominator = 3
)

// Choose returns the entries that the worker's agent links to, in order of
// preference. It returns all entries when there are at most limit of them or when
// limit is zero or less. The order of entries does not affect the result.
func Choose(worker, domain string, entries []msg.Peer, limit int) []msg.Peer {
	if limit <= 0 {
		limit = len(entries)
	}
	local, remote := split(rank(worker, entries), domain)
	quota := (limit*localNumerator + localDenominator - 1) / localDenominator
	chosen := slices.Clone(local[:min(quota, len(local))])
	chosen = append(chosen, spread(remote, limit-len(chosen))...)
	// Fill up with local entries when the other domains have too few.
	for _, e := range local[min(quota, len(local)):] {
		if len(chosen) == limit {
			break
		}
		chosen = append(chosen, e)
	}
	return chosen
}

// rank orders the entries by their rendezvous weight for the worker, largest first.
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

// split separates the entries of the domain from the others and keeps their order.
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

// spread returns n entries, taking the next one of each failure domain in turn. The
// result for n is a prefix of the result for n+1, so that a change of n moves no
// other links.
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
