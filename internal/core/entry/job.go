package entry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/estimate"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/objective"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

type taskState uint8

const (
	taskQueued taskState = iota
	taskDispatched
	taskFinished
)

type job struct {
	spec        Job
	tasks       []task
	unfinished  int
	running     int
	queuedTasks []int
	heapIndex   int
	timer       timer
	policy      JobTypePolicy
	submittedAt time.Time
	// latestStart is when the first task has to start for the job to meet its response
	// target; zero without a target.
	latestStart time.Time
	// latestUsefulStart is when it has to start for callers to have a use for the answer.
	latestUsefulStart time.Time
	// late is set once the latest start of a job without dispatches has passed.
	late bool
	// confined is set while the job's type may use a part of the workers only.
	confined bool
	// runs records where tasks of the job ran and for how long, for comparison.
	runs []taskRun
	// estimate holds what is known of the job's run times if the core learns them.
	estimate estimate.Job
	// objective is the response objective, kept if the core learns run times.
	objective objective.Objective
	// observed holds the runs of which it is known what ran beside them.
	observed observedRuns
	// unfinishedByStep counts the unfinished tasks of each step.
	unfinishedByStep []int
	phase            jobPhase
	// pendingAnswer is the answer of an ending job, without its verdict.
	pendingAnswer Answer
}

type task struct {
	state    taskState
	attempts uint32
	// attempt is the outstanding attempt, or nil.
	attempt *attempt
	// unresolved counts the attempts that are neither proven not to have started nor
	// proven to have ended for a retry. The task may be dispatched only while it is zero.
	unresolved int
	result     TaskResult
	// failures counts the failed attempts; lastFailedWorker is the worker of the latest
	// attempt that failed or was stopped as overdue.
	failures         int
	lastFailedWorker string
	// stops counts the attempts that were stopped as overdue.
	stops int
	// verdict says whether the task may have run, once that is known.
	verdict verdict.Verdict
}

// attempt is a dispatch whose outcome is not known yet.
type attempt struct {
	id               msg.AttemptID
	job              *job
	task             int
	worker           *worker
	agentIncarnation msg.Incarnation
	startBy          time.Duration
	// seq is the Seq of the Dispatch.
	seq uint64
	// latestEnd is the time from which the attempt can no longer be running.
	latestEnd time.Time
	// index is the position in worker.outstanding.
	index int
	// probeInterval is the time until the next probe.
	probeInterval time.Duration
	timer         timer
	// revokeQueued is set while a revoke of the attempt is queued.
	revokeQueued bool
	settled      bool
	// suspect is set if a worker crashed under an earlier attempt of the task.
	suspect bool
	// size is the room that the attempt takes at a leased worker.
	size msg.Size
	// sentAt is when the attempt was dispatched; overdue is set once it was found overdue.
	sentAt  time.Time
	overdue bool
	// checkAt is when the attempt is next compared with a new start elsewhere, if the core
	// learns run times.
	checkAt time.Time
	// stop asks the agent to stop the attempt when it runs under a lease.
	stop bool
	// releaseAt is when an attempt of a replaced agent is certain to have ended; zero
	// while its agent was not replaced.
	releaseAt time.Time
}

func (c *Core) submit(now time.Time, spec Job) {
	c.prepare(now, &spec)
	if answer, refused := c.admit(now, spec); refused {
		c.emit(Answered{Job: spec.ID, Answer: answer})
		return
	}
	if c.allEvacuated(spec.Service) {
		c.emit(Answered{Job: spec.ID, Answer: evacuatedAnswer(Refused, c.retryAfterEvacuation())})
		return
	}
	j := c.newJob(now, spec)
	if c.knownDeadly(spec) {
		c.emit(Answered{Job: spec.ID, Answer: deadlyAnswer()})
		return
	}
	if c.arriveHopeless(now, j) {
		return
	}
	c.jobs[spec.ID] = j
	c.estimateJob(j)
	c.setTimer(&j.timer, j.firstTimeout())
	for i := range spec.Tasks {
		if j.stepReady(spec.Tasks[i].Step) {
			c.queue.push(j, i)
		}
	}
	c.emitProgress(j)
}

// deadlyAnswer is the answer to a job that was sent before and crashed workers.
func deadlyAnswer() Answer {
	return Answer{Outcome: Failed, Verdict: verdict.MayHaveRun, Reason: verdict.WorkerCrashed, Message: "workers crashed under a task"}
}

// prepare replaces what the job leaves to the table, and bounds its run times.
func (c *Core) prepare(now time.Time, spec *Job) {
	spec.Deadline = c.deadline(now, *spec)
	for i := range spec.Tasks {
		// Multiples of a run time are calculated with.
		spec.Tasks[i].DeclaredRunTime = min(spec.Tasks[i].DeclaredRunTime, objective.MaxTime)
	}
}

// newJob returns the state of a job that was admitted.
func (c *Core) newJob(now time.Time, spec Job) *job {
	j := &job{spec: spec, tasks: make([]task, len(spec.Tasks)), unfinished: len(spec.Tasks)}
	j.policy, j.submittedAt = c.policy.Services[spec.Service].JobTypes[spec.JobType], now
	j.timer = timer{job: j, index: -1}
	c.setLatestStarts(j)
	j.confined = c.crashes.Confined(j.typeKey())
	j.countSteps()
	return j
}

// deadline returns the caller's deadline or, when it set none, the default of the job
// type, of the service or of the entry.
func (c *Core) deadline(now time.Time, spec Job) time.Time {
	if !spec.DeadlineByDefault {
		return spec.Deadline
	}
	service := c.policy.Services[spec.Service]
	if d := cmp.Or(service.JobTypes[spec.JobType].DefaultDeadline, service.DefaultDeadline); d > 0 {
		return now.Add(d)
	}
	return spec.Deadline
}

// maxPayload returns the largest payload of a task, in bytes: the strictest of
// the entry's, the service's and the job type's limit.
func (c *Core) maxPayload(service ServicePolicy, jobType JobTypePolicy) int {
	limit := c.cfg.MaxPayload
	for _, l := range []int{service.MaxPayload, jobType.MaxPayload} {
		if l > 0 {
			limit = min(limit, l)
		}
	}
	return limit
}

// retryAfterUnavailable is the retry delay given to callers when the entry lacks something
// that usually becomes available within seconds.
const retryAfterUnavailable = time.Second

// admit checks whether a job can be accepted. If not, it returns the refusal and true. All
// refusals carry the verdict NotRun.
func (c *Core) admit(now time.Time, spec Job) (Answer, bool) {
	refuse := func(r verdict.Reason, retryAfter time.Duration, format string, args ...any) (Answer, bool) {
		return Answer{
			Outcome: Refused, Verdict: verdict.NotRun, Reason: r,
			Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter,
		}, true
	}
	if !spec.ReceivedAt.IsZero() && now.Sub(spec.ReceivedAt) >= resubmitThreshold {
		return refuse(verdict.EntryPaused, retryAfterUnavailable, "the entry was paused before it took the job")
	}
	if c.policy.Revision == 0 {
		return refuse(verdict.NoTable, retryAfterUnavailable, "no table revision is known")
	}
	service, ok := c.policy.Services[spec.Service]
	if !ok {
		return refuse(verdict.UnknownService, 0, "service %q is not in the table", spec.Service)
	}
	jobType, ok := service.JobTypes[spec.JobType]
	if !ok {
		return refuse(verdict.UnknownJobType, 0, "service %q has no job %q", spec.Service, spec.JobType)
	}
	if c.draining && !jobType.objective(spec).EndsWithin(c.drainUntil.Sub(now)) {
		return refuse(verdict.Draining, retryAfterUnavailable, "the entry is stopping")
	}
	account, ok := c.policy.Accounts[spec.Account]
	if !ok {
		return refuse(verdict.UnknownAccount, 0, "client account %q is not in the table", spec.Account)
	}
	if account.MaxRunning < 0 {
		return refuse(verdict.NeverRunnable, 0, "client account %q may run no tasks", spec.Account)
	}
	maxTasks := c.cfg.MaxTasks
	if jobType.MaxTasks > 0 {
		maxTasks = min(maxTasks, jobType.MaxTasks)
	}
	switch {
	case len(spec.Tasks) == 0:
		return refuse(verdict.NoTasks, 0, "the job has no tasks")
	case len(spec.Tasks) > maxTasks:
		return refuse(verdict.TooManyTasks, 0, "the job has %d tasks, at most %d are allowed", len(spec.Tasks), maxTasks)
	case !spec.Deadline.After(now):
		return refuse(verdict.DeadlinePassed, 0, "the deadline has passed")
	}
	maxPayload := c.maxPayload(service, jobType)
	for i, t := range spec.Tasks {
		if len(t.Payload) > maxPayload {
			return refuse(verdict.PayloadTooLarge, 0, "task %d has a payload of %d bytes, at most %d are allowed", i, len(t.Payload), maxPayload)
		}
	}
	queued := c.queue.queuedIn(spec.Service, spec.Account)
	if account.MaxQueued > 0 && queued+len(spec.Tasks) > account.MaxQueued {
		return refuse(verdict.OverQuota, retryAfterUnavailable, "client account %q may queue %d tasks", spec.Account, account.MaxQueued)
	}
	if c.queue.tasks+len(spec.Tasks) > c.cfg.MaxQueued {
		return refuse(verdict.QueueFull, retryAfterUnavailable, "the queue holds %d tasks", c.queue.tasks)
	}
	return Answer{}, false
}

func (c *Core) cancel(id uint64) {
	if j, ok := c.jobs[id]; ok {
		c.failJob(j, verdict.Cancelled, "cancelled by the caller")
	}
}

// handleJobTimer refuses a job that has not started in time and fails one past its
// deadline. Attempts that the agents have not answered verdictWait after the deadline
// count as possibly run.
func (c *Core) handleJobTimer(now time.Time, j *job) {
	if now.Before(j.spec.Deadline) {
		c.handleLatestStart(now, j)
		return
	}
	c.failJob(j, verdict.DeadlineExceeded, "the deadline passed before every task had ended")
	if j.phase == jobAnswered {
		return
	}
	end := j.spec.Deadline.Add(verdictWait)
	if j.restartable() {
		// Stopping the tasks would take longer than the caller waits.
		end = now
	}
	if now.Before(end) {
		c.setTimer(&j.timer, end)
		return
	}
	c.giveUpAttempts(j)
}

// verdictWait is how long an answer waits past the deadline for the verdicts of dispatched
// tasks, so that most failures can truthfully say "not run".
const verdictWait = 200 * time.Millisecond

// failAll fails every job at once, oldest first, without waiting for the agents.
func (c *Core) failAll(reason verdict.Reason) {
	for _, j := range c.orderedJobs() {
		c.failJob(j, reason, "the entry stopped")
		if j.phase != jobAnswered {
			c.giveUpAttempts(j)
		}
	}
}

// orderedJobs returns the jobs without an answer, oldest first.
func (c *Core) orderedJobs() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		jobs = append(jobs, c.jobs[id])
	}
	return jobs
}

func (c *Core) emitProgress(j *job) {
	if !j.spec.Progress {
		return
	}
	c.emit(Progress{
		Job: j.spec.ID, Queued: len(j.queuedTasks), Running: j.running,
		Finished: len(j.tasks) - j.unfinished,
	})
}
