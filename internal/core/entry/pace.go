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
	// paceGain is the weight of a new observation.
	paceGain = 0.3
	// slowPace is the pace from which on a worker gets only trial tasks: a job there
	// misses the time that callers want whatever else happens.
	slowPace = 2.0
	// goodPace ends a worker's trial.
	goodPace = 1.4
	// paceMemory is how long after an observation a slow worker waits for a trial.
	paceMemory = 3 * time.Second
	// slowDivisor bounds the workers that count as slow to this part of a service's
	// workers; when more of them are slow, the load is the cause.
	slowDivisor = 3
	// paceScore is the weight of the pace against the free part of a worker's cores.
	paceScore = 0.4
	// overdueFactor and overdueFactorDeclared are the multiples of the expected run
	// time after which a task is overdue: compared with other tasks of its job, and
	// with what was declared.
	overdueFactor         = 2.5
	overdueFactorDeclared = 5
	// overdueSiblings is the number of ended tasks of the job that make a comparison.
	overdueSiblings = 2
	// overdueMin keeps short tasks from being overdue for the delay of messages.
	overdueMin = 60 * time.Millisecond
	// minObserved and maxObserved bound an observation. A task next to one at a slow
	// worker looks fast, which says little about its own worker.
	minObserved = 0.7
	maxObserved = 10.0
)

// pace is what is known of a worker's speed: run times there divided by those
// elsewhere. Zero means that nothing is known.
type pace struct {
	factor float64
	at     time.Time
}

func (p pace) value() float64 {
	if p.factor == 0 {
		return 1
	}
	return p.factor
}

func (p *pace) observe(now time.Time, ratio, gain float64) {
	ratio = min(max(ratio, minObserved), maxObserved)
	if p.slow() && ratio < goodPace {
		p.factor = ratio
	} else {
		p.factor = (1-gain)*p.value() + gain*ratio
	}
	p.at = now
}

func (p pace) slow() bool { return p.value() >= slowPace }

// ranAt is where a task ran and for how long.
type ranAt struct {
	worker *worker
	took   time.Duration
}

// meanRun returns the mean run time of the job's tasks that have ended, and their
// number.
func (j *job) meanRun() (time.Duration, int) {
	var sum time.Duration
	for _, r := range j.ran {
		sum += r.took
	}
	if len(j.ran) == 0 {
		return 0, 0
	}
	return sum / time.Duration(len(j.ran)), len(j.ran)
}

// noteRun notes the end of a task. Once all tasks of the job have ended, each is
// compared with the others: earlier, those at fast workers are the only ones.
func (c *Core) noteRun(now time.Time, j *job, w *worker, took time.Duration) {
	if !w.hello.Leased() || took <= 0 || len(j.spec.Steps) > 1 {
		return
	}
	j.ran = append(j.ran, ranAt{w, took})
	if len(j.ran) < len(j.tasks) || len(j.ran) < 2 {
		return
	}
	mean, n := j.meanRun()
	for _, r := range j.ran {
		others := (mean*time.Duration(n) - r.took) / time.Duration(n-1)
		r.worker.pace.observe(now, float64(r.took)/float64(others), paceGain)
	}
}

// overdue returns the run time after which a task is overdue, and the weight of
// that as an observation: a whole job may take longer than declared.
func (j *job) overdue(task int) (time.Duration, float64) {
	if mean, n := j.meanRun(); n >= overdueSiblings {
		return max(overdueMin, time.Duration(overdueFactor*float64(mean))), 1
	}
	return max(overdueMin, time.Duration(overdueFactorDeclared*float64(j.spec.Tasks[task].DeclaredRunTime))), paceGain
}

// watchPace learns from tasks that are overdue and starts them elsewhere.
func (c *Core) watchPace(now time.Time) {
	for _, w := range c.workers.list {
		if !w.hello.Leased() {
			continue
		}
		for _, a := range w.outstanding {
			if a.overdue || !a.job.restartable() || a.job.spec.Tasks[a.task].DeclaredRunTime <= 0 {
				continue
			}
			limit, weight := a.job.overdue(a.task)
			if now.Sub(a.sentAt) < limit {
				continue
			}
			a.overdue = true
			w.pace.observe(now, max(overdueFactor, w.pace.value()), weight)
			if c.elsewhere(w, a.job) {
				a.job.tasks[a.task].lastFailedWorker = w.name
				a.stop = true
				c.queueRevoke(a)
			}
		}
	}
}

// elsewhere tells whether another worker of the service may be faster.
func (c *Core) elsewhere(w *worker, j *job) bool {
	if !w.pace.slow() {
		return false
	}
	for _, other := range c.workers.list {
		if other != w && other.usable() && other.hello.Service == j.spec.Service && !other.pace.slow() {
			return true
		}
	}
	return false
}

// slowed tells whether a slow worker has to be left out now, unless too many are
// slow: it gets one trial task at a time, some time after the last observation.
func (w *worker) slowed(now time.Time) bool {
	return w.pace.slow() && (len(w.outstanding) > 0 || now.Sub(w.pace.at) < paceMemory)
}

// paceCost is what the pace takes from a worker's score.
func (w *worker) paceCost() float64 { return paceScore * math.Log2(w.pace.value()) }
