package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/interference"
)

// pairOfRuns returns two runs of a job, the first of which has a task of "b" beside it and
// takes longer by the factor.
func pairOfRuns(rng *rand.Rand, factor float64) []interference.Run {
	runs := make([]interference.Run, 2)
	for i := range runs {
		runs[i] = interference.Run{
			Worker: fmt.Sprint("w", rng.IntN(40)), Ratio: math.Exp(0.15 * rng.NormFloat64()), Load: 0.4 + 0.2*rng.Float64(),
			Neighbours: []interference.Neighbour{{JobType: "c", Mean: float64(rng.IntN(3))}},
		}
	}
	runs[0].Ratio *= factor
	runs[0].Neighbours = append(runs[0].Neighbours, interference.Neighbour{JobType: "b", Mean: 1})
	return runs
}

// Guards against a separation that outlives its reason: the interference ends, or nothing is
// known of it any more.
func TestPairsAreForgotten(t *testing.T) {
	for _, test := range []struct {
		name string
		// after makes the pair end.
		after func(m *interference.Model, now *time.Time, rng *rand.Rand) bool
	}{
		{"no further evidence", func(m *interference.Model, now *time.Time, _ *rand.Rand) bool {
			*now = now.Add(2 * time.Hour)
			return len(m.Expire(*now)) == 1
		}},
		{"no interference any more", func(m *interference.Model, now *time.Time, rng *rand.Rand) bool {
			for range 20_000 {
				*now = now.Add(50 * time.Millisecond)
				if p, changed := m.Observe(*now, "s", "a", pairOfRuns(rng, 1)); changed {
					return !p.Separated
				}
			}
			return false
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m, now, rng := interference.New(), loadStart, rand.New(rand.NewPCG(1, 1))
			var found interference.Pair
			for range 5000 {
				now = now.Add(50 * time.Millisecond)
				if p, changed := m.Observe(now, "s", "a", pairOfRuns(rng, 1.35)); changed {
					found = p
				}
			}
			c.Assert(found.Separated && found.JobType == "a" && found.Neighbour == "b", qt.IsTrue, qt.Commentf("%+v", found))
			c.Assert(m.Separated("s"), qt.HasLen, 1)
			c.Assert(math.Abs(m.Separated("s")[0].Slowdown-1.35) < 0.1, qt.IsTrue, qt.Commentf("%+v", m.Separated("s")))
			c.Assert(test.after(m, &now, rng), qt.IsTrue)
			c.Assert(m.Separated("s"), qt.HasLen, 0)
		})
	}
}

// Guards against a value of a peer that spoils the evidence, and against a job whose other
// runs are lost with it.
func TestInvalidRunsAreLeftOut(t *testing.T) {
	c := qt.New(t)
	m, now, rng := interference.New(), loadStart, rand.New(rand.NewPCG(1, 2))
	bad := []interference.Run{
		{Worker: "w", Ratio: math.NaN(), Load: 0.5}, {Worker: "w", Ratio: math.Inf(1)}, {Worker: "w", Ratio: 0}, {Worker: "w", Ratio: -1},
		{Worker: "w", Ratio: 1, Load: math.NaN()}, {Worker: "w", Ratio: 1, Load: 2},
		{Worker: "w", Ratio: 1, Neighbours: []interference.Neighbour{{JobType: "b", Mean: math.Inf(1)}}},
		{Worker: "w", Ratio: 1, Neighbours: []interference.Neighbour{{JobType: "b", Mean: -1}}},
	}
	for range 3000 {
		now = now.Add(50 * time.Millisecond)
		m.Observe(now, "s", "a", append(pairOfRuns(rng, 1.35), bad[rng.IntN(len(bad))]))
	}
	c.Check(m.Invalid(), qt.Equals, uint64(3000))
	c.Check(m.Separated("s"), qt.HasLen, 1)
}

// Guards against memory that grows with the square of the number of job types, and against
// the loss of a separated pair among many rare ones.
func TestManyJobTypes(t *testing.T) {
	c := qt.New(t)
	m, now, rng := interference.New(), loadStart, rand.New(rand.NewPCG(1, 3))
	most := 0
	for i := range 40_000 {
		now = now.Add(10 * time.Millisecond)
		if i%4 == 0 {
			m.Observe(now, "s", "a", pairOfRuns(rng, 1.35))
			continue
		}
		runs := pairOfRuns(rng, 1)
		for k := range runs {
			runs[k].Worker = fmt.Sprint("w", rng.IntN(960))
			for range 8 {
				runs[k].Neighbours = append(runs[k].Neighbours, interference.Neighbour{JobType: fmt.Sprint("t", rng.IntN(5000)), Mean: rng.Float64()})
			}
		}
		m.Observe(now, "s", fmt.Sprint("t", rng.IntN(5000)), runs)
		m.Expire(now)
		most = max(most, m.Size())
	}
	c.Check(most <= 4096+16, qt.IsTrue, qt.Commentf("%d pairs", most))
	c.Check(m.Separated("s"), qt.HasLen, 1)
}

// Guards against a job type that counts as the cause because it often runs together with the
// one that is.
func TestCompanionOfTheCauseIsNotSeparated(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		m, now, rng := interference.New(), loadStart, rand.New(rand.NewPCG(seed, 4))
		for range 10_000 {
			now = now.Add(50 * time.Millisecond)
			runs := pairOfRuns(rng, 1.35)
			if rng.IntN(5) > 0 {
				runs[0].Neighbours = append(runs[0].Neighbours, interference.Neighbour{JobType: "d", Mean: 1})
			}
			if _, changed := m.Observe(now, "s", "a", runs); changed {
				c.Assert(m.Separated("s"), qt.HasLen, 1)
				c.Assert(m.Separated("s")[0].Neighbour, qt.Equals, "b", qt.Commentf("seed %d", seed))
			}
		}
		c.Assert(m.Separated("s"), qt.HasLen, 1)
	}
}

// Guards against services that are kept for ever after they left the table.
func TestServicesAreForgotten(t *testing.T) {
	c := qt.New(t)
	m, now, rng := interference.New(), loadStart, rand.New(rand.NewPCG(1, 5))
	for i := range 100 {
		now = now.Add(time.Minute)
		m.Observe(now, fmt.Sprint("s", i), "a", pairOfRuns(rng, 1))
		m.Expire(now)
	}
	m.Expire(now.Add(5 * time.Hour))
	c.Check(m.Services(), qt.HasLen, 0)
}

// Guards against more pairs than the bound where so many are separated that none can be
// dropped.
func TestSeparatedPairsAreBounded(t *testing.T) {
	c := qt.New(t)
	m, now, rng := interference.New(), loadStart, rand.New(rand.NewPCG(1, 6))
	most := 0
	for i := range 4500 {
		for range 60 {
			now = now.Add(time.Microsecond)
			runs := pairOfRuns(rng, 30)
			for k := range runs {
				runs[k].Neighbours = runs[k].Neighbours[1:]
			}
			m.Observe(now, "s", fmt.Sprint("a", i), runs)
		}
		most = max(most, m.Size())
	}
	c.Check(most <= 4096, qt.IsTrue, qt.Commentf("%d pairs, %d separated", most, len(m.Separated("s"))))
}
