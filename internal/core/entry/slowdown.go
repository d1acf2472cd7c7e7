package entry

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Some workers may become several times slower than the rest, or stop making progress, and
// go on to take tasks. The entry estimates each worker's slowdown from its results,
// relative to the other tasks of the same job, and does not wait for a result that is
// overdue. A slow worker gets one trial task at a time, and a task that is long overdue is
// stopped and started elsewhere. The figure to keep high is the part of the jobs that are
// answered in time while a sixth of the workers is slow.

const (
	// slowdownGain is the weight of a new observation.
	slowdownGain = 0.3
	// slowThreshold is the slowdown from which a worker gets only trial tasks: a job there
	// misses its response target whatever else happens.
	slowThreshold = 2.0
	// recoveredThreshold is the ratio of run times below which a slow worker counts as
	// recovered.
	recoveredThreshold = 1.4
	// trialDelay is how long after an observation a slow worker waits for a trial task.
	trialDelay = 3 * time.Second
	// slowDivisor limits the workers left out as slow to one in this many of a service's
	// workers. When more of them are slow, the load is the cause.
	slowDivisor = 3
	// slowdownWeight is the weight of the slowdown against the free part of a worker's
	// cores.
	slowdownWeight = 0.4
	// overdueFactor and overdueFactorDeclared are the multiples of the expected run time
	// after which a task is overdue: of the mean of the job's other tasks, and of the
	// declared run time.
	overdueFactor         = 2.5
	overdueFactorDeclared = 5
	// minOverdueSiblings is the number of ended tasks that the job needs for a comparison
	// with their mean.
	minOverdueSiblings = 2
	// minOverdue keeps short tasks from being overdue because of message delays.
	minOverdue = 60 * time.Millisecond
	// minObservedRatio and maxObservedRatio bound an observation. A task next to one at a
	// slow worker looks fast, which says little about its own worker.
	minObservedRatio = 0.7
	maxObservedRatio = 10.0
)

// slowdown estimates how slow a worker is: run times there divided by those elsewhere. A
// zero factor means that there is no observation yet.
type slowdown struct {
	factor float64
	at     time.Time
	// since is when the worker became slow.
	since time.Time
}

func (s slowdown) value() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// observe applies the ratio of a run that started at the given time. A slow worker
// recovers with a run of ordinary length that started after it became slow.
func (s *slowdown) observe(now, started time.Time, ratio, gain float64) {
	ratio = min(max(ratio, minObservedRatio), maxObservedRatio)
	wasSlow := s.slow()
	switch {
	case wasSlow && ratio < recoveredThreshold && !started.After(s.since):
		return
	case wasSlow && ratio < recoveredThreshold:
		s.factor = ratio
	default:
		s.factor = (1-gain)*s.value() + gain*ratio
	}
	s.at = now
	if s.slow() && !wasSlow {
		s.since = now
	}
}

func (s slowdown) slow() bool { return s.value() >= slowThreshold }

// taskRun records where a task ran, from when and for how long.
type taskRun struct {
	worker   *worker
	started  time.Time
	duration time.Duration
}

// meanRunTime returns the mean run time of the job's recorded runs, and their number.
func (j *job) meanRunTime() (time.Duration, int) {
	var sum time.Duration
	for _, r := range j.runs {
		sum += r.duration
	}
	if len(j.runs) == 0 {
		return 0, 0
	}
	return sum / time.Duration(len(j.runs)), len(j.runs)
}

// recordRun records the run time of an ended task. The tasks of a job are compared only
// once all have ended: before that, those at fast workers are the only ones.
func (c *Core) recordRun(now time.Time, a *attempt, w *worker, took time.Duration) {
	j := a.job
	if c.estimates != nil {
		c.learnRun(now, a, w, took)
		return
	}
	if !w.hello.Leased() || took <= 0 || len(j.spec.Steps) > 1 {
		return
	}
	j.runs = append(j.runs, taskRun{w, a.sentAt, took})
	if len(j.runs) < len(j.tasks) || len(j.runs) < 2 {
		return
	}
	mean, n := j.meanRunTime()
	for _, r := range j.runs {
		others := (mean*time.Duration(n) - r.duration) / time.Duration(n-1)
		c.observeSlowdown(now, r.worker, r.started, float64(r.duration)/float64(others), slowdownGain)
	}
}

// observeSlowdown records an observation of a worker, and reports when the worker becomes
// slow or is slow no more.
func (c *Core) observeSlowdown(now time.Time, w *worker, started time.Time, ratio, gain float64) {
	before := w.slowdown.slow()
	w.slowdown.observe(now, started, ratio, gain)
	switch {
	case w.slowdown.slow() && !before:
		c.emit(WorkerJudged{Worker: w.name, Health: verdict.Slow})
	case before && !w.slowdown.slow():
		c.emit(WorkerJudged{Worker: w.name, Health: verdict.Sound})
	}
}

// overdueAfter returns the run time after which a task is overdue, and the weight of
// exceeding it as an observation. The weight is low without other ended tasks, since a
// whole job may take longer than declared.
func (j *job) overdueAfter(task int) (time.Duration, float64) {
	if mean, n := j.meanRunTime(); n >= minOverdueSiblings {
		return max(minOverdue, time.Duration(overdueFactor*float64(mean))), 1
	}
	return max(minOverdue, time.Duration(overdueFactorDeclared*float64(j.spec.Tasks[task].DeclaredRunTime))), slowdownGain
}

// checkOverdue records overdue tasks as observations and stops those that a faster worker
// can take over.
func (c *Core) checkOverdue(now time.Time) {
	for _, w := range c.workers.list {
		if !w.hello.Leased() || !w.busy() || w.crashed {
			continue
		}
		if w.stalled && c.othersTakeOver(w) {
			c.stopStalled(now, w)
			continue
		}
		if !w.slowdown.slow() && health.Silent(w.runningSinceLastEnd(now.Add(-c.answerAllowance()))) {
			c.judgeSilent(now, w)
		}
		for _, a := range w.outstanding {
			if c.estimates != nil {
				c.checkRun(now, w, a)
			} else {
				c.checkAttempt(now, w, a)
			}
		}
	}
}

// awayFactor is by how much longer a task may take away from its data before it is taken for
// one without progress.
const awayFactor = 3

// runningSinceLastEnd returns the worker's attempts that were dispatched after the latest
// end there.
func (w *worker) runningSinceLastEnd(now time.Time) []health.Running {
	var running []health.Running
	for _, a := range w.outstanding {
		if a.sentAt.After(w.lastEnd) {
			expected := a.job.estimate.Longest(a.job.spec.Tasks[a.task].DeclaredRunTime, w.speed)
			if w.speed != nil && w.awayFromData(a.job.step(a.task)) {
				expected *= awayFactor
			}
			running = append(running, health.Running{Job: a.job.spec.ID, For: now.Sub(a.sentAt), Expected: expected})
		}
	}
	return running
}

// checkAttempt records an overdue attempt as an observation, once, and stops it as soon as
// its worker is slow and another is not.
func (c *Core) checkAttempt(now time.Time, w *worker, a *attempt) {
	if a.stop || !a.job.restartable() || a.job.spec.Tasks[a.task].DeclaredRunTime <= 0 {
		return
	}
	limit, weight := a.job.overdueAfter(a.task)
	if w.slowdown.slow() {
		limit = min(limit, max(minOverdue, time.Duration(overdueFactor*float64(a.job.spec.Tasks[a.task].DeclaredRunTime))))
	}
	if now.Sub(a.sentAt) < limit+c.answerAllowance() {
		return
	}
	if !a.overdue {
		a.overdue = true
		c.observeSlowdown(now, w, a.sentAt, max(overdueFactor, w.slowdown.value()), weight)
	}
	if c.fasterWorkerExists(w, a.job) {
		a.job.tasks[a.task].lastFailedWorker = w.name
		a.stop = true
		c.queueRevoke(a)
	}
}

// fasterWorkerExists reports whether the worker is slow and another usable worker of the
// service is neither slow nor stalled.
func (c *Core) fasterWorkerExists(w *worker, j *job) bool {
	if !w.slowdown.slow() {
		return false
	}
	for _, other := range c.workers.list {
		if other != w && other.usable() && other.hello.Service == j.spec.Service && !other.slowdown.slow() && !other.stalled {
			return true
		}
	}
	return false
}

// excludedAsSlow reports whether a slow worker is left out for now. It gets one trial task
// at a time, trialDelay after its last observation. The caller leaves none out when too
// many workers are slow.
func (w *worker) excludedAsSlow(now time.Time) bool {
	return w.slowdown.slow() && (len(w.outstanding) > 0 || now.Sub(w.slowdown.at) < trialDelay)
}

// slowdownPenalty is what the slowdown subtracts from a worker's score.
func (w *worker) slowdownPenalty() float64 { return slowdownWeight * math.Log2(w.slowdown.value()) }
