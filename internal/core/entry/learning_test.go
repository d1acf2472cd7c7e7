package entry_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// learningFleet is one entry core that learns speeds, and leased workers whose run times are
// the declared ones times a slowness.
type learningFleet struct {
	*fixture
	rng      *rand.Rand
	workers  map[entry.LinkID]*leasedWorker
	links    []entry.LinkID
	slowness map[entry.LinkID]float64
	// stuck holds workers that end no task.
	stuck map[entry.LinkID]bool
	// ends holds the dispatched tasks that have not ended, by when they do.
	ends    map[msg.AttemptID]end
	answers map[entry.Outcome]int
	judged  map[verdict.WorkerHealth]int
	learned map[string]float64
	started map[entry.LinkID]int
	// away multiplies the run times at workers without labels, if it is not zero.
	away float64
	// lateEnds is the share of the ends that are noticed 30 ms late.
	lateEnds float64
	// discarded holds the counts of invalid run times.
	discarded []uint64
	stops     int
	// wanted holds when the open jobs' answers are late, late counts those that were.
	wanted map[uint64]time.Time
	late   int
}

type end struct {
	at       time.Time
	link     entry.LinkID
	dispatch msg.Dispatch
	took     time.Duration
}

// newLearningFleet has workers of 48 cores; those at even places are twice as fast as the
// others.
func newLearningFleet(t *testing.T, workers int, learn bool) *learningFleet {
	f := &learningFleet{
		fixture: &fixture{c: qt.New(t), now: time.Unix(1000, 0), clock: time.Minute},
		rng:     rand.New(rand.NewPCG(1, 3)), workers: make(map[entry.LinkID]*leasedWorker), slowness: make(map[entry.LinkID]float64),
		stuck: make(map[entry.LinkID]bool), ends: make(map[msg.AttemptID]end), answers: make(map[entry.Outcome]int),
		judged: make(map[verdict.WorkerHealth]int), learned: make(map[string]float64), started: make(map[entry.LinkID]int),
		wanted: make(map[uint64]time.Time),
	}
	f.core = entry.New(entry.Config{
		Name: "e", Incarnation: entryIncarnation, StartWindow: 2 * time.Second, LearnSpeeds: learn,
		SuspectAfter: 3 * time.Second, LostAfter: 10 * time.Second, HeartbeatInterval: time.Second,
		AckDelay: 100 * time.Millisecond, RunLimit: time.Minute, MaxQueued: 100_000, MaxTasks: 1000, MaxPayload: 100,
	})
	p := leasedPolicy()
	p.Services["s"].JobTypes["long"] = entry.JobTypePolicy{MaxAttempts: 2, Priority: 2, ResponseTarget: 60 * time.Millisecond, ResponseFactor: 1.6}
	f.step(entry.SetPolicy{Policy: p})
	for i := range workers {
		w := f.linkLeased(fmt.Sprintf("w%02d", i), 48)
		f.workers[w.link], f.slowness[w.link] = w, 0.7+0.7*float64(i%2)
		f.links = append(f.links, w.link)
	}
	f.out = nil
	return f
}

// submitJob submits a job whose tasks run for the declared time times a factor of the job.
func (f *learningFleet) submitJob(jobType string, tasks int, declared time.Duration) {
	f.jobs++
	j := entry.Job{ID: f.jobs, Service: "s", JobType: jobType, Account: "a", Deadline: f.now.Add(20 * time.Second)}
	// The payload carries the run time at a worker of slowness 1.
	work := time.Duration(float64(declared) * math.Exp(0.4*f.rng.NormFloat64()))
	longest := time.Duration(0)
	for range tasks {
		own := time.Duration(float64(work) * math.Exp(0.15*f.rng.NormFloat64()))
		longest = max(longest, own)
		j.Tasks = append(j.Tasks, entry.Task{
			DeclaredSize: msg.Size{Cores: 3}, DeclaredRunTime: declared, Payload: []byte(own.String()),
		})
	}
	f.wanted[f.jobs] = f.now.Add(longest*8/5 + 60*time.Millisecond)
	f.step(entry.Submit{Job: j})
	f.collect()
}

// collect starts what was dispatched, and records the other outputs.
func (f *learningFleet) collect() {
	out := f.out
	f.out = nil
	for _, o := range out {
		switch o := o.(type) {
		case entry.Answered:
			f.answers[o.Answer.Outcome]++
			if o.Answer.Outcome != entry.Complete || f.now.After(f.wanted[o.Job]) {
				f.late++
			}
			delete(f.wanted, o.Job)
		case entry.WorkerJudged:
			f.judged[o.Health]++
		case entry.WorkerSpeedLearned:
			f.learned[o.Worker] = o.Speed
		case entry.RunTimeDiscarded:
			f.discarded = append(f.discarded, o.Count)
		case entry.Send:
			f.sent(o)
		}
	}
}

func (f *learningFleet) sent(s entry.Send) {
	switch m := s.Message.(type) {
	case msg.Dispatch:
		work, err := time.ParseDuration(string(m.Payload))
		f.c.Assert(err, qt.IsNil)
		took := time.Duration(float64(work) * f.slowness[s.Link])
		if f.away > 0 && len(f.workers[s.Link].labels) == 0 {
			took = time.Duration(f.away * float64(took))
		}
		if f.rng.Float64() < f.lateEnds {
			took += 30 * time.Millisecond
		}
		f.started[s.Link]++
		f.ends[m.Attempt] = end{f.now.Add(took), s.Link, m, took}
		w := f.workers[s.Link]
		w.cores -= m.Size.Cores
		w.covers = max(w.covers, m.Seq)
	case msg.Revoke:
		for _, ref := range m.Attempts {
			if e, ok := f.ends[ref.Attempt]; ok && m.Stop {
				f.stops++
				f.finish(e, msg.ResultAborted)
			}
		}
	}
}

func (f *learningFleet) finish(e end, kind msg.ResultKind) {
	delete(f.ends, e.dispatch.Attempt)
	w := f.workers[e.link]
	w.cores += e.dispatch.Size.Cores
	f.send(w, msg.Result{Attempt: e.dispatch.Attempt, Kind: kind, RunTime: e.took, Report: w.report()})
	f.collect()
}

// send sends a message of a worker whose clock shows the time.
func (f *learningFleet) send(w *leasedWorker, m msg.FromAgent) {
	w.clock = f.now.Sub(time.Unix(1000, 0))
	w.send(m)
}

// play moves the time forward in steps of a millisecond, with a tick of the core each 20 ms.
func (f *learningFleet) play(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(time.Millisecond)
		for _, e := range f.due() {
			f.finish(e, msg.ResultOK)
		}
		if f.now.Sub(time.Unix(1000, 0))%tick == 0 {
			f.core.Tick(f.now)
			f.out = append(f.out, f.core.TakeOutputs()...)
			f.collect()
		}
		if f.now.Sub(time.Unix(1000, 0))%(500*time.Millisecond) == 0 {
			for _, link := range f.links {
				f.send(f.workers[link], msg.Heartbeat{Report: f.workers[link].report(), Revision: 8})
			}
			f.collect()
		}
	}
}

// due returns the tasks that end now, in the order of their attempts.
func (f *learningFleet) due() []end {
	var due []end
	for _, e := range f.ends {
		if !e.at.After(f.now) && !f.stuck[e.link] {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b end) int { return a.dispatch.Attempt.Compare(b.dispatch.Attempt) })
	return due
}

// load submits a job of several tasks each 10 ms.
func (f *learningFleet) load(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.submitJob("patient", 4, 100*time.Millisecond)
		f.play(10 * time.Millisecond)
	}
}

// Guards against workers that count as slow, and tasks that are stopped, because the workers'
// speeds differ by two and declared run times are off: without learning both happen.
func TestSteadySpeedsAreLearned(t *testing.T) {
	f := newLearningFleet(t, 12, true)
	f.load(20 * time.Second)
	f.c.Check(f.learned, qt.HasLen, 12)
	for name, speed := range f.learned {
		fast := name[2]%2 == 0
		f.c.Check(fast == (speed > 1), qt.IsTrue, qt.Commentf("%s: %v", name, speed))
	}
	f.c.Check(f.judged, qt.HasLen, 0)
	f.c.Check(f.stops, qt.Equals, 0)
	snapshot := f.core.Snapshot()
	f.c.Check(snapshot.LearnedWorkers, qt.Equals, 12)
	for _, w := range snapshot.Workers {
		f.c.Check(w.SpeedUncertainty > 0 && w.SpeedUncertainty < 0.1, qt.IsTrue)
	}
	off := newLearningFleet(t, 12, false)
	off.load(20 * time.Second)
	f.c.Check(off.stops+off.judged[verdict.Slow] > 0, qt.IsTrue)
	f.c.Check(off.learned, qt.HasLen, 0)
}

// Guards against a worker that turns 7.5 times as slow, or stands still, and keeps getting
// tasks, whose tasks stay there, or that is not used again afterwards.
func TestDegradedWorkerIsLeftAndUsedAgain(t *testing.T) {
	for name, stuck := range map[string]bool{"7.5 times as slow": false, "stands still": true} {
		t.Run(name, func(t *testing.T) {
			f := newLearningFleet(t, 12, true)
			f.load(5 * time.Second)
			bad := f.links[1]
			usual := f.slowness[bad]
			f.slowness[bad], f.stuck[bad] = 7.5*usual, stuck
			f.load(time.Second)
			f.c.Check(f.judged, qt.DeepEquals, map[verdict.WorkerHealth]int{verdict.Slow: 1})
			before := f.started[bad]
			f.load(5 * time.Second)
			f.c.Check(f.started[bad]-before <= 2, qt.IsTrue, qt.Commentf("%d tasks while slow", f.started[bad]-before))
			f.slowness[bad], f.stuck[bad] = usual, false
			f.load(5 * time.Second)
			f.c.Check(f.judged, qt.DeepEquals, map[verdict.WorkerHealth]int{verdict.Slow: 1, verdict.Sound: 1})
			f.c.Check(f.started[bad]-before > 20, qt.IsTrue)
			f.c.Check(f.answers[entry.Complete] > 1500, qt.IsTrue)
			f.c.Check(f.answers[entry.Failed]+f.answers[entry.Refused], qt.Equals, 0)
		})
	}
}

// Guards against long tasks at slow workers, where their jobs are late, while fast workers
// have room, and against a task that waits because only slow workers have room.
func TestLongTasksGoToFastWorkers(t *testing.T) {
	f := newLearningFleet(t, 12, true)
	for i, link := range f.links {
		f.slowness[link] = 0.55 + 1.25*float64(i%2)
	}
	f.load(5 * time.Second)
	f.play(5 * time.Second)
	clear(f.started)
	for range 10 {
		f.submitJob("patient", 4, 800*time.Millisecond)
	}
	atSlow := 0
	for i, link := range f.links {
		if i%2 == 1 {
			atSlow += f.started[link]
		}
	}
	f.c.Check(atSlow, qt.Equals, 0)
	for range 14 {
		f.submitJob("patient", 4, 800*time.Millisecond)
	}
	f.c.Check(len(f.ends), qt.Equals, 96)
}

// Guards against a speed that outlives its worker's instance, records that are kept for
// workers that are gone, and capacity that is counted without the speeds.
func TestNewInstanceHasNoSpeed(t *testing.T) {
	f := newLearningFleet(t, 4, true)
	f.load(5 * time.Second)
	f.play(2 * time.Second)
	f.submitJob("patient", 1, 100*time.Millisecond)
	cores := 0.0
	for _, w := range f.core.Snapshot().Workers {
		f.c.Check(w.Speed > 1.2 || w.Speed < 0.8, qt.IsTrue)
		cores += 48 * w.Speed
	}
	f.c.Check(math.Abs(f.core.TotalCores("s")-cores) < 0.01, qt.IsTrue, qt.Commentf("%v, want %v", f.core.TotalCores("s"), cores))
	f.play(time.Second)
	w := f.workers[f.links[0]]
	w.inc++
	w.connect(true)
	f.c.Check(f.core.Snapshot().LearnedWorkers, qt.Equals, 3)
	f.c.Check(f.core.Expected("s", "patient", time.Second, w.name) > f.core.Expected("s", "patient", time.Second, "w02"), qt.IsTrue)
	f.c.Check(f.core.SpeedRecords("s"), qt.Equals, 4)
	f.links = nil
	f.play(20 * time.Second)
	f.c.Check(f.core.SpeedRecords("s"), qt.Equals, 0)
}

// Guards against run times that cannot be ones but change what is learned, and against ones
// that are not counted.
func TestInvalidRunTimesAreDiscarded(t *testing.T) {
	f := newLearningFleet(t, 4, true)
	f.load(time.Second)
	f.play(2 * time.Second)
	before := f.core.Expected("s", "patient", time.Second, "w00")
	invalid := []time.Duration{0, -1, math.MinInt64, math.MaxInt64, 25 * time.Hour}
	for _, took := range invalid {
		f.submitJob("patient", 1, 100*time.Millisecond)
		for _, e := range f.ends {
			e.took = took
			w := f.workers[e.link]
			w.cores += e.dispatch.Size.Cores
			f.send(w, msg.Result{Attempt: e.dispatch.Attempt, Kind: msg.ResultOK, RunTime: e.took, Report: w.report()})
		}
		clear(f.ends)
		f.collect()
	}
	f.c.Check(f.discarded, qt.DeepEquals, []uint64{1, 2, 3, 4, 5})
	f.c.Check(f.core.Expected("s", "patient", time.Second, "w00"), qt.Equals, before)
}

// Guards against declared run times at the ends of their range, which may not make a worker
// slow or a task overdue, nor a duration overflow.
func TestOddDeclaredRunTimesWithLearning(t *testing.T) {
	f := newLearningFleet(t, 4, true)
	for _, declared := range []time.Duration{math.MaxInt64, 0, -1, 1} {
		for range 4 {
			f.jobs++
			task := entry.Task{DeclaredSize: msg.Size{Cores: 3}, DeclaredRunTime: declared, Payload: []byte("100ms")}
			f.step(entry.Submit{Job: entry.Job{
				ID: f.jobs, Service: "s", JobType: "patient", Account: "a", Deadline: f.now.Add(time.Minute), Tasks: []entry.Task{task, task},
			}})
			f.collect()
		}
		f.play(time.Second)
		f.c.Check(f.answers[entry.Complete], qt.Equals, int(f.jobs), qt.Commentf("declared %v", declared))
	}
	f.c.Check(f.judged[verdict.Slow], qt.Equals, 0)
}

// Guards against decisions by expected ends that take more processor time than a small entry
// has: one second of load at 65 workers, with learning and without.
func BenchmarkSecondOfLoad(b *testing.B) {
	for _, learn := range []bool{false, true} {
		b.Run(fmt.Sprint("learn ", learn), func(b *testing.B) {
			f := newLearningFleet(&testing.T{}, 65, learn)
			f.load(5 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				f.load(time.Second)
			}
		})
	}
}

// Guards against workers that count as degraded because answers of theirs are lost, so that
// the end of an eighth of the runs is noticed late.
func TestLateEndsAreNotSlowness(t *testing.T) {
	f := newLearningFleet(t, 12, true)
	f.lateEnds = 0.125
	for until := f.now.Add(20 * time.Second); f.now.Before(until); f.play(10 * time.Millisecond) {
		f.submitJob("urgent", 8, 30*time.Millisecond)
	}
	f.c.Check(f.judged, qt.HasLen, 0)
	f.c.Check(f.stops, qt.Equals, 0)
}

// mixedLoad submits jobs of three types for the time, at a rate that varies by a third.
func (f *learningFleet) mixedLoad(d time.Duration, rate float64) {
	for until := f.now.Add(d); f.now.Before(until); f.play(time.Millisecond) {
		now := rate * 1.3
		if until.Sub(f.now)/(3*time.Second)%2 == 0 {
			now = rate * 0.7
		}
		if f.rng.Float64() >= now/1000 {
			continue
		}
		switch p := f.rng.Float64(); {
		case p < 0.24:
			f.submitJob("urgent", 8, 55*time.Millisecond)
		case p < 0.95:
			f.submitJob("patient", 2, 180*time.Millisecond)
		default:
			f.submitJob("long", 4, 800*time.Millisecond)
		}
	}
}

// Guards against jobs that are late although other workers have room, and against workers
// that are left out for nothing, where a quarter of the workers are twice or three times as
// fast as the others, at half of the capacity. Guards also against fast workers that are
// overrun or idle. The mean of the speeds is the one that callers measure by.
func TestFewerJobsAreLateWithLearning(t *testing.T) {
	for _, slowness := range [][2]float64{{0.55, 1.2}, {0.45, 1.35}} {
		late := make(map[bool]int)
		for _, learn := range []bool{false, true} {
			f := newLearningFleet(t, 16, learn)
			for i, link := range f.links {
				f.slowness[link] = slowness[min(1, i%4)]
			}
			f.mixedLoad(12*time.Second, 200)
			busy := []float64{0, 0}
			for range 200 {
				f.mixedLoad(10*time.Millisecond, 200)
				for i, link := range f.links {
					busy[min(1, i%4)] += (48 - f.workers[link].cores) / []float64{4, 12}[min(1, i%4)]
				}
			}
			late[learn] = f.late
			t.Logf("slowness %v, learning %v: %d of %d jobs late, %d tasks stopped, judged %v", slowness, learn, f.late, f.jobs, f.stops, f.judged)
			if learn {
				f.c.Check(f.judged, qt.HasLen, 0)
				f.c.Check(busy[0]/busy[1] > 0.7 && busy[0]/busy[1] < 1.4, qt.IsTrue, qt.Commentf("%v", busy))
			}
		}
		qt.New(t).Check(2*late[true] < late[false], qt.IsTrue, qt.Commentf("%v", late))
	}
}

// submitShaped submits a job of some steps, one after the other, whose declared run times are
// too short by a factor and of which 3 in 100 run for 7 times as long.
func (f *learningFleet) submitShaped(steps, tasks int, affinity string, run time.Duration, factor float64) {
	f.jobs++
	j := entry.Job{ID: f.jobs, Service: "s", JobType: "patient", Account: "a", Deadline: f.now.Add(20 * time.Second)}
	work := float64(run) * math.Exp(0.4*f.rng.NormFloat64())
	if f.rng.Float64() < 0.03 {
		work *= 7
	}
	for s := range steps {
		j.Steps = append(j.Steps, entry.Step{Affinity: affinity})
		if s > 0 {
			j.Steps[s].After = []int{s - 1}
		}
		for range tasks {
			own := time.Duration(work * math.Exp(0.15*f.rng.NormFloat64()))
			j.Tasks = append(j.Tasks, entry.Task{
				Step: s, DeclaredSize: msg.Size{Cores: 3}, DeclaredRunTime: time.Duration(float64(run) / factor), Payload: []byte(own.String()),
			})
		}
	}
	f.step(entry.Submit{Job: j})
	f.collect()
}

// Guards against healthy workers that are judged degraded one after the other, and a degraded
// one that is not noticed or never used again, because all jobs are of a kind that teaches no
// speeds: long runs counted against a worker and ordinary ones not for it. At most one healthy
// worker in 20 s is judged, as in the tests of package speed.
func TestJobsThatTeachNoSpeeds(t *testing.T) {
	for _, test := range []struct {
		name         string
		steps, tasks int
		affinity     string
	}{{"one task", 1, 1, ""}, {"two steps", 2, 2, ""}, {"affinity", 1, 2, "near"}} {
		t.Run(test.name, func(t *testing.T) {
			f := newLearningFleet(t, 12, true)
			for _, w := range f.workers {
				w.labels = []string{"near"}
				w.hello(false)
			}
			load := func(d time.Duration) {
				for until := f.now.Add(d); f.now.Before(until); f.play(20 * time.Millisecond) {
					f.submitShaped(test.steps, test.tasks, test.affinity, 100*time.Millisecond, 1)
				}
			}
			load(20 * time.Second)
			f.c.Check(f.judged[verdict.Slow] <= 1, qt.IsTrue, qt.Commentf("%v", f.judged))
			load(10 * time.Second)
			clear(f.judged)
			bad := f.links[1]
			f.slowness[bad] *= 7.5
			load(6 * time.Second)
			f.c.Check(f.judged[verdict.Slow] >= 1, qt.IsTrue, qt.Commentf("%v", f.judged))
			f.slowness[bad] /= 7.5
			// A trial task is long by chance now and then, and there is one every 6 s.
			load(30 * time.Second)
			clear(f.started)
			load(5 * time.Second)
			f.c.Check(f.started[bad] > 10, qt.IsTrue, qt.Commentf("%d tasks after the worker is healthy again", f.started[bad]))
		})
	}
}

// Guards against workers that all stay degraded because the declared run times of a job type
// are far too short: nothing was learned from the runs of degraded workers.
func TestFarTooShortRunTimesDegradeNobodyForLong(t *testing.T) {
	const run, factor = 2 * time.Second, 80
	for _, tasks := range []int{1, 2, 4} {
		f := newLearningFleet(t, 12, true)
		for until := f.now.Add(30 * time.Second); f.now.Before(until); f.play(100 * time.Millisecond) {
			f.submitShaped(1, tasks, "", run, factor)
		}
		f.c.Check(f.judged[verdict.Slow]-f.judged[verdict.Sound] <= 1, qt.IsTrue, qt.Commentf("%d tasks: %v", tasks, f.judged))
		expected := f.core.Expected("s", "patient", run/factor, "w00")
		f.c.Check(expected > run/3 && expected < 3*run, qt.IsTrue, qt.Commentf("%d tasks: %v expected", tasks, expected))
	}
}

// Guards against a worker that gets trial tasks only for good: it was degraded, left and came
// back, so that its speed was discarded and nothing showed any more that it had recovered.
func TestDegradedWorkerThatLeavesIsUsedAgain(t *testing.T) {
	f := newLearningFleet(t, 12, true)
	f.load(5 * time.Second)
	bad := f.links[1]
	f.slowness[bad] *= 7.5
	f.load(2 * time.Second)
	f.c.Assert(f.judged[verdict.Slow], qt.Equals, 1)
	f.slowness[bad] /= 7.5
	f.play(2 * time.Second)
	w := f.workers[bad]
	f.c.Assert(w.cores, qt.Equals, 48.0)
	for _, leaving := range []bool{true, false} {
		w.hello(leaving)
		f.play(100 * time.Millisecond)
	}
	clear(f.started)
	f.load(10 * time.Second)
	f.c.Check(f.started[bad] > 100, qt.IsTrue, qt.Commentf("%d tasks in 10 s", f.started[bad]))
}

// Guards against workers that are judged degraded because tasks take longer there, away from
// their data, than at the few workers near it.
func TestTasksAwayFromTheirDataAreNoEvidence(t *testing.T) {
	f := newLearningFleet(t, 12, true)
	f.away = 2.4
	for _, link := range f.links[:2] {
		f.workers[link].labels = []string{"near"}
		f.workers[link].hello(false)
	}
	for until := f.now.Add(20 * time.Second); f.now.Before(until); f.play(20 * time.Millisecond) {
		f.submitShaped(1, 2, "near", 300*time.Millisecond, 1)
	}
	atNear := f.started[f.links[0]] + f.started[f.links[1]]
	f.c.Check(atNear > 200 && atNear < 1800, qt.IsTrue, qt.Commentf("%d of 2000 tasks near their data", atNear))

	f.c.Check(f.judged[verdict.Slow] <= 1, qt.IsTrue, qt.Commentf("%v", f.judged))
}
