package entry_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	ordinaryRun = 100 * time.Millisecond
	slowRun     = 800 * time.Millisecond
)

// slowdownFixture has four workers, the first of which takes eight times as long as the
// others.
type slowdownFixture struct {
	*fixture
	workers map[entry.LinkID]*leasedWorker
	slow    *leasedWorker
}

func newSlowdownFixture(t *testing.T) *slowdownFixture {
	f := &slowdownFixture{fixture: leasedFixture(t), workers: make(map[entry.LinkID]*leasedWorker)}
	for _, name := range []string{"w1", "w2", "w3", "w4"} {
		w := f.linkLeased(name, 32)
		f.workers[w.link] = w
	}
	f.slow = f.workers[f.link-3]
	return f
}

// runJob runs a job with one task for each worker to its end and returns the number of
// tasks that the slow worker got.
func (f *slowdownFixture) runJob() int {
	f.submitSized("patient", 3, 4)
	atSlow := 0
	for link, dispatches := range f.dispatched() {
		w := f.workers[link]
		for _, d := range dispatches {
			took := ordinaryRun
			if w == f.slow {
				took = slowRun
				atSlow++
			}
			w.covers = max(w.covers, d.Seq)
			w.send(msg.Result{Attempt: d.Attempt, Kind: msg.ResultOK, RunTime: took, Report: w.report()})
		}
	}
	f.out = nil
	return atSlow
}

// Guards against jobs that are still placed at a worker that has become slow, and against
// a worker that is never used again after it has recovered.
func TestSlowWorkerGetsTrialTasksOnly(t *testing.T) {
	f := newSlowdownFixture(t)
	for range 4 {
		f.runJob()
	}
	after := 0
	for range 10 {
		after += f.runJob()
	}
	f.c.Check(after, qt.Equals, 0)
	slow := f.slow
	f.slow = nil
	f.now = f.now.Add(4 * time.Second)
	f.submitSized("patient", 3, 39)
	dispatches := f.dispatched()
	f.c.Check(dispatches[slow.link], qt.HasLen, 1)
	for len(dispatches) > 0 {
		for link, ds := range dispatches {
			f.finish(link, ds)
		}
		dispatches = f.dispatched()
	}
	f.submitSized("patient", 3, 39)
	f.c.Check(len(f.dispatched()[slow.link]) > 1, qt.IsTrue)
}

// finish ends dispatched tasks after an ordinary run time.
func (f *slowdownFixture) finish(link entry.LinkID, dispatches []msg.Dispatch) {
	w := f.workers[link]
	for _, d := range dispatches {
		w.covers = max(w.covers, d.Seq)
		w.send(msg.Result{Attempt: d.Attempt, Kind: msg.ResultOK, RunTime: ordinaryRun, Report: w.report()})
	}
}

// Guards against a job that waits for a task that makes no progress at a slow worker while
// others are free.
func TestOverdueTaskStartsElsewhere(t *testing.T) {
	f := newSlowdownFixture(t)
	f.submitSized("patient", 3, 4)
	dispatches := f.dispatched()
	f.c.Assert(dispatches[f.slow.link], qt.HasLen, 1)
	stuck := dispatches[f.slow.link][0]
	delete(dispatches, f.slow.link)
	for link, ds := range dispatches {
		f.finish(link, ds)
	}
	f.advance(300 * time.Millisecond)
	stopped := false
	for _, r := range take[msg.Revoke](f.fixture) {
		stopped = stopped || r.Stop
	}
	f.c.Assert(stopped, qt.IsTrue)
	f.slow.end(stuck, msg.ResultAborted)
	again := f.dispatched()
	f.c.Check(again[f.slow.link], qt.HasLen, 0)
	f.c.Check(again, qt.HasLen, 1)
}

// Guards against a task that is stopped after 60 ms as overdue, and a worker that counts as
// hanging, because a multiple of the declared run time overflows.
func TestLongestDeclaredRunTimeIsNotOverdue(t *testing.T) {
	f := newSlowdownFixture(t)
	for id := range uint64(12) {
		f.step(entry.Submit{Job: entry.Job{
			ID: 100 + id, Service: "s", JobType: "patient", Account: "a", Deadline: f.now.Add(time.Minute),
			Tasks: []entry.Task{{DeclaredSize: msg.Size{Cores: 3}, DeclaredRunTime: math.MaxInt64}},
		}})
	}
	f.c.Assert(f.dispatched(), qt.HasLen, 4)
	f.advance(300 * time.Millisecond)
	for _, out := range f.out {
		_, judged := out.(entry.WorkerJudged)
		f.c.Check(judged, qt.IsFalse)
	}
	f.c.Check(take[msg.Revoke](f.fixture), qt.HasLen, 0)
}

// Plays a worker that hangs with tasks of several jobs of one task each, so that no job
// has other tasks to compare with: all of them, the first as well, have to start elsewhere
// soon after a few times their declared run time (100 ms).
func TestTasksLeaveAHangingWorker(t *testing.T) {
	f := newSlowdownFixture(t)
	stuck := make(map[msg.AttemptID]bool)
	for range 12 {
		f.submitSized("patient", 3, 1)
	}
	for link, ds := range f.dispatched() {
		if link != f.slow.link {
			f.finish(link, ds)
			continue
		}
		for _, d := range ds {
			stuck[d.Attempt] = true
		}
	}
	f.c.Assert(len(stuck) >= 2, qt.IsTrue, qt.Commentf("%d tasks", len(stuck)))
	for range 20 {
		f.advance(tick)
		for _, w := range f.workers {
			w.clock += tick
			w.send(msg.Heartbeat{Report: w.report()})
		}
	}
	for _, r := range take[msg.Revoke](f.fixture) {
		for _, ref := range r.Attempts {
			if r.Stop {
				delete(stuck, ref.Attempt)
			}
		}
	}
	f.c.Check(stuck, qt.HasLen, 0)
}

// Guards against a worker that is used like the others again because a task ends there
// that had started before the worker became slow.
func TestRunFromBeforeDoesNotEndSlowness(t *testing.T) {
	f := newSlowdownFixture(t)
	f.submitSized("patient", 3, 4)
	before := f.dispatched()
	f.c.Assert(before[f.slow.link], qt.HasLen, 1)
	f.now = f.now.Add(time.Millisecond)
	for range 4 {
		f.runJob()
	}
	for link, ds := range before {
		f.finish(link, ds)
	}
	f.submitSized("patient", 3, 12)
	f.c.Check(f.dispatched()[f.slow.link], qt.HasLen, 0)
}
