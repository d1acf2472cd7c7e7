package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet generates jobs at workers of known speeds. Declared run times are off by 0.4 on the
// scale of logarithms, alike for the tasks of a job, whose own deviations have the longer
// tails of those seen in a trial run; 3 in 100 jobs run for 7 times as long.
type fleet struct {
	c       *qt.C
	rng     *rand.Rand
	service *Service
	now     time.Time
	workers []*Worker
	// slowness is the true run time at each worker; slowed is what it is multiplied with.
	slowness, slowed []float64
	// tail multiplies the deviations of a fifth of the tasks.
	tail    float64
	changes map[ChangeKind]int
}

func newFleet(t *testing.T, seed uint64, workers int) *fleet {
	f := &fleet{
		c: qt.New(t), rng: rand.New(rand.NewPCG(seed, 1)), service: New(), now: time.Unix(1000, 0),
		tail: 2, changes: make(map[ChangeKind]int),
	}
	for i := range workers {
		f.workers = append(f.workers, f.service.Worker(fmt.Sprint("w", i)))
		// A quarter of the workers have speed 1/0.55, the others 0.55 to 1.3 times that of
		// the mean.
		slowness := 0.55
		if i%4 > 0 {
			slowness = 1 / (0.55 + 0.75*f.rng.Float64())
		}
		f.slowness, f.slowed = append(f.slowness, slowness), append(f.slowed, 1)
	}
	return f
}

// job runs a job of the sizes seen in the trial run at random workers, and returns which.
func (f *fleet) job() []int {
	tasks := 2
	if p := f.rng.Float64(); p < 0.24 {
		tasks = 8
	} else if p < 0.29 {
		tasks = 4
	}
	return f.jobAt(f.rng.Perm(len(f.workers))[:min(tasks, len(f.workers))]...)
}

func (f *fleet) jobAt(workers ...int) []int {
	f.now = f.now.Add(time.Second / 130)
	factor := math.Log(1.15) + 0.4*f.rng.NormFloat64()
	if f.rng.Float64() < 0.03 {
		factor += math.Log(7)
	}
	var runs []Run
	for _, i := range workers {
		deviation := 0.12 * f.rng.NormFloat64()
		if f.rng.Float64() < 0.2 {
			deviation *= f.tail
		}
		x := factor + deviation + math.Log(f.slowness[i]*f.slowed[i])
		runs = append(runs, Run{Worker: f.workers[i], Started: f.now, LogRatio: x})
	}
	for _, change := range f.service.Observe(f.now, runs, Prior{math.Log(1.15), 0.45}) {
		f.changes[change.Kind]++
	}
	return workers
}

// err returns the root of the mean square error of the logarithms of the speeds, whose
// zero is their mean.
func (f *fleet) err() float64 {
	sum, square := 0.0, 0.0
	for i, w := range f.workers {
		off := math.Log(w.Slowness() / f.slowness[i])
		sum, square = sum+off, square+off*off
	}
	n := float64(len(f.workers))
	return math.Sqrt(square/n - sum/n*sum/n)
}

// Guards against speeds that are of no use after a second or two: at 12 workers 20 jobs
// give each worker six tasks, which is half a second at 65 workers.
func TestErrorOfSpeeds(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(t, seed, 12)
		start := f.err()
		f.c.Check(start > 0.25, qt.IsTrue, qt.Commentf("seed %d: the workers are alike (%.3f)", seed, start))
		done := 0
		for _, step := range []struct {
			jobs  int
			bound float64
		}{{20, 0.2}, {50, 0.12}, {200, 0.08}} {
			for ; done < step.jobs; done++ {
				f.job()
			}
			t.Logf("seed %d: error %.3f after %d jobs (at first %.3f)", seed, f.err(), done, start)
			f.c.Check(f.err() < step.bound, qt.IsTrue, qt.Commentf("seed %d: error %.3f after %d jobs", seed, f.err(), done))
		}
		f.c.Check(f.changes[Learned], qt.Equals, 12)
		f.c.Check(f.changes[Degraded], qt.Equals, 0)
	}
}

// Guards against healthy workers that are judged degraded because others are faster or
// because of long tails: at most one in 100 s at 65 workers, or one in 20 s where the tails
// are twice as long as seen in the trial run.
func TestHealthyWorkersAreNotDegraded(t *testing.T) {
	for tail, most := range map[float64]int{2: 1, 4: 5} {
		for seed := range uint64(5) {
			f := newFleet(t, seed, 65)
			f.tail = tail
			for range 13_000 {
				f.job()
			}
			t.Logf("seed %d, tail %v: %d degraded, error %.3f, noise %.3f", seed, tail, f.changes[Degraded], f.err(), f.service.Noise())
			f.c.Check(f.changes[Degraded] <= most, qt.IsTrue, qt.Commentf("seed %d, tail %v: %d", seed, tail, f.changes[Degraded]))
		}
	}
}

// Guards against a degraded worker that is found late, or whose new run times are learned
// as its speed, and against one that does not count as recovered: workers of every speed
// turn 2, 4 and 8 times as slow. At 4 and 8 times, three jobs each make nearly all of the
// sum; 2 times is just above what counts as a change.
func TestDegradedWorkersAreFound(t *testing.T) {
	for _, test := range []struct {
		factor float64
		within int
	}{{2, 12}, {4, 4}, {8, 4}} {
		f := newFleet(t, 1, 65)
		for range 1000 {
			f.job()
		}
		total := 0
		for i, w := range f.workers {
			learned := w.Slowness()
			f.slowed[i] = test.factor
			jobs := 0
			for ; !w.Degraded() && jobs < 100; jobs++ {
				f.jobAt(i, (i+1)%65, (i+2)%65, (i+3)%65)
			}
			total += jobs
			drift := math.Abs(math.Log(w.Slowness() / learned))
			f.c.Check(drift < 0.2, qt.IsTrue, qt.Commentf("%v times: the learned speed has moved by %.2f", test.factor, drift))
			f.slowed[i] = 1
			for jobs = 0; w.Degraded() && jobs < 100; jobs++ {
				f.jobAt(i, (i+1)%65, (i+2)%65, (i+3)%65)
			}
			f.c.Check(jobs <= 3, qt.IsTrue, qt.Commentf("%v times: recovered after %d jobs", test.factor, jobs))
		}
		mean := float64(total) / 65
		t.Logf("%v times as slow: found after %.1f jobs", test.factor, mean)
		f.c.Check(mean <= float64(test.within), qt.IsTrue, qt.Commentf("%v times: %.1f jobs", test.factor, mean))
	}
}

// Guards against jobs of two tasks, most of the load, in which a healthy worker is blamed
// for the time at a degraded one: it looks as if it were faster.
func TestJobsOfTwoTasks(t *testing.T) {
	f := newFleet(t, 1, 65)
	for range 2000 {
		f.jobAt(f.rng.Perm(65)[:2]...)
	}
	f.slowed[7] = 7.5
	jobs := 0
	for ; !f.workers[7].Degraded() && jobs < 100; jobs++ {
		f.jobAt(7, 8+jobs%50)
	}
	f.c.Check(jobs <= 6, qt.IsTrue, qt.Commentf("found after %d jobs", jobs))
	f.c.Check(f.changes[Degraded], qt.Equals, 1)
	f.c.Check(f.err() < 0.06, qt.IsTrue, qt.Commentf("error %.3f", f.err()))
}

// Guards against a worker that is treated as degraded for good after its speed has changed
// for good, and one whose earlier speed counts after its record was discarded.
func TestLastingChangeBecomesTheSpeed(t *testing.T) {
	f := newFleet(t, 1, 12)
	for range 200 {
		f.job()
	}
	f.slowed[0] = 3
	for range 200 {
		f.now = f.now.Add(time.Second)
		f.jobAt(0, 1+f.rng.IntN(11), 1+f.rng.IntN(11))
	}
	w := f.workers[0]
	f.c.Check(f.changes[Relearning], qt.Equals, 1)
	f.c.Check(w.Degraded(), qt.IsFalse)
	off := math.Abs(math.Log(w.Slowness() / (3 * f.slowness[0])))
	f.c.Check(off < 0.25, qt.IsTrue, qt.Commentf("off by %.2f", off))
	f.slowed[0] = 1
	for range 20 {
		f.jobAt(0, 1+f.rng.IntN(11), 1+f.rng.IntN(11))
	}
	off = math.Abs(math.Log(w.Slowness() / f.slowness[0]))
	f.c.Check(off < 0.25, qt.IsTrue, qt.Commentf("off by %.2f, 20 jobs after the end", off))
	f.service.Forget("w0")
	f.c.Check(f.service.Worker("w0").Slowness(), qt.Equals, 1.0)
}

// Guards against a starting entry that takes a worker's slow spell for its speed, and
// against one that keeps that speed once the spell is over.
func TestSlowFromTheStart(t *testing.T) {
	f := newFleet(t, 1, 12)
	f.slowed[0] = 7.5 / f.slowness[0]
	jobs := 0
	for ; !f.workers[0].Degraded() && jobs < 100; jobs++ {
		f.jobAt(0, 1+f.rng.IntN(11), 1+f.rng.IntN(11), 1+f.rng.IntN(11))
	}
	f.c.Check(jobs <= 8, qt.IsTrue, qt.Commentf("found after %d jobs", jobs))
	f.slowed[0] = 1
	for range 60 {
		f.jobAt(0, 1+f.rng.IntN(11), 1+f.rng.IntN(11), 1+f.rng.IntN(11))
	}
	f.c.Check(f.workers[0].Degraded(), qt.IsFalse)
	off := math.Abs(math.Log(f.workers[0].Slowness() / f.slowness[0]))
	f.c.Check(off < 0.25, qt.IsTrue, qt.Commentf("off by %.2f", off))
}

// Guards against more work for each job than a small entry has processor time for.
func BenchmarkObserve(b *testing.B) {
	f := newFleet(&testing.T{}, 1, 65)
	runs := make([]Run, 5)
	b.ReportAllocs()
	for b.Loop() {
		for i := range runs {
			runs[i] = Run{Worker: f.workers[f.rng.IntN(65)], Started: f.now, LogRatio: f.rng.NormFloat64() / 8}
		}
		f.service.Observe(f.now, runs, Prior{0, 0.4})
	}
}
