package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/estimate"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/runtimes"
	"github.com/poplarlever/poplarlever/internal/core/speed"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// This file applies package estimate where the settings ask for it: the entry learns run
// times and speeds from the results of its own tasks, and places and stops tasks by their
// expected ends. A worker that is slower than its own speed counts as slow, as in
// slowdown.go, and gets trial tasks only.

func newEstimates(cfg Config) *estimate.Estimator {
	if !cfg.LearnSpeeds {
		return nil
	}
	return estimate.New()
}

// trackSpeed is called before the description of a worker is replaced. A worker that comes
// back after it left, or that serves another service, is another instance.
func (c *Core) trackSpeed(w *worker, h msg.Hello) {
	if !h.Leased() {
		return
	}
	if w.hello.Service != h.Service || w.state == workerLeaving && !h.Leaving {
		c.forgetSpeed(w)
	}
	if c.estimates != nil {
		w.speed = c.estimates.Worker(h.Service, w.name)
	}
}

// forgetSpeed discards what is known of a worker whose instance has ended. With it goes that
// it is degraded: no run could show any more that it has recovered.
func (c *Core) forgetSpeed(w *worker) {
	c.separations.forgetWorker(w)
	if w.speed != nil {
		c.estimates.Forget(w.hello.Service, w.name)
		w.speed, w.slowdown = nil, slowdown{}
	}
}

// renewSpeed discards what is known of a worker that runs as a new instance.
func (c *Core) renewSpeed(w *worker) {
	c.forgetSpeed(w)
	c.trackSpeed(w, w.hello)
}

// learnedSpeed returns the worker's speed and its uncertainty, or zero.
func (w *worker) learnedSpeed() (value, uncertainty float64) {
	if !w.speed.Learned() {
		return 0, 0
	}
	return w.speed.Speed(), w.speed.Uncertainty()
}

// learnedWorkers returns the number of workers whose speed is learned.
func (c *Core) learnedWorkers() int {
	n := 0
	for _, w := range c.workers.list {
		if w.speed.Learned() {
			n++
		}
	}
	return n
}

func (c *Core) estimateJob(j *job) {
	if c.estimates != nil {
		j.estimate, j.objective = c.estimates.Job(j.spec.Service, j.spec.JobType, len(j.tasks)), j.policy.objective(j.spec)
	}
}

// previewEstimate sets what a job that is not admitted would know of its run times.
func (c *Core) previewEstimate(j *job) {
	if c.estimates != nil {
		j.estimate, j.objective = c.estimates.Preview(j.spec.Service, j.spec.JobType, len(j.tasks)), j.policy.objective(j.spec)
	}
}

// expectEnd records a dispatch in the estimate of its job.
func (c *Core) expectEnd(now time.Time, a *attempt) {
	if c.estimates == nil {
		return
	}
	declared := a.job.spec.Tasks[a.task].DeclaredRunTime
	a.job.estimate.Dispatched(now, declared, a.worker.speed)
	a.checkAt = now.Add(a.job.estimate.FirstCheck(declared, a.worker.speed))
}

// learnsAlone reports whether the run time of a task depends on more than its worker, so that
// it is not compared with those of the job's other tasks.
func (j *job) learnsAlone(task int) bool { return len(j.spec.Steps) > 1 || j.step(task).Affinity != "" }

// learnRun records the run of an ended task. The tasks of a job are compared once all have
// ended.
func (c *Core) learnRun(now time.Time, a *attempt, w *worker, took time.Duration) {
	j := a.job
	if !w.hello.Leased() {
		return
	}
	if !runtimes.Valid(took) {
		c.discardedRunTimes++
		c.emit(RunTimeDiscarded{Worker: w.name, RunTime: took, Count: c.discardedRunTimes})
		return
	}
	if w.slowdown.slow() {
		w.slowdown.at = now
	}
	if j.learnsAlone(a.task) {
		counted := a.overdue || w.awayFromData(j.step(a.task))
		c.applySpeedChanges(now, j.estimate.EndedAlone(now, w.speed, a.sentAt, took, j.spec.Tasks[a.task].DeclaredRunTime, counted))
		return
	}
	j.estimate.Ended(w.speed, a.sentAt, took, j.spec.Tasks[a.task].DeclaredRunTime, a.overdue)
	if j.estimate.Runs() == len(j.tasks) {
		c.applySpeedChanges(now, j.estimate.Finish(now))
	}
}

// applySpeedChanges reports what has changed about workers, and lets the degraded ones count
// as slow.
func (c *Core) applySpeedChanges(now time.Time, changes []speed.Change) {
	for _, change := range changes {
		w := c.workers.byName[change.Worker.Name()]
		if w == nil || w.speed != change.Worker {
			continue
		}
		switch change.Kind {
		case speed.Learned:
			c.emit(WorkerSpeedLearned{Worker: w.name, Speed: w.speed.Speed(), Uncertainty: w.speed.Uncertainty()})
		case speed.Degraded:
			w.slowdown = slowdown{factor: slowThreshold, at: now, since: now}
			for _, a := range w.outstanding {
				a.checkAt = now
			}
			c.emit(WorkerDegraded{Worker: w.name, Speed: w.speed.Speed(), Ratio: change.Ratio})
			c.emit(WorkerJudged{Worker: w.name, Health: verdict.Slow})
		default:
			w.slowdown = slowdown{}
			c.emit(WorkerJudged{Worker: w.name, Health: verdict.Sound})
		}
	}
}

// judgeSilent lets a worker that makes no progress count as slow.
func (c *Core) judgeSilent(now time.Time, w *worker) {
	if c.estimates == nil {
		c.observeSlowdown(now, w, now, slowThreshold, 1)
		return
	}
	a := w.outstanding[0]
	c.applySpeedChanges(now, a.job.estimate.Stalled(now, w.speed, a.job.estimate.Ratio(c.overrun(now, w, a))))
}

// overrun describes an attempt that has not ended.
func (c *Core) overrun(now time.Time, w *worker, a *attempt) estimate.Overrun {
	o := estimate.Overrun{
		Worker: w.speed, Declared: a.job.spec.Tasks[a.task].DeclaredRunTime,
		Elapsed: now.Sub(a.sentAt) - c.answerAllowance(), Started: a.sentAt,
		Counted: a.overdue, Alone: a.job.learnsAlone(a.task), Stops: a.job.tasks[a.task].stops,
	}
	for i := range a.job.tasks {
		other := a.job.tasks[i].attempt
		if other == nil || a.job.estimate.Runs() > 0 {
			continue
		}
		if a.job.estimate.AlsoLong(o, estimate.Overrun{
			Worker: other.worker.speed, Declared: a.job.spec.Tasks[i].DeclaredRunTime, Elapsed: now.Sub(other.sentAt),
		}) {
			o.OthersLong = true
			break
		}
	}
	return o
}

// recheckShare is the part of its time that an attempt goes on for until it is looked at
// again.
const recheckShare = 0.1

// checkRun lets an attempt that takes longer than nearly all others of its kind count
// against its worker, once, and stops it if a new start elsewhere can be expected to end
// sooner.
func (c *Core) checkRun(now time.Time, w *worker, a *attempt) {
	j, t := a.job, &a.job.tasks[a.task]
	if now.Before(a.checkAt) || a.stop || !j.restartable() || j.spec.Tasks[a.task].DeclaredRunTime <= 0 {
		return
	}
	if w.awayFromData(j.step(a.task)) && !w.slowdown.slow() {
		return
	}
	o := c.overrun(now, w, a)
	a.checkAt = now.Add(time.Duration(recheckShare * float64(o.Elapsed)))
	share, rare := j.estimate.Rare(o)
	if rare {
		c.countOverdue(now, a, &o, share)
	}
	if !o.Unusual(share) {
		return
	}
	if to, ok := c.alternative(w, a); ok && j.estimate.Stop(o, to) {
		c.countOverdue(now, a, &o, share)
		t.lastFailedWorker = w.name
		t.stops++
		j.estimate.Stopped()
		a.stop = true
		c.queueRevoke(a)
	}
}

// awayFromData reports whether the step's tasks take longer at the worker than near their data,
// so that a long run says nothing about the worker.
func (w *worker) awayFromData(step Step) bool {
	return step.Affinity != "" && !w.hasLabel(step.Affinity)
}

// countOverdue lets an attempt that takes long count against its worker, once.
func (c *Core) countOverdue(now time.Time, a *attempt, o *estimate.Overrun, share float64) {
	if a.overdue {
		return
	}
	if a.worker.slowdown.slow() {
		a.worker.slowdown.at = now
	}
	a.overdue, o.Counted = true, true
	c.applySpeedChanges(now, a.job.estimate.Overdue(now, *o, share))
}

// stopDelay is the time that the stop of a task and its start elsewhere take, without the
// delay of messages at this entry.
const stopDelay = 5 * time.Millisecond

// alternative returns the fastest worker that an attempt's task may start at instead, one
// with room if there is one.
func (c *Core) alternative(w *worker, a *attempt) (estimate.Alternative, bool) {
	step := a.job.step(a.task)
	best, found := estimate.Alternative{Delay: stopDelay + 2*c.MessageDelay()}, false
	for _, o := range c.workers.list {
		if o == w || !o.usable() || !o.hello.Leased() || o.hello.Service != w.hello.Service || o.slowdown.slow() ||
			o.stalled || o.health.Quarantined() || !a.size.FitsIn(o.hello.Size) || !o.hasRequiredLabel(step) {
			continue
		}
		free := o.fits(a.size)
		if !found || free && !best.Free || free == best.Free && o.speed.Slowness() < best.Slowness {
			best.Slowness, best.Free, found = o.speed.Slowness(), free, true
		}
	}
	return best, found
}

// target returns by when a task needs to end for its job to be answered in time.
func (c *Core) target(p *pass, j *job, task int) estimate.Target {
	if c.estimates == nil {
		return estimate.Target{}
	}
	return j.estimate.Target(p.now, j.submittedAt, j.objective, j.spec.Tasks[task].DeclaredRunTime, c.MessageDelay())
}

// endPenalty is what the expected end of a task subtracts from a worker's score. A slow
// worker gets its trial task although others are better, if the task can be stopped and its
// job still be answered in time; after a second trialDelay, whatever its job is. While too
// many workers are slow to be left out, tasks there are no trials.
func (c *Core) endPenalty(w *worker, p *pass, t *estimate.Target, j *job) float64 {
	if w.speed == nil {
		return 0
	}
	if w.slowdown.slow() {
		if p.leaveOutSlow && j.restartable() && (t.AllowsTrial(w.speed) || p.now.Sub(w.slowdown.at) >= 2*trialDelay) {
			return -w.slowdownPenalty()
		}
		return 0
	}
	return t.Penalty(w.speed)
}

// Expected returns the run time to be expected of a task at a worker, from what this entry
// has learned; the declared one if it does not learn.
func (c *Core) Expected(service, jobType string, declared time.Duration, worker string) time.Duration {
	if c.estimates == nil {
		return declared
	}
	return c.estimates.Expected(service, jobType, declared, worker)
}
