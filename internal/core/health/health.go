// Package health decides which workers of a service fail too much of their work.
//
// It is made for a worker that fails between a tenth and all of the tasks that it starts
// while its health answers are good. Failing tasks end early, so such a worker has the
// most room and draws more work than any other; one success in between proves nothing.
// Job types that fail everywhere must not count against the workers.
//
// The rule compares a worker with its peers. It is set aside when its recent failures
// would be improbable at their rate, and used again after as many successful trial tasks
// in a row as would be improbable if it still failed as it did, or when its peers come to
// fail alike. The rule is judged by the tasks that fail until the worker is set aside, and
// by the sound workers that are.
//
// The package does no I/O and reads no clock. A Worker is not safe for concurrent use.
package health

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mathext"
)

// Outcomes counts the tasks that have ended at a worker since its agent started. The
// failed tasks of one job count once, since the job may be the cause.
type Outcomes struct{ Ended, Failed uint64 }

// Rate is a number of outcomes in which older ones weigh less.
type Rate struct{ Ended, Failed float64 }

// Plus returns the sum of two rates.
func (r Rate) Plus(o Rate) Rate { return Rate{r.Ended + o.Ended, r.Failed + o.Failed} }

const (
	// window is the number of outcomes over which a worker's record extends. The weight of
	// an outcome falls by one part in window with each later one.
	window = 64
	// priorEnded and priorFailed stand for the record of peers without one.
	priorEnded, priorFailed = 30, 0.3
	// improbable is the probability below which a worker's failures are not put down to
	// chance. It bounds the sound workers set aside.
	improbable = 1e-4
	// ordinary is the probability from which the failures of a worker that was set aside
	// count as those of its peers.
	ordinary = 1e-2
	// trialError is the probability that a worker which still fails as it did passes its
	// trial.
	trialError = 0.02
	// minTrials is the smallest number of successful trial tasks.
	minTrials = 3
	// minBackoff and maxBackoff bound the pause after a failed trial task. Each doubles it.
	minBackoff = time.Second
	maxBackoff = time.Minute
	// shrinkage is the number of successes added to a record when its failing share
	// decides where work goes.
	shrinkage = 8
)

// Worker is the record of one worker. The zero value has none.
type Worker struct {
	total  Outcomes
	recent Rate
	// quarantined is set while the worker gets trial tasks only.
	quarantined bool
	// trials is the number of successes in a row since the latest failure, and trialsNeeded
	// the number that ends the quarantine.
	trials, trialsNeeded float64
	// trialAt is when the next trial task may start, and backoff the pause before it.
	trialAt time.Time
	backoff time.Duration
}

// Observe applies the agent's newest count of outcomes, and reports whether it contains
// failures.
func (w *Worker) Observe(now time.Time, total Outcomes) bool {
	if total.Ended < w.total.Ended || total.Failed < w.total.Failed || total.Failed-w.total.Failed > total.Ended-w.total.Ended {
		// The counts are those of another process.
		w.total = total
		return false
	}
	ended, failed := float64(total.Ended-w.total.Ended), float64(total.Failed-w.total.Failed)
	w.total = total
	if ended == 0 {
		return false
	}
	keep := math.Pow(1-1.0/window, ended)
	w.recent = Rate{Ended: keep*w.recent.Ended + min(ended, window), Failed: keep*w.recent.Failed + min(failed, window)}
	if failed == 0 {
		w.trials += ended
		return false
	}
	w.trials = 0
	if w.quarantined {
		w.backoff = min(2*w.backoff, maxBackoff)
		w.trialAt = now.Add(w.backoff)
	}
	return true
}

// Recent returns the worker's record for a comparison with others.
func (w *Worker) Recent() Rate { return w.recent }

// Quarantined reports whether the worker gets trial tasks only.
func (w *Worker) Quarantined() bool { return w.quarantined }

// TrialDue reports whether a quarantined worker may get a trial task, one at a time.
func (w *Worker) TrialDue(now time.Time) bool { return !now.Before(w.trialAt) }

// Failing reports whether the worker's failures would be improbable at the rate of its
// peers.
func (w *Worker) Failing(peers Rate) bool {
	return w.recent.Failed > 0 && w.tail(peers) < improbable
}

// tail returns the probability of at least the worker's failures among its outcomes at the
// rate of its peers, from the binomial distribution.
func (w *Worker) tail(peers Rate) float64 {
	rate := min(1, (peers.Failed+priorFailed)/(peers.Ended+priorEnded))
	failed, ended := w.recent.Failed, max(w.recent.Ended, w.recent.Failed)
	if rate >= 1 {
		return 1
	}
	return mathext.RegIncBeta(failed, ended-failed+1, rate)
}

// Quarantine limits the worker to trial tasks, the first after a pause.
func (w *Worker) Quarantine(now time.Time) {
	share := w.recent.Failed / (w.recent.Ended + 1)
	w.quarantined, w.trials, w.backoff = true, 0, minBackoff
	w.trialsNeeded = max(minTrials, math.Log(trialError)/math.Log(1-share))
	w.trialAt = now.Add(w.backoff)
}

// Recovered ends the quarantine of a worker that has passed its trial or whose peers have
// come to fail alike, and reports whether it did.
func (w *Worker) Recovered(peers Rate) bool {
	if !w.quarantined || w.trials < w.trialsNeeded && w.tail(peers) < ordinary {
		return false
	}
	*w = Worker{total: w.total}
	return true
}

// FailingShare returns the share of the recent tasks that failed, lower for a short
// record.
func (w *Worker) FailingShare() float64 { return w.recent.Failed / (w.recent.Ended + shrinkage) }

// MayQuarantine reports whether one more of a service's workers may be set aside. A third
// at most is: when more of them fail, the workers are probably not the cause.
func MayQuarantine(workers, quarantined int) bool {
	return workers > 1 && quarantined < max(1, workers/quarantineDivisor)
}

// quarantineDivisor limits quarantine to one in this many of a service's workers.
const quarantineDivisor = 3
