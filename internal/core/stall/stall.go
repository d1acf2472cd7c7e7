// Package stall notices a worker whose tasks have stopped to make progress, from all tasks
// that run there.
//
// It is made for a worker that accepts tasks and answers calls but ends nothing any more. Each
// entry sees a few of its tasks, and can tell only after a multiple of their run times: with
// ten entries the last one finds out seconds after the first, and each sends trial tasks of
// its own. The agent beside the worker sees every start and every end.
//
// The rule learns how long tasks of each job type run here. A sound worker with the tasks that
// run would have been expected to end some of them since its latest end; when it would have
// been improbable to end none, it is stalled. Tasks of one job count once, since their run
// times are long alike. A stalled worker gets one trial task a second, and is sound again once
// one of them has completed. The rule is judged by the time from the stall to its notice, and
// by the sound workers that are taken for stalled.
//
// The package does no I/O and reads no clock. A Detector is not safe for concurrent use.
package stall

import (
	"math"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// improbable is the probability below which it is not put down to chance that no task has
	// ended. It bounds the sound workers that are taken for stalled.
	improbable = 1e-4
	// minGap is the shortest time without an end that counts. An end is noticed late while
	// answers of the worker are lost.
	minGap = 200 * time.Millisecond
	// maxHazard bounds the cumulative hazard of a task. Some jobs take many times as long as
	// others of their type, so that a task which has outlived 19 in 20 proves nothing.
	maxHazard = 3
	// minEnds is the number of ends of a job type from which its run times are known.
	minEnds = 8
	// gain is the weight of a new run time.
	gain = 1.0 / 64
	// minSpread is the least standard deviation of the logarithm of run times that is
	// calculated with.
	minSpread = 0.3
	// maxTypes bounds the job types remembered.
	maxTypes = 1024
	// trialDelay is the pause before a trial task.
	trialDelay = time.Second
)

// End says how an attempt has ended.
type End uint8

const (
	// Completed means that the task has run to its end.
	Completed End = iota + 1
	// Failed means that the worker has reported a failure. It may have refused the task, so
	// that neither its run time nor the end of a stall follows.
	Failed
	// Stopped means that the attempt was stopped or never ran, which is no progress.
	Stopped
)

// Detector follows one worker. The zero value is ready for use.
type Detector struct {
	types typeCache
	// running lists the tasks that run, ordered by attempt, so that those of one job are
	// together.
	running []running
	// progressAt is when a task last ended. It and the starts of tasks are given on a clock
	// that stands still while ends go unnoticed: excused is by how much it is behind.
	progressAt time.Time
	excused    time.Duration
	stalled    bool
	// trialAt is when the next trial task may start.
	trialAt time.Time
}

// running is a task that runs at the worker.
type running struct {
	id    msg.AttemptID
	times *runTimes
	since time.Time
	// trial is set if the task started during the stall, stopping once it is being stopped.
	trial, stopping bool
}

func (d *Detector) clock(now time.Time) time.Time { return now.Add(-d.excused) }

func (d *Detector) find(id msg.AttemptID) (int, bool) {
	return slices.BinarySearchFunc(d.running, id, func(r running, id msg.AttemptID) int { return r.id.Compare(id) })
}

// Started records a task that starts now.
func (d *Detector) Started(now time.Time, id msg.AttemptID, jobType string) {
	i, known := d.find(id)
	if known {
		return
	}
	d.running = slices.Insert(d.running, i, running{id: id, times: d.types.get(jobType), since: d.clock(now), trial: d.stalled})
	if d.stalled {
		d.trialAt = now.Add(trialDelay)
	}
}

// Stopping records that an attempt is being stopped: it says nothing more of the worker.
func (d *Detector) Stopping(id msg.AttemptID) {
	if i, known := d.find(id); known {
		d.running[i].stopping = true
	}
}

// Ended records the end of an attempt, and reports whether the worker is sound again.
func (d *Detector) Ended(now time.Time, id msg.AttemptID, end End) (recovered bool) {
	i, known := d.find(id)
	if !known {
		return false
	}
	r := d.running[i]
	d.running = slices.Delete(d.running, i, i+1)
	if end == Stopped {
		return false
	}
	d.progressAt = d.clock(now)
	if end != Completed {
		return false
	}
	if d.stalled && !r.trial {
		// Its run time is that of the stall.
		return false
	}
	if ran := d.progressAt.Sub(r.since); ran > 0 {
		r.times.add(math.Log(ran.Seconds()))
	}
	recovered, d.stalled = d.stalled, false
	return recovered
}

// Excuse leaves out a time up to now in which the caller could not have noticed an end.
func (d *Detector) Excuse(now time.Time, t time.Duration) {
	d.excused += t
	// What was noticed at the end of that time is not in the future.
	at := d.clock(now)
	d.progressAt = earlier(d.progressAt, at)
	for i := range d.running {
		d.running[i].since = earlier(d.running[i].since, at)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Stalled reports whether the worker is stalled.
func (d *Detector) Stalled() bool { return d.stalled }

// TrialDue reports whether a trial task may start at a stalled worker.
func (d *Detector) TrialDue(now time.Time) bool { return d.stalled && !now.Before(d.trialAt) }

// Check reports whether the worker is found to be stalled now. It is called at every tick of
// the agent, and does nothing more than compare times while tasks end.
func (d *Detector) Check(now time.Time) bool {
	at := d.clock(now)
	if d.stalled || d.progressAt.IsZero() || at.Sub(d.progressAt) < minGap || d.expectedEnds(at) < -math.Log(improbable) {
		return false
	}
	d.stalled, d.trialAt = true, now.Add(trialDelay)
	return true
}

// expectedEnds returns the number of ends that were to be expected since the latest one, over
// the jobs with a task here.
func (d *Detector) expectedEnds(at time.Time) float64 {
	expected, ofJob := 0.0, 0.0
	for i, r := range d.running {
		if i > 0 && (r.id.Entry != d.running[i-1].id.Entry || r.id.Job != d.running[i-1].id.Job) {
			expected, ofJob = expected+ofJob, 0
		}
		if r.stopping || r.times.ends < minEnds {
			continue
		}
		ofJob = max(ofJob, r.times.hazard(at.Sub(r.since))-r.times.hazard(d.progressAt.Sub(r.since)))
	}
	return expected + ofJob
}

// Running returns the number of tasks that run.
func (d *Detector) Running() int { return len(d.running) }

// Types returns the number of job types remembered.
func (d *Detector) Types() int { return len(d.types.recent) + len(d.types.older) }

// typeCache keeps the run times of the job types used last: those of the latest maxTypes/2
// types, and up to as many of the ones before.
type typeCache struct{ recent, older map[string]*runTimes }

func (c *typeCache) get(jobType string) *runTimes {
	if t := c.recent[jobType]; t != nil {
		return t
	}
	t := c.older[jobType]
	if t == nil {
		t = &runTimes{}
	}
	delete(c.older, jobType)
	if c.recent == nil || len(c.recent) >= maxTypes/2 {
		c.recent, c.older = make(map[string]*runTimes), c.recent
	}
	c.recent[jobType] = t
	return t
}

// runTimes describes the logarithms of the run times of a job type, in seconds.
type runTimes struct {
	mean, square float64
	ends         int
}

func (t *runTimes) add(logarithm float64) {
	t.ends++
	weight := max(gain, 1/float64(t.ends))
	t.mean += weight * (logarithm - t.mean)
	t.square += weight * (logarithm*logarithm - t.square)
}

// hazard returns the cumulative hazard of a task that has run for this long, which is the
// number of ends to be expected of tasks that are replaced as they end. Run times are taken as
// log-normal.
func (t *runTimes) hazard(ran time.Duration) float64 {
	if ran <= 0 {
		return 0
	}
	spread := max(minSpread, math.Sqrt(max(0, t.square-t.mean*t.mean)))
	return min(maxHazard, -math.Log(math.Erfc((math.Log(ran.Seconds())-t.mean)/(spread*math.Sqrt2))/2))
}
