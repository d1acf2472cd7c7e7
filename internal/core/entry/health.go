package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// failedJobsLimit is the number of jobs in a row that a worker may fail
	// before it is set aside. One failure is common and may be the job's fault.
	failedJobsLimit = 2
	// minQuarantine and maxQuarantine bound how long a worker that was set aside
	// waits for its next trial task. Each failed trial doubles the time.
	minQuarantine = 5 * time.Second
	maxQuarantine = 5 * time.Minute
	// quarantineDivisor bounds the workers that may be set aside to this part of a
	// service's workers in one failure domain. When more of them fail, the cause
	// is probably not the workers.
	quarantineDivisor = 3
	// minFailedWorkers is the number of workers on which a job type has to fail,
	// without a success in between, before its failures say nothing about workers.
	minFailedWorkers = 3
)

// health is the evidence against one worker.
type health struct {
	failedJobs  int
	quarantined bool
	trialAt     time.Time
	backoff     time.Duration
}

// jobTypeKey names a job type of a service.
type jobTypeKey struct{ service, jobType string }

// jobTypeHealth is the evidence against one job type: the workers on which it
// failed since its last success.
type jobTypeHealth struct{ failedOn map[string]struct{} }

// eligible tells whether the worker may get a task: a worker that was set aside
// takes one trial task at a time.
func (w *worker) eligible(now time.Time) bool {
	return !w.health.quarantined || len(w.outstanding) == 0 && !now.Before(w.health.trialAt)
}

// recordOutcome gathers evidence from a result. A job type that fails on several
// workers in a row is taken for the cause, and the workers that it set aside
// are used again.
func (c *Core) recordOutcome(j *job, w *worker, r msg.Result) {
	key := jobTypeKey{j.spec.Service, j.spec.JobType}
	if r.Kind == msg.ResultOK {
		delete(c.jobTypes, key)
		return
	}
	evidence := c.jobTypes[key]
	if evidence == nil {
		evidence = &jobTypeHealth{failedOn: make(map[string]struct{})}
		c.jobTypes[key] = evidence
	}
	if evidence.suspect() {
		return
	}
	evidence.failedOn[w.name] = struct{}{}
	if evidence.suspect() {
		c.readmit(evidence)
	}
}

func (e *jobTypeHealth) suspect() bool { return len(e.failedOn) >= minFailedWorkers }

// readmit ends the probation of the workers on which the job type failed.
func (c *Core) readmit(evidence *jobTypeHealth) {
	for name := range evidence.failedOn {
		if w := c.workers.byName[name]; w != nil {
			w.health = health{failedJobs: w.health.failedJobs}
		}
	}
}

// updateHealth applies an agent's count of failed jobs in a row, which covers
// the jobs of all entries.
func (c *Core) updateHealth(now time.Time, w *worker) {
	before := w.health.failedJobs
	w.health.failedJobs = w.failedJobs
	switch {
	case w.failedJobs == 0:
		w.health = health{}
	case w.failedJobs <= before || w.failedJobs < failedJobsLimit || c.jobTypeSuspect(w.hello.Service):
	case w.health.quarantined || c.mayQuarantine(w):
		w.health.quarantined = true
		w.health.backoff = min(max(2*w.health.backoff, minQuarantine), maxQuarantine)
		w.health.trialAt = now.Add(w.health.backoff)
	}
}

// jobTypeSuspect tells whether some job type of the service fails everywhere.
func (c *Core) jobTypeSuspect(service string) bool {
	for key, evidence := range c.jobTypes {
		if key.service == service && evidence.suspect() {
			return true
		}
	}
	return false
}

// mayQuarantine keeps enough workers of the failure domain in use.
func (c *Core) mayQuarantine(candidate *worker) bool {
	total, aside := 0, 0
	for _, w := range c.workers.list {
		if w.hello.Service != candidate.hello.Service || w.hello.FailureDomain != candidate.hello.FailureDomain {
			continue
		}
		total++
		if w.health.quarantined {
			aside++
		}
	}
	return aside < max(1, total/quarantineDivisor)
}
