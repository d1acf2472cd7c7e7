package entry_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// separationFixture has eight workers.
type separationFixture struct {
	*fixture
	rng     *rand.Rand
	workers map[entry.LinkID]*leasedWorker
	// steps, jobType, tasks and cores are those of the jobs of runJobs.
	steps   []entry.Step
	jobType string
	tasks   int
	cores   float64
}

func newSeparationFixture(t *testing.T, enabled bool) *separationFixture {
	return newSeparationFixtureOf(t, enabled, false)
}

func newSeparationFixtureOf(t *testing.T, enabled, learnSpeeds bool) *separationFixture {
	f := &fixture{c: qt.New(t), now: time.Unix(1000, 0), clock: time.Minute}
	f.core = entry.New(entry.Config{
		Name: "e", Incarnation: entryIncarnation, StartWindow: 2 * time.Second,
		SuspectAfter: 5 * time.Minute, LostAfter: 10 * time.Minute, HeartbeatInterval: time.Second,
		AckDelay: 100 * time.Millisecond, RunLimit: time.Minute, MaxQueued: 100_000, MaxTasks: 1000, MaxPayload: 100,
		SeparateJobTypes: enabled, LearnSpeeds: learnSpeeds,
	})
	s := &separationFixture{fixture: f, rng: rand.New(rand.NewPCG(1, 1)), workers: make(map[entry.LinkID]*leasedWorker), jobType: "patient", tasks: 4, cores: 3}
	f.step(entry.SetPolicy{Policy: leasedPolicy()})
	for i := range 8 {
		w := f.linkLeased(fmt.Sprint("w", i), 32)
		s.workers[w.link] = w
	}
	return s
}

// endAll ends dispatches. Tasks of "patient" take a third longer beside one of "urgent".
func (f *separationFixture) endAll(dispatches map[entry.LinkID][]msg.Dispatch) {
	for _, link := range slices.Sorted(maps.Keys(f.workers)) {
		w := f.workers[link]
		for _, d := range dispatches[link] {
			beside := colocation.Summary{Known: true, Load: 0.5}
			took := 0.1 * math.Exp(0.15*f.rng.NormFloat64())
			if f.rng.IntN(2) == 0 {
				took *= 1.33
				beside.Neighbours = []colocation.Neighbour{{Type: colocation.TypeIDOf("urgent"), Mean: 1}}
			}
			w.covers = max(w.covers, d.Seq)
			w.send(msg.Result{Attempt: d.Attempt, Kind: msg.ResultOK, RunTime: time.Duration(took * float64(time.Second)), Report: w.report(), Beside: beside})
		}
	}
}

// learn runs jobs until the pair is separated or 2,000 jobs have ended.
func (f *separationFixture) learn() []entry.JobTypesSeparated {
	var changes []entry.JobTypesSeparated
	for range 2000 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.submitSized("patient", 3, 4)
		f.endAll(f.dispatched())
		for _, o := range f.out {
			if p, ok := o.(entry.JobTypesSeparated); ok {
				changes = append(changes, p)
			}
		}
		if len(changes) > 0 {
			break
		}
		f.out = nil
	}
	f.out = nil
	return changes
}

// workersOf returns the workers that the tasks of a job go to.
func (f *separationFixture) workersOf(jobType string, cores float64, tasks int) map[string]int {
	f.submitSized(jobType, cores, tasks)
	counts := make(map[string]int)
	for link, ds := range f.dispatched() {
		counts[f.workers[link].name] += len(ds)
	}
	return counts
}

// Guards against job types that slow each other down and go on to share workers, and against
// a preference that makes a task wait, that keeps a type from free workers or that overrides
// a large difference in room.
func TestInterferingJobTypesPreferDifferentWorkers(t *testing.T) {
	f := newSeparationFixture(t, true)
	changes := f.learn()
	f.c.Assert(changes, qt.HasLen, 1)
	f.c.Check([]string{changes[0].JobType, changes[0].Neighbour}, qt.DeepEquals, []string{"patient", "urgent"})
	f.c.Check(changes[0].Separated && changes[0].Low > 1.05 && changes[0].Slowdown < 1.7, qt.IsTrue, qt.Commentf("%+v", changes))
	pairs := f.core.Snapshot().SeparatedPairs
	f.c.Assert(pairs, qt.HasLen, 1)
	f.c.Check(pairs[0].JobTypeWorkers.High <= pairs[0].NeighbourWorkers.Low || pairs[0].NeighbourWorkers.High <= pairs[0].JobTypeWorkers.Low, qt.IsTrue)

	// A quarter of the eight workers is left to the type without demand.
	urgent := f.workersOf("urgent", 3, 2)
	f.c.Check(len(urgent) <= 2, qt.IsTrue, qt.Commentf("%v", urgent))
	patient := f.workersOf("patient", 3, 6)
	f.c.Check(len(patient) > 2, qt.IsTrue, qt.Commentf("%v", patient))
	for name := range urgent {
		f.c.Check(patient[name], qt.Equals, 0, qt.Commentf("%v, %v", urgent, patient))
	}

	// More tasks of one type than fit on its two workers go to others as well.
	more := f.workersOf("urgent", 6, 8)
	f.c.Check(len(more) > 2, qt.IsTrue, qt.Commentf("%v", more))
	all := f.workersOf("urgent", 1, 300)
	sum := 0
	for _, n := range all {
		sum += n
	}
	f.c.Check(sum, qt.Equals, 8*32-2*3-6*3-8*6)
}

// Guards against messages, state and decisions without the setting.
func TestNothingIsSeparatedWithoutTheSetting(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		f := newSeparationFixture(t, enabled)
		for _, o := range f.out {
			if s, ok := o.(entry.Send); ok {
				if w, ok := s.Message.(msg.Welcome); ok {
					f.c.Check(w.ColocationEvery > 0, qt.Equals, enabled)
				}
			}
		}
		f.c.Check(f.learn(), qt.HasLen, map[bool]int{true: 1}[enabled])
		f.c.Check(f.core.Snapshot().ObservedPairs > 0, qt.Equals, enabled)
	}
}

// Guards against values of an agent that spoil a result, or that are dropped unnoticed.
func TestMalformedColocationIsReported(t *testing.T) {
	f := newSeparationFixture(t, true)
	id := f.submitSized("patient", 3, 1)
	for link, ds := range f.dispatched() {
		w := f.workers[link]
		w.covers = ds[0].Seq
		w.send(msg.Result{Attempt: ds[0].Attempt, Kind: msg.ResultOK, RunTime: time.Second, Report: w.report(), Beside: colocation.Summary{Malformed: true}})
	}
	f.advance(time.Second)
	var answered, rejected int
	for _, o := range f.out {
		switch o := o.(type) {
		case entry.Answered:
			f.c.Check(o.Job == id && o.Answer.Outcome == entry.Complete, qt.IsTrue)
			answered++
		case entry.ColocationRejected:
			rejected += o.Count
		}
	}
	f.c.Check([]int{answered, rejected}, qt.DeepEquals, []int{1, 1})
}

// runJobs runs jobs whose tasks end at once; run says for how long they ran and what ran beside
// them. It returns the pairs that are separated.
func (f *separationFixture) runJobs(jobs int, declared func(task int) time.Duration, run func(w *leasedWorker, d msg.Dispatch) (time.Duration, colocation.Summary)) []entry.SeparatedPair {
	for range jobs {
		f.now = f.now.Add(20 * time.Millisecond)
		f.jobs++
		j := entry.Job{ID: f.jobs, Service: "s", JobType: f.jobType, Account: "a", Deadline: f.now.Add(10 * time.Second), Steps: f.steps}
		for i := range f.tasks {
			j.Tasks = append(j.Tasks, entry.Task{DeclaredSize: msg.Size{Cores: f.cores}, DeclaredRunTime: declared(i)})
		}
		f.step(entry.Submit{Job: j})
		dispatches := f.dispatched()
		for _, link := range slices.Sorted(maps.Keys(f.workers)) {
			w := f.workers[link]
			for _, d := range dispatches[link] {
				took, beside := run(w, d)
				w.covers = max(w.covers, d.Seq)
				w.send(msg.Result{Attempt: d.Attempt, Kind: msg.ResultOK, RunTime: took, Report: w.report(), Beside: beside})
			}
		}
	}
	return f.core.Snapshot().SeparatedPairs
}

func besideUrgent(is bool) colocation.Summary {
	s := colocation.Summary{Known: true, Load: 0.5}
	if is {
		s.Neighbours = []colocation.Neighbour{{Type: colocation.TypeIDOf("urgent"), Mean: 1}}
	}
	return s
}

// Guards against jobs that declare the run times of some tasks only, whose runs cannot be
// compared.
func TestTasksWithoutDeclaredRunTimeAreNotCompared(t *testing.T) {
	f := newSeparationFixture(t, true)
	pairs := f.runJobs(1000, func(task int) time.Duration {
		if task%2 == 0 {
			return 0
		}
		return 100 * time.Millisecond
	}, func(_ *leasedWorker, d msg.Dispatch) (time.Duration, colocation.Summary) {
		return time.Duration(float64(100*time.Millisecond) * math.Exp(0.15*f.rng.NormFloat64())), besideUrgent(d.Attempt.Task%2 == 1)
	})
	f.c.Check(pairs, qt.HasLen, 0)
}

// Guards against the speed of another instance of a worker that is taken for this one's.
func TestInterferenceForgetsInstances(t *testing.T) {
	for name, end := range map[string]func(f *separationFixture, w *leasedWorker){
		"left and came back": func(_ *separationFixture, w *leasedWorker) {
			w.send(msg.Leaving{Report: w.report()})
			w.connect(true)
		},
		"lost": func(f *separationFixture, w *leasedWorker) {
			f.step(entry.LinkDown{Link: w.link})
			f.advance(10*time.Minute + time.Second)
		},
		"crashed": func(_ *separationFixture, w *leasedWorker) {
			w.send(msg.Hello{
				Worker: w.name, Incarnation: w.inc, Service: "s", Slots: 8, Size: msg.Size{Cores: w.cores}, Revision: 8, ReleaseAfter: releaseAfter,
				Report: w.report(), Crashes: []msg.WorkerCrash{{Instance: 1}},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newSeparationFixture(t, true)
			f.runJobs(100, func(int) time.Duration { return 100 * time.Millisecond }, func(*leasedWorker, msg.Dispatch) (time.Duration, colocation.Summary) {
				return time.Duration(float64(100*time.Millisecond) * math.Exp(0.15*f.rng.NormFloat64())), besideUrgent(false)
			})
			f.c.Assert(f.core.InterferenceWorkers(), qt.Equals, 8)
			for _, w := range f.workers {
				if w.name == "w3" {
					end(f, w)
				}
			}
			f.c.Check(f.core.InterferenceWorkers() < 8, qt.IsTrue)
		})
	}
}

// Guards against stalls of workers that count as the effect of the tasks there.
func TestStallsAreNoInterference(t *testing.T) {
	f := newSeparationFixture(t, true)
	jobs := uint64(0)
	pairs := f.runJobs(1000, func(int) time.Duration { return 100 * time.Millisecond }, func(w *leasedWorker, d msg.Dispatch) (time.Duration, colocation.Summary) {
		took := float64(100*time.Millisecond) * math.Exp(0.15*f.rng.NormFloat64())
		if d.Attempt.Task != 0 || d.Attempt.Job == jobs {
			return time.Duration(took), besideUrgent(false)
		}
		jobs = d.Attempt.Job
		stalled := w.report()
		stalled.Stalled, stalled.Room = true, msg.Size{}
		w.covers = max(w.covers, d.Seq)
		w.send(msg.Heartbeat{Report: stalled})
		f.now = f.now.Add(time.Millisecond)
		w.send(msg.Heartbeat{Report: w.report()})
		return time.Duration(1.4 * took), besideUrgent(true)
	})
	f.c.Check(pairs, qt.HasLen, 0)
}

// Guards against tasks that take longer away from their data, which counts as the effect of
// the tasks there.
func TestTasksWithAnAffinityAreNotCompared(t *testing.T) {
	f := newSeparationFixture(t, true)
	f.steps = []entry.Step{{Affinity: "data"}}
	pairs := f.runJobs(1000, func(int) time.Duration { return 100 * time.Millisecond }, func(_ *leasedWorker, d msg.Dispatch) (time.Duration, colocation.Summary) {
		took := float64(100*time.Millisecond) * math.Exp(0.15*f.rng.NormFloat64())
		if d.Attempt.Task > 0 {
			return time.Duration(took), besideUrgent(false)
		}
		return time.Duration(1.4 * took), besideUrgent(true)
	})
	f.c.Check(pairs, qt.HasLen, 0)
}

// Guards against a lasting change of a worker's speed, which package speed has learned, that
// counts as the effect of the tasks there.
func TestLearnedSpeedsAreNoInterference(t *testing.T) {
	f := newSeparationFixtureOf(t, true, true)
	// Each job has a task at each worker.
	f.jobType, f.tasks, f.cores = "urgent", 8, 20
	pairs := f.runJobs(4000, func(int) time.Duration { return 100 * time.Millisecond }, func(w *leasedWorker, d msg.Dispatch) (time.Duration, colocation.Summary) {
		took := float64(100*time.Millisecond) * math.Exp(0.15*f.rng.NormFloat64())
		beside := colocation.Summary{Known: true, Load: 0.5}
		if d.Attempt.Job > 500 && w.name == "w3" {
			took *= 3
			beside.Neighbours = []colocation.Neighbour{{Type: colocation.TypeIDOf("patient"), Mean: 1}}
		}
		return time.Duration(took), beside
	})
	f.c.Check(pairs, qt.HasLen, 0)
	f.c.Check(f.core.Expected("s", "urgent", 100*time.Millisecond, "w3") > 200*time.Millisecond, qt.IsTrue)
}
