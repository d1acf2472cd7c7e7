package entry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// linkIn links a leased worker of a failure domain.
func (f *fixture) linkIn(domain, name string) *leasedWorker {
	w := &leasedWorker{f: f, name: name, inc: 9, cores: 8, link: f.link + 1}
	f.link++
	f.step(entry.LinkUp{Link: w.link, Hello: w.helloIn(domain, 0)})
	return w
}

func (w *leasedWorker) helloIn(domain string, evacuatedAt uint64) msg.Hello {
	return msg.Hello{
		Worker: w.name, FailureDomain: domain, Incarnation: w.inc, Service: "s", Slots: 8, Size: msg.Size{Cores: w.cores}, Revision: 8,
		ReleaseAfter: releaseAfter, Settled: true, Report: w.report(), EvacuatedAt: evacuatedAt,
	}
}

func (f *fixture) evacuate(version uint64, domain string, evacuated bool) {
	f.step(entry.SetEvacuations{Report: evacuation.Report{Domains: []evacuation.Domain{{Name: domain, Evacuated: evacuated, Version: version}}}})
}

// evacuationFixture has no worker but those that the test links.
func evacuationFixture(t *testing.T) *fixture {
	f := leasedFixture(t)
	f.step(entry.LinkDown{Link: f.link})
	return f
}

// Guards against every way in which a task can reach a worker of an evacuated domain: as a first
// start, after a refusal, a failure or the loss of a worker, as the next step of a job, as a
// trial of a quarantined or slow worker, or from the queue when room is reported. Workers of
// three domains get jobs while evacuations begin and end at random.
func TestNothingIsDispatchedToEvacuatedDomains(t *testing.T) {
	for seed := range uint64(20) {
		f, rng := evacuationFixture(t), rand.New(rand.NewPCG(seed, 1))
		var workers []*leasedWorker
		domains, evacuated, version := []string{"z0", "z1", "z2"}, make(map[string]bool), uint64(0)
		for i := range 9 {
			workers = append(workers, f.linkIn(domains[i%3], fmt.Sprint("w", i)))
		}
		open, total := make(map[*leasedWorker][]msg.Dispatch), make(map[*leasedWorker]health.Outcomes)
		dispatches, avoided := 0, 0
		collect := func() {
			for link, ds := range f.dispatched() {
				i := 0
				for workers[i].link != link {
					i++
				}
				f.c.Assert(evacuated[domains[i%3]], qt.IsFalse, qt.Commentf("seed %d: dispatched to %s of %s", seed, workers[i].name, domains[i%3]))
				open[workers[i]] = append(open[workers[i]], ds...)
				dispatches += len(ds)
			}
			if len(evacuated) > 0 {
				avoided++
			}
		}
		for range 400 {
			collect()
			w := workers[rng.IntN(len(workers))]
			switch rng.IntN(8) {
			case 0:
				d := domains[rng.IntN(3)]
				version++
				f.evacuate(version, d, !evacuated[d])
				// Nothing may be sent in the step that begins it either.
				if evacuated[d] = !evacuated[d]; !evacuated[d] {
					delete(evacuated, d)
				}
			case 1, 2:
				f.jobs++
				j := entry.Job{ID: f.jobs, Service: "s", JobType: "urgent", Account: "a", Deadline: f.now.Add(10 * time.Second), Steps: []entry.Step{{}, {After: []int{0}}}}
				for i := range 4 {
					j.Tasks = append(j.Tasks, entry.Task{Name: fmt.Sprint(f.jobs, i), Step: i / 2, DeclaredSize: msg.Size{Cores: 2}, DeclaredRunTime: 100 * time.Millisecond})
				}
				f.step(entry.Submit{Job: j})
			case 3, 4, 5:
				if len(open[w]) == 0 {
					continue
				}
				d := open[w][0]
				open[w] = open[w][1:]
				w.covers = max(w.covers, d.Seq)
				o := total[w]
				o.Ended++
				kind, took := msg.ResultOK, 100*time.Millisecond
				switch bad := w.name < "w3"; {
				case bad && rng.IntN(2) == 0:
					o.Failed++
					kind = msg.ResultEndpointError
				case bad:
					took = time.Second
				case rng.IntN(8) == 0:
					kind = []msg.ResultKind{msg.ResultAborted, msg.ResultNotReached}[rng.IntN(2)]
				}
				total[w] = o
				report := w.report()
				report.Outcomes = o
				if rng.IntN(8) == 0 {
					w.send(msg.Refused{Attempt: d.Attempt, Reason: verdict.NoSlot, Report: report})
				} else {
					w.send(msg.Result{Attempt: d.Attempt, Kind: kind, RunTime: took, Report: report})
				}
			case 6:
				f.advance(time.Duration(rng.IntN(20)) * tick)
				for i, w := range workers {
					w.send(w.helloIn(domains[i%3], 0))
				}
			case 7:
				f.step(entry.LinkDown{Link: w.link})
				f.link++
				w.link, open[w] = f.link, nil
				f.step(entry.LinkUp{Link: w.link, Clock: w.clock, Hello: w.helloIn(domains[w.name[1]%3], 0)})
			}
		}
		collect()
		f.c.Check(dispatches > 50 && avoided > 50, qt.IsTrue, qt.Commentf("%d dispatches, %d steps with an evacuation", dispatches, avoided))
	}
}

// Guards against a job that waits for workers that it may not use, a refusal that does not say
// that the job has not run, callers that all come back at once, and a job that is refused
// although workers serve it, or although a task of it may have run.
func TestJobsAreRefusedWhenAllTheirWorkersAreEvacuated(t *testing.T) {
	f := evacuationFixture(t)
	a, b := f.linkIn("z0", "w0"), f.linkIn("z1", "w1")
	f.evacuate(1, "elsewhere", true)
	begun := f.submitSized("once", 7, 2)
	running := f.dispatched()
	waiting := f.submitSized("once", 7, 1)
	f.evacuate(2, "z0", true)
	f.c.Assert(f.answers(), qt.HasLen, 0)
	f.evacuate(3, "z1", true)
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Job, qt.Equals, waiting)
	check := func(got entry.Answer) {
		f.c.Check(got.Reason, qt.Equals, verdict.AllEvacuated)
		f.c.Check(got.Verdict, qt.Equals, verdict.NotRun)
		f.c.Check(got.RetryAfter >= time.Second && got.RetryAfter <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", got.RetryAfter))
	}
	check(answers[0].Answer)
	retryAfter := make(map[time.Duration]bool)
	for range 20 {
		f.submitSized("once", 7, 1)
		answers := f.answers()
		f.c.Assert(answers, qt.HasLen, 1)
		f.c.Check(answers[0].Answer.Outcome, qt.Equals, entry.Refused)
		check(answers[0].Answer)
		retryAfter[answers[0].Answer.RetryAfter] = true
	}
	f.c.Check(len(retryAfter) > 2, qt.IsTrue)
	a.end(running[a.link][0], msg.ResultOK)
	f.advance(tick)
	b.end(running[b.link][0], msg.ResultOK)
	f.c.Check(f.answers(), qt.DeepEquals, []entry.Answered{{Job: begun, Answer: entry.Answer{
		Outcome: entry.Complete, Verdict: verdict.Ran, Results: []entry.TaskResult{{Worker: "w0"}, {Worker: "w1"}},
	}}}, qt.Commentf("running tasks end as usual"))
	b.cores = 1
	f.evacuate(4, "z1", false)
	b.send(msg.Heartbeat{Report: b.report(), Revision: 8})
	f.submitSized("once", 7, 1)
	f.c.Check(f.answers(), qt.HasLen, 0, qt.Commentf("a worker serves the job again"))
	f.step(entry.LinkDown{Link: b.link})
	f.advance(tick)
	f.c.Check(f.answers(), qt.HasLen, 1, qt.Commentf("the last worker that is not evacuated has left"))
	f.step(entry.LinkDown{Link: a.link})
	f.submitSized("once", 7, 1)
	f.advance(tick)
	f.c.Check(f.answers(), qt.HasLen, 0, qt.Commentf("no worker is linked"))
}

// Guards against an entry that does not know of an evacuation and sends a worker a task after
// the other, and against one that does not use the worker when it may be used again.
func TestWorkerIsLeftAloneAfterARefusal(t *testing.T) {
	f := evacuationFixture(t)
	w := f.linkIn("z0", "w0")
	f.submitSized("once", 2, 1)
	refuse := func() {
		d := f.dispatched()[w.link]
		f.c.Assert(d, qt.HasLen, 1)
		w.covers = d[0].Seq
		w.send(msg.Refused{Attempt: d[0].Attempt, Reason: verdict.Evacuated, Report: w.report()})
	}
	refuse()
	f.advance(time.Second - tick)
	w.send(msg.Heartbeat{Report: w.report(), Revision: 8})
	f.c.Assert(f.dispatched(), qt.HasLen, 0)
	f.advance(2 * tick)
	refuse()
	f.evacuate(1, "z0", true)
	f.evacuate(2, "z0", false)
	f.submitSized("once", 2, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
}

// Guards against an agent that is not told of an evacuation, gets a task before it is told, or
// stays evacuated because the withdrawal came while this process was not there.
func TestAgentsAreTold(t *testing.T) {
	f := evacuationFixture(t)
	f.linkIn("z0", "w0")
	f.c.Assert(take[msg.Evacuations](f), qt.HasLen, 0)
	f.evacuate(5, "z0", true)
	f.c.Assert(take[msg.Evacuations](f), qt.HasLen, 1)
	f.linkIn("z1", "w1")
	var kinds []string
	for _, o := range f.out {
		if s, ok := o.(entry.Send); ok {
			kinds = append(kinds, fmt.Sprintf("%T", s.Message))
		}
	}
	f.c.Assert(len(kinds) > 1, qt.IsTrue)
	f.c.Check(kinds[:2], qt.DeepEquals, []string{"msg.Welcome", "msg.Evacuations"})
	late := f.linkIn("z0", "w2")
	f.submitSized("once", 7, 3)
	f.c.Check(f.dispatched()[late.link], qt.HasLen, 0)

	f = evacuationFixture(t)
	w := f.linkIn("z0", "w0")
	f.out = nil
	w.send(w.helloIn("z0", 7))
	f.step(entry.SetEvacuations{Report: evacuation.Report{ListedAt: 7}})
	f.c.Assert(take[msg.Evacuations](f), qt.HasLen, 0, qt.Commentf("the agent may know more"))
	f.step(entry.SetEvacuations{Report: evacuation.Report{ListedAt: 8}})
	f.c.Assert(take[msg.Evacuations](f), qt.DeepEquals, []msg.Evacuations{{Report: evacuation.Report{ListedAt: 8}}})
	w.send(w.helloIn("z0", 7))
	f.c.Assert(take[msg.Evacuations](f), qt.HasLen, 1)
}

// Guards against evacuated workers that count where no task can go: a quota of quarantined
// workers or a cell of a confined job type that the workers in use do not have.
func TestEvacuatedWorkersDoNotCount(t *testing.T) {
	f := evacuationFixture(t)
	var workers []*leasedWorker
	for i := range 9 {
		workers = append(workers, f.linkIn(fmt.Sprint("z", i%3), fmt.Sprint("w", i)))
	}
	f.evacuate(1, "z1", true)
	f.evacuate(2, "z2", true)
	for i, w := range workers {
		report := w.report()
		report.Outcomes = health.Outcomes{Ended: 50}
		if i%3 == 0 && i > 0 {
			report.Outcomes.Failed = 50
		}
		w.send(msg.Heartbeat{Report: report, Revision: 8})
	}
	judged := 0
	for _, o := range f.out {
		if j, ok := o.(entry.WorkerJudged); ok && j.Health == verdict.Failing {
			judged++
		}
	}
	f.c.Check(judged, qt.Equals, 1, qt.Commentf("a third of the three workers in use"))

	for set := range 6 {
		f = evacuationFixture(t)
		for i := range 6 {
			workers[i] = f.linkIn(fmt.Sprint("z", i/3), fmt.Sprint("w", set, i))
		}
		for i := range 6 {
			f.advance(300 * time.Millisecond)
			h := workers[i].helloIn(fmt.Sprint("z", i/3), 0)
			h.Crashes = []msg.WorkerCrash{crashOf(int64(i), 10*time.Millisecond, msg.Dispatch{TaskName: fmt.Sprint("deadly", i), JobType: "patient"})}
			workers[i].send(h)
			for k := range 6 {
				workers[k].send(workers[k].helloIn(fmt.Sprint("z", k/3), 0))
			}
		}
		f.evacuate(1, "z1", true)
		f.out = nil
		f.submitNamed("p", "patient", 2, 12)
		f.c.Check(f.dispatched(), qt.HasLen, 1, qt.Commentf("the cell is one of the three workers in use"))
	}
}
