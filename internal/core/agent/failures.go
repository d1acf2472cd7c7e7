package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// broadcastFailures is the number of failed jobs in a row at which the agent
// tells every entry, so that not each of them loses jobs to find out.
const broadcastFailures = 2

// failedJobs counts the jobs in a row whose tasks failed at the endpoint. All
// failed tasks of one job count once, since the job may be the cause.
type failedJobs struct {
	count int
	entry msg.Incarnation
	job   uint64
}

// add applies a result and reports whether one more job has failed.
func (f *failedJobs) add(r msg.Result) bool {
	if r.Kind == msg.ResultOK {
		*f = failedJobs{}
		return false
	}
	if f.count > 0 && f.entry == r.Attempt.Entry && f.job == r.Attempt.Job {
		return false
	}
	*f = failedJobs{count: f.count + 1, entry: r.Attempt.Entry, job: r.Attempt.Job}
	return true
}

// recordOutcome counts failed jobs and sends a heartbeat to every entry when the
// count reaches broadcastFailures.
func (c *Core) recordOutcome(now time.Time, r msg.Result) {
	if r.Kind == msg.ResultNotReached || !c.failed.add(r) || c.failed.count != broadcastFailures {
		return
	}
	for _, e := range c.entries.linked {
		c.send(now, e, msg.Heartbeat{Report: c.report(e), Revision: c.revision})
	}
}
