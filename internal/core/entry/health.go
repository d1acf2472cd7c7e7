package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// failedJobsLimit is the number of consecutive failed jobs after which a worker is
	// quarantined. One failure is common and may be the job's fault.
	failedJobsLimit = 2
	// minQuarantine and maxQuarantine bound how long a quarantined worker waits for its
	// next trial task. Each failed trial doubles the time.
	minQuarantine = 5 * time.Second
	maxQuarantine = 5 * time.Minute
	// quarantineDivisor limits quarantine to one in this many of a service's workers in
	// one failure domain. When more of them fail, the cause is probably not the workers.
	quarantineDivisor = 3
	// minFailedWorkers is the number of workers on which a job type has to fail, without a
	// success in between, before its failures no longer count against workers.
	minFailedWorkers = 3
)

// health is the failure record of one worker.
type health struct {
	failedJobs  int
	quarantined bool
	trialAt     time.Time
	backoff     time.Duration
}

// jobTypeKey identifies a job type of a service.
type jobTypeKey struct{ service, jobType string }

// jobTypeHealth is the failure record of one job type: the workers on which it failed
// since its last success.
type jobTypeHealth struct{ failedOn map[string]struct{} }

// eligible reports whether the worker may get a task. A quarantined worker takes one trial
// task at a time.
func (w *worker) eligible(now time.Time) bool {
	return !w.health.quarantined || len(w.outstanding) == 0 && !now.Before(w.health.trialAt)
}

// recordOutcome records a result for its job type. When the job type has failed on several
// workers in a row, it is taken for the cause, and the workers that were quarantined for
// it are readmitted.
func (c *Core) recordOutcome(j *job, w *worker, r msg.Result) {
	key := jobTypeKey{j.spec.Service, j.spec.JobType}
	if r.Kind == msg.ResultOK {
		delete(c.jobTypes, key)
		return
	}
	record := c.jobTypes[key]
	if record == nil {
		record = &jobTypeHealth{failedOn: make(map[string]struct{})}
		c.jobTypes[key] = record
	}
	if record.suspect() {
		return
	}
	record.failedOn[w.name] = struct{}{}
	if record.suspect() {
		c.readmit(record)
	}
}

func (h *jobTypeHealth) suspect() bool { return len(h.failedOn) >= minFailedWorkers }

// readmit ends the quarantine of the workers on which the job type failed.
func (c *Core) readmit(record *jobTypeHealth) {
	for name := range record.failedOn {
		if w := c.workers.byName[name]; w != nil {
			w.health = health{failedJobs: w.health.failedJobs}
		}
	}
}

// updateHealth applies an agent's count of consecutive failed jobs, which covers the jobs
// of all entries.
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

// jobTypeSuspect reports whether some job type of the service fails on several workers in
// a row.
func (c *Core) jobTypeSuspect(service string) bool {
	for key, record := range c.jobTypes {
		if key.service == service && record.suspect() {
			return true
		}
	}
	return false
}

// mayQuarantine reports whether enough workers of the failure domain stay in use when the
// candidate is quarantined.
func (c *Core) mayQuarantine(candidate *worker) bool {
	total, quarantined := 0, 0
	for _, w := range c.workers.list {
		if w.hello.Service != candidate.hello.Service || w.hello.FailureDomain != candidate.hello.FailureDomain {
			continue
		}
		total++
		if w.health.quarantined {
			quarantined++
		}
	}
	return quarantined < max(1, total/quarantineDivisor)
}
