package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// At a leased worker an attempt can be proven over without a word from the
// agent: the agent stops what the entry has not vouched for lately, and the
// worker ends what the agent does not hold. From then on its task may start
// elsewhere.

// vouch returns the agent clock that messages to the worker repeat, and notes
// when it was received.
func (w *worker) vouch() time.Duration {
	w.vouched = w.clockSeen
	return w.clock
}

// releasedAt returns when nothing that was sent to the agent runs any more,
// unless it is vouched for again.
func (w *worker) releasedAt() time.Time { return w.vouched.Add(w.hello.ReleaseAfter) }

// keepPredecessors notes when the attempts of an agent that was replaced are
// proven over.
func (w *worker) keepPredecessors() {
	for _, a := range w.outstanding {
		if a.releaseAt.IsZero() {
			a.releaseAt = w.releasedAt()
		}
	}
}

// releaseAttempts ends the attempts at a leased worker that are proven over.
func (c *Core) releaseAttempts(now time.Time, w *worker) {
	if !w.hello.Leased() || len(w.outstanding) == 0 {
		return
	}
	silent := !w.linked() || w.state == workerSuspect
	var over []*attempt
	for _, a := range w.outstanding {
		switch {
		case w.owns(a) && silent && !now.Before(w.releasedAt()):
			over = append(over, a)
		case !w.owns(a) && (w.hello.Settled || !a.releaseAt.IsZero() && !now.Before(a.releaseAt)):
			over = append(over, a)
		}
	}
	for _, a := range over {
		c.aborted(a)
	}
}

// aborted handles proof that an attempt which may have started is over and did
// not get done.
func (c *Core) aborted(a *attempt) {
	c.settle(a)
	c.use.End(a.job.spec.Account)
	j, t := a.job, &a.job.tasks[a.task]
	t.verdict = verdict.MayHaveRun
	t.unproven--
	c.again(j, a.task, verdict.Aborted)
}

// failed handles an attempt that ran and failed.
func (c *Core) failed(j *job, task int, w *worker) {
	t := &j.tasks[task]
	t.failures++
	t.failedAt = w.name
	t.unproven--
	t.verdict = verdict.Ran
	if t.failures >= j.policy.MaxAttempts {
		t.state = taskFinished
		c.failTask(j, verdict.EndpointError, "a task failed as often as its job type allows")
		return
	}
	c.again(j, task, verdict.EndpointFailure)
}

// again queues a task whose earlier attempt is proven over.
func (c *Core) again(j *job, task int, reason verdict.RetryReason) {
	t := &j.tasks[task]
	t.state = taskQueued
	switch {
	case j.failing != nil:
		c.finishIfSettled(j)
	case !j.restarts():
		t.state = taskFinished
		c.failTask(j, verdict.WorkerLost, "the worker lost a task")
	case t.attempts >= maxAttempts:
		c.failJob(j, verdict.RetriesExhausted, "a task was tried at too many workers")
	default:
		c.emit(Retried{Reason: reason})
		c.queue.push(j, task)
		c.progress(j)
	}
}

// failPaused fails the jobs that were in progress while this process stood
// still: their callers may have sent them again to other entries.
func (c *Core) failPaused() {
	for _, j := range c.orderedJobs() {
		if !j.restarts() {
			continue
		}
		c.failJob(j, verdict.EntryPaused, "the entry was paused")
		if !j.answered {
			c.giveUpAttempts(j)
		}
	}
}

// fits tells whether a leased worker is believed to have room for the task.
func (w *worker) fits(size msg.Size) bool { return size.Within(w.room) }

// setRoom applies the room in a report, less the dispatches that the agent had
// not seen when it sent the report.
func (w *worker) setRoom(r msg.Slots) {
	w.room = r.Room
	for _, a := range w.outstanding {
		if w.owns(a) && a.seq > max(w.base, r.Covers) {
			w.room = w.room.Minus(a.size)
		}
	}
}

// pickLeased returns the leased worker for a task, or nil.
func (c *Core) pickLeased(now time.Time, j *job, task int) *worker {
	size, step := j.spec.Tasks[task].DeclaredSize, j.step(task)
	if kept := c.keptCores(j); kept > 0 && c.workers.freeCores(j.spec.Service)-size.Cores < kept {
		return nil
	}
	var best *worker
	bestScore, ties := 0.0, 0
	for _, w := range c.workers.list {
		if !w.usable() || !w.hello.Leased() || w.hello.Service != j.spec.Service || !w.fits(size) || !w.mayTake(now) || !w.allowed(j, task, step) || c.slowed(now, w) {
			continue
		}
		score := w.score(j, task, step)
		switch {
		case best == nil || score > bestScore:
			best, bestScore, ties = w, score, 1
		case score == bestScore:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

// allowed tells whether the step's rules let the task run at the worker.
func (w *worker) allowed(j *job, task int, step Step) bool {
	if step.Requires != "" && !w.hasLabel(step.Requires) {
		return false
	}
	return step.MaxPerWorker == 0 || j.runningAt(w, j.spec.Tasks[task].Step) < step.MaxPerWorker
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.hello.Labels {
		if l == label {
			return true
		}
	}
	return false
}

const (
	// affinityScore outweighs any difference in room.
	affinityScore = 2
	// failedHerePenalty outweighs affinity: the same worker may fail the task again.
	failedHerePenalty = 4
)

// score prefers workers near the data, then fast ones with a large part of their
// cores free.
func (w *worker) score(j *job, task int, step Step) float64 {
	score := -w.paceCost()
	if w.hello.Size.Cores > 0 {
		score += w.room.Cores / w.hello.Size.Cores
	}
	if step.Affinity != "" && w.hasLabel(step.Affinity) {
		score += affinityScore
	}
	if j.tasks[task].failedAt == w.name {
		score -= failedHerePenalty
	}
	return score
}
