package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/health"
)

// fleet plays workers that each end tasks at the same pace, some of which fail a share of
// them. A task fails anywhere with the probability of its job type.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	workers []health.Worker
	totals  []health.Outcomes
	share   []float64
	// everywhere is the probability that a task fails for its own fault.
	everywhere float64
}

func newFleet(workers int, seed uint64) *fleet {
	return &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), everywhere: 0.002,
		workers: make([]health.Worker, workers), totals: make([]health.Outcomes, workers), share: make([]float64, workers),
	}
}

func (f *fleet) peers(except int) health.Rate {
	var sum health.Rate
	for i := range f.workers {
		if i != except && !f.workers[i].Quarantined() {
			sum = sum.Plus(f.workers[i].Recent())
		}
	}
	return sum
}

func (f *fleet) quarantined() int {
	n := 0
	for i := range f.workers {
		if f.workers[i].Quarantined() {
			n++
		}
	}
	return n
}

// end ends one task at the worker and reports whether it failed.
func (f *fleet) end(i int) bool {
	w := &f.workers[i]
	f.totals[i].Ended++
	failed := f.rng.Float64() < f.share[i] || f.rng.Float64() < f.everywhere
	if failed {
		f.totals[i].Failed++
	}
	if w.Observe(f.now, f.totals[i]) && !w.Quarantined() && w.Failing(f.peers(i)) && health.MayQuarantine(len(f.workers), f.quarantined()) {
		w.Quarantine(f.now)
	}
	for k := range f.workers {
		f.workers[k].Recovered(f.peers(k))
	}
	return failed
}

// round ends one task at each worker that is in use, and a trial task where one is due.
func (f *fleet) round(step time.Duration) (failed int) {
	f.now = f.now.Add(step)
	for i := range f.workers {
		if w := &f.workers[i]; w.Quarantined() && !w.TrialDue(f.now) {
			continue
		}
		if f.end(i) {
			failed++
		}
	}
	return failed
}

// Plays one and two workers of eleven that fail a share of their tasks, with tasks from
// 6 ms to 600 ms each: few tasks may fail before the worker is set aside, and few while it
// is. Without the rule a tenth to all of 1,000 tasks fail.
func TestFailingWorkersAreSetAside(t *testing.T) {
	for _, share := range []float64{0.1, 0.2, 0.4, 1} {
		for _, bad := range []int{1, 2} {
			for _, step := range []time.Duration{6 * time.Millisecond, 60 * time.Millisecond, 600 * time.Millisecond} {
				t.Run(fmt.Sprintf("%v of %d by %v", share, bad, step), func(t *testing.T) {
					f := newFleet(11, 1)
					for range 200 {
						f.round(step)
					}
					for i := range bad {
						f.share[i] = share
					}
					rounds := 0
					for f.quarantined() < bad && rounds < 1000 {
						f.round(step)
						rounds++
					}
					// A record of 64 outcomes has to show the failures.
					qt.Check(t, rounds <= 80, qt.IsTrue, qt.Commentf("set aside after %d tasks", rounds))
					qt.Check(t, f.quarantined(), qt.Equals, bad)
				})
			}
		}
	}
}

// Guards against a worker that is used again after one success, and against one that is
// never used again after it has recovered.
func TestTrialTakesSeveralSuccesses(t *testing.T) {
	for _, share := range []float64{0.2, 0.4, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			early := 0
			for seed := range uint64(50) {
				f := newFleet(11, seed)
				f.share[0] = share
				for !f.workers[0].Quarantined() {
					f.round(20 * time.Millisecond)
				}
				for range 300 {
					f.round(20 * time.Millisecond)
				}
				if !f.workers[0].Quarantined() {
					early++
				}
				f.share[0] = 0
				rounds := 0
				for f.workers[0].Quarantined() {
					f.round(time.Second)
					rounds++
				}
				qt.Check(t, rounds <= 120, qt.IsTrue, qt.Commentf("seed %d: %d seconds", seed, rounds))
			}
			qt.Check(t, early <= 5, qt.IsTrue, qt.Commentf("used again in %d of 50 plays while it failed", early))
		})
	}
}

// Guards against sound workers that are set aside: by chance, because of jobs that can
// never be done, or because of a job type that fails everywhere from now on.
func TestSoundWorkersStay(t *testing.T) {
	for _, everywhere := range []float64{0.002, 0.05, 0.5, 1} {
		t.Run(fmt.Sprint(everywhere), func(t *testing.T) {
			f := newFleet(61, 3)
			f.everywhere = everywhere
			aside := 0
			for range 1000 {
				f.round(20 * time.Millisecond)
				aside += f.quarantined()
			}
			qt.Check(t, float64(aside)/61_000 < 0.01, qt.IsTrue, qt.Commentf("%d of 61000 worker rounds", aside))
		})
	}
}

// Guards against counts of a restarted agent that are taken for outcomes, and against the
// only worker of a service being set aside.
func TestRestartAndLoneWorker(t *testing.T) {
	c := qt.New(t)
	var w health.Worker
	now := time.Unix(1000, 0)
	w.Observe(now, health.Outcomes{Ended: 100, Failed: 1})
	c.Check(w.Observe(now, health.Outcomes{Ended: 1, Failed: 1}), qt.IsFalse)
	c.Check(w.Observe(now, health.Outcomes{Ended: 2, Failed: 3}), qt.IsFalse)
	c.Check(health.MayQuarantine(1, 0), qt.IsFalse)
	c.Check(health.MayQuarantine(9, 3), qt.IsFalse)
}
