package agent

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Each entry sees a part of a worker's outcomes. The agent counts those of all entries, so
// that not each of them loses jobs to find a worker that fails.

const (
	// broadcastFailures is the number of further failed jobs at which the agent sends its
	// counts to every entry.
	broadcastFailures = 2
	// maxFailedJobs is the number of failed jobs remembered. The tasks of a job fail close
	// together.
	maxFailedJobs = 16
)

// jobID identifies a job of an entry.
type jobID struct {
	entry msg.Incarnation
	job   uint64
}

// outcomeCounter counts the tasks that have ended at the endpoint. All failed tasks of one
// job count once, since the job may be the cause.
type outcomeCounter struct {
	total health.Outcomes
	// failedJobs are the latest failed jobs, oldest first.
	failedJobs []jobID
	// broadcast is total.Failed as last sent to every entry.
	broadcast uint64
}

// add applies a result.
func (o *outcomeCounter) add(r msg.Result) {
	if r.Kind == msg.ResultOK {
		o.total.Ended++
		return
	}
	job := jobID{r.Attempt.Entry, r.Attempt.Job}
	if slices.Contains(o.failedJobs, job) {
		return
	}
	if len(o.failedJobs) >= maxFailedJobs {
		o.failedJobs = slices.Delete(o.failedJobs, 0, 1)
	}
	o.failedJobs = append(o.failedJobs, job)
	o.total.Ended++
	o.total.Failed++
}

// recordOutcome counts a result, and sends a heartbeat to every entry after
// broadcastFailures further failed jobs.
func (c *Core) recordOutcome(now time.Time, r msg.Result) {
	if r.Kind == msg.ResultNotReached || r.Kind == msg.ResultAborted {
		return
	}
	c.outcomes.add(r)
	if c.outcomes.total.Failed-c.outcomes.broadcast < broadcastFailures {
		return
	}
	c.outcomes.broadcast = c.outcomes.total.Failed
	for _, e := range c.entries.linked {
		c.send(now, e, msg.Heartbeat{Report: c.report(e), Revision: c.revision})
	}
}
