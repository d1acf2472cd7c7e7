package subset_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/subset"
)

// fleet is a set of entries and workers in failure domains. limit is the largest number
// of links of a worker.
type fleet struct {
	entries []msg.Peer
	// workers maps a worker to its failure domain.
	workers map[string]string
	limit   int
}

// newFleet returns a fleet with the given numbers of entries and of workers in each
// failure domain.
func newFleet(entries, workers []int, limit int) fleet {
	f := fleet{workers: make(map[string]string), limit: limit}
	for d, n := range entries {
		for i := range n {
			f.entries = append(f.entries, msg.Peer{Address: fmt.Sprintf("10.%d.0.%d:7000", d, i+1), FailureDomain: fmt.Sprint("domain-", d)})
		}
	}
	for d, n := range workers {
		for i := range n {
			f.workers[fmt.Sprintf("worker-%d-%d", d, i)] = fmt.Sprint("domain-", d)
		}
	}
	return f
}

// largeFleet is a site of 35 entries and 160 workers. targetFleet is the size expected
// in two years.
func largeFleet() fleet { return newFleet([]int{8, 8, 6, 6, 7}, []int{32, 32, 32, 32, 32}, 12) }

func targetFleet() fleet {
	return newFleet([]int{2, 2, 2, 2, 2, 2}, []int{160, 160, 160, 160, 160, 160}, 4)
}

// links returns the addresses that each worker links to.
func (f fleet) links() map[string][]string {
	links := make(map[string][]string)
	for w, domain := range f.workers {
		for _, e := range subset.Choose(w, domain, f.entries, f.limit) {
			links[w] = append(links[w], e.Address)
		}
	}
	return links
}

// perEntry returns the number of workers of each entry.
func (f fleet) perEntry() map[string]int {
	n := make(map[string]int)
	for _, e := range f.entries {
		n[e.Address] = 0
	}
	for _, addresses := range f.links() {
		for _, a := range addresses {
			n[a]++
		}
	}
	return n
}

// Guards against an entry that has far fewer or far more workers than the others.
// With too few, its callers are refused while workers elsewhere are free; with too
// many, its links cost more than its VM can bear.
func TestWorkersAreSpreadOverEntries(t *testing.T) {
	for _, test := range []struct {
		name      string
		fleet     fleet
		low, high float64
	}{{"35 x 160", largeFleet(), 0.7, 1.4}, {"12 x 960", targetFleet(), 0.7, 1.4}} {
		mean := float64(len(test.fleet.workers)*test.fleet.limit) / float64(len(test.fleet.entries))
		for address, n := range test.fleet.perEntry() {
			share := float64(n) / mean
			qt.Check(t, share > test.low && share < test.high, qt.IsTrue, qt.Commentf("%s: %s has %d workers, the mean is %.1f", test.name, address, n, mean))
		}
	}
}

// Guards against an entry at a small site that is not linked to every worker.
func TestFewEntriesAreAllChosen(t *testing.T) {
	for _, entries := range [][]int{{1, 1, 1}, {1, 1, 1, 1}, {3, 3, 2}, {3, 3, 2, 2}} {
		f := newFleet(entries, []int{4, 4, 3}, 12)
		for w, links := range f.links() {
			qt.Check(t, links, qt.HasLen, len(f.entries), qt.Commentf("%s", w))
		}
	}
}

// Guards against links that all stay in one failure domain, whose loss would cut
// them all, and against traffic between domains where a local entry would do.
func TestLinksAreMostlyLocal(t *testing.T) {
	for _, f := range []fleet{largeFleet(), targetFleet()} {
		domain := make(map[string]string)
		for _, e := range f.entries {
			domain[e.Address] = e.FailureDomain
		}
		for w, links := range f.links() {
			local := 0
			for _, a := range links {
				if domain[a] == f.workers[w] {
					local++
				}
			}
			qt.Check(t, links, qt.HasLen, f.limit)
			qt.Check(t, 2*local >= f.limit, qt.IsTrue, qt.Commentf("%s has %d of %d links in its domain", w, local, len(links)))
			qt.Check(t, 3*(len(links)-local) >= f.limit, qt.IsTrue, qt.Commentf("%s has %d of %d links in its domain", w, local, len(links)))
		}
	}
}

// Guards against the removal of one entry moving links to other entries.
func TestRemovedEntryMovesOnlyItsLinks(t *testing.T) {
	f := largeFleet()
	before := f.links()
	for i, gone := range f.entries {
		smaller := f
		smaller.entries = slices.Delete(slices.Clone(f.entries), i, i+1)
		moved, lost := 0, 0
		for w, links := range smaller.links() {
			for _, a := range links {
				if !slices.Contains(before[w], a) {
					moved++
				}
			}
			if slices.Contains(before[w], gone.Address) {
				lost++
			}
		}
		qt.Check(t, moved <= lost, qt.IsTrue, qt.Commentf("%d links moved for %d of %s", moved, lost, gone.Address))
	}
}

// Guards against workers with too few, too many or duplicate links after the loss of
// any set of entries and workers, and against entries with few workers after their
// failure domain has lost all of its workers.
func TestEveryWorkerAndEntryIsLinked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := func(label string, most int) []int {
			return rapid.SliceOfN(rapid.IntRange(0, most), 1, 6).Draw(t, label)
		}
		f := newFleet(counts("entries", 8), counts("workers", 40), rapid.IntRange(1, 16).Draw(t, "limit"))
		for w, links := range f.links() {
			if len(links) != min(f.limit, len(f.entries)) {
				t.Fatalf("%s has %d links to %d entries, at most %d are allowed", w, len(links), len(f.entries), f.limit)
			}
			slices.Sort(links)
			if len(slices.Compact(links)) != min(f.limit, len(f.entries)) {
				t.Fatalf("%s chose an entry twice", w)
			}
		}
	})
	// Entries keep enough workers as long as workers far outnumber entries.
	for lost := range 5 {
		f := largeFleet()
		for w, domain := range f.workers {
			if domain == fmt.Sprint("domain-", lost) {
				delete(f.workers, w)
			}
		}
		for address, n := range f.perEntry() {
			qt.Check(t, n >= 8, qt.IsTrue, qt.Commentf("%s has %d workers after domain %d lost its own", address, n, lost))
		}
	}
}

// Guards against a remaining entry without links after most entries have gone.
func TestRemainingEntriesAreLinked(t *testing.T) {
	f := largeFleet()
	f.entries = []msg.Peer{f.entries[0], f.entries[20]}
	for w, links := range f.links() {
		qt.Check(t, links, qt.HasLen, 2, qt.Commentf("%s", w))
	}
}

// entryList returns entries that are assigned to the given number of failure
// domains in turn.
func entryList(entries, domains int) []msg.Peer {
	list := make([]msg.Peer, entries)
	for i := range list {
		list[i] = msg.Peer{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return list
}

// Guards against workers that all choose the same entries, and against a new entry
// moving links other than those that it receives.
func TestLinksAreBalancedAndStable(t *testing.T) {
	c := qt.New(t)
	entries := entryList(12, 1)
	load, moved := make(map[string]int), 0
	for i := range 960 {
		worker := fmt.Sprintf("worker-%d", i+1)
		before := make(map[string]bool)
		for _, a := range subset.Choose(worker, "", entries[:11], 4) {
			before[a.Address] = true
		}
		for _, a := range subset.Choose(worker, "", entries, 4) {
			load[a.Address]++
			if !before[a.Address] {
				moved++
			}
		}
	}
	for _, a := range entries {
		// The mean is 960 x 4 / 12 = 320.
		links := load[a.Address]
		c.Check(links > 240 && links < 400, qt.IsTrue, qt.Commentf("%s has %d links", a.Address, links))
	}
	c.Check(moved, qt.Equals, load[entries[11].Address])
}

// Guards against the loss of one failure domain cutting all links of a worker.
func TestLinksSpanFailureDomains(t *testing.T) {
	for i := range 100 {
		perDomain := make(map[string]int)
		for _, e := range subset.Choose(fmt.Sprintf("worker-%d", i), "", entryList(12, 6), 4) {
			perDomain[e.FailureDomain]++
		}
		qt.Assert(t, perDomain, qt.HasLen, 4)
	}
	qt.Assert(t, subset.Choose("w", "", append(entryList(5, 1), msg.Peer{Address: "a", FailureDomain: "other"}), 4), qt.HasLen, 4)
}
