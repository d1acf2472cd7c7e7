// Package forecast estimates when a service will have room for a job that arrives while
// its workers are full.
//
// It is made for a burst above the capacity, or a loss of workers, that lasts for many run
// times: what cannot be started in time should be refused on arrival, and what will find
// room once the burst is over should not be refused. It is also made for jobs that are too
// late to meet their objective: they are still of use, but should not take the room that
// the next arrivals in time need.
//
// The rule follows two flows in cores: what arrives, and what finds room while tasks wait.
// The wait of a job is the backlog ahead of it divided by the rate of room. A job that is
// late waits behind what arrives in time, and leaves free a part of the standard deviation
// of the load, known as square-root staffing for queues with batch arrivals. The rule is judged
// by the jobs refused although room came in time, and by the refusals that come late.
//
// The package does no I/O and reads no clock. A Flow is not safe for concurrent use.
package forecast

import (
	"math"
	"time"
)

const (
	// horizonRuns times the mean run time of the jobs is the time over which the flows are
	// averaged: room comes back at the pace at which tasks end.
	horizonRuns = 2
	// minHorizon and maxHorizon bound the time over which the flows are averaged.
	minHorizon = 20 * time.Millisecond
	maxHorizon = 10 * time.Second
	// jobGain is the weight of a new job in the means of run time and size.
	jobGain = 1.0 / 64
	// evidence is the part of the horizon for which tasks must have waited before the rate
	// of room is known.
	evidence = 0.1
	// reserveDeviations is the number of standard deviations of the load that a late job
	// leaves free.
	reserveDeviations = 0.5
	// Never is the wait of a job that finds no room as things are.
	Never = time.Duration(math.MaxInt64)
)

// Flow follows the load of one service. The zero value is ready for use.
type Flow struct {
	// meanRun, in seconds, meanCores and meanSquare describe the jobs that arrive.
	meanRun, meanCores, meanSquare float64
	jobs                           int
	// arrived is the decayed sum of the cores that arrived, as of arrivedAt.
	arrived   float64
	arrivedAt time.Time
	started   time.Time
	// placed is the decayed sum of the cores that found room while others waited, and
	// waited the decayed time for which tasks waited.
	placed, waited float64
	// waiting is set while tasks wait, since the pass at passAt.
	waiting bool
	passAt  time.Time
}

// horizon returns the averaging time in seconds.
func (f *Flow) horizon() float64 {
	return min(max(horizonRuns*f.meanRun, minHorizon.Seconds()), maxHorizon.Seconds())
}

// Arrived records a job: the cores of all its tasks and the declared run time of its longest
// task. A run time above maxHorizon counts as that, so that one job with an odd declaration
// does not decide the mean.
func (f *Flow) Arrived(now time.Time, cores float64, runTime time.Duration) {
	if f.jobs == 0 {
		f.started = now
	}
	f.jobs++
	gain := max(jobGain, 1/float64(f.jobs))
	f.meanRun += gain * (min(runTime, maxHorizon).Seconds() - f.meanRun)
	f.meanCores += gain * (cores - f.meanCores)
	f.meanSquare += gain * (cores*cores - f.meanSquare)
	f.arrived = f.arrivedBy(now) + cores
	f.arrivedAt = now
}

// arrivedBy returns the decayed sum of arrivals at a later time.
func (f *Flow) arrivedBy(now time.Time) float64 {
	return f.arrived * math.Exp(-max(0, now.Sub(f.arrivedAt).Seconds())/f.horizon())
}

// arrivalRate returns the cores that arrive per second.
func (f *Flow) arrivalRate(now time.Time) float64 {
	// Before a horizon has passed, the sum covers a shorter time.
	h := f.horizon()
	covered := h * (1 - math.Exp(-max(0, now.Sub(f.started).Seconds())/h))
	if covered <= 0 {
		return 0
	}
	return f.arrivedBy(now) / covered
}

// Pass records a pass over the queue that placed tasks of this many cores and left others
// waiting or not.
func (f *Flow) Pass(now time.Time, cores float64, waiting bool) {
	if f.waiting {
		passed := max(0, now.Sub(f.passAt).Seconds())
		keep := math.Exp(-passed / f.horizon())
		f.placed, f.waited = keep*f.placed+cores, keep*f.waited+passed
	}
	if !f.waiting && waiting && now.Sub(f.passAt).Seconds() > f.horizon() {
		// The rate of an earlier backlog says nothing about this one.
		f.placed, f.waited = 0, 0
	}
	if f.waiting || waiting {
		f.passAt = now
	}
	f.waiting = waiting
}

// roomRate returns the cores that find room per second while tasks wait, and whether that
// is known.
func (f *Flow) roomRate() (float64, bool) {
	if !f.waiting || f.waited < evidence*f.horizon() {
		return 0, false
	}
	return f.placed / f.waited, true
}

// Wait returns the time until a job with this many cores ahead of it finds room. It is
// zero while the rate of room is unknown.
func (f *Flow) Wait(coresAhead float64) time.Duration {
	rate, known := f.roomRate()
	if !known {
		return 0
	}
	return seconds(coresAhead, rate)
}

// WaitBehind returns the time until a job finds room that lets all arrivals in time go
// first, with this many cores ahead of it. It is zero while the rate of room is unknown.
func (f *Flow) WaitBehind(now time.Time, coresAhead float64) time.Duration {
	rate, known := f.roomRate()
	if !known {
		return 0
	}
	return seconds(coresAhead, rate-f.arrivalRate(now))
}

// seconds returns the time in which this many cores find room at the rate.
func seconds(cores, rate float64) time.Duration {
	if cores <= 0 {
		return 0
	}
	if s := cores / rate; rate > 0 && s < Never.Seconds()/2 {
		return time.Duration(s * float64(time.Second))
	}
	return Never
}

// Reserve returns the cores that a late job has to leave free while busy cores are in use.
// The variance of the busy cores is their mean times the size of the job that a core
// belongs to.
func (f *Flow) Reserve(busy float64) float64 {
	if f.meanCores <= 0 {
		return 0
	}
	return reserveDeviations * math.Sqrt(max(0, busy)*f.meanSquare/f.meanCores)
}
