package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// maxAttempts bounds how often one task is dispatched. Refusals for lack of a slot are
// frequent under load, so the bound is far above what a healthy fleet needs.
const maxAttempts = 1000

// dispatchQueued dispatches queued tasks while a worker is believed to have a free slot.
func (c *Core) dispatchQueued(now time.Time) {
	for _, name := range c.queue.serviceNames {
		s := c.queue.services[name]
		if s.freeSlots = 0; s.next() != nil {
			s.freeSlots = c.workers.freeSlots(name)
			c.dispatchService(now, name, s)
		} else {
			s.flow.Pass(now, 0, false)
		}
		s.unplaced = s.runnable()
	}
}

// pick returns the worker for the job's next task, or nil.
func (c *Core) pick(now time.Time, s *serviceQueue, j *job) *worker {
	if w := c.pickLeased(&s.pass, j, j.queuedTasks[0]); w != nil {
		return w
	}
	return c.workers.pick(now, j.spec.Service, c.rng)
}

// claim returns what would run at the worker's service if it had more free slots or, at
// leased workers, more room.
func (c *Core) claim(w *worker) msg.Claim {
	s := c.queue.services[w.hello.Service]
	if s == nil {
		return msg.Claim{}
	}
	waiting := s.runnable() - s.freeSlots
	if w.hello.Leased() {
		// Tasks that the current pass has not reached may still be placed.
		waiting = min(s.runnable(), s.unplaced)
	}
	j := s.next()
	if j == nil || waiting <= 0 {
		return msg.Claim{}
	}
	return msg.Claim{Waiting: waiting, Unfinished: j.unfinished}
}

func (c *Core) dispatch(now time.Time, j *job, w *worker) {
	if j.late {
		// The rest of a job that has started is not held back.
		j.late = false
		c.queue.fix(j)
	}
	i := c.queue.pop(j)
	t := &j.tasks[i]
	invariant.Check(t.attempt == nil && t.state == taskQueued && t.unresolved == 0, invariant.OneAttempt, "task %d of job %d is dispatched again without proof", i, j.spec.ID)
	invariant.Check(j.phase == jobOpen, invariant.NothingAfterEnd, "task %d of job %d is dispatched after the end of the job was decided", i, j.spec.ID)
	t.state = taskDispatched
	t.attempts++
	t.unresolved++
	j.running++
	c.dispatches++
	w.seq++
	w.reserve(j.spec.Tasks[i].DeclaredSize)
	w.advanceClock(now)
	remaining := j.spec.Deadline.Sub(now)
	a := &attempt{
		id:  msg.AttemptID{Entry: c.cfg.Incarnation, Job: j.spec.ID, Task: uint32(i), Attempt: t.attempts},
		job: j, task: i, worker: w, agentIncarnation: w.incarnation, probeInterval: c.cfg.ProbeAfter,
		startBy: w.clockAt(now) + min(remaining, c.cfg.StartWindow), seq: w.seq,
	}
	a.latestEnd = now.Add(min(remaining, c.cfg.StartWindow) + min(remaining, c.cfg.RunLimit))
	c.usage.Start(j.spec.Account)
	a.timer = timer{attempt: a, index: -1}
	a.suspect = c.suspect(j, i)
	a.size, a.sentAt = j.spec.Tasks[i].DeclaredSize, now
	t.attempt = a
	c.attempts[a.id] = a
	w.add(a)
	c.expectEnd(now, a)
	c.setTimer(&a.timer, now.Add(a.probeInterval))
	c.sendTo(now, w, msg.Dispatch{
		Attempt: a.id, Seq: w.seq, AgentIncarnation: w.incarnation, StartBy: a.startBy,
		RunLimit: min(remaining, c.cfg.RunLimit), Service: j.spec.Service,
		Account: j.spec.Account, Payload: j.spec.Tasks[i].Payload, Acks: w.acks.take(),
		Claim: c.nextClaim(w), TaskName: j.spec.Tasks[i].Name, Size: a.size, EchoedClock: w.echoClock(), JobType: j.spec.JobType,
		WaitForRoom: c.waitForRoom(now, j), Report: w.lastReport,
	})
	c.emitProgress(j)
}

// settle removes an attempt whose outcome is known or is given up.
func (c *Core) settle(a *attempt) {
	invariant.Check(!a.settled, invariant.SettledOnce, "attempt %v is settled again", a.id)
	if a.settled {
		return
	}
	a.settled = true
	delete(c.attempts, a.id)
	c.stopTimer(&a.timer)
	a.worker.remove(a)
	a.job.tasks[a.task].attempt = nil
	a.job.running--
}

// attemptNotStarted handles proof that an attempt did not start: the task is queued again
// or, when its job is ending, counts as not run.
func (c *Core) attemptNotStarted(a *attempt, reason verdict.RetryReason) {
	c.settle(a)
	c.usage.End(a.job.spec.Account)
	a.job.tasks[a.task].unresolved--
	c.requeue(a.job, a.task, reason)
}

// requeue queues a task without an outstanding attempt again, unless its job is ending.
func (c *Core) requeue(j *job, task int, reason verdict.RetryReason) {
	t := &j.tasks[task]
	t.state = taskQueued
	if j.phase != jobOpen {
		c.finishIfSettled(j)
		return
	}
	if t.attempts >= maxAttempts {
		c.failJob(j, verdict.RetriesExhausted, "a task was refused by every worker that was asked")
		return
	}
	c.emit(Retried{Reason: reason})
	c.queue.push(j, task)
	c.emitProgress(j)
}

func (c *Core) handleResult(now time.Time, w *worker, r msg.Result) {
	w.acks.add(now, r)
	w.lastEnd = now
	if r.Kind != msg.ResultEndpointFailed {
		c.usage.Release(r.Attempt)
	}
	a, ok := c.attempts[r.Attempt]
	if !ok || !w.owns(a) {
		return
	}
	if r.Kind == msg.ResultNotReached {
		c.attemptNotStarted(a, verdict.NotReached)
		return
	}
	if r.Kind == msg.ResultAborted {
		c.attemptAborted(a)
		return
	}
	c.settle(a)
	if a.job.phase == jobEnding {
		c.emit(ResultAfterEnd{Job: a.job.spec.ID, Kind: r.Kind})
	}
	if r.Kind == msg.ResultOK || r.Kind == msg.ResultEndpointError {
		c.usage.End(a.job.spec.Account)
	} else {
		c.holdUsage(a)
	}
	c.charge(a.job, r.RunTime)
	// The run may change what is known of the worker's speed.
	slowness := w.speed.Slowness()
	if r.Kind == msg.ResultOK {
		c.recordRun(now, a, w, r.RunTime)
	}
	c.recordColocation(now, a, w, r, slowness)
	c.applyResult(a.job, a.task, w, r)
}

// applyResult applies the result of a task that started.
func (c *Core) applyResult(j *job, i int, w *worker, r msg.Result) {
	t := &j.tasks[i]
	if r.Kind == msg.ResultEndpointError && j.restartable() {
		c.attemptFailed(j, i, w)
		return
	}
	t.state = taskFinished
	t.verdict = verdict.Ran
	switch r.Kind {
	case msg.ResultOK:
		t.result = TaskResult{Payload: r.Payload, RunTime: r.RunTime, Worker: w.name}
		j.unfinished--
		c.queue.fix(j)
		c.taskDone(j, i)
		c.emitProgress(j)
		c.finishIfSettled(j)
	case msg.ResultEndpointError:
		c.failTask(j, verdict.EndpointError, "the endpoint answered a task with an error")
	default:
		t.verdict = verdict.MayHaveRun
		c.failTask(j, verdict.EndpointFailed, "the endpoint gave no whole answer to a task")
	}
}

// failTask fails the job because one of its tasks failed.
func (c *Core) failTask(j *job, reason verdict.Reason, message string) {
	if j.phase != jobOpen {
		c.finishIfSettled(j)
		return
	}
	c.failJob(j, reason, message)
}

// charge adds measured run time, divided by the account's weight, to the account's virtual
// time.
func (c *Core) charge(j *job, used time.Duration) {
	weight := c.policy.Accounts[j.spec.Account].Weight
	if weight <= 0 {
		weight = 1
	}
	c.queue.account(j.spec.Service, j.spec.Account).virtualTime += time.Duration(float64(max(0, used)) / weight)
}

// revokeAttempts revokes the job's outstanding attempts, so that those which have not
// started never do. Running ones are stopped if the job type allows several attempts.
func (c *Core) revokeAttempts(j *job) {
	if j.running == 0 {
		return
	}
	for i := range j.tasks {
		if a := j.tasks[i].attempt; a != nil {
			a.stop = j.restartable()
			c.queueRevoke(a)
		}
	}
}

// queueRevoke adds the attempt to the revoke that the next tick sends to its agent, so
// that many cancellations at once cost one message per agent.
func (c *Core) queueRevoke(a *attempt) {
	if a.revokeQueued {
		return
	}
	a.revokeQueued = true
	if len(a.worker.queuedRevokes) == 0 {
		c.revokeTargets = append(c.revokeTargets, a.worker)
	}
	a.worker.queuedRevokes = append(a.worker.queuedRevokes, a)
}

// flushRevokes sends the queued revokes. Attempts at an agent without a link are probed
// when it links again.
func (c *Core) flushRevokes(now time.Time) {
	workers := c.revokeTargets
	c.revokeTargets = nil
	for _, w := range workers {
		attempts := w.queuedRevokes
		w.queuedRevokes = nil
		var revoke, stop []msg.AttemptRef
		for _, a := range attempts {
			a.revokeQueued = false
			ref := msg.AttemptRef{Attempt: a.id, StartBy: a.startBy}
			switch {
			case a.stop:
				stop = append(stop, ref)
			case !a.settled:
				revoke = append(revoke, ref)
			}
		}
		if len(revoke) > 0 {
			c.sendTo(now, w, msg.Revoke{Attempts: revoke})
		}
		if len(stop) > 0 {
			c.sendTo(now, w, msg.Revoke{Attempts: stop, Stop: true})
		}
	}
}

// probeOutstanding probes every outstanding attempt of an agent that is heard again. A
// dispatch may have been lost: the revoke then proves that it never starts. It does not
// affect a running attempt.
func (c *Core) probeOutstanding(now time.Time, w *worker) {
	for _, a := range w.outstanding {
		c.queueRevoke(a)
	}
	c.flushRevokes(now)
}

// maxProbeInterval bounds the time between probes of one attempt.
const maxProbeInterval = 30 * time.Second

// coveredProbeInterval is the time before the probe of an attempt that the agent has seen
// according to its slot report. A link loses no result before it breaks, so the probe only
// guards against a fault of the agent, and a shorter interval would cost two messages for
// every task of a few seconds.
const coveredProbeInterval = 10 * time.Second

// probeAttempt probes an attempt that has had no result for a while.
func (c *Core) probeAttempt(now time.Time, a *attempt) {
	if a.probeInterval < coveredProbeInterval && a.worker.owns(a) && a.seq <= a.worker.covered {
		a.probeInterval = coveredProbeInterval
		c.setTimer(&a.timer, now.Add(a.probeInterval))
		return
	}
	c.queueRevoke(a)
	a.probeInterval = min(2*a.probeInterval, maxProbeInterval)
	c.setTimer(&a.timer, now.Add(a.probeInterval))
}

// handleStates applies an agent's answer to Revoke or Query.
func (c *Core) handleStates(w *worker, m msg.AttemptStates) {
	for _, item := range m.Attempts {
		a, ok := c.attempts[item.Attempt]
		if !ok || !w.owns(a) {
			continue
		}
		switch item.State {
		case msg.NeverStarts:
			c.attemptNotStarted(a, verdict.NeverStarted)
		case msg.Forgotten:
			c.attemptLost(a, "the agent dropped the result of a task")
		}
	}
}

// attemptLost gives up an attempt whose outcome can no longer be learned.
func (c *Core) attemptLost(a *attempt, message string) {
	c.settle(a)
	c.holdUsage(a)
	t := &a.job.tasks[a.task]
	t.state = taskFinished
	t.verdict = verdict.MayHaveRun
	c.failTask(a.job, verdict.WorkerLost, message)
}

// giveUpAttempts gives up the outstanding attempts of an ending job, as possibly run, and
// answers it without waiting for the agents.
func (c *Core) giveUpAttempts(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.attempt == nil {
			continue
		}
		a := t.attempt
		c.settle(a)
		c.holdUsage(a)
		t.state = taskFinished
		t.verdict = verdict.MayHaveRun
	}
	c.finishIfSettled(j)
}

func (c *Core) sendTo(now time.Time, w *worker, m msg.FromEntry) {
	if !w.linked() {
		return
	}
	c.emit(Send{Link: w.link, Message: m})
	w.lastSent = now
}
