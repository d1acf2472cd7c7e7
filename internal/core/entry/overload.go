package entry

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/objective"
	"github.com/poplarlever/poplarlever/internal/core/shedding"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Callers want the answer within a time that grows with the run time of the longest task.
// A job that has not started by the time at which it could still be answered within it is
// refused, so that the capacity goes to jobs that can.

// sized reports whether the job's tasks take room of leased workers, so that one may fit
// where another does not.
func (j *job) sized() bool { return j.spec.Tasks[0].DeclaredSize != (msg.Size{}) }

// urgentReserve is the part of a service's cores that is reserved for its most urgent job
// types. Their jobs have the least time to wait, and a single burst of other jobs would
// take every core that becomes free before them.
const urgentReserve = 0.06

// reservedCores returns the cores of the service that a job has to leave free: minus
// infinity for a job of the most urgent types.
func (c *Core) reservedCores(p *pass, j *job) float64 {
	if most, known := c.mostUrgent[j.spec.Service]; known && most < j.policy.Priority {
		return urgentReserve * p.totalCores
	}
	return math.Inf(-1)
}

// mostUrgent returns the smallest priority of each service that has job types. A service may
// have tens of thousands of them, and each job that waits is compared.
func mostUrgent(p Policy) map[string]int {
	most := make(map[string]int, len(p.Services))
	for name, s := range p.Services {
		for _, t := range s.JobTypes {
			if least, known := most[name]; !known || t.Priority < least {
				most[name] = t.Priority
			}
		}
	}
	return most
}

// restartable reports whether a task may be started again after an attempt that failed or
// was aborted.
func (j *job) restartable() bool { return j.policy.MaxAttempts > 0 }

// objective returns the response objective of a job.
func (p JobTypePolicy) objective(spec Job) objective.Objective {
	o := objective.Objective{Target: p.ResponseTarget, Factor: p.ResponseFactor}
	for _, t := range spec.Tasks {
		o.Longest = max(o.Longest, t.DeclaredRunTime)
	}
	return o
}

// setLatestStarts sets by when the job has to start: to meet its response objective, and
// to be of any use. They stay zero without an objective.
func (c *Core) setLatestStarts(j *job) {
	o := j.policy.objective(j.spec)
	if !o.Exists() {
		return
	}
	j.latestStart = j.submittedAt.Add(o.LatestStart())
	j.latestUsefulStart = j.submittedAt.Add(o.LatestUsefulStart(j.spec.Deadline.Sub(j.submittedAt)))
}

// arriveHopeless records the arrival of a job, and refuses it if it is hopeless.
func (c *Core) arriveHopeless(now time.Time, j *job) bool {
	c.queue.account(j.spec.Service, j.spec.Account)
	s := c.queue.services[j.spec.Service]
	hopeless := c.hopeless(now, j)
	s.arrived(now, j)
	// Each job is recorded, whether it is hopeless or not.
	shed := c.sheds(now, j)
	switch {
	case hopeless:
		c.emit(Answered{Job: j.spec.ID, Answer: hopelessAnswer(c.retryAfterRoom(now, j.spec.Service))})
	case shed:
		c.emit(Answered{Job: j.spec.ID, Answer: shedAnswer(c.retryAfterRoom(now, j.spec.Service))})
	}
	return hopeless || shed
}

// arrived records the arrival of a job in the forecast of its service.
func (s *serviceQueue) arrived(now time.Time, j *job) {
	if !j.confined {
		s.flow.Arrived(now, j.cores(), j.policy.objective(j.spec).Longest)
	}
}

// sheds records a job that has just arrived and reports whether it gives way to others.
func (c *Core) sheds(now time.Time, j *job) bool {
	if !c.mayShed(j) {
		return false
	}
	s := c.queue.services[j.spec.Service]
	return !s.shedder.Admit(now, j.shedding(now), s.flow.Wait(s.coresInTime()))
}

// wouldShed reports whether a job gives way to others that has arrived in a copy of its
// service's queue. It changes nothing.
func (c *Core) wouldShed(now time.Time, s *serviceQueue, j *job) bool {
	if !c.mayShed(j) {
		return false
	}
	return !s.shedder.Admits(now, j.shedding(now), s.flow.Wait(s.coresInTime()))
}

// mayShed reports whether jobs like this one give way to others in an overload.
func (c *Core) mayShed(j *job) bool {
	return c.cfg.ShedByJobType && !j.latestStart.IsZero() && !j.confined && j.sized()
}

// shedding describes a job that has just arrived to package shedding.
func (j *job) shedding(now time.Time) shedding.Job {
	return shedding.Job{
		Type: j.spec.JobType, Priority: j.policy.Priority, Work: j.declaredWork(), MaxWait: j.latestStart.Sub(now),
	}
}

// declaredWork returns the work of the job's tasks in core-seconds.
func (j *job) declaredWork() float64 {
	sum := 0.0
	for _, t := range j.spec.Tasks {
		sum += t.DeclaredSize.Cores * t.DeclaredRunTime.Seconds()
	}
	return sum
}

// hopelessAnswer and shedAnswer are the refusals of a job that comes while its service is
// full.
func hopelessAnswer(retryAfter time.Duration) Answer {
	return Answer{
		Outcome: Refused, Verdict: verdict.NotRun, Reason: verdict.WouldMissDeadline,
		Message: "no worker is expected to have room in time", RetryAfter: retryAfter,
	}
}

func shedAnswer(retryAfter time.Duration) Answer {
	return Answer{
		Outcome: Refused, Verdict: verdict.NotRun, Reason: verdict.Shed,
		Message: "the service is full, and jobs of this type give way", RetryAfter: retryAfter,
	}
}

// firstTimeout returns when the job's timer first fires.
func (j *job) firstTimeout() time.Time {
	if j.latestStart.IsZero() || j.spec.Deadline.Before(j.latestStart) {
		return j.spec.Deadline
	}
	return j.latestStart
}

// neverDispatched reports whether no task of the job was ever dispatched.
func (j *job) neverDispatched() bool {
	for i := range j.tasks {
		if j.tasks[i].attempts > 0 {
			return false
		}
	}
	return true
}

// Untouched returns the number of jobs of a type of which no task was ever dispatched.
func (c *Core) Untouched(service, jobType string) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Service == service && j.spec.JobType == jobType && j.neverDispatched() {
			n++
		}
	}
	return n
}

// handleLatestStart handles a job whose latest start has passed. One that has started gets
// until its deadline. One that has not is late: it goes behind those in time, or is refused
// when it cannot be expected to find room while callers have a use for the answer.
func (c *Core) handleLatestStart(now time.Time, j *job) {
	switch {
	case !j.neverDispatched():
		c.setTimer(&j.timer, j.spec.Deadline)
	case j.late:
		c.refuseLate(now, j)
	default:
		j.late = true
		c.queue.fix(j)
		if c.lateWait(now, j) > j.latestUsefulStart.Sub(now) {
			c.refuseLate(now, j)
			return
		}
		c.setTimer(&j.timer, earlier(j.latestUsefulStart, j.spec.Deadline))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuseLate fails a job that no worker had room for.
func (c *Core) refuseLate(now time.Time, j *job) {
	c.decideEnd(j, Answer{
		Outcome: Failed, Reason: verdict.WouldMissDeadline, Message: "no worker had room in time",
		RetryAfter: c.retryAfterRoom(now, j.spec.Service),
	})
}

// hopeless reports whether a job that has just arrived cannot be expected to find room
// while callers have a use for the answer.
func (c *Core) hopeless(now time.Time, j *job) bool {
	if j.latestStart.IsZero() {
		return false
	}
	if j.confined {
		return !c.cellInUse(j.spec.Service)
	}
	s := c.queue.service(j.spec.Service)
	if s.flow.Wait(s.coresAhead(j)) <= j.latestStart.Sub(now) {
		return false
	}
	return c.lateWait(now, j) > j.latestUsefulStart.Sub(now)
}

// lateWait returns the time until the last task of the job finds room behind the jobs that
// are in time.
func (c *Core) lateWait(now time.Time, j *job) time.Duration {
	s := c.queue.service(j.spec.Service)
	return s.flow.WaitBehind(now, s.coresAhead(j)+j.cores())
}

// cores returns the cores of all tasks of the job.
func (j *job) cores() float64 {
	sum := 0.0
	for _, t := range j.spec.Tasks {
		sum += t.DeclaredSize.Cores
	}
	return sum
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may come
	// back, before it is spread.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// retryAfterRoom returns when a refused caller may come back: once the backlog is expected
// to be gone. Callers that are refused together come back over as long a time again.
func (c *Core) retryAfterRoom(now time.Time, service string) time.Duration {
	wait := c.queue.service(service).roomWait(now)
	return wait + time.Duration(c.rng.Int64N(int64(wait)))
}

// roomWait returns the least time after which a refused caller may come back.
func (s *serviceQueue) roomWait(now time.Time) time.Duration {
	backlog := 0.0
	for _, a := range s.accounts {
		for _, j := range a.jobs {
			backlog += j.queuedCores()
		}
	}
	return min(max(s.flow.WaitBehind(now, backlog), minRetryAfter), maxRetryAfter)
}
