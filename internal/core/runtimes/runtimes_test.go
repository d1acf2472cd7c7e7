package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against quantiles, and remaining run times after an elapsed time, that differ from
// those of the observed runs. The runs are 1.15 times the declared ones with a deviation of
// 0.4, and 3 in 100 take 7 times as long.
func TestQuantilesFollowTheRuns(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	d := prior
	var runs []float64
	for range 3000 {
		x := 1.15 * math.Exp(0.4*rng.NormFloat64())
		if rng.Float64() < 0.03 {
			x *= 7
		}
		for range 4 {
			d.Observe(math.Log(x), 0.25)
		}
		runs = append(runs, x)
	}
	slices.Sort(runs)
	for _, q := range []float64{0.05, 0.25, 0.5, 0.75, 0.95} {
		want := runs[int(q*float64(len(runs)))]
		c.Check(math.Abs(math.Log(d.Quantile(q)/want)) < 0.12, qt.IsTrue, qt.Commentf("%v: %v, want %v", q, d.Quantile(q), want))
	}
	for _, elapsed := range []float64{0.5, 1, 2, 4} {
		sum, n := 0.0, 0.0
		for _, x := range runs {
			if x > elapsed {
				sum, n = sum+x-elapsed, n+1
			}
		}
		got := d.Remaining(elapsed)
		c.Check(math.Abs(math.Log(got/(sum/n))) < 0.3, qt.IsTrue, qt.Commentf("%v: %v, want %v", elapsed, got, sum/n))
	}
	c.Check(math.Abs(d.Spread()-0.4) < 0.1, qt.IsTrue, qt.Commentf("spread %v", d.Spread()))
}

// Guards against a job type that keeps its first run times after they have changed, and
// against one whose first job replaces the declared run time altogether.
func TestOldRunsDecay(t *testing.T) {
	c := qt.New(t)
	d := prior
	for range 1000 {
		d.Observe(math.Log(8), 0.125)
	}
	for range 4 * window {
		d.Observe(math.Log(0.5), 1)
	}
	c.Check(math.Abs(d.Quantile(0.5)-0.5) < 0.05, qt.IsTrue)
	first := prior
	for range 8 {
		first.Observe(math.Log(7), 0.125)
	}
	c.Check(first.Median() < 1.3, qt.IsTrue, qt.Commentf("%v", first.Median()))
}

// Guards against memory that grows with the names that callers choose, and against the
// eviction of a job type in use.
func TestLeastRecentlyUsedTypeIsEvicted(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	used := table.Of("s", "used")
	for i := range 2 * MaxTypes {
		table.Of("s", fmt.Sprint(i))
		c.Assert(table.Of("s", "used") == used, qt.IsTrue)
	}
	c.Check(table.Len(), qt.Equals, MaxTypes)
	c.Check(table.Known("s", "0"), qt.Equals, Prior())
}

// Guards against values that are no run times: they must leave the distribution usable.
func TestOddValues(t *testing.T) {
	c := qt.New(t)
	for _, took := range []time.Duration{0, -1, math.MinInt64, MaxRunTime + 1, math.MaxInt64} {
		c.Check(Valid(took), qt.IsFalse)
	}
	d := prior
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		d.Observe(x, 1)
		d.Observe(0, x)
	}
	for _, x := range []float64{d.Quantile(0.5), d.Quantile(math.Inf(1)), d.Remaining(0), d.Remaining(1e300), d.Survival(-1), d.Survival(1e300)} {
		c.Check(math.IsNaN(x) || math.IsInf(x, 0), qt.IsFalse)
	}
}

// Guards against job types whose declared run times are off by more than the bins cover: each
// run would count as longer than all others of its kind.
func TestRatiosBeyondTheBins(t *testing.T) {
	for _, ratio := range []float64{1e-7, 1e-3, 60, 100, 1e4, 1e9} {
		c, rng := qt.New(t), rand.New(rand.NewPCG(1, 7))
		d := NewTable().Of("s", "t")
		for range 300 {
			d.Observe(math.Log(ratio)+0.4*rng.NormFloat64(), 1)
		}
		off := math.Abs(math.Log(d.Median() / ratio))
		c.Check(off < 0.2, qt.IsTrue, qt.Commentf("ratio %v: median %v", ratio, d.Median()))
		c.Check(d.Survival(1.2*ratio) > 0.2, qt.IsTrue, qt.Commentf("ratio %v: %v", ratio, d.Survival(1.2*ratio)))
		c.Check(d.Remaining(ratio) > 0 && d.Remaining(ratio) < ratio, qt.IsTrue, qt.Commentf("ratio %v: %v", ratio, d.Remaining(ratio)))
	}
}
