package entry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

func sizedJob(now time.Time, id uint64, jobType string, cores float64) entry.Job {
	return entry.Job{
		ID: id, Service: "s", JobType: jobType, Account: "a", Deadline: now.Add(10 * time.Second),
		Tasks: []entry.Task{{DeclaredSize: msg.Size{Cores: cores}, DeclaredRunTime: 100 * time.Millisecond}},
	}
}

// Guards against an explanation that differs from what happens to the job, and against one
// that changes what happens.
func TestExplanationIsWhatHappens(t *testing.T) {
	c := qt.New(t)
	placed, waiting, refused := 0, 0, 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := leasedFixture(t)
		var workers []*leasedWorker
		for i := range 6 {
			workers = append(workers, f.linkLeased(fmt.Sprint("w", i), 8+float64(rng.IntN(25)), fmt.Sprint("label", i%2)))
		}
		for range 60 {
			f.now = f.now.Add(tick)
			f.out = nil
			jobType := []string{"urgent", "patient", "once", "unknown"}[rng.IntN(4)]
			f.jobs++
			spec := sizedJob(f.now, f.jobs, jobType, float64(1+rng.IntN(12)))
			switch answered, dispatch := f.submitExplained(workers, spec); {
			case answered != nil:
				refused++
			case dispatch == nil:
				waiting++
			default:
				placed++
			}
		}
	}
	c.Check(placed > 100 && waiting > 100 && refused > 100, qt.IsTrue, qt.Commentf("%d placed, %d waiting, %d refused", placed, waiting, refused))
}

// submitExplained submits a job of one task, checks that what happens is what was explained,
// and returns the job's answer or its dispatch.
func (f *fixture) submitExplained(workers []*leasedWorker, spec entry.Job) (answer *entry.Answer, dispatch *msg.Dispatch) {
	c := f.c
	before := fmt.Sprintf("%+v", f.core.Snapshot())
	e := f.core.Explain(f.now, spec)
	c.Assert(fmt.Sprintf("%+v", f.core.Snapshot()), qt.Equals, before)
	c.Assert(f.core.TakeOutputs(), qt.HasLen, 0)
	f.step(entry.Submit{Job: spec})
	sentTo := ""
	for _, o := range f.out {
		switch o := o.(type) {
		case entry.Answered:
			if o.Job != spec.ID {
				continue
			}
			answer = &o.Answer
			c.Assert(e.Refusal, qt.Not(qt.IsNil), qt.Commentf("%v", o.Answer))
			c.Assert(e.Refusal.Reason, qt.Equals, o.Answer.Reason)
			c.Assert(o.Answer.RetryAfter >= e.Refusal.RetryAfter && o.Answer.RetryAfter <= e.MaxRetryAfter, qt.IsTrue)
		case entry.Send:
			if d, ok := o.Message.(msg.Dispatch); ok && d.Attempt.Job == spec.ID {
				dispatch = &d
				for _, w := range workers {
					if w.link == o.Link {
						sentTo = w.name
					}
				}
			}
		}
	}
	c.Assert(answer != nil, qt.Equals, e.Refusal != nil, qt.Commentf("%+v", e.Refusal))
	switch {
	case answer != nil:
	case sentTo == "":
		c.Assert(e.Rule, qt.Not(qt.Equals), verdict.PlacementRule(0), qt.Commentf("%+v %+v", e, f.out))
	default:
		totals := map[string]float64{}
		for _, w := range e.Workers {
			if w.Rule == 0 {
				totals[w.Name] = w.Total
			}
		}
		c.Assert(e.Rule, qt.Equals, verdict.PlacementRule(0))
		c.Assert(totals[sentTo], qt.Equals, totals[e.Worker], qt.Commentf("%v, sent to %s", totals, sentTo))
	}
	return answer, dispatch
}

// Guards against an explanation that leaves out evacuations, stalled workers, shedding or
// learned speeds, and against one that changes what these decide later.
func TestExplanationCoversEverySetting(t *testing.T) {
	reasons, rules := map[verdict.Reason]int{}, map[verdict.PlacementRule]int{}
	late, placed := 0, 0
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := &fixture{c: qt.New(t), now: time.Unix(1000, 0), clock: time.Minute}
		f.core = entry.New(entry.Config{
			Name: "e", Incarnation: entryIncarnation, StartWindow: 2 * time.Second,
			SuspectAfter: time.Minute, LostAfter: time.Hour, HeartbeatInterval: time.Second, AckDelay: time.Second, RunLimit: time.Minute,
			MaxQueued: 100_000, MaxTasks: 1000, MaxPayload: 100, LearnSpeeds: true, ShedByJobType: true, SeparateJobTypes: true,
		})
		p := leasedPolicy()
		p.Services["s"].JobTypes["patient"] = entry.JobTypePolicy{MaxAttempts: 2, Priority: 1, ResponseTarget: time.Second, ResponseFactor: 6}
		f.step(entry.SetPolicy{Policy: p})
		var workers []*leasedWorker
		open := make(map[string][]msg.Dispatch)
		for i := range 6 {
			workers = append(workers, f.linkIn(fmt.Sprint("z", i%2), fmt.Sprint("w", i)))
		}
		stalled := make(map[string]bool)
		report := func(w *leasedWorker) msg.Slots {
			r := w.report()
			r.Room.Cores -= float64(len(open[w.name]))
			if r.Stalled = stalled[w.name]; r.Stalled {
				r.Room = msg.Size{}
			}
			return r
		}
		dispatch := func() bool {
			found := false
			for link, ds := range f.dispatched() {
				for _, w := range workers {
					if w.link == link {
						open[w.name] = append(open[w.name], ds...)
						placed += len(ds)
						found = true
					}
				}
			}
			return found
		}
		version := uint64(0)
		evacuated := make(map[string]bool)
		for round := range 1500 {
			f.now = f.now.Add(4 * time.Millisecond)
			f.core.Tick(f.now)
			f.out = append(f.out, f.core.TakeOutputs()...)
			dispatch()
			w := workers[rng.IntN(len(workers))]
			switch rng.IntN(60) {
			case 0, 1:
				d := fmt.Sprint("z", rng.IntN(2))
				version++
				evacuated[d] = !evacuated[d]
				f.evacuate(version, d, evacuated[d])
			case 2:
				if len(open[w.name]) > 0 {
					w.send(msg.Refused{Attempt: open[w.name][0].Attempt, Reason: verdict.Evacuated, Report: report(w)})
					open[w.name] = open[w.name][1:]
				}
			case 3:
				stalled[w.name] = !stalled[w.name]
				w.send(msg.Heartbeat{Report: report(w)})
			default:
				// One worker hangs for a second at a time, which its agent does not report.
				hangs := w == workers[5] && round%500 >= 250
				if ds := open[w.name]; len(ds) > 0 && !stalled[w.name] && !hangs {
					open[w.name] = ds[1:]
					w.covers = max(w.covers, ds[0].Seq)
					w.send(msg.Result{Attempt: ds[0].Attempt, Kind: msg.ResultOK, RunTime: time.Duration(80+20*rng.IntN(7)) * time.Millisecond, Report: report(w)})
				}
			}
			for dispatch() {
				// A pass gives a slow worker one task, so that jobs that wait may find room in the next.
				f.step(entry.Cancel{})
			}
			f.jobs++
			spec := sizedJob(f.now, f.jobs, []string{"urgent", "patient", "patient", "once"}[rng.IntN(4)], 1)
			for _, k := range f.core.Explain(f.now, spec).Workers {
				rules[k.Rule]++
				if k.Score.ExpectedEnd != 0 {
					late++
				}
			}
			answer, _ := f.submitExplained(workers, spec)
			if answer != nil {
				reasons[answer.Reason]++
			}
			dispatch()
		}
	}
	c := qt.New(t)
	c.Logf("%d placed, refused %v, rules %v, %d late", placed, reasons, rules, late)
	c.Check(placed > 100 && late > 100, qt.IsTrue)
	for _, r := range []verdict.Reason{verdict.AllEvacuated, verdict.Shed, verdict.WouldMissDeadline} {
		c.Check(reasons[r] > 10, qt.IsTrue, qt.Commentf("%v", r))
	}
	for _, r := range []verdict.PlacementRule{0, verdict.WorkerSlow, verdict.NoProgress, verdict.WorkerEvacuated, verdict.EvacuationReported, verdict.NoRoom} {
		c.Check(rules[r] > 10, qt.IsTrue, qt.Commentf("%v", r))
	}
}

// Guards against a rule that is missing for a worker which gets no task.
func TestExplanationNamesTheRule(t *testing.T) {
	f := leasedFixture(t)
	full := f.linkLeased("full", 2)
	going := f.linkLeased("going", 32)
	going.hello(true)
	f.linkLeased("good", 32, "gpu")
	unlinked := f.linkLeased("unlinked", 32)
	f.step(entry.LinkDown{Link: unlinked.link})
	spec := sizedJob(f.now, 99, "patient", 4)
	spec.Steps = []entry.Step{{Requires: "gpu"}}
	f.linkLeased("plain", 32)
	e := f.core.Explain(f.now, spec)
	rules := map[string]verdict.PlacementRule{}
	for _, w := range e.Workers {
		rules[w.Name] = w.Rule
	}
	delete(rules, "w")
	f.c.Check(rules, qt.DeepEquals, map[string]verdict.PlacementRule{
		full.name: verdict.NoRoom, "going": verdict.WorkerGoing, "good": 0, "unlinked": verdict.WorkerUnlinked, "plain": verdict.MissingLabel,
	})
	f.c.Check(e.Worker, qt.Equals, "good")
}
