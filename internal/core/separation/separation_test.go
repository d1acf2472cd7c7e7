package separation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against entries that choose different workers from the same conflicts, and against
// two types in conflict on the same side.
func TestEntriesDivideAlike(t *testing.T) {
	c := qt.New(t)
	conflicts := []Conflict{{"b", "a", 0.5}, {"b", "c", 0.4}, {"x", "y", 0.3}, {"c", "d", 0.2}}
	demand := map[string]float64{"a": 10, "b": 50, "c": 10, "d": 10, "x": 1, "y": 1}
	first := Divide(conflicts, demand)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		rng.Shuffle(len(conflicts), func(i, j int) { conflicts[i], conflicts[j] = conflicts[j], conflicts[i] })
		c.Assert(Divide(conflicts, demand), qt.DeepEquals, first)
	}
	for _, pair := range conflicts {
		a, b := first[pair.A], first[pair.B]
		c.Check(a.High <= b.Low || b.High <= a.Low, qt.IsTrue, qt.Commentf("%v: %v and %v", pair, a, b))
	}
	// a and c run beside b's 50 of 80.
	c.Check(first["a"], qt.Equals, Interval{0, 0.25})
	c.Check(first["b"], qt.Equals, Interval{0.25, 1})
}

// Guards against a conflict that puts the strongest pair on one side, against a type that is
// kept from most workers, and against a demand that no interval can be computed from.
func TestOddConflicts(t *testing.T) {
	c := qt.New(t)
	triangle := Divide([]Conflict{{"a", "b", 0.1}, {"b", "c", 0.3}, {"a", "c", 0.2}}, nil)
	c.Check(triangle["b"] != triangle["c"], qt.IsTrue)
	c.Check(triangle["a"] != triangle["c"], qt.IsTrue)
	c.Check(Divide([]Conflict{{"a", "a", 1}}, nil), qt.HasLen, 0)
	for _, demand := range []float64{0, 1e-300, math.Inf(1), math.NaN(), -1} {
		intervals := Divide([]Conflict{{"a", "b", 1}}, map[string]float64{"a": demand, "b": 1e6})
		for _, i := range intervals {
			c.Check(i.High-i.Low >= 0.25 && i.High-i.Low <= 0.75, qt.IsTrue, qt.Commentf("%v: %v", demand, intervals))
		}
	}
}

// Guards against a side of which all workers are in one rack or failure domain. Names follow
// racks.
func TestOrderSpreadsNeighbouringNames(t *testing.T) {
	c := qt.New(t)
	var workers []string
	for rack := range 12 {
		for i := range 10 {
			workers = append(workers, fmt.Sprintf("zone-%d-rack-%02d-w%d", rack%3, rack, i))
		}
	}
	ranks := Order(workers)
	byZone := map[byte]int{}
	for _, w := range workers {
		if ranks[w] < 0.5 {
			byZone[w[5]]++
		}
	}
	for zone, n := range byZone {
		c.Check(n >= 12 && n <= 28, qt.IsTrue, qt.Commentf("zone %c has %d of 60", zone, n))
	}
	c.Check(byZone, qt.HasLen, 3)
}
