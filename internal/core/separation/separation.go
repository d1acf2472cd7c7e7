// Package separation divides the workers of a service between job types that slow each other
// down.
//
// Every entry orders the workers by a hash of their names and gives each side of a conflict
// an interval of that order. Entries that have found the same pairs so choose the same
// workers without a message. A side is a preference among workers that are otherwise about
// equally good, never a reason to refuse a task or to let it wait.
//
// The package does no I/O, starts no goroutine and reads no clock.
package separation

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

const (
	// steps is the number of parts of the order at which an interval may end. Entries see
	// different parts of the load, and agree on a boundary if it is coarse.
	steps = 8
	// minSteps is the smallest interval. A job type that runs rarely still gets a quarter of
	// the workers, enough to spread over failure domains.
	minSteps = 2
)

// Conflict is a pair of job types of a service that slow each other down.
type Conflict struct {
	A, B string
	// Effect is the larger one of the two slowdowns. Stronger conflicts go first.
	Effect float64
}

// Interval is a part of the order of workers, from 0 to 1.
type Interval struct{ Low, High float64 }

// Contains reports whether a worker of the given rank is in the interval.
func (i Interval) Contains(rank float64) bool { return rank >= i.Low && rank < i.High }

// Order returns the rank of each worker, from 0 to less than 1.
func Order(workers []string) map[string]float64 {
	sorted := slices.Clone(workers)
	hashes := make(map[string]uint64, len(sorted))
	for _, w := range sorted {
		h := fnv.New64a()
		h.Write([]byte(w))
		hashes[w] = mix(h.Sum64())
	}
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b)) })
	ranks := make(map[string]float64, len(sorted))
	for i, w := range sorted {
		ranks[w] = (float64(i) + 0.5) / float64(len(sorted))
	}
	return ranks
}

// mix spreads hashes of names that differ in the last digits only.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// node is a job type in a forest; odd tells that it is on the other side than its parent.
type node struct {
	parent string
	odd    bool
}

// forest holds the sides of job types relative to each other.
type forest map[string]node

// root returns the root of a job type's tree and whether it is on the other side than it.
func (f forest) root(name string) (string, bool) {
	odd := false
	for {
		n, ok := f[name]
		if !ok {
			f[name] = node{parent: name}
			return name, odd
		}
		if n.parent == name {
			return name, odd
		}
		odd = odd != n.odd
		name = n.parent
	}
}

// join puts two job types on different sides, unless stronger conflicts have put them on the
// same one.
func (f forest) join(a, b string) {
	ra, oddA := f.root(a)
	rb, oddB := f.root(b)
	if ra != rb {
		// The first name in the alphabet is the root, so that all entries name sides alike.
		if ra > rb {
			ra, rb = rb, ra
		}
		f[rb] = node{parent: ra, odd: oddA == oddB}
	}
}

// Divide returns the interval of workers that each job type with a conflict prefers. Demand
// is the use of the workers by each job type, in any unit.
func Divide(conflicts []Conflict, demand map[string]float64) map[string]Interval {
	sorted := slices.Clone(conflicts)
	slices.SortFunc(sorted, func(a, b Conflict) int {
		return cmp.Or(cmp.Compare(b.Effect, a.Effect), cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B))
	})
	f := make(forest)
	for _, c := range sorted {
		if c.A != c.B {
			f.join(c.A, c.B)
		}
	}
	type sides struct{ even, odd float64 }
	totals := make(map[string]sides)
	for _, name := range slices.Sorted(maps.Keys(f)) {
		root, odd := f.root(name)
		t := totals[root]
		if odd {
			t.odd += demand[name]
		} else {
			t.even += demand[name]
		}
		totals[root] = t
	}
	intervals := make(map[string]Interval, len(f))
	for name := range f {
		root, odd := f.root(name)
		boundary := boundary(totals[root].even, totals[root].odd)
		if odd {
			intervals[name] = Interval{boundary, 1}
		} else {
			intervals[name] = Interval{0, boundary}
		}
	}
	return intervals
}

// boundary returns the part of the workers for the first of two sides.
func boundary(first, second float64) float64 {
	if !(first+second > 0) || math.IsInf(first+second, 0) {
		return 0.5
	}
	n := math.Round(steps * first / (first + second))
	return min(max(n, minSteps), steps-minSteps) / steps
}
