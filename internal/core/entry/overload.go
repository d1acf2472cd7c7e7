package entry

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/objective"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Callers want the answer within a time that grows with the run time of the longest task.
// A job that has not started by the time at which it could still be answered within it is
// refused, so that the capacity goes to jobs that can.

// sized reports whether the job's tasks take room of leased workers, so that one may fit
// where another does not.
func (j *job) sized() bool { return j.spec.Tasks[0].DeclaredSize != (msg.Size{}) }

// urgentReserve is the part of a service's cores that is reserved for its most urgent job
// types. Their jobs have the least time to wait, and a single burst of other jobs would
// take every core that becomes free before them.
const urgentReserve = 0.06

// reservedCores returns the cores of the service that a job has to leave free: minus
// infinity for a job of the most urgent types.
func (c *Core) reservedCores(p *pass, j *job) float64 {
	for _, t := range c.policy.Services[j.spec.Service].JobTypes {
		if t.Priority < j.policy.Priority {
			return urgentReserve * p.totalCores
		}
	}
	return math.Inf(-1)
}

// restartable reports whether a task may be started again after an attempt that failed or
// was aborted.
func (j *job) restartable() bool { return j.policy.MaxAttempts > 0 }

// objective returns the response objective of a job.
func (p JobTypePolicy) objective(spec Job) objective.Objective {
	o := objective.Objective{Target: p.ResponseTarget, Factor: p.ResponseFactor}
	for _, t := range spec.Tasks {
		o.Longest = max(o.Longest, t.DeclaredRunTime)
	}
	return o
}

// latestStart returns when the first task of the job has to start for the job to meet its
// response objective; zero without one.
func latestStart(j *job) time.Time {
	o := j.policy.objective(j.spec)
	if !o.Exists() {
		return time.Time{}
	}
	return j.submittedAt.Add(o.LatestStart())
}

// firstTimeout returns when the job's timer first fires.
func (j *job) firstTimeout() time.Time {
	if j.latestStart.IsZero() || j.spec.Deadline.Before(j.latestStart) {
		return j.spec.Deadline
	}
	return j.latestStart
}

// neverDispatched reports whether no task of the job was ever dispatched.
func (j *job) neverDispatched() bool {
	for i := range j.tasks {
		if j.tasks[i].attempts > 0 {
			return false
		}
	}
	return true
}

// Untouched returns the number of jobs of a type of which no task was ever dispatched.
func (c *Core) Untouched(service, jobType string) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Service == service && j.spec.JobType == jobType && j.neverDispatched() {
			n++
		}
	}
	return n
}

// refuseUnstarted fails a job that no worker had room for in time; one that has started
// gets until its deadline.
func (c *Core) refuseUnstarted(j *job) {
	if j.neverDispatched() {
		c.failJob(j, verdict.WouldMissDeadline, "no worker had room in time")
		return
	}
	c.setTimer(&j.timer, j.spec.Deadline)
}
