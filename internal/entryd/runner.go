package entryd

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// runner submits jobs to the core and waits for their answers.
type runner struct {
	loop       *loop
	lastJobID  atomic.Uint64
	names      *jobNames
	jobTimeout time.Duration
}

// run submits the job and waits for the core's answer. When ctx ends or report fails,
// it cancels what has not started and still waits for the answer, because only that
// tells what ran. report may be nil.
func (r *runner) run(ctx context.Context, req *pb.SubmitRequest, report func(entry.Progress) error) entry.Answer {
	job, refusal := r.decode(req)
	if refusal != nil {
		return *refusal
	}
	job.ID = r.lastJobID.Add(1)
	name := jobName{req.GetAccount(), req.GetJobId()}
	if r.names.reserve(name, job.ID) != nil {
		return refuse(verdict.DuplicateJob, "a job with this id is in progress")
	}
	answer := r.submit(ctx, name, job, report)
	r.names.finish(name, answer)
	return answer
}

// decode converts a request into a job whose deadline is on the core's clock.
func (r *runner) decode(req *pb.SubmitRequest) (entry.Job, *entry.Answer) {
	job, refusal := decodeJob(req, time.Now(), r.jobTimeout)
	if refusal == nil {
		job.Deadline = clock.Now().Add(time.Until(job.Deadline))
	}
	return job, refusal
}

// submit passes the job to the core and waits for its answer. A job is not started for a
// caller that has gone, nor if it may have been sent before the end of a pause of this
// process: its caller may have sent it elsewhere meanwhile.
func (r *runner) submit(ctx context.Context, name jobName, job entry.Job, report func(entry.Progress) error) entry.Answer {
	job.ReceivedAt = clock.Now()
	connection := httpserver.ConnectionOf(ctx)
	if connection.Closed() {
		return cancelledBeforeSubmit()
	}
	w := &waiter{name: name.id, submittedAt: time.Now(), answer: make(chan entry.Answer, 1)}
	if report != nil {
		w.progress = make(chan entry.Progress, 1)
		job.Progress = true
	}
	var received atomic.Bool
	r.loop.post(func(now time.Time) {
		received.Store(true)
		r.loop.load.submitted(now, job)
		if r.names.isCancelled(name) {
			// The core dropped the cancel, since it came before the job.
			w.answer <- cancelledBeforeSubmit()
			return
		}
		if connection.Outdated() {
			logevent.OutdatedRequest.Log(r.loop.log, zap.String("job", name.id))
			w.answer <- outdatedRequest()
			return
		}
		r.loop.waiters[job.ID] = w
		r.loop.core.Step(now, entry.Submit{Job: job})
	})
	return r.wait(ctx, job.ID, w, &received, report)
}

// outdatedRequest is the answer to a request whose connection is older than the latest pause.
func outdatedRequest() entry.Answer {
	return refuse(verdict.EntryPaused, "the entry was paused after the connection was opened; the request may be older than it looks")
}

func (r *runner) wait(ctx context.Context, id uint64, w *waiter, received *atomic.Bool, report func(entry.Progress) error) entry.Answer {
	callerGone := ctx.Done()
	for {
		select {
		case p := <-w.progress:
			if callerGone != nil && report(p) != nil {
				callerGone = nil
				r.loop.step(entry.Cancel{Job: id})
			}
		case answer := <-w.answer:
			return answer
		case <-callerGone:
			callerGone = nil
			r.loop.step(entry.Cancel{Job: id})
		case <-r.loop.stopped:
			return answerAfterStop(w, received.Load())
		}
	}
}

// answerAfterStop returns a job's answer after the core has stopped. A job that the
// core never received did not run.
func answerAfterStop(w *waiter, received bool) entry.Answer {
	select {
	case answer := <-w.answer:
		return answer
	default:
	}
	if !received {
		return refuse(verdict.Draining, "the entry has stopped")
	}
	return entry.Answer{Outcome: entry.Failed, Verdict: verdict.MayHaveRun, Reason: verdict.Stopped, Message: "the entry has stopped"}
}

// cancel cancels the tasks of a named job that have not started. It reports whether the
// job was found.
func (r *runner) cancel(name jobName) bool {
	id, found := r.names.cancel(name)
	return found && r.loop.step(entry.Cancel{Job: id})
}

// cancelNamed is like cancel. If the name is never used for another job, a job that comes
// with it later does not run, and a repeated cancel finds the job that the first one found.
func (r *runner) cancelNamed(name jobName, uniqueName bool) bool {
	if !uniqueName {
		return r.cancel(name)
	}
	id, inProgress, cancelledBefore := r.names.cancelUnique(clock.Now(), name)
	if inProgress {
		return r.loop.step(entry.Cancel{Job: id})
	}
	return cancelledBefore
}
