package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// At a leased worker an attempt can be proven to have ended without a message from the
// agent: the agent stops attempts of an entry that has not echoed a recent agent clock,
// and the worker ends tasks that the agent does not hold. From then on the task may start
// elsewhere.

// echoClock returns the agent clock that messages to the worker echo, and records when it
// was received.
func (w *worker) echoClock() time.Duration {
	w.echoedAt = w.clockSeen
	return w.clock
}

// releaseTime returns when nothing that was dispatched to the agent runs any more, unless
// a newer clock is echoed.
func (w *worker) releaseTime() time.Time { return w.echoedAt.Add(w.hello.ReleaseAfter) }

// scheduleRelease records when the attempts of a replaced agent are certain to have ended.
func (w *worker) scheduleRelease() {
	for _, a := range w.outstanding {
		if a.releaseAt.IsZero() {
			a.releaseAt = w.releaseTime()
		}
	}
}

// releaseAttempts settles the attempts at a leased worker that are certain to have ended.
func (c *Core) releaseAttempts(now time.Time, w *worker) {
	if !w.hello.Leased() || len(w.outstanding) == 0 {
		return
	}
	silent := !w.linked() || w.state == workerSuspect
	var ended []*attempt
	for _, a := range w.outstanding {
		switch {
		case w.owns(a) && silent && !now.Before(w.releaseTime()):
			ended = append(ended, a)
		case !w.owns(a) && (w.hello.Settled || !a.releaseAt.IsZero() && !now.Before(a.releaseAt)):
			ended = append(ended, a)
		}
	}
	if len(ended) > 0 {
		c.emit(AttemptsReleased{Worker: w.name, Attempts: len(ended), Silence: now.Sub(w.lastHeard)})
	}
	for _, a := range ended {
		c.attemptAborted(a)
	}
}

// attemptAborted handles proof that an attempt which may have started has ended without
// completing its task.
func (c *Core) attemptAborted(a *attempt) {
	c.settle(a)
	c.usage.End(a.job.spec.Account)
	j, t := a.job, &a.job.tasks[a.task]
	t.verdict = verdict.MayHaveRun
	t.unresolved--
	if c.suspect(j, a.task) {
		c.abortedByCrash(j, a.task)
		return
	}
	c.retryTask(j, a.task, verdict.Aborted)
}

// attemptFailed handles an attempt that ran and failed.
func (c *Core) attemptFailed(j *job, task int, w *worker) {
	t := &j.tasks[task]
	t.failures++
	t.lastFailedWorker = w.name
	t.unresolved--
	t.verdict = verdict.Ran
	if t.failures >= j.policy.MaxAttempts {
		t.state = taskFinished
		c.failTask(j, verdict.EndpointError, "a task failed as often as its job type allows")
		return
	}
	c.retryTask(j, task, verdict.EndpointFailure)
}

// retryTask queues a task whose earlier attempt is proven to have ended, if its job type
// lets it start twice; otherwise the job fails.
func (c *Core) retryTask(j *job, task int, reason verdict.RetryReason) {
	if j.phase == jobOpen && !j.restartable() {
		j.tasks[task].state = taskFinished
		c.failTask(j, verdict.WorkerLost, "the worker lost a task")
		return
	}
	c.requeue(j, task, reason)
}

// failPaused fails the jobs that were in progress while this process was paused and whose
// tasks may be started again: their callers may have resubmitted them to other entries.
func (c *Core) failPaused() {
	for _, j := range c.orderedJobs() {
		if !j.restartable() {
			continue
		}
		c.failJob(j, verdict.EntryPaused, "the entry was paused")
		if j.phase != jobAnswered {
			c.giveUpAttempts(j)
		}
	}
}
