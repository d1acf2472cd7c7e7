package entry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// shedFleet is an entry with workers that run its tasks, and callers of three job types that
// take about three quarters of the workers.
type shedFleet struct {
	*fixture
	rng     *rand.Rand
	workers map[entry.LinkID]*leasedWorker
	room    map[entry.LinkID]float64
	ends    []runningTask
	jobType map[uint64]string
	wanted  map[uint64]time.Time
	// asked, inTime and reasons count jobs, the latter by type and reason; trace lists each
	// dispatch and answer.
	asked, inTime map[string]int
	reasons       map[string]map[verdict.Reason]int
	trace         []string
}

type runningTask struct {
	at   time.Time
	link entry.LinkID
	d    msg.Dispatch
}

var shedTypes = []struct {
	name     string
	priority int
	perS     float64
	tasks    int
	run      time.Duration
}{
	{"urgent", 0, 66, 8, 60 * time.Millisecond},
	{"middle", 1, 195, 2, 200 * time.Millisecond},
	{"long", 2, 12, 4, 900 * time.Millisecond},
}

const (
	shedCores = 3
	shedStep  = 5 * time.Millisecond
)

func newShedFleet(t *testing.T, shed bool, seed uint64) *shedFleet {
	f := &shedFleet{
		fixture: &fixture{c: qt.New(t), now: time.Unix(1000, 0), clock: time.Minute}, rng: rand.New(rand.NewPCG(seed, 2)),
		workers: make(map[entry.LinkID]*leasedWorker), room: make(map[entry.LinkID]float64), jobType: make(map[uint64]string),
		wanted: make(map[uint64]time.Time), asked: make(map[string]int), inTime: make(map[string]int), reasons: make(map[string]map[verdict.Reason]int),
	}
	f.core = entry.New(entry.Config{
		Name: "e", Incarnation: entryIncarnation, StartWindow: 2 * time.Second, ShedByJobType: shed,
		SuspectAfter: 3 * time.Second, LostAfter: 10 * time.Second, HeartbeatInterval: time.Second,
		AckDelay: 100 * time.Millisecond, RunLimit: time.Minute, MaxQueued: 100_000, MaxTasks: 1000, MaxPayload: 100,
	})
	types := make(map[string]entry.JobTypePolicy)
	for _, s := range shedTypes {
		types[s.name] = entry.JobTypePolicy{MaxAttempts: 2, Priority: s.priority, ResponseTarget: 60 * time.Millisecond, ResponseFactor: 1.6}
		f.reasons[s.name] = make(map[verdict.Reason]int)
	}
	f.step(entry.SetPolicy{Policy: entry.Policy{
		Revision: 8, Services: map[string]entry.ServicePolicy{"s": {JobTypes: types}}, Accounts: map[string]entry.AccountPolicy{"a": {}},
	}})
	for i := range 21 {
		w := f.linkLeased(fmt.Sprint("w", i), 10*shedCores)
		f.workers[w.link], f.room[w.link] = w, w.cores
	}
	f.out = nil
	return f
}

// play lets callers send jobs for a time, each type at its rate times the factor.
func (f *shedFleet) play(d time.Duration, factor map[string]float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(shedStep)
		f.core.Tick(f.now)
		f.out = append(f.out, f.core.TakeOutputs()...)
		f.endTasks()
		for _, s := range shedTypes {
			rate := s.perS
			if x, changed := factor[s.name]; changed {
				rate *= x
			}
			if f.rng.Float64() < rate*shedStep.Seconds() {
				f.submitOf(s.name, s.tasks, s.run)
			}
		}
		f.collect()
	}
}

func (f *shedFleet) submitOf(jobType string, tasks int, run time.Duration) {
	f.jobs++
	wanted := f.now.Add(run*16/10 + 60*time.Millisecond)
	j := entry.Job{ID: f.jobs, Service: "s", JobType: jobType, Account: "a", Deadline: f.now.Add(3 * wanted.Sub(f.now))}
	for i := range tasks {
		j.Tasks = append(j.Tasks, entry.Task{Name: fmt.Sprint(f.jobs, ".", i), DeclaredSize: msg.Size{Cores: shedCores}, DeclaredRunTime: run})
	}
	f.jobType[f.jobs], f.wanted[f.jobs] = jobType, wanted
	f.asked[jobType]++
	f.step(entry.Submit{Job: j})
}

// endTasks ends the tasks whose run time is over.
func (f *shedFleet) endTasks() {
	left := f.ends[:0:0]
	for _, r := range f.ends {
		if r.at.After(f.now) {
			left = append(left, r)
			continue
		}
		w := f.workers[r.link]
		f.room[r.link] += shedCores
		w.clock += shedStep
		report := w.report()
		report.Room.Cores = f.room[r.link]
		w.send(msg.Result{Attempt: r.d.Attempt, Kind: msg.ResultOK, RunTime: time.Millisecond, Report: report})
	}
	f.ends = left
}

// collect starts what the entry dispatches and records its answers.
func (f *shedFleet) collect() {
	for _, o := range f.out {
		switch o := o.(type) {
		case entry.Send:
			d, ok := o.Message.(msg.Dispatch)
			if !ok {
				continue
			}
			f.trace = append(f.trace, fmt.Sprint(f.now.UnixMilli(), d.Attempt, o.Link))
			w := f.workers[o.Link]
			w.covers = max(w.covers, d.Seq)
			f.room[o.Link] -= shedCores
			for _, s := range shedTypes {
				if s.name == d.JobType {
					f.ends = append(f.ends, runningTask{f.now.Add(s.run), o.Link, d})
				}
			}
		case entry.Answered:
			f.trace = append(f.trace, fmt.Sprint(f.now.UnixMilli(), o.Job, o.Answer.Outcome, o.Answer.Reason, o.Answer.RetryAfter))
			jobType := f.jobType[o.Job]
			f.reasons[jobType][o.Answer.Reason]++
			if o.Answer.Outcome == entry.Complete && !f.now.After(f.wanted[o.Job]) {
				f.inTime[jobType]++
			}
			if o.Answer.Reason == verdict.Shed {
				f.c.Check(o.Answer.Outcome, qt.Equals, entry.Refused)
				f.c.Check(o.Answer.Verdict, qt.Equals, verdict.NotRun)
				f.c.Check(o.Answer.RetryAfter >= time.Second && o.Answer.RetryAfter <= 10*time.Second, qt.IsTrue)
			}
		}
	}
	f.out = nil
}

func (f *shedFleet) share(jobType string) float64 {
	return float64(f.inTime[jobType]) / float64(f.asked[jobType])
}

// Guards against a burst of one type at a full service that costs the callers of the others what
// they had, against jobs that give way though there is room, and against a shed job that is not
// refused as not run.
func TestBurstIsShedByType(t *testing.T) {
	for seed := range uint64(2) {
		shares := make(map[bool]map[string]float64)
		for _, shed := range []bool{false, true} {
			f := newShedFleet(t, shed, seed)
			f.play(15*time.Second, nil)
			calm := 0
			for _, s := range shedTypes {
				calm += f.reasons[s.name][verdict.Shed]
			}
			f.c.Check(calm*100 <= f.asked["urgent"]+f.asked["middle"]+f.asked["long"], qt.IsTrue, qt.Commentf("%d shed without a burst", calm))
			clear(f.asked)
			clear(f.inTime)
			f.play(6*time.Second, map[string]float64{"long": 3.5})
			shares[shed] = map[string]float64{}
			for _, s := range shedTypes {
				shares[shed][s.name] = f.share(s.name)
			}
			total := 0
			for _, s := range shedTypes {
				total += f.reasons[s.name][verdict.Shed]
			}
			f.c.Check(total > 0, qt.Equals, shed)
			f.c.Logf("seed %d, shedding %v: in time %v, long by reason %v", seed, shed, shares[shed], f.reasons["long"])
		}
		qt.Check(t, shares[true]["urgent"] > shares[false]["urgent"] && shares[true]["urgent"] > 0.9, qt.IsTrue)
		qt.Check(t, shares[true]["middle"] > shares[false]["middle"] && shares[true]["middle"] > 0.85, qt.IsTrue)
		qt.Check(t, shares[true]["long"] > 0.25, qt.IsTrue, qt.Commentf("the type is shut out"))
	}
}

// Guards against a decision that shedding changes while nothing waits.
func TestSheddingWithoutBacklogChangesNothing(t *testing.T) {
	var traces [2][]string
	for i := range traces {
		f := newShedFleet(t, i == 1, 1)
		f.play(10*time.Second, map[string]float64{"urgent": 0.3, "middle": 0.3, "long": 0.3})
		traces[i] = f.trace
	}
	qt.Assert(t, len(traces[0]) > 1000, qt.IsTrue)
	qt.Check(t, slices.Equal(traces[0], traces[1]), qt.IsTrue)
}
