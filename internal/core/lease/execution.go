package lease

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

type runState uint8

const (
	// starting waits for the answer to the start.
	starting runState = iota
	// doubtful means that the start got no answer.
	doubtful
	// running means that the worker was seen to run the task.
	running
	// barred means that the worker will not run it any more, after a stop that it
	// answered. A hold that begins afterwards tells whether it ran at all.
	barred
)

// execution is one attempt at the worker.
type execution struct {
	id    msg.AttemptID
	name  string
	run   uint32
	state runState
	began time.Time
	// endBy is when the attempt has used up its run time; zero means never.
	endBy time.Time
	// stopWanted is set once the attempt has to end.
	stopWanted bool
	// stopCall is the stop that waits for its answer, or zero.
	stopCall uint64
	// stopAt is when a stop that got no answer is repeated.
	stopAt time.Time
	// ran is set once the worker was seen to run it.
	ran bool
	// since is the number of the call after which a hold tells the truth about it.
	since uint64
	// missed counts the holds in a row that lack it.
	missed int
}

// inDoubt tells whether a hold has to say if the worker has run the task.
func (e *execution) inDoubt() bool {
	return e.stopCall == 0 && (e.state == doubtful && !e.stopWanted || e.state == barred && !e.ran)
}

// retryStop tells whether a stop has to be sent.
func (e *execution) retryStop(now time.Time) bool {
	return e.stopWanted && e.stopCall == 0 && e.state != starting && e.state != barred && !now.Before(e.stopAt)
}

func (c *Core) begin(in Begin) {
	if reason := c.refusal(in); reason != 0 {
		c.emit(Ended{Attempt: in.Attempt, Kind: msg.ResultNotReached, Reason: reason})
		return
	}
	e := &execution{id: in.Attempt, name: in.Task, run: in.Run, began: c.now}
	if in.Limit > 0 {
		e.endBy = c.now.Add(in.Limit)
	}
	c.byName[in.Task] = e
	n := c.nextCall()
	e.since = n
	c.byCall[n] = call{run: e}
	c.emit(Start{Call: n, Life: c.life, Task: in.Task, Run: in.Run, Payload: in.Payload, Until: c.renewal(), Fence: c.fence})
}

// refusal returns why a start is not tried, or zero. An older attempt of the
// same task is stopped first, so that the next try finds it gone.
func (c *Core) refusal(in Begin) verdict.RetryReason {
	if !c.Ready() {
		return verdict.WorkerLeaving
	}
	if older, ok := c.byName[in.Task]; ok {
		c.stop(older)
		return verdict.TaskPresent
	}
	return 0
}

// finish reports the end of an attempt.
func (c *Core) finish(e *execution, kind msg.ResultKind, reason verdict.RetryReason) {
	delete(c.byName, e.name)
	if kind != msg.ResultNotReached {
		reason = 0
	}
	c.emit(Ended{Attempt: e.id, Kind: kind, Reason: reason, RunTime: c.now.Sub(e.began)})
}

// stop begins the end of an attempt.
func (c *Core) stop(e *execution) {
	if e == nil || e.stopWanted {
		return
	}
	e.stopWanted = true
	if e.retryStop(c.now) {
		c.sendStop(e)
	}
}

func (c *Core) sendStop(e *execution) {
	e.stopCall = c.nextCall()
	c.byCall[e.stopCall] = call{run: e, stop: true}
	c.emit(Stop{Call: e.stopCall, Life: c.life, Task: e.name, Run: e.run, Fence: c.fence})
}

// startAnswered applies the answer to a start.
func (c *Core) startAnswered(e *execution, status Status) {
	if c.byName[e.name] != e || e.state != starting {
		return
	}
	switch status {
	case OK:
		e.state, e.ran = running, true
		e.since = c.calls
	case NoAnswer:
		e.state = doubtful
		// Only a hold that begins from now on tells whether it runs.
		e.since = c.calls
	default:
		c.startRefused(e, status)
		return
	}
	if e.retryStop(c.now) {
		c.sendStop(e)
	}
}

// startRefused ends an attempt that the worker did not start.
func (c *Core) startRefused(e *execution, status Status) {
	switch status {
	case NoRoom:
		c.finish(e, msg.ResultNotReached, verdict.NoSlot)
	case StaleRun:
		c.finish(e, msg.ResultNotReached, verdict.StaleRun)
	case Late:
		c.finish(e, msg.ResultNotReached, verdict.StartByPassed)
	case Malformed:
		c.finish(e, msg.ResultEndpointError, 0)
	case Fenced, OtherLife:
		c.finish(e, msg.ResultNotReached, verdict.WrongIncarnation)
	default:
		c.finish(e, msg.ResultNotReached, verdict.NotReached)
	}
}

// stopAnswered applies the answer to a stop. The end itself is learnt from a
// hold.
func (c *Core) stopAnswered(e *execution, n uint64, status Status) {
	if c.byName[e.name] != e || e.stopCall != n {
		return
	}
	e.stopCall = 0
	if status == OK {
		e.state = barred
		e.since, e.missed = c.calls, 0
		return
	}
	e.stopAt = c.now.Add(stopPause)
}

// judge applies what a hold that began after call number began says of an
// attempt that it lists neither as running nor as finished.
func (c *Core) judge(e *execution, began uint64) {
	if began <= e.since {
		return
	}
	switch e.state {
	case doubtful:
		// The start may still be carried out; a stop bars that.
		c.stop(e)
	case barred:
		kind := msg.ResultNotReached
		if e.ran {
			kind = msg.ResultAborted
		}
		c.finish(e, kind, verdict.NeverStarted)
	case running:
		if e.missed++; e.missed >= missedHolds {
			c.finish(e, msg.ResultAborted, 0)
		}
	}
}

// ended applies an end that the worker lists.
func (c *Core) ended(f Finished) {
	e, ok := c.byName[f.Task]
	if !ok || e.run != f.Run {
		return
	}
	switch f.How {
	case Done:
		c.finish(e, msg.ResultOK, 0)
	case Failed:
		c.finish(e, msg.ResultEndpointError, 0)
	default:
		c.finish(e, msg.ResultAborted, 0)
	}
}
