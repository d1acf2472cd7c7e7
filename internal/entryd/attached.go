package entryd

import (
	"context"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// serveAttached serves the adapters' servers until they are shut down.
func (d *Daemon) serveAttached(failed chan<- error) {
	for _, s := range d.attached {
		go func() {
			if err := s.Serve(); err != nil {
				failed <- err
			}
		}()
	}
}

// closeAttached waits until the adapters' requests have their answers.
func (d *Daemon) closeAttached() error {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	var first error
	for _, s := range d.attached {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
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
