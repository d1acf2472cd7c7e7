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
			before := fmt.Sprintf("%+v", f.core.Snapshot())
			e := f.core.Explain(f.now, spec)
			c.Assert(fmt.Sprintf("%+v", f.core.Snapshot()), qt.Equals, before)
			c.Assert(f.core.TakeOutputs(), qt.HasLen, 0)
			f.step(entry.Submit{Job: spec})
			sentTo, answered := "", false
			for _, o := range f.out {
				switch o := o.(type) {
				case entry.Answered:
					answered = true
					c.Assert(e.Refusal, qt.Not(qt.IsNil))
					c.Assert(e.Refusal.Reason, qt.Equals, o.Answer.Reason)
					c.Assert(o.Answer.RetryAfter >= e.Refusal.RetryAfter && o.Answer.RetryAfter <= e.MaxRetryAfter, qt.IsTrue)
				case entry.Send:
					if d, ok := o.Message.(msg.Dispatch); ok && d.Attempt.Job == spec.ID {
						for _, w := range workers {
							if w.link == o.Link {
								sentTo = w.name
							}
						}
					}
				}
			}
			c.Assert(answered, qt.Equals, e.Refusal != nil)
			switch {
			case answered:
				refused++
			case sentTo == "":
				waiting++
				c.Assert(e.Rule, qt.Not(qt.Equals), verdict.PlacementRule(0))
			default:
				placed++
				totals := map[string]float64{}
				for _, w := range e.Workers {
					if w.Rule == 0 {
						totals[w.Name] = w.Total
					}
				}
				c.Assert(e.Rule, qt.Equals, verdict.PlacementRule(0))
				c.Assert(totals[sentTo], qt.Equals, totals[e.Worker], qt.Commentf("%v, sent to %s", totals, sentTo))
			}
		}
	}
	c.Check(placed > 100 && waiting > 100 && refused > 100, qt.IsTrue, qt.Commentf("%d placed, %d waiting, %d refused", placed, waiting, refused))
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
