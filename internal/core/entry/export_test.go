package entry

import "github.com/poplarlever/poplarlever/internal/core/verdict"

// The functions below corrupt the state of a core on purpose, so that tests can show that
// the invariant checks detect it.

// DamageSecondAttempt queues a dispatched task of the job again.
func (c *Core) DamageSecondAttempt(id uint64) { c.queue.push(c.jobs[id], 0) }

// DamageQueueAfterEnd queues a task of the job after its end was decided.
func (c *Core) DamageQueueAfterEnd(id uint64) {
	j := c.jobs[id]
	c.failJob(j, verdict.Cancelled, "")
	c.queue.push(j, 0)
}

// DamageAnswerTwice answers the job twice.
func (c *Core) DamageAnswerTwice(id uint64) {
	j := c.jobs[id]
	c.finish(j, Answer{Outcome: Failed, Verdict: verdict.MayHaveRun})
	c.finish(j, Answer{Outcome: Failed, Verdict: verdict.MayHaveRun})
}

// DamagePartialAnswer completes a job that has a task without a result.
func (c *Core) DamagePartialAnswer(id uint64) {
	j := c.jobs[id]
	j.unfinished, j.running = 0, 0
	c.finishIfSettled(j)
}

// DamageNotRun answers a job whose task was dispatched with the verdict NotRun.
func (c *Core) DamageNotRun(id uint64) {
	c.finish(c.jobs[id], Answer{Outcome: Failed, Verdict: verdict.NotRun})
}

// DamageSettleTwice settles the job's first attempt twice.
func (c *Core) DamageSettleTwice(id uint64) {
	a := c.jobs[id].tasks[0].attempt
	c.settle(a)
	c.settle(a)
}

// DamageFree sets the worker's granted slots believed free to n.
func (c *Core) DamageFree(worker string, n int) {
	w := c.workers.byName[worker]
	w.free = n
	w.checkSlots()
}

// DamageRevision puts an older policy in force.
func (c *Core) DamageRevision() {
	old := c.policy
	old.Revision--
	c.setPolicy(c.now, old)
}

// TotalCores returns the cores of the latest pass over the service's queue.
func (c *Core) TotalCores(service string) float64 { return c.queue.services[service].pass.totalCores }

// SpeedRecords returns the number of workers of the service of which something is learned.
func (c *Core) SpeedRecords(service string) int { return c.estimates.Workers(service) }

// WorkersExamined returns how many workers the latest pass over the service's queue
// examined.
func (c *Core) WorkersExamined(service string) int { return c.queue.services[service].pass.examined }

// InterferenceWorkers returns the number of workers whose speed package interference knows.
func (c *Core) InterferenceWorkers() int { return c.separations.model.Workers() }
