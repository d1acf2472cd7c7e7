package entry

import (
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// jobPhase is how far a job has come. A job only moves forward: decideEnd makes an open
// job an ending one, and finish makes either an answered one.
type jobPhase uint8

const (
	// jobOpen is a job whose tasks are queued, dispatched and retried.
	jobOpen jobPhase = iota
	// jobEnding is a job whose answer is decided and waits for the verdicts of its
	// dispatched tasks. Its caller may have sent it to another entry, so nothing of it is
	// queued or dispatched any more.
	jobEnding
	// jobAnswered is a job whose answer was given out.
	jobAnswered
)

// failJob ends a job that cannot complete. Its queued tasks are dropped and its
// outstanding attempts are revoked. The answer waits until the verdict of each dispatched
// task is known.
func (c *Core) failJob(j *job, reason verdict.Reason, message string) {
	c.decideEnd(j, Answer{Outcome: Failed, Reason: reason, Message: message})
}

// decideEnd ends an open job with an answer that lacks its verdict. A job that is ending
// keeps its first answer.
func (c *Core) decideEnd(j *job, answer Answer) {
	if j.phase != jobOpen {
		return
	}
	j.phase, j.pendingAnswer = jobEnding, answer
	if j.running > 0 {
		c.emit(JobEnding{Job: j.spec.ID, Reason: answer.Reason, Outstanding: j.running, Dropped: len(j.queuedTasks)})
	}
	c.queue.remove(j)
	c.revokeAttempts(j)
	c.finishIfSettled(j)
}

// finishIfSettled answers an ending or complete job once it has no outstanding attempts.
func (c *Core) finishIfSettled(j *job) {
	if j.running > 0 {
		return
	}
	if j.phase == jobEnding {
		answer := j.pendingAnswer
		answer.Verdict = j.jobVerdict()
		c.finish(j, answer)
		return
	}
	if j.unfinished > 0 {
		return
	}
	results := make([]TaskResult, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	c.finish(j, Answer{Outcome: Complete, Results: results, Verdict: verdict.Ran})
}

// jobVerdict is NotRun when no task may have run, Ran when every task that
// started is known to have ended, and MayHaveRun otherwise.
func (j *job) jobVerdict() verdict.Verdict {
	result := verdict.NotRun
	for i := range j.tasks {
		switch j.tasks[i].verdict {
		case verdict.MayHaveRun:
			return verdict.MayHaveRun
		case verdict.Ran:
			result = verdict.Ran
		}
	}
	return result
}

func (c *Core) finish(j *job, answer Answer) {
	checkAnswer(j, answer)
	j.phase = jobAnswered
	delete(c.jobs, j.spec.ID)
	c.stopTimer(&j.timer)
	c.emit(Answered{Job: j.spec.ID, Answer: answer})
}

// checkAnswer checks the invariants of an answer: it is the job's only one, a complete one
// has every result, NotRun is proven, and no task waits to be dispatched.
func checkAnswer(j *job, answer Answer) {
	invariant.Check(j.phase != jobAnswered, invariant.AnsweredOnce, "job %d is answered again", j.spec.ID)
	invariant.Check(len(j.queuedTasks) == 0, invariant.NothingAfterEnd, "job %d is answered with %d queued tasks", j.spec.ID, len(j.queuedTasks))
	whole := answer.Outcome != Complete || len(answer.Results) == len(j.tasks)
	for i := range j.tasks {
		t := &j.tasks[i]
		whole = whole && (answer.Outcome != Complete || t.state == taskFinished && t.verdict == verdict.Ran)
		invariant.Check(answer.Verdict != verdict.NotRun || t.unresolved == 0, invariant.NotRunProven, "job %d is answered not run, but task %d may have started", j.spec.ID, i)
	}
	invariant.Check(whole, invariant.WholeAnswer, "job %d is answered complete without every result", j.spec.ID)
}
