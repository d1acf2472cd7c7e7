package estimate

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/objective"
	"github.com/poplarlever/poplarlever/internal/core/speed"
)

const (
	// latePenalty is the part of a worker's cores that has to be free beyond that of another
	// for a task to go where its job is certain to be late. It outweighs any difference in
	// room and network path, but not the affinity of a task to its data.
	latePenalty = 1.5
	// latenessPenalty is added to it, times how late the task ends in parts of its run time:
	// of workers that are all too late, the fastest is the best.
	latenessPenalty = 0.3
	// slownessPenalty is what a task without an objective adds for each halving of a worker's
	// speed.
	slownessPenalty = 0.4
	// certain is the number of standard deviations from which a task ends in time, or late,
	// for certain.
	certain = 2
	// transport is the time from a dispatch to its result beyond the run time, without the
	// delay of messages at this entry.
	transport = 3 * time.Millisecond
)

// Target is what a task needs to end by for its job to be answered in time. Times are in
// seconds.
type Target struct {
	known, objective bool
	// run is the expected run time at a worker of speed 1, and wanted the response time that
	// callers want.
	run, wanted float64
	// left is the time until the answer is late, or until another task of the job ends that
	// is later still.
	left float64
	// deviation is the standard deviation of the logarithm of run and wanted alike, noise
	// that of run alone.
	deviation, noise float64
}

// Target returns the target of a task of a job that was submitted at the given time. The
// objective is one of the run times as they turn out, not as declared: where the declared
// times are too short, callers measure by the longer ones. delay is how long messages wait
// at this entry.
func (j *Job) Target(now, submitted time.Time, o objective.Objective, declared, delay time.Duration) Target {
	if !j.known() || declared <= 0 {
		return Target{}
	}
	ratio, deviation := j.ratio()
	t := Target{known: true, run: ratio * declared.Seconds(), deviation: deviation, noise: j.speed.Noise()}
	if !o.Exists() {
		return t
	}
	t.objective = true
	t.wanted = max(1, o.Factor) * ratio * o.Longest.Seconds()
	t.left = t.wanted + (o.Target - now.Sub(submitted) - transport - delay).Seconds()
	if !j.latestEnd.IsZero() {
		// The answer comes with the last task: the others need not end before it.
		t.left = max(t.left, j.latestEnd.Sub(now).Seconds())
	}
	return t
}

// lookDelay and lookShare are how late a run in progress is looked at: the caller does so on
// ticks, and again after a tenth of the run time.
const (
	lookDelay = 20 * time.Millisecond
	lookShare = 0.1
)

// AllowsTrial reports whether the task can be a trial of a degraded worker: its job can be
// expected in time even if the run is stopped and starts again elsewhere.
func (t *Target) AllowsTrial(w *speed.Worker) bool {
	stopped := (1+lookShare)*(t.run*trialFactor*w.MaxSlowness()+noticeDelay.Seconds()) + lookDelay.Seconds()
	return !t.objective || t.left >= stopped+t.run
}

// Penalty returns what the expected end at a worker subtracts from the worker's score. It is
// equal for workers that serve the task equally well.
func (t *Target) Penalty(w *speed.Worker) float64 {
	if !t.known {
		return 0
	}
	if !t.objective {
		return slownessPenalty * w.LogSlowness() / math.Ln2
	}
	run := t.run * w.Slowness()
	slack := t.left - run
	// A ratio that is off moves the run time and the wanted time alike.
	deviation := math.Hypot(t.noise*run, t.deviation*(t.wanted-run))
	if slack >= certain*deviation {
		return 0
	}
	late := 1.0
	if slack > -certain*deviation {
		late = (1 - slack/(certain*deviation)) / 2
	}
	penalty := latePenalty * late
	if slack < 0 {
		penalty += latenessPenalty * min(1, -slack/t.run)
	}
	return penalty
}
