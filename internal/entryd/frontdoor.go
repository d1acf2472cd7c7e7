package entryd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// FrontDoor gives jobs to the entry for an adapter that serves callers by another
// protocol. It is safe for concurrent use.
type FrontDoor struct{ daemon *Daemon }

// FrontDoor returns the door for adapters.
func (d *Daemon) FrontDoor() *FrontDoor { return &FrontDoor{daemon: d} }

// Attach adds a server of an adapter. It serves while the entry runs and ends
// when its requests have their answers. Call it before Run.
func (d *Daemon) Attach(s *httpserver.Server) { d.adapterServers = append(d.adapterServers, s) }

// firstPolicyWait bounds the wait for the first policy after the start. The store
// answers within milliseconds; callers that are refused meanwhile would come back
// only after a second.
const firstPolicyWait = 500 * time.Millisecond

// Route returns the job type that a request belongs to. The second result is
// false while no policy is known. Soon after the start it waits for the first one.
func (f *FrontDoor) Route(ctx context.Context, host, path string) (route entry.Route, known, found bool) {
	f.awaitPolicy(ctx)
	p := f.daemon.policy.Load()
	if p == nil {
		return entry.Route{}, false, false
	}
	route, found = p.Route(host, path)
	return route, true, found
}

func (f *FrontDoor) awaitPolicy(ctx context.Context) {
	rest := firstPolicyWait - time.Since(f.daemon.startTime)
	if f.daemon.policy.Load() != nil || rest <= 0 {
		return
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-f.daemon.policyKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Submit runs a job and returns its answer. A job whose name is that of a job in
// progress waits for the end of that one, and takes over its answer when that is
// complete. When ctx ends, what has not ended is stopped.
func (f *FrontDoor) Submit(ctx context.Context, name string, job entry.Job) entry.Answer {
	answer := f.daemon.jobs.submitNamed(ctx, jobName{job.Account, name}, job)
	if answer.Outcome != entry.Complete {
		f.daemon.counts.add(answer.Reason)
		logRefusal(f.daemon.log, name, job, answer)
	}
	return answer
}

// Cancel ends a job in progress and tells whether there was one.
func (f *FrontDoor) Cancel(account, name string) bool {
	return f.daemon.jobs.cancel(jobName{account, name})
}

// Pending returns the number of jobs of a type of which no task was started.
func (f *FrontDoor) Pending(service, jobType string) int {
	pending := 0
	_ = f.daemon.loop.call(context.Background(), func(time.Time) {
		pending = f.daemon.loop.core.Untouched(service, jobType)
	})
	return pending
}

// submitNamed runs a job unless one of the same name has completed meanwhile.
func (r *runner) submitNamed(ctx context.Context, name jobName, job entry.Job) entry.Answer {
	job.ID = r.last.Add(1)
	for {
		earlier := r.names.claim(name, job.ID)
		if earlier == nil {
			break
		}
		select {
		case <-earlier.done:
			if earlier.answer.Outcome == entry.Complete {
				return earlier.answer
			}
		case <-ctx.Done():
			return cancelledUnsent()
		}
	}
	answer := r.give(ctx, job, nil)
	r.names.end(name, answer)
	return answer
}

// cancelledUnsent answers a job whose caller left before the core had it.
func cancelledUnsent() entry.Answer {
	return entry.Answer{Outcome: entry.Failed, Verdict: verdict.NotRun, Reason: verdict.Cancelled, Message: "the caller left"}
}

// logRefusal writes the line that explains a job which was refused or failed.
func logRefusal(log *zap.Logger, name string, job entry.Job, a entry.Answer) {
	logevent.JobNotDone.Log(log, zap.String("job", name), zap.String("service", job.Service), zap.String("job_type", job.JobType),
		zap.Int("tasks", len(job.Tasks)), zap.Stringer("reason", a.Reason), zap.Stringer("verdict", a.Verdict), zap.String("message", a.Message))
}
