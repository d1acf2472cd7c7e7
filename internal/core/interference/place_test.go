package interference_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/interference"
	"github.com/poplarlever/poplarlever/internal/core/separation"
)

// entryView is what one entry learns and decides.
type entryView struct {
	model     *interference.Model
	intervals map[string]separation.Interval
	demand    map[string]float64
}

// separating makes the entries of a load learn and apply separations with the given weight,
// from one of every n jobs.
func separating(l load, weight float64, n int) load {
	views := make([]entryView, l.entries)
	var names []string
	for i := range l.workers {
		names = append(names, fmt.Sprintf("worker-%02d", i))
	}
	for i := range views {
		views[i] = entryView{interference.New(), nil, map[string]float64{}}
	}
	ranks, jobs := separation.Order(names), 0
	cores := map[string]float64{}
	for _, t := range l.types {
		cores[t.name] = t.cores
	}
	l.observe = func(now time.Time, entry int, jobType string, runs []interference.Run) {
		v := &views[entry]
		for _, r := range runs {
			v.demand[jobType] += r.Ratio * cores[jobType]
		}
		if jobs++; jobs%n != 0 {
			return
		}
		_, changed := v.model.Observe(now, "s", jobType, runs)
		if expired := v.model.Expire(now); changed || len(expired) > 0 {
			var conflicts []separation.Conflict
			for _, p := range v.model.Separated("s") {
				conflicts = append(conflicts, separation.Conflict{A: p.JobType, B: p.Neighbour, Effect: p.Slowdown})
			}
			v.intervals = separation.Divide(conflicts, v.demand)
		}
	}
	l.place = func(_ time.Time, entry int, jobType string, w *simWorker) float64 {
		if i, ok := views[entry].intervals[jobType]; ok && !i.Contains(ranks[w.name]) {
			return -weight
		}
		return 0
	}
	return l
}

// spreading places the tasks of each type apart from each other.
func spreading(l load, weight float64) load {
	l.place = func(_ time.Time, _ int, jobType string, w *simWorker) float64 {
		i := slices.IndexFunc(l.types, func(t loadType) bool { return t.name == jobType })
		return -weight * float64(w.counts[i])
	}
	return l
}

// placed lists the loads on which ways to place tasks are compared: types that slow each
// other down by half for each task beside them, with rare tasks of half a worker.
func placed() map[string]load {
	base := load{types: append(mixedTypes(), loadType{"half", 0.15, 2, 32, 0.2}), workers: 30, entries: 4, rate: 150, uneven: 0.1}
	one, three, busy := base, base, base
	one.effects = map[[2]string]float64{{"middle", "report"}: 0.4, {"report", "middle"}: 0.4}
	three.effects = map[[2]string]float64{
		{"middle", "report"}: 0.4, {"index", "price"}: 0.3, {"price", "index"}: 0.2, {"check", "index"}: 0.3,
	}
	busy.effects, busy.rate = one.effects, 180
	return map[string]load{"one": one, "three": three, "busy": busy, "none": base}
}

// Guards against a separation that does not make the affected tasks faster, that takes room
// from large tasks, or that changes anything where nothing interferes.
func TestSeparationOnKnownLoads(t *testing.T) {
	c := qt.New(t)
	seconds := 60.0
	if *compare {
		seconds = 200
	}
	for _, name := range []string{"none", "one", "three", "busy"} {
		l := placed()[name]
		seeds := uint64(1)
		if *compare {
			seeds = 3
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			log := func(way string, r simResult) {
				t.Logf("%-6s seed %d %-12s slowdown %.3f worst %.3f unplaced %5d of %6d largest room %.3f", name, seed, way, r.slowdown, r.worst, r.unplaced, r.started+r.unplaced, r.largest)
			}
			nothing, separated := l.run(seed, seconds), separating(l, 0.2, 4).run(seed, seconds)
			log("nothing", nothing)
			log("separate 0.2", separated)
			if name == "none" {
				c.Check(separated, qt.Equals, nothing)
			} else {
				c.Check(separated.slowdown < nothing.slowdown && separated.worst < nothing.worst, qt.IsTrue)
			}
			c.Check(separated.unplaced <= nothing.unplaced+nothing.started/1000, qt.IsTrue)
			if *compare {
				log("separate 0.1", separating(l, 0.1, 4).run(seed, seconds))
				log("separate 0.4", separating(l, 0.4, 4).run(seed, seconds))
				log("every job", separating(l, 0.2, 1).run(seed, seconds))
				log("spread 0.05", spreading(l, 0.05).run(seed, seconds))
			}
		}
	}
}
