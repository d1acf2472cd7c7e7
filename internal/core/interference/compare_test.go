package interference_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/interference"
)

var compare = flag.Bool("compare", false, "compare all estimators, over three seeds")

// certainEffect is the slowdown of 20% for each task beside it, as a logarithm, from which a
// pair has to be found. The answer of a job then misses the factor of 1.6 with three such
// neighbours. A weaker pair may be found.
var certainEffect = math.Log(1.2)

// compared lists the loads of the comparison.
func compared() map[string]load {
	base := load{types: mixedTypes(), workers: 30, entries: 4, rate: 200, uneven: 0.2}
	pairs := map[[2]string]float64{{"middle", "report"}: 0.2, {"report", "middle"}: 0.1, {"index", "merge"}: 0.3}
	quiet, with := base, base
	with.effects = pairs
	full, fullWith := base, with
	fullLoad := func(load float64) float64 { return 1.5 * math.Pow(max(0, load-0.4), 2) }
	full.full, fullWith.full = fullLoad, fullLoad
	slow, slowWith := base, with
	slow.slow, slowWith.slow = 4, 4
	unsteady, unsteadyWith := slow, slowWith
	unsteady.unsteady, unsteadyWith.unsteady = true, true
	bursts, burstsWith := full, fullWith
	bursts.bursts, burstsWith.bursts = true, true
	alike := base
	alike.effects = map[[2]string]float64{}
	for _, a := range alike.types {
		for _, b := range alike.types {
			alike.effects[[2]string{a.name, b.name}] = 0.02 * b.cores
		}
	}
	alike.rate, alike.uneven, full.uneven, fullWith.uneven = 90, 0.6, 0.6, 0.6
	return map[string]load{
		"quiet": quiet, "pairs": with, "full": full, "full+pairs": fullWith, "slow": slow, "slow+pairs": slowWith,
		"unsteady": unsteady, "unsteady+pairs": unsteadyWith,
		"bursts": bursts, "bursts+pairs": burstsWith, "alike": alike,
	}
}

var comparedOrder = []string{"quiet", "full", "slow", "unsteady", "bursts", "alike", "pairs", "full+pairs", "slow+pairs", "unsteady+pairs", "bursts+pairs"}

// Guards against an estimator that misses pairs which interfere, and against pairs found
// where full or slow workers, heavy tails or bursts are the cause. The log compares the
// estimators.
func TestEstimatorsOnKnownLoads(t *testing.T) {
	c := qt.New(t)
	seconds := 60.0
	seeds, list := uint64(1), []string{"chosen"}
	if *compare {
		seconds = 120
		seeds, list = 3, []string{"presence", "slope", "slope, control", "joint", "chosen"}
	}
	for _, name := range comparedOrder {
		for seed := uint64(1); seed <= seeds; seed++ {
			l := compared()[name]
			truth, weak := map[key]bool{}, map[key]bool{}
			for pair, effect := range l.effects {
				if name == "alike" {
					continue
				}
				if truth[key(pair)] = effect >= certainEffect; effect < certainEffect {
					delete(truth, key(pair))
					weak[key(pair)] = true
				}
			}
			all := map[string]estimator{}
			foundAt, wrong := map[string]map[key]int{}, map[string]map[key]bool{}
			for _, e := range list {
				all[e], foundAt[e], wrong[e] = estimators()[e], map[key]int{}, map[key]bool{}
			}
			tasks, jobs := 0, 0
			l.observe = func(now time.Time, entry int, jobType string, runs []interference.Run) {
				if entry != 0 {
					return
				}
				tasks += len(runs)
				jobs++
				for e, est := range all {
					est.observe(now, jobType, runs)
					if jobs%20 != 0 {
						continue
					}
					for k := range est.found() {
						switch {
						case truth[k] && foundAt[e][k] == 0:
							foundAt[e][k] = tasks
						case !truth[k] && !weak[k]:
							wrong[e][k] = true
						}
					}
				}
			}
			l.run(seed, seconds)
			for _, e := range list {
				last := 0
				for _, n := range foundAt[e] {
					last = max(last, n)
				}
				t.Logf("%-14s seed %d  %-15s found %d/%d after %5d of %5d tasks, false %2d %v", name, seed, e,
					len(foundAt[e]), len(truth), last, tasks, len(wrong[e]), keys(wrong[e]))
			}
			c.Check(foundAt["chosen"], qt.HasLen, len(truth), qt.Commentf("%s, seed %d", name, seed))
			c.Check(wrong["chosen"], qt.HasLen, 0, qt.Commentf("%s, seed %d: %v", name, seed, wrong["chosen"]))
		}
	}
}

func keys(m map[key]bool) string {
	if len(m) > 3 {
		return ""
	}
	return fmt.Sprint(m)
}
