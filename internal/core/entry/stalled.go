package entry

import "github.com/poplarlever/poplarlever/internal/core/verdict"

// A stalled worker is noticed by its agent, which sees the tasks of all entries; see package
// stall. The entry starts its tasks there elsewhere, and sends none but the trial tasks for
// which the agent reports room.

// updateStalled applies what the worker's newest report says of its progress.
func (c *Core) updateStalled(w *worker) {
	if w.reportedStalled == w.stalled {
		return
	}
	w.stalled = w.reportedStalled
	if !w.stalled {
		w.stalledUntil = c.now
		// What the entry has observed meanwhile was the stall.
		w.slowdown = slowdown{}
		c.emit(WorkerJudged{Worker: w.name, Health: verdict.Sound})
		return
	}
	c.emit(WorkerJudged{Worker: w.name, Health: verdict.Stalled})
	for _, a := range w.outstanding {
		// The agent refuses what it had not received.
		if !w.owns(a) || a.seq > w.covered || a.stop || !a.job.restartable() {
			continue
		}
		a.job.tasks[a.task].lastFailedWorker = w.name
		a.stop = true
		c.queueRevoke(a)
	}
}
