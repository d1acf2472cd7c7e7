package entryd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// FrontDoor submits jobs for an adapter, which serves callers over another protocol. It
// is safe for concurrent use.
type FrontDoor struct{ daemon *Daemon }

// FrontDoor returns the interface for adapters.
func (d *Daemon) FrontDoor() *FrontDoor { return &FrontDoor{daemon: d} }

// Attach adds the server of an adapter. Run serves it and, when the entry stops, shuts
// it down once its requests are answered. Call Attach before Run.
func (d *Daemon) Attach(s *httpserver.Server) {
	s.WatchPauses(d.loop.pauses)
	d.adapterServers = append(d.adapterServers, s)
}

// firstPolicyTimeout bounds how long after the start a request waits for the first
// policy. The store answers within milliseconds, while refused callers come back only
// after a second.
const firstPolicyTimeout = 500 * time.Millisecond

// Route returns the route of a request by its Host header and its path, and with it the job
// type. known is false while there is no policy. Soon after the start, Route waits for the
// first one.
func (f *FrontDoor) Route(ctx context.Context, host, path string) (route entry.Route, known, found bool) {
	f.waitForFirstPolicy(ctx)
	router := f.daemon.router.Load()
	if router == nil {
		return entry.Route{}, false, false
	}
	route, found = router.Find(host, path)
	return route, true, found
}

func (f *FrontDoor) waitForFirstPolicy(ctx context.Context) {
	remaining := firstPolicyTimeout - time.Since(f.daemon.startTime)
	if f.daemon.router.Load() != nil || remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-f.daemon.policyKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Submit runs a job and returns its answer. If a job of the same name is in progress,
// Submit waits for its end and returns its answer if that is complete or the job was
// cancelled by its name; otherwise it runs the new job. When ctx ends, what has not ended
// is stopped.
func (f *FrontDoor) Submit(ctx context.Context, name string, job entry.Job) entry.Answer {
	arrived := time.Now()
	answer := f.daemon.jobs.submitNamed(ctx, jobName{job.Account, name}, job)
	if answer.Outcome != entry.Complete {
		f.daemon.counts.add(answer.Reason)
		logJobNotDone(f.daemon.log, name, job, answer, time.Since(arrived))
	}
	return answer
}

// Cancel cancels a job in progress at any entry. For ten seconds a job that comes with the
// name does not run. It takes at most half a second, and no time if this entry has the job.
func (f *FrontDoor) Cancel(account, name string) verdict.CancelOutcome {
	outcome, _ := f.daemon.cancelJob(jobName{account, name}, true)
	return outcome
}

// Pending returns the number of jobs of a type of which no task was dispatched.
func (f *FrontDoor) Pending(service, jobType string) int {
	pending := 0
	_ = f.daemon.loop.call(context.Background(), func(time.Time) {
		pending = f.daemon.loop.core.Untouched(service, jobType)
	})
	return pending
}

// submitNamed runs a job. While another job has its name, it first waits for that job,
// and returns that job's answer if it is complete or was cancelled by its name.
func (r *runner) submitNamed(ctx context.Context, name jobName, job entry.Job) entry.Answer {
	job.ID = r.lastJobID.Add(1)
	for {
		earlier, cancelled := r.names.reserveUnique(clock.Now(), name, job.ID)
		if cancelled {
			return cancelledBeforeSubmit()
		}
		if earlier == nil {
			break
		}
		if answer, final := earlier.await(ctx); final {
			return answer
		}
	}
	answer := r.submit(ctx, name, job, nil)
	r.names.finish(name, answer)
	return answer
}

// await waits for the job's end and reports whether its answer is also that of a later
// request with its name.
func (j *namedJob) await(ctx context.Context) (answer entry.Answer, final bool) {
	select {
	case <-j.done:
		return j.answer, j.answer.Outcome == entry.Complete || j.cancelled
	case <-ctx.Done():
		return cancelledBeforeSubmit(), true
	}
}

// cancelledBeforeSubmit is the answer to a job whose caller left or cancelled it before the
// core received it.
func cancelledBeforeSubmit() entry.Answer {
	return entry.Answer{Outcome: entry.Failed, Verdict: verdict.NotRun, Reason: verdict.Cancelled, Message: "the caller left or cancelled the job before it was taken"}
}

// logJobNotDone logs why a job was refused or failed.
func logJobNotDone(log *zap.Logger, name string, job entry.Job, a entry.Answer, waited time.Duration) {
	logevent.JobNotDone.Log(log, zap.String("job", name), zap.String("service", job.Service), zap.String("job_type", job.JobType),
		zap.Int("tasks", len(job.Tasks)), zap.Stringer("reason", a.Reason), zap.Stringer("verdict", a.Verdict), zap.String("message", a.Message),
		zap.Int64("waited_ms", waited.Milliseconds()), zap.Int64("retry_after_ms", a.RetryAfter.Milliseconds()))
}
