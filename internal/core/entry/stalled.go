package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// A stalled worker is noticed by its agent, which sees the tasks of all entries; see package
// stall. The entry starts its tasks there elsewhere, and sends none but the trial tasks for
// which the agent reports room, one for each report.

// updateStalled applies what the worker's newest report says of its progress.
func (c *Core) updateStalled(now time.Time, w *worker) {
	if w.reportedStalled == w.stalled {
		return
	}
	w.stalled, w.stalledAt, w.stalledSeq = w.reportedStalled, now, w.seq
	// What the entry has observed was the stall, and the agent decides when a trial is due.
	w.slowdown = slowdown{}
	if !w.stalled {
		w.stalledUntil = now
		c.emit(WorkerJudged{Worker: w.name, Health: verdict.Sound})
		return
	}
	c.emit(WorkerJudged{Worker: w.name, Health: verdict.Stalled})
	if c.othersTakeOver(w) {
		c.stopStalled(now, w)
	}
}

// othersTakeOver reports whether the tasks of a stalled worker are to start elsewhere. When
// more than one worker in slowDivisor is stalled, the workers are probably not the cause, and
// the others have no room for what they run.
func (c *Core) othersTakeOver(w *worker) bool {
	usable, stalled := 0, 0
	for _, o := range c.workers.list {
		if !o.usable() || o.hello.Service != w.hello.Service {
			continue
		}
		usable++
		if o.stalled {
			stalled++
		}
	}
	return stalled < usable && stalled <= max(1, usable/slowDivisor)
}

// stopStalled stops the tasks of a stalled worker: those from before the stall at once, and
// trial tasks that are overdue.
func (c *Core) stopStalled(now time.Time, w *worker) {
	for _, a := range w.outstanding {
		// The agent refuses what it had not received.
		if !w.owns(a) || a.seq > w.covered || a.stop || !a.job.restartable() {
			continue
		}
		if a.seq > w.stalledSeq && !c.trialOverdue(now, w, a) {
			continue
		}
		a.job.tasks[a.task].lastFailedWorker = w.name
		a.stop = true
		c.queueRevoke(a)
	}
}

// trialOverdue reports whether a trial task has run for much longer than expected. One whose
// run time is unknown never has.
func (c *Core) trialOverdue(now time.Time, w *worker, a *attempt) bool {
	expected := a.job.estimate.Longest(a.job.spec.Tasks[a.task].DeclaredRunTime, w.speed)
	limit := max(minOverdue, time.Duration(overdueFactor*float64(expected)))
	return expected > 0 && now.Sub(a.sentAt) >= limit+c.answerAllowance()
}

// unfitForTrial reports whether a task is no trial task for a stalled worker while others can
// run it: its job fails if it hangs. After 2 * trialDelay any will do, so that a service without
// other jobs does not lose the worker for good.
func (w *worker) unfitForTrial(now time.Time, j *job, t *task) bool {
	return w.stalled && (t.failures > 0 || !j.restartable()) && now.Sub(w.stalledAt) < 2*trialDelay
}

// trialUnderWay reports whether an attempt was sent to a stalled worker that its report does
// not cover: the room in it is that for this attempt.
func (w *worker) trialUnderWay(r msg.Slots) bool {
	if !r.Stalled {
		return false
	}
	for _, a := range w.outstanding {
		if w.owns(a) && a.seq > max(w.baseSeq, r.Covers) {
			return true
		}
	}
	return false
}
