package entryd

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// runner gives jobs to the core and waits for their answers.
type runner struct {
	loop       *loop
	last       atomic.Uint64
	names      *jobNames
	jobTimeout time.Duration
}

// run submits the job and waits for the core's answer. When ctx ends or the
// progress cannot be reported, it cancels what has not started and still waits
// for the answer, which is the truth about what ran. report may be nil.
func (r *runner) run(ctx context.Context, req *pb.SubmitRequest, report func(entry.Progress) error) entry.Answer {
	job, refusal := decodeJob(req, time.Now(), r.jobTimeout)
	if refusal != nil {
		return *refusal
	}
	job.Deadline = clock.Now().Add(time.Until(job.Deadline))
	job.ID = r.last.Add(1)
	name := jobName{req.GetAccount(), req.GetJobId()}
	if r.names.claim(name, job.ID) != nil {
		return refuse(verdict.DuplicateJob, "a job with this id is in progress")
	}
	answer := r.give(ctx, job, report)
	r.names.end(name, answer)
	return answer
}

// give hands the job to the core and waits for its answer.
func (r *runner) give(ctx context.Context, job entry.Job, report func(entry.Progress) error) entry.Answer {
	w := &waiter{submitted: time.Now(), answer: make(chan entry.Answer, 1)}
	if report != nil {
		w.progress = make(chan entry.Progress, 1)
		job.Progress = true
	}
	var given atomic.Bool
	r.loop.post(func(now time.Time) {
		given.Store(true)
		r.loop.waiters[job.ID] = w
		r.loop.core.Step(now, entry.Submit{Job: job})
	})
	return r.wait(ctx, job.ID, w, &given, report)
}

func (r *runner) wait(ctx context.Context, id uint64, w *waiter, given *atomic.Bool, report func(entry.Progress) error) entry.Answer {
	gone := ctx.Done()
	for {
		select {
		case p := <-w.progress:
			if gone != nil && report(p) != nil {
				gone = nil
				r.loop.step(entry.Cancel{Job: id})
			}
		case answer := <-w.answer:
			return answer
		case <-gone:
			gone = nil
			r.loop.step(entry.Cancel{Job: id})
		case <-r.loop.stopped:
			return answerAfterStop(w, given.Load())
		}
	}
}

// answerAfterStop returns what the stopped core left for a job. A job that the
// core never got did not run.
func answerAfterStop(w *waiter, given bool) entry.Answer {
	select {
	case answer := <-w.answer:
		return answer
	default:
	}
	if !given {
		return refuse(verdict.Draining, "the entry has stopped")
	}
	return entry.Answer{Outcome: entry.Failed, Verdict: verdict.MayHaveRun, Reason: verdict.Stopped, Message: "the entry has stopped"}
}

// cancel stops the tasks of a named job that have not started.
func (r *runner) cancel(name jobName) bool {
	id, found := r.names.find(name)
	return found && r.loop.step(entry.Cancel{Job: id})
}
