package entry

import (
	"math"
	"time"
)

// This file answers one load pattern: a part of the workers turns several times
// slower than the rest, or stops making progress, while they go on to take tasks.
// An entry learns each worker's pace from its results, relative to the other
// tasks of the same job, and does not wait for a result that is overdue. A slow
// worker gets one trial task at a time, and a task that is long overdue is stopped
// and started elsewhere. The rule is judged by the part of the jobs that are
// answered in time while a sixth of the workers is slow.

const (
	// slowdownGain is the weight of a new observation.
	slowdownGain = 0.3
	// slowThreshold is the pace from which on a worker gets only trial tasks: a job there
	// misses the time that callers want whatever else happens.
	slowThreshold = 2.0
	// recoveredThreshold ends a worker's trial.
	recoveredThreshold = 1.4
	// trialDelay is how long after an observation a slow worker waits for a trial.
	trialDelay = 3 * time.Second
	// slowDivisor bounds the workers that count as slow to this part of a service's
	// workers; when more of them are slow, the load is the cause.
	slowDivisor = 3
	// slowdownWeight is the weight of the pace against the free part of a worker's cores.
	slowdownWeight = 0.4
	// overdueFactor and overdueFactorDeclared are the multiples of the expected run
	// time after which a task is overdue: compared with other tasks of its job, and
	// with what was declared.
	overdueFactor         = 2.5
	overdueFactorDeclared = 5
	// minOverdueSiblings is the number of ended tasks of the job that make a comparison.
	minOverdueSiblings = 2
	// minOverdue keeps short tasks from being overdue for the delay of messages.
	minOverdue = 60 * time.Millisecond
	// minObservedRatio and maxObservedRatio bound an observation. A task next to one at a slow
	// worker looks fast, which says little about its own worker.
	minObservedRatio = 0.7
	maxObservedRatio = 10.0
)

// slowdown is what is known of a worker's speed: run times there divided by those
// elsewhere. Zero means that nothing is known.
type slowdown struct {
	factor float64
	at     time.Time
}

func (p slowdown) value() float64 {
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

func (p *slowdown) observe(now time.Time, ratio, gain float64) {
	ratio = min(max(ratio, minObservedRatio), maxObservedRatio)
	if p.slow() && ratio < recoveredThreshold {
		p.factor = ratio
	} else {
		p.factor = (1-gain)*p.value() + gain*ratio
	}
	p.at = now
}

func (p slowdown) slow() bool { return p.value() >= slowThreshold }

// taskRun is where a task ran and for how long.
type taskRun struct {
	worker   *worker
	duration time.Duration
}

// meanRunTime returns the mean run time of the job's tasks that have ended, and their
// number.
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

// recordRun notes the end of a task. Once all tasks of the job have ended, each is
// compared with the others: earlier, those at fast workers are the only ones.
func (c *Core) recordRun(now time.Time, j *job, w *worker, took time.Duration) {
	if !w.hello.Leased() || took <= 0 || len(j.spec.Steps) > 1 {
		return
	}
	j.runs = append(j.runs, taskRun{w, took})
	if len(j.runs) < len(j.tasks) || len(j.runs) < 2 {
		return
	}
	mean, n := j.meanRunTime()
	for _, r := range j.runs {
		others := (mean*time.Duration(n) - r.duration) / time.Duration(n-1)
		r.worker.slowdown.observe(now, float64(r.duration)/float64(others), slowdownGain)
	}
}

// overdueAfter returns the run time after which a task is overdueAfter, and the weight of
// that as an observation: a whole job may take longer than declared.
func (j *job) overdueAfter(task int) (time.Duration, float64) {
	if mean, n := j.meanRunTime(); n >= minOverdueSiblings {
		return max(minOverdue, time.Duration(overdueFactor*float64(mean))), 1
	}
	return max(minOverdue, time.Duration(overdueFactorDeclared*float64(j.spec.Tasks[task].DeclaredRunTime))), slowdownGain
}

// checkOverdue learns from tasks that are overdue and starts them elsewhere.
func (c *Core) checkOverdue(now time.Time) {
	for _, w := range c.workers.list {
		if !w.hello.Leased() {
			continue
		}
		for _, a := range w.outstanding {
			if a.overdue || !a.job.restartable() || a.job.spec.Tasks[a.task].DeclaredRunTime <= 0 {
				continue
			}
			limit, weight := a.job.overdueAfter(a.task)
			if now.Sub(a.sentAt) < limit {
				continue
			}
			a.overdue = true
			w.slowdown.observe(now, max(overdueFactor, w.slowdown.value()), weight)
			if c.fasterWorkerExists(w, a.job) {
				a.job.tasks[a.task].lastFailedWorker = w.name
				a.stop = true
				c.queueRevoke(a)
			}
		}
	}
}

// fasterWorkerExists tells whether another worker of the service may be faster.
func (c *Core) fasterWorkerExists(w *worker, j *job) bool {
	if !w.slowdown.slow() {
		return false
	}
	for _, other := range c.workers.list {
		if other != w && other.usable() && other.hello.Service == j.spec.Service && !other.slowdown.slow() {
			return true
		}
	}
	return false
}

// excludedAsSlow tells whether a slow worker has to be left out now, unless too many are
// slow: it gets one trial task at a time, some time after the last observation.
func (w *worker) excludedAsSlow(now time.Time) bool {
	return w.slowdown.slow() && (len(w.outstanding) > 0 || now.Sub(w.slowdown.at) < trialDelay)
}

// slowdownPenalty is what the pace takes from a worker's score.
func (w *worker) slowdownPenalty() float64 { return slowdownWeight * math.Log2(w.slowdown.value()) }
