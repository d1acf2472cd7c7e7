package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// stalledReport is a report of a stalled worker, with room for a trial task or none.
func (w *leasedWorker) stalledReport(cores float64) msg.Slots {
	r := w.report()
	r.Room, r.Stalled = msg.Size{Cores: cores}, true
	return r
}

// stall lets the agent report a stall.
func (w *leasedWorker) stall() { w.send(msg.Heartbeat{Report: w.stalledReport(0)}) }

// got returns the dispatches to the worker among those given, and counts them as received.
func (w *leasedWorker) got(all map[entry.LinkID][]msg.Dispatch) []msg.Dispatch {
	for _, d := range all[w.link] {
		w.covers = max(w.covers, d.Seq)
	}
	return all[w.link]
}

// stopped returns the attempts that the entry stops, in order, and the health of workers that
// it reports, since the last call.
func (f *fixture) stopped() (stops []msg.AttemptID, judged []entry.WorkerJudged) {
	for _, o := range f.out {
		switch o := o.(type) {
		case entry.WorkerJudged:
			judged = append(judged, o)
		case entry.Send:
			if r, ok := o.Message.(msg.Revoke); ok && r.Stop {
				for _, ref := range r.Attempts {
					stops = append(stops, ref.Attempt)
				}
			}
		}
	}
	f.out = nil
	return stops, judged
}

func (f *fixture) linkMany(n int) []*leasedWorker {
	var workers []*leasedWorker
	for i := range n {
		workers = append(workers, f.linkLeased(fmt.Sprint("w", i), 32))
	}
	return workers
}

// pass lets time pass while every agent reports.
func (f *fixture) pass(d time.Duration, stalled ...*leasedWorker) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(tick)
		for _, w := range stalled {
			w.clock += tick
			w.stall()
		}
	}
}

// Guards against tasks that wait for a stalled worker, are stopped twice, count as failed or
// start there again; against further tasks there; and against a worker that is not in use again
// after it.
func TestTasksAtStalledWorkerStartElsewhere(t *testing.T) {
	f := leasedFixture(t)
	workers := f.linkMany(4)
	f.submitSized("patient", 3, 12)
	all := f.dispatched()
	hung := workers[0].got(all)
	f.c.Assert(len(hung) > 0, qt.IsTrue)
	for _, w := range workers[1:] {
		for _, d := range w.got(all) {
			w.end(d, msg.ResultOK)
		}
	}
	workers[0].stall()
	f.advance(tick)
	stops, judged := f.stopped()
	f.c.Check(stops, qt.HasLen, len(hung))
	f.c.Check(judged, qt.DeepEquals, []entry.WorkerJudged{{Worker: "w0", Health: verdict.Stalled}})
	f.pass(100*time.Millisecond, workers[0])
	stops, _ = f.stopped()
	f.c.Check(stops, qt.HasLen, 0, qt.Commentf("stopped again"))
	for _, d := range hung {
		report := workers[0].stalledReport(0)
		workers[0].send(msg.Result{Attempt: d.Attempt, Kind: msg.ResultAborted, Report: report})
	}
	again := f.dispatched()
	f.c.Check(again[workers[0].link], qt.HasLen, 0)
	restarted := 0
	// Two attempts are allowed: a second failure would fail the job.
	for _, w := range workers[1:] {
		for i, d := range w.got(again) {
			restarted++
			if i == 0 && w == workers[1] {
				w.end(d, msg.ResultEndpointError)
				continue
			}
			w.end(d, msg.ResultOK)
		}
	}
	f.c.Check(restarted, qt.Equals, len(hung))
	retried := f.dispatched()
	for _, w := range workers[1:] {
		for _, d := range w.got(retried) {
			w.end(d, msg.ResultOK)
		}
	}
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Outcome, qt.Equals, entry.Complete)

	workers[0].send(msg.Heartbeat{Report: workers[0].report()})
	f.submitSized("patient", 3, 12)
	f.c.Check(len(workers[0].got(f.dispatched())) > 0, qt.IsTrue)
}

// Guards against more than one task for the room that a stalled worker reports for its trial
// task, against a trial task that may not start twice or has failed before while others can run
// it, and against one that hangs until its deadline.
func TestTrialAtStalledWorker(t *testing.T) {
	f := leasedFixture(t)
	workers := f.linkMany(4)
	w := workers[0]
	w.stall()
	f.out = nil
	w.send(msg.Heartbeat{Report: w.stalledReport(32)})
	f.submitSized("once", 3, 4)
	f.c.Check(f.dispatched()[w.link], qt.HasLen, 0, qt.Commentf("a task that may not start twice"))
	f.submitSized("patient", 3, 30)
	trials := f.dispatched()[w.link]
	f.c.Assert(trials, qt.HasLen, 1)
	w.send(msg.Heartbeat{Report: w.stalledReport(32)})
	f.submitSized("patient", 3, 8)
	f.c.Check(f.dispatched()[w.link], qt.HasLen, 0, qt.Commentf("a report of before the trial task"))
	w.covers = trials[0].Seq
	f.pass(200*time.Millisecond, w)
	stops, _ := f.stopped()
	f.c.Check(slices.Contains(stops, trials[0].Attempt), qt.IsFalse)
	f.pass(200*time.Millisecond, w)
	stops, _ = f.stopped()
	f.c.Check(slices.Contains(stops, trials[0].Attempt), qt.IsTrue)
}

// Guards against a trial task that is held back because the entry takes the worker for slow as
// well: the agent decides when one is due.
func TestTrialAtStalledWorkerThatWasSlow(t *testing.T) {
	f := newSlowdownFixture(t)
	for range 4 {
		f.runJob()
	}
	f.slow.stall()
	f.out = nil
	f.slow.send(msg.Heartbeat{Report: f.slow.stalledReport(32)})
	f.submitSized("patient", 3, 8)
	f.c.Check(f.dispatched()[f.slow.link], qt.HasLen, 1)
}

// Guards against tasks that are stopped although there is nowhere else to start them: when most
// workers stall at once, the cause is not theirs.
func TestTasksGoOnWhenMostWorkersStall(t *testing.T) {
	f := leasedFixture(t)
	workers := f.linkMany(6)
	f.submitSized("patient", 3, 36)
	all := f.dispatched()
	for _, w := range workers {
		f.c.Assert(len(w.got(all)) > 0, qt.IsTrue)
	}
	for _, w := range workers {
		w.stall()
	}
	f.pass(200*time.Millisecond, workers...)
	stops, _ := f.stopped()
	at := make(map[entry.LinkID]bool)
	for link, ds := range all {
		for _, d := range ds {
			if slices.Contains(stops, d.Attempt) {
				at[link] = true
			}
		}
	}
	f.c.Check(at, qt.HasLen, 2, qt.Commentf("workers whose tasks are stopped"))
}

// Guards against the only worker of a service that loses its tasks to nobody.
func TestTasksOfOnlyWorkerGoOn(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w0", 32)
	f.submitSized("patient", 3, 4)
	f.c.Assert(w.got(f.dispatched()), qt.HasLen, 4)
	w.stall()
	f.pass(100*time.Millisecond, w)
	stops, _ := f.stopped()
	f.c.Check(stops, qt.HasLen, 0)
}

// Guards against a stall that the description on a new link tells, and that counts only from
// the next message on.
func TestStallIsLearnedFromHello(t *testing.T) {
	f := leasedFixture(t)
	f.linkMany(2)
	w := f.linkLeased("w9", 32)
	f.step(entry.LinkDown{Link: w.link})
	f.out = nil
	f.link++
	w.link = f.link
	f.step(entry.LinkUp{Link: w.link, Hello: msg.Hello{
		Worker: w.name, Incarnation: w.inc, Service: "s", Slots: 8, Size: msg.Size{Cores: 32}, Revision: 8,
		ReleaseAfter: releaseAfter, Settled: true, Report: w.stalledReport(0),
	}})
	_, judged := f.stopped()
	f.c.Check(judged, qt.DeepEquals, []entry.WorkerJudged{{Worker: "w9", Health: verdict.Stalled}})
}

// Guards against a task that is stopped at a slow worker because the one other worker, which is
// stalled, would be faster.
func TestStalledWorkerIsNoAlternative(t *testing.T) {
	for _, learn := range []bool{false, true} {
		f := leasedFixture(t)
		if learn {
			f = newLearningFleet(t, 0, true).fixture
		}
		w0 := f.linkLeased("w0", 32)
		f.submitSized("patient", 3, 1)
		f.submitSized("patient", 3, 1)
		f.c.Assert(w0.got(f.dispatched()), qt.HasLen, 2)
		w1 := f.linkLeased("w1", 32)
		w1.stall()
		for range 100 {
			f.advance(tick)
			w0.clock += tick
			w0.send(msg.Heartbeat{Report: w0.report()})
			w1.clock += tick
			w1.stall()
		}
		stops, _ := f.stopped()
		f.c.Check(stops, qt.HasLen, 0, qt.Commentf("learning %v", learn))
	}
}
