package entry

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// This file applies package health to the entry's workers: their records come from the
// agents' reports, which cover the tasks of all entries.

// failingPenalty is the part of a worker's cores that has to be free beyond that of
// another, times the share of its recent tasks that failed. Failing tasks end early and
// leave much room.
const failingPenalty = 2

// eligible reports whether the worker may get a task. A quarantined worker takes one trial
// task at a time.
func (w *worker) eligible(now time.Time) bool {
	return !w.health.Quarantined() || len(w.outstanding) == 0 && w.health.TrialDue(now)
}

// mayTake reports whether a leased worker may get this attempt of a task. A task that
// failed or was stopped at a worker starts elsewhere, and none but a first attempt is used
// as a trial, since a further failure could be the job's last; for a stalled worker see
// unfitForTrial. All hold only while another worker can run the task.
func (w *worker) mayTake(p *pass, j *job, task int, step Step) bool {
	t := &j.tasks[task]
	failedHere := t.lastFailedWorker == w.name
	trialOfRetry := w.health.Quarantined() && t.failures > 0
	if !failedHere && !trialOfRetry && !w.unfitForTrial(p.now, j, t) {
		return true
	}
	size := j.spec.Tasks[task].DeclaredSize
	return !slices.ContainsFunc(p.workers, func(o *worker) bool {
		return o != w && !o.health.Quarantined() && !o.stalled && o.name != t.lastFailedWorker && size.FitsIn(o.hello.Size) && o.hasRequiredLabel(step)
	})
}

// updateHealth applies the outcomes in a worker's newest report.
func (c *Core) updateHealth(now time.Time, w *worker) {
	failed := w.health.Observe(now, w.outcomes)
	if failed && !w.health.Quarantined() && !w.evacuated {
		if peers, workers, quarantined := c.peerRecord(w); health.MayQuarantine(workers, quarantined) && w.health.Failing(peers) {
			w.health.Quarantine(now)
			c.emit(WorkerJudged{Worker: w.name, Health: verdict.Failing})
		}
	}
	if failed || w.health.Quarantined() {
		c.readmitRecovered(w.hello.Service)
	}
}

// readmitRecovered ends the quarantine of the service's workers that have passed their
// trial or whose peers have come to fail alike.
func (c *Core) readmitRecovered(service string) {
	for _, w := range c.workers.list {
		if w.hello.Service != service || !w.health.Quarantined() {
			continue
		}
		if peers, _, _ := c.peerRecord(w); w.health.Recovered(peers) {
			c.emit(WorkerJudged{Worker: w.name, Health: verdict.Sound})
		}
	}
}

// peerRecord returns the record of the service's other workers that are in use, the number
// of its workers and how many of them are quarantined.
func (c *Core) peerRecord(of *worker) (peers health.Rate, workers, quarantined int) {
	for _, w := range c.workers.list {
		if w.hello.Service != of.hello.Service || !w.linked() || w.evacuated {
			continue
		}
		workers++
		switch {
		case w.health.Quarantined():
			quarantined++
		case w != of:
			peers = peers.Plus(w.health.Recent())
		}
	}
	return peers, workers, quarantined
}
