package estimate

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/speed"
)

const (
	// faultOdds are the odds that a worker has become degraded during a run, without any
	// evidence; degradedOdds those for a worker that is known to be degraded.
	faultOdds, degradedOdds = 1e-3, 20
	// fault is by how much a run takes longer at a degraded worker. One that stands still is
	// expected to go on as long as it has already.
	fault = 6
	// othersLongFactor and stoppedFactor lower the odds: when another task of the job takes
	// as long at another worker, or when an earlier run of the task was stopped elsewhere,
	// the task is probably long.
	othersLongFactor, stoppedFactor = 0.02, 0.1
	// othersLongShare is the part of a run's time that another task must have run for to
	// count as long as well; usualFactor times the usual run time is enough in any case.
	othersLongShare, usualFactor = 0.7, 2.5
	// rare is the share of the runs of a kind below which a run that takes longer than all
	// others is evidence against its worker.
	rare = 0.005
	// leastShare bounds the shares from below: no distribution is known that well.
	leastShare = 1e-4
	// worthwhile is by how much sooner a new start has to end, since what has run is lost.
	worthwhile = 1.1
	// likely is the probability that the worker is at fault from which a run is stopped. A
	// new start at a worker that is merely faster ends sooner at times, at the price of what
	// has run.
	likely = 0.5
	// trialFactor times its expected run time is the time that a trial task is given.
	trialFactor = 1.5
	// unusual is the share of the runs of a kind below which one is unusual.
	unusual = 0.02
	// tailShare is the share of the tasks of a job that differ by tailFactor times the
	// noise from the others.
	tailShare, tailFactor = 0.05, 3
	// checkFactor times its expected run time is the run time from which a run is looked at.
	checkFactor = 1.3
	// minCheck keeps short runs from being looked at because of message delays.
	minCheck = 60 * time.Millisecond
)

// FirstCheck returns the run time from which a run can be an overrun.
func (j *Job) FirstCheck(declared time.Duration, w *speed.Worker) time.Duration {
	return max(minCheck, scale(j.Expected(declared, w), checkFactor))
}

// Overrun is a run that has not ended after some time.
type Overrun struct {
	Worker            *speed.Worker
	Declared, Elapsed time.Duration
	Started           time.Time
	// Counted is set once the run was evidence against its worker.
	Counted bool
	// OthersLong is set if another task of the job is long as well; see AlsoLong.
	OthersLong bool
	// Alone is set if the run's time depends on more than its worker; see Job.EndedAlone.
	Alone bool
	// Stops is the number of earlier runs of the task that were stopped.
	Stops int
}

// Alternative is a new start elsewhere: the slowness of the fastest worker that may take the
// task, whether one has room now, and the time that messages take.
type Alternative struct {
	Slowness float64
	Free     bool
	Delay    time.Duration
}

// Rare reports whether nearly all runs of this kind would have ended, and returns the share
// of those that would not.
func (j *Job) Rare(o Overrun) (float64, bool) {
	if !j.known() || o.Declared <= 0 {
		return 1, false
	}
	share, _ := j.outlook(o.ratio())
	return share, share < rare && !j.othersLong(o)
}

// othersLong reports whether the job as a whole is probably long: no task has ended, and
// another one has run for as long or has been stopped.
func (j *Job) othersLong(o Overrun) bool {
	return o.OthersLong || j.stopped && len(j.runs) == 0
}

// AlsoLong reports whether another run of the job, at a worker that is not known to be
// degraded, makes it likely that the job as a whole is long. Once tasks have ended, they
// show it.
func (j *Job) AlsoLong(o, other Overrun) bool {
	if !j.known() || len(j.runs) > 0 || o.Declared <= 0 || other.Declared <= 0 || other.Worker == o.Worker || other.Worker.Degraded() {
		return false
	}
	return other.ratio() >= min(othersLongShare*o.ratio(), usualFactor*j.dist.Median())
}

// Ratio returns the run time so far divided by the expected one.
func (j *Job) Ratio(o Overrun) float64 {
	return o.Elapsed.Seconds() / max(1e-9, j.Expected(o.Declared, o.Worker).Seconds())
}

// ratio returns the ratio of the run time so far to the declared one, at a worker of speed 1.
// A worker whose speed is not known may be a slow one.
func (o Overrun) ratio() float64 {
	return max(0, o.Elapsed-noticeDelay).Seconds() / (o.Declared.Seconds() * o.Worker.MaxSlowness())
}

// Unusual reports whether a run may be stopped at all, given the share of the runs of its kind
// that take as long: one at a worker that is not known to be degraded has to be unusual
// itself, whatever other runs there were like.
func (o Overrun) Unusual(share float64) bool { return share <= unusual || o.Worker.Degraded() }

// Stopped records that a run of the job was stopped.
func (j *Job) Stopped() { j.stopped = true }

// Stop reports whether a new start elsewhere can be expected to end sooner than the run. Two
// cases are weighed by their odds: the task is long, so that a new run takes as long; or
// its worker has become slow.
func (j *Job) Stop(o Overrun, to Alternative) bool {
	if !j.known() || o.Declared <= 0 {
		return false
	}
	ran := o.ratio()
	usual, _ := j.ratio()
	trial := o.Worker.Degraded() && o.Started.After(o.Worker.DegradedAt())
	if trial && ran < trialFactor*usual {
		return false
	}
	share, remaining := j.outlook(ran)
	o.OthersLong = j.othersLong(o)
	p := o.degraded(share)
	if p < likely || !o.Unusual(share) {
		return false
	}
	here := o.Worker.Slowness() * ((1-p)*remaining + p*max(fault*usual-ran, ran))
	there := to.Slowness*((1-p)*(ran+remaining)+p*usual) + to.Delay.Seconds()/o.Declared.Seconds()
	if !to.Free {
		// Room comes back as tasks end.
		there += to.Slowness * usual
	}
	return here > worthwhile*there
}

// degraded returns the probability that the worker of the run has become slow. share is that
// of the runs at an ordinary worker that take as long.
func (o Overrun) degraded(share float64) float64 {
	odds := float64(degradedOdds)
	if !o.Worker.Degraded() {
		evidence := o.Worker.Evidence()
		if o.Counted {
			evidence -= speed.MaxEvidence
		}
		odds = faultOdds * math.Exp(max(0, evidence))
	}
	odds /= max(share, leastShare)
	if o.OthersLong {
		odds *= othersLongFactor
	}
	odds *= math.Pow(stoppedFactor, float64(o.Stops))
	return odds / (1 + odds)
}

// outlook returns the share of the runs at a sound worker of speed 1 that exceed a ratio,
// and how long such a run is expected to go on.
func (j *Job) outlook(ran float64) (share, remaining float64) {
	n := float64(len(j.runs))
	if n == 0 {
		return j.dist.Survival(ran), j.dist.Remaining(ran)
	}
	mean, deviation := j.sum/n, j.speed.Noise()*math.Sqrt(1+1/n)
	share, sum := exceed(ran, mean, deviation)
	tail, tailSum := exceed(ran, mean, tailFactor*deviation)
	share, sum = (1-tailShare)*share+tailShare*tail, (1-tailShare)*sum+tailShare*tailSum
	if share < leastShare {
		return share, ran
	}
	return share, max(0, sum/share-ran)
}

// exceed returns the probability that a value with a normally distributed logarithm exceeds
// a bound, and the integral of the values that do.
func exceed(bound, mean, deviation float64) (share, sum float64) {
	z := (math.Log(max(bound, 1e-9)) - mean) / deviation
	return math.Erfc(z/math.Sqrt2) / 2, math.Exp(mean+deviation*deviation/2) * math.Erfc((z-deviation)/math.Sqrt2) / 2
}

// Overdue records that a run takes longer than nearly all others of its kind, or is stopped
// because it takes long, and returns what has changed about its worker. Of the runs of a job
// at a worker one counts, since the job may be the cause.
func (j *Job) Overdue(now time.Time, o Overrun, share float64) []speed.Change {
	if !j.known() || j.blamed == o.Worker {
		return nil
	}
	j.blamed = o.Worker
	return j.speed.Overdue(now, o.Worker, share, j.Ratio(o), !o.Alone && j.tasks > 1)
}
