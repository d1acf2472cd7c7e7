package objective_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/objective"
)

const ms = time.Millisecond

// Guards against times that do not follow the run time, for tasks of 6 ms to 9 s, and
// against a late job that is given no time or more than the caller's.
func TestTimesFollowTheRunTime(t *testing.T) {
	for _, longest := range []time.Duration{6 * ms, 60 * ms, 900 * ms, 9 * time.Second} {
		c := qt.New(t)
		o := objective.Objective{Target: 60 * ms, Factor: 1.6, Longest: longest}
		c.Check(o.Wanted(), qt.Equals, 60*ms+longest*16/10)
		c.Check(o.LatestStart()+longest < o.Wanted(), qt.IsTrue)
		c.Check(o.LatestUsefulStart(time.Hour) > o.LatestStart(), qt.IsTrue)
		c.Check(o.LatestUsefulStart(time.Hour)+longest <= 3*o.Wanted(), qt.IsTrue)
		patience := 2 * o.Wanted()
		c.Check(o.LatestUsefulStart(patience)+longest < patience, qt.IsTrue)
	}
}

// Guards against undefined decisions for absurd figures of a table.
func TestAbsurdFigures(t *testing.T) {
	c := qt.New(t)
	c.Check(objective.Objective{}.Exists(), qt.IsFalse)
	c.Check(objective.Objective{Target: -1}.Exists(), qt.IsFalse)
	for _, o := range []objective.Objective{
		{}, {Target: 1, Factor: -3, Longest: 50 * ms}, {Target: -time.Hour, Factor: 0.1, Longest: 50 * ms}, {Target: 60 * ms, Longest: -50 * ms},
	} {
		c.Check(o.Wanted() >= o.Longest, qt.IsTrue, qt.Commentf("%v", o))
		c.Check(o.LatestStart() > 0, qt.IsTrue, qt.Commentf("%v", o))
		c.Check(o.LatestUsefulStart(0) >= o.LatestStart(), qt.IsTrue, qt.Commentf("%v", o))
	}
}

// Plays the last seconds of a stopping entry: a job is taken as long as it can be expected
// to be answered, however long its tasks run.
func TestStoppingEntry(t *testing.T) {
	c := qt.New(t)
	for _, longest := range []time.Duration{6 * ms, 60 * ms, 900 * ms} {
		o := objective.Objective{Target: 60 * ms, Factor: 1.6, Longest: longest}
		c.Check(o.EndsWithin(2*o.Wanted()+time.Second), qt.IsTrue)
		c.Check(o.EndsWithin(o.Wanted()), qt.IsFalse)
	}
	c.Check(objective.Objective{Target: 60 * ms}.EndsWithin(time.Hour), qt.IsFalse)
}

// Guards against times that overflow: a target or an estimate of centuries, or a factor
// beyond all use, made the wanted time negative, and a job of it was refused on arrival.
func TestTimesDoNotOverflow(t *testing.T) {
	durations := []time.Duration{math.MinInt64, -1, 0, 1, 48 * time.Hour, objective.MaxTime, math.MaxInt64 / 3, math.MaxInt64 - 1, math.MaxInt64}
	factors := []float64{math.Inf(-1), -1, 0, math.SmallestNonzeroFloat64, 1, 1.6, 1e18, math.MaxFloat64, math.Inf(1), math.NaN()}
	for _, target := range durations {
		for _, longest := range durations {
			for _, factor := range factors {
				c := qt.New(t)
				o := objective.Objective{Target: target, Factor: factor, Longest: longest}
				about := qt.Commentf("%+v", o)
				c.Check(o.Wanted() >= min(max(target, longest, 0), objective.MaxTime), qt.IsTrue, about)
				c.Check(o.Wanted() <= objective.MaxTime, qt.IsTrue, about)
				c.Check(o.LatestStart() > 0, qt.IsTrue, about)
				for _, patience := range durations {
					c.Check(o.LatestUsefulStart(patience) >= o.LatestStart(), qt.IsTrue, about)
				}
				c.Check(o.EndsWithin(time.Second), qt.Equals, longest > 0 && o.Wanted() <= 800*ms, about)
			}
		}
	}
}
