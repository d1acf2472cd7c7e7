package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// submitSteps submits a job of two steps of two tasks each, one after the other.
func (f *fixture) submitSteps(jobType string, timeout time.Duration) uint64 {
	f.jobs++
	j := entry.Job{
		ID: f.jobs, Service: "s", JobType: jobType, Account: "a", Deadline: f.now.Add(timeout),
		Steps: []entry.Step{{}, {After: []int{0}}},
	}
	for i := range 4 {
		j.Tasks = append(j.Tasks, entry.Task{Step: i / 2, DeclaredSize: msg.Size{Cores: 1}, DeclaredRunTime: time.Second})
	}
	f.step(entry.Submit{Job: j})
	return f.jobs
}

// dispatchesAndAnswers returns the number of dispatches and the answers since outputs were
// last taken.
func (f *fixture) dispatchesAndAnswers() (dispatches int, answers []entry.Answer) {
	for _, o := range f.out {
		switch o := o.(type) {
		case entry.Send:
			if _, ok := o.Message.(msg.Dispatch); ok {
				dispatches++
			}
		case entry.Answered:
			answers = append(answers, o.Answer)
		}
	}
	f.out = nil
	return dispatches, answers
}

// endings are the ways in which a job can end while the two tasks of its first step are
// outstanding. Each decides the fate of the first task as well.
var endings = []struct {
	name    string
	jobType string
	end     func(f *fixture, w *leasedWorker, job uint64, first msg.Dispatch)
	reason  verdict.Reason
}{
	{"cancelled", "patient", func(f *fixture, w *leasedWorker, job uint64, first msg.Dispatch) {
		w.end(first, msg.ResultOK)
		f.step(entry.Cancel{Job: job})
	}, verdict.Cancelled},
	{"the deadline passed", "once", func(f *fixture, w *leasedWorker, _ uint64, first msg.Dispatch) {
		w.end(first, msg.ResultOK)
		f.advance(deadlineOfSteps + tick)
	}, verdict.DeadlineExceeded},
	{"a task failed", "once", func(_ *fixture, w *leasedWorker, _ uint64, first msg.Dispatch) {
		w.end(first, msg.ResultEndpointError)
	}, verdict.EndpointError},
	{"a task got no whole answer", "once", func(_ *fixture, w *leasedWorker, _ uint64, first msg.Dispatch) {
		w.end(first, msg.ResultEndpointFailed)
	}, verdict.EndpointFailed},
	{"a task was lost", "once", func(_ *fixture, w *leasedWorker, _ uint64, first msg.Dispatch) {
		w.send(msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: first.Attempt, State: msg.Forgotten}}})
	}, verdict.WorkerLost},
	{"a task was aborted", "once", func(_ *fixture, w *leasedWorker, _ uint64, first msg.Dispatch) {
		w.end(first, msg.ResultAborted)
	}, verdict.WorkerLost},
}

const deadlineOfSteps = time.Second

// lateVerdicts are what may become known of the second task after its job's end is decided.
var lateVerdicts = []struct {
	name string
	send func(w *leasedWorker, d msg.Dispatch)
}{
	{"completed", func(w *leasedWorker, d msg.Dispatch) { w.end(d, msg.ResultOK) }},
	{"aborted", func(w *leasedWorker, d msg.Dispatch) { w.end(d, msg.ResultAborted) }},
	{"failed", func(w *leasedWorker, d msg.Dispatch) { w.end(d, msg.ResultEndpointError) }},
	{"got no whole answer", func(w *leasedWorker, d msg.Dispatch) { w.end(d, msg.ResultEndpointFailed) }},
	{"not reached", func(w *leasedWorker, d msg.Dispatch) { w.end(d, msg.ResultNotReached) }},
	{"refused", func(w *leasedWorker, d msg.Dispatch) {
		w.send(msg.Refused{Attempt: d.Attempt, Reason: verdict.NoSlot, Report: w.report()})
	}},
	{"never starts", func(w *leasedWorker, d msg.Dispatch) {
		w.send(msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: d.Attempt, State: msg.NeverStarts}}})
	}},
	{"forgotten", func(w *leasedWorker, d msg.Dispatch) {
		w.send(msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: d.Attempt, State: msg.Forgotten}}})
	}},
	{"released", func(w *leasedWorker, d msg.Dispatch) {
		w.f.step(entry.LinkDown{Link: w.link})
		w.f.advance(releaseAfter + tick)
		w.connect(true)
	}},
}

// Guards against a job that goes on after its end was decided: a task of it that completes
// before its stop takes effect was the last of its step, and the tasks of the next step start
// while the caller has sent the job to another entry.
func TestNothingOfAJobStartsAfterItsEnd(t *testing.T) {
	for _, ending := range endings {
		for _, late := range lateVerdicts {
			t.Run(ending.name+", then "+late.name, func(t *testing.T) {
				f := leasedFixture(t)
				w := f.linkLeased("w1", 4)
				job := f.submitSteps(ending.jobType, deadlineOfSteps)
				sent := f.dispatched()[w.link]
				f.c.Assert(sent, qt.HasLen, 2)
				ending.end(f, w, job, sent[0])
				late.send(w, sent[1])
				f.advance(3 * time.Second)
				dispatches, answers := f.dispatchesAndAnswers()
				f.c.Check(dispatches, qt.Equals, 0, qt.Commentf("tasks are dispatched after the end of their job"))
				f.c.Check(f.core.Snapshot().QueuedTasks, qt.Equals, 0)
				f.c.Check(f.core.Jobs(), qt.Equals, 0)
				f.c.Assert(answers, qt.HasLen, 1)
				f.c.Check(answers[0].Reason, qt.Equals, ending.reason)
			})
		}
	}
}
