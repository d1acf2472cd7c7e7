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
// times are long alike. A stalled worker gets one trial task at a time, and is sound again
// once one that started after the stall has ended. The rule is judged by the time from the
// stall to its notice, and by the sound workers that are taken for stalled.
//
// The package does no I/O and reads no clock. A Detector is not safe for concurrent use.
package stall

import (
	"math"
	"time"
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

// Running is a task that runs at the worker.
type Running struct {
	// Owner and Job identify the job of the task.
	Owner, Job uint64
	JobType    string
	Started    time.Time
}

// Detector follows one worker. The zero value is ready for use.
type Detector struct {
	types map[string]*runTimes
	// progressAt is when a task last ended.
	progressAt time.Time
	stalled    bool
	// since is when the stall was noticed, trialAt when the next trial task may start.
	since, trialAt time.Time
}

// runTimes describes the logarithms of the run times of a job type, in seconds.
type runTimes struct {
	mean, square float64
	ends         int
}

// Started records a task that starts now.
func (d *Detector) Started(now time.Time) {
	if d.stalled {
		d.trialAt = now.Add(trialDelay)
	}
}

// Ended records the end of a task that was not stopped, and reports whether the worker is
// sound again.
func (d *Detector) Ended(now time.Time, jobType string, started time.Time, ran time.Duration) (recovered bool) {
	d.progressAt = now
	if ran > 0 {
		d.runTimes(jobType).add(math.Log(ran.Seconds()))
	}
	if !d.stalled || started.Before(d.since) {
		return false
	}
	d.stalled = false
	return true
}

// Excuse leaves out a time in which the caller itself could not have noticed an end.
func (d *Detector) Excuse(t time.Duration) {
	if !d.progressAt.IsZero() {
		d.progressAt = d.progressAt.Add(t)
	}
}

// Stalled reports whether the worker is stalled.
func (d *Detector) Stalled() bool { return d.stalled }

// TrialDue reports whether a trial task may start at a stalled worker.
func (d *Detector) TrialDue(now time.Time) bool { return d.stalled && !now.Before(d.trialAt) }

// Check reports whether the worker is found to be stalled now.
func (d *Detector) Check(now time.Time, running []Running) bool {
	if d.stalled || now.Sub(d.progressAt) < minGap || d.progressAt.IsZero() || d.expectedEnds(now, running) < -math.Log(improbable) {
		return false
	}
	d.stalled, d.since, d.trialAt = true, now, now.Add(trialDelay)
	return true
}

// jobKey identifies the job of a task.
type jobKey struct{ owner, job uint64 }

// expectedEnds returns the number of ends that were to be expected since the latest one, over
// the jobs with a task here.
func (d *Detector) expectedEnds(now time.Time, running []Running) float64 {
	most := make(map[jobKey]float64)
	for _, r := range running {
		t := d.types[r.JobType]
		if t == nil || t.ends < minEnds {
			continue
		}
		from := time.Duration(0)
		if d.progressAt.After(r.Started) {
			from = d.progressAt.Sub(r.Started)
		}
		key := jobKey{r.Owner, r.Job}
		most[key] = max(most[key], t.hazard(now.Sub(r.Started))-t.hazard(from))
	}
	expected := 0.0
	for _, h := range most {
		expected += h
	}
	return expected
}

func (d *Detector) runTimes(jobType string) *runTimes {
	t := d.types[jobType]
	if t == nil {
		if d.types == nil || len(d.types) >= maxTypes {
			d.types = make(map[string]*runTimes)
		}
		t = &runTimes{}
		d.types[jobType] = t
	}
	return t
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

// Types returns the number of job types remembered.
func (d *Detector) Types() int { return len(d.types) }
