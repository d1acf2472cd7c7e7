// Package estimate combines what is known of run times and of workers' speeds into the
// times at which tasks can be expected to end, and decides by them.
//
// It is made for services whose workers differ in speed by a factor of two and more, and
// whose declared run times are off by half and more. There a task that is long for its
// declared time says little about its worker, and a worker that is slow for good still
// serves most tasks in time.
//
// Three rules follow from the expected ends. A task is placed where its job is likely to be
// answered in time (Target). A run is stopped only if a new start elsewhere can be expected
// to end sooner (Overrun). A run that takes longer than nearly all others of its kind is
// evidence against its worker. The rules are judged by the jobs that are late although
// workers have room, and by the runs stopped that would have ended sooner.
//
// The package does no I/O and reads no clock. An Estimator is not safe for concurrent use.
package estimate

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/runtimes"
	"github.com/poplarlever/poplarlever/internal/core/speed"
)

// Estimator holds what one entry has learned.
type Estimator struct {
	types    *runtimes.Table
	services map[string]*speed.Service
}

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{types: runtimes.NewTable(), services: make(map[string]*speed.Service)}
}

// service returns the speeds of a service's workers.
func (e *Estimator) service(name string) *speed.Service {
	s, ok := e.services[name]
	if !ok {
		s = speed.New()
		e.services[name] = s
	}
	return s
}

// Worker returns what is known of a worker.
func (e *Estimator) Worker(service, name string) *speed.Worker {
	return e.service(service).Worker(name)
}

// Workers returns the number of the service's workers of which something is known.
func (e *Estimator) Workers(service string) int {
	if s, ok := e.services[service]; ok {
		return s.Len()
	}
	return 0
}

// Forget discards what is known of a worker.
func (e *Estimator) Forget(service, name string) {
	s, ok := e.services[service]
	if !ok {
		return
	}
	s.Forget(name)
	if s.Len() == 0 {
		delete(e.services, service)
	}
}

// Expected returns the run time to be expected of a task at a worker: its declared run time
// times the median ratio of its job type, divided by the worker's speed. A job type or a
// worker without observations counts as declared and as the mean.
func (e *Estimator) Expected(service, jobType string, declared time.Duration, worker string) time.Duration {
	slowness := 1.0
	if s, ok := e.services[service]; ok {
		slowness = s.Find(worker).Slowness()
	}
	return scale(declared, e.types.Known(service, jobType).Median()*slowness)
}

// maxExpected bounds an expected run time, so that sums of times do not overflow.
const maxExpected = 365 * 24 * time.Hour

func scale(d time.Duration, by float64) time.Duration {
	scaled := float64(max(0, d)) * by
	if !(scaled < float64(maxExpected)) {
		return maxExpected
	}
	return time.Duration(scaled)
}

// Job is what is known of the run times of one job. The zero value expects nothing.
type Job struct {
	dist  *runtimes.Distribution
	speed *speed.Service
	tasks int
	// runs holds the runs that have ended, sum the logarithms of their ratios at a worker of
	// speed 1.
	runs []speed.Run
	sum  float64
	// latestEnd is the latest expected end of a task that has been dispatched.
	latestEnd time.Time
	// stopped is set once a run was stopped, and blamed is the worker against which a run of
	// the job counted last.
	stopped bool
	blamed  *speed.Worker
}

// Job returns what is known of a job of so many tasks that arrives.
func (e *Estimator) Job(service, jobType string, tasks int) Job {
	return Job{dist: e.types.Of(service, jobType), speed: e.service(service), tasks: tasks}
}

// Preview returns what Job would return. It records nothing.
func (e *Estimator) Preview(service, jobType string, tasks int) Job {
	s := e.services[service]
	if s == nil {
		s = speed.New()
	}
	return Job{dist: e.types.Known(service, jobType), speed: s, tasks: tasks}
}

// known reports whether the job has an estimate.
func (j *Job) known() bool { return j.dist != nil }

// ratio returns the expected ratio of run time to declared run time at a worker of speed 1,
// and the standard deviation of its logarithm. Once tasks have ended, it is theirs.
func (j *Job) ratio() (ratio, deviation float64) {
	if n := float64(len(j.runs)); n > 0 {
		return math.Exp(j.sum / n), j.speed.Noise() / math.Sqrt(n)
	}
	return j.dist.Median(), j.dist.Spread()
}

// Expected returns the expected run time of a task at a worker.
func (j *Job) Expected(declared time.Duration, w *speed.Worker) time.Duration {
	if !j.known() {
		return declared
	}
	ratio, _ := j.ratio()
	return scale(declared, ratio*w.Slowness())
}

// Longest returns the run time to be expected of a task at a worker that may be as slow as
// its speed is uncertain, and no less than runs take to be looked at.
func (j *Job) Longest(declared time.Duration, w *speed.Worker) time.Duration {
	if !j.known() {
		return declared
	}
	ratio, _ := j.ratio()
	return max(minCheck, scale(declared, ratio*w.MaxSlowness()))
}

// Dispatched records that a task of the job was sent to a worker.
func (j *Job) Dispatched(now time.Time, declared time.Duration, w *speed.Worker) {
	if end := now.Add(j.Expected(declared, w)); end.After(j.latestEnd) {
		j.latestEnd = end
	}
}

const (
	// noticeDelay is by how much later than it happened the start or the end of a run may be
	// noticed: a call to the worker whose answer is lost is repeated after some tens of
	// milliseconds. A degraded worker takes a multiple of the time instead.
	noticeDelay = 30 * time.Millisecond
	// maxNoticeFactor bounds the effect of noticeDelay on a short run.
	maxNoticeFactor = 4
)

// prior returns the distribution of the logarithms of the ratios of the job's type.
func (j *Job) prior() speed.Prior {
	return speed.Prior{Mean: math.Log(j.dist.Median()), Deviation: j.dist.Spread()}
}

// teaches reports whether the runs at a worker show how long those of the job's type take. If
// most workers were left out, a type with declared times that are far too short would keep
// them degraded.
func (j *Job) teaches(w *speed.Worker) bool { return !w.Degraded() || j.speed.MostDegraded() }

// blameLog is the logarithm of the run time against the expected one from which a run counts
// against its worker, as in the test for a slower one.
const blameLog = 0.47

// EndedAlone learns from a run that has ended and whose time depends on more than its worker,
// and returns what has changed. The run time has to be valid.
func (j *Job) EndedAlone(now time.Time, w *speed.Worker, started time.Time, took, declared time.Duration, counted bool) []speed.Change {
	if !j.known() || declared <= 0 {
		return nil
	}
	prior := j.prior()
	// Of a job that is long as a whole, one run counts.
	run := newRun(w, started, took, declared, counted || j.blamed != nil)
	if run.LogRatio-w.LogSlowness()-prior.Mean > blameLog {
		j.blamed = w
	}
	if j.teaches(w) {
		j.dist.Observe(run.LogRatio-w.LogSlowness(), 1/float64(j.tasks))
	}
	return j.speed.Alone(now, run, prior)
}

func newRun(w *speed.Worker, started time.Time, took, declared time.Duration, counted bool) speed.Run {
	return speed.Run{
		Worker: w, Started: started, LogRatio: math.Log(float64(took) / float64(declared)), Counted: counted,
		Doubt: math.Log(float64(took) / float64(max(took-noticeDelay, took/maxNoticeFactor))),
	}
}

// Ended records a run of the job that has ended. The run time has to be valid.
func (j *Job) Ended(w *speed.Worker, started time.Time, took, declared time.Duration, counted bool) {
	if !j.known() || declared <= 0 {
		return
	}
	if j.runs == nil {
		j.runs = make([]speed.Run, 0, j.tasks)
	}
	run := newRun(w, started, took, declared, counted)
	j.runs = append(j.runs, run)
	j.sum += run.LogRatio - w.LogSlowness()
}

// Runs returns the number of runs that have ended.
func (j *Job) Runs() int { return len(j.runs) }

// Finish learns from the runs of a job, all of whose tasks have ended, and returns what has
// changed. Before that, the tasks at fast workers are the only ones.
func (j *Job) Finish(now time.Time) []speed.Change {
	if !j.known() || len(j.runs) == 0 {
		return nil
	}
	prior := j.prior()
	for _, r := range j.runs {
		if j.teaches(r.Worker) {
			j.dist.Observe(r.LogRatio-r.Worker.LogSlowness(), 1/float64(len(j.runs)))
		}
	}
	return j.speed.Observe(now, j.runs, prior)
}

// Stalled records that a worker of the job's service makes no progress.
func (j *Job) Stalled(now time.Time, w *speed.Worker, ratio float64) []speed.Change {
	if !j.known() {
		return nil
	}
	return j.speed.Stalled(now, w, ratio)
}
