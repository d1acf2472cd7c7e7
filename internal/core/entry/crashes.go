package entry

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// This file applies package crashlog: a task under which workers crashed is given up.

// noteCrashes applies the crashes that an agent has reported.
func (c *Core) noteCrashes(now time.Time, w *worker, crashes []msg.WorkerCrash) {
	if len(crashes) == 0 {
		return
	}
	for _, crash := range crashes {
		c.crashes.Crashed(now, w.name, crash)
	}
	c.giveUpQueued()
}

// giveUpQueued fails the jobs with a queued task that must not start again.
func (c *Core) giveUpQueued() {
	for _, j := range c.orderedJobs() {
		if slices.ContainsFunc(j.queuedTasks, func(i int) bool { return c.crashes.GiveUp(j.spec.Tasks[i].Name) }) {
			c.failJob(j, verdict.WorkerCrashed, "workers crashed under a task")
		}
	}
}

// knownDeadly reports whether a job that has just arrived has a task that must not start
// again. It has been sent before.
func (c *Core) knownDeadly(spec Job) bool {
	return slices.ContainsFunc(spec.Tasks, func(t Task) bool { return c.crashes.GiveUp(t.Name) })
}

// abortedByCrash handles the end of an attempt whose worker crashed.
func (c *Core) abortedByCrash(j *job, task int) {
	if c.crashes.GiveUp(j.spec.Tasks[task].Name) {
		j.tasks[task].state = taskFinished
		c.failTask(j, verdict.WorkerCrashed, "workers crashed under a task")
		return
	}
	c.retryTask(j, task, verdict.Crash)
}

// suspect reports whether a worker crashed under the task.
func (c *Core) suspect(j *job, task int) bool { return c.crashes.Suspect(j.spec.Tasks[task].Name) }
