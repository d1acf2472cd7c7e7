package lease

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/callpace"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

type runState uint8

const (
	// starting waits for the answer to the start.
	starting runState = iota
	// startUnknown means that the start got no answer and may have been carried out.
	startUnknown
	// running means that the worker has reported the task as running.
	running
	// stopped means that the worker has answered a stop and will not run the task any
	// more. A hold that begins afterwards tells whether it ran at all.
	stopped
)

// execution is one attempt at the worker.
type execution struct {
	id        msg.AttemptID
	name      string
	run       uint32
	owner     *owner
	state     runState
	startedAt time.Time
	// endBy is when the attempt has used up its run time; zero means no limit.
	endBy time.Time
	// stopRequested is set once the attempt has to end, at stopRequestedAt. Until that is
	// confirmed, the lease does not reach beyond stopLimit.
	stopRequested              bool
	stopRequestedAt, stopLimit time.Time
	// stopCall is the number of the stop that waits for its answer, or zero.
	stopCall uint64
	// retryStopAt is when a stop that got no answer is sent again.
	retryStopAt time.Time
	stopPace    callpace.Pace
	// ran is set once the worker has reported the task as running. earlierInstance is set once
	// the worker has restarted: the new instance does not know what the earlier one ran.
	ran, earlierInstance bool
	// conclusiveAfter is a call number: only holds with a larger one show whether
	// the worker runs the attempt.
	conclusiveAfter uint64
	// missed counts the holds in a row that do not list the attempt.
	missed int
}

// needsHold reports whether only a hold can show if the worker has run the task.
func (e *execution) needsHold() bool {
	return e.stopCall == 0 && (e.state == startUnknown && !e.stopRequested || e.state == stopped && !e.ran)
}

// stopDue reports whether a stop has to be sent now.
func (e *execution) stopDue(now time.Time) bool {
	return e.stopRequested && e.stopCall == 0 && e.state != starting && e.state != stopped && !now.Before(e.retryStopAt)
}

// workerRestarted forgets what an earlier instance of the worker has answered. Only holds
// after the given call show whether the new one runs the attempt, and it does not know of
// stops.
func (e *execution) workerRestarted(lastCall uint64) {
	e.conclusiveAfter, e.missed, e.earlierInstance = lastCall, 0, true
	e.stopCall, e.retryStopAt, e.stopPace = 0, time.Time{}, callpace.Pace{}
	if e.state == stopped && !e.ran {
		e.state = startUnknown
	}
}

func (c *Core) runTask(in RunTask) {
	if reason := c.refusal(in); reason != 0 {
		c.emit(Ended{Attempt: in.Attempt, Kind: msg.ResultNotReached, Reason: reason})
		return
	}
	if !c.confirmed() {
		c.toStart = append(c.toStart, delayedStart{RunTask: in, at: c.now, after: c.lastCall})
		return
	}
	c.start(in)
}

func (c *Core) start(in RunTask) {
	e := &execution{id: in.Attempt, name: in.Task, run: in.Run, startedAt: c.now}
	if in.Limit > 0 {
		e.endBy = c.now.Add(in.Limit)
	}
	c.addOwner(e, in.OwnerSeen)
	c.byName[in.Task] = e
	n := c.nextCall()
	e.conclusiveAfter = n
	c.byCall[n] = call{execution: e, sentAt: c.now}
	c.emit(Start{
		Call: n, Timeout: c.answers.Timeout(), Instance: c.instance, Task: in.Task, Run: in.Run,
		Payload: in.Payload, Until: c.renewUntil(n), Fence: c.fence, SendBy: c.now.Add(confirmTerm),
	})
}

// refusal returns why no start is sent, or zero. An older attempt of the same
// task is stopped first, so that the next try finds it gone.
func (c *Core) refusal(in RunTask) verdict.RetryReason {
	if c.evacuated {
		return verdict.Evacuated
	}
	if !c.Ready() {
		return verdict.WorkerLeaving
	}
	if older, ok := c.byName[in.Task]; ok {
		c.stop(older)
		return verdict.TaskPresent
	}
	limit := c.ownerLimit(in)
	if c.promisedEnd.After(limit) || min(limit.Sub(c.now), c.leaseEnd().Sub(c.now)) < minStartLease {
		// The worker never shortens its lease, which may reach beyond the limit already.
		return verdict.StartByPassed
	}
	return 0
}

// ownerLimit returns the latest end of the lease that the newest sign of life of the
// attempt's entry allows.
func (c *Core) ownerLimit(in RunTask) time.Time {
	seen := in.OwnerSeen
	if o := c.owners[in.Attempt.Entry]; o != nil && o.seen.After(seen) {
		seen = o.seen
	}
	return seen.Add(c.cfg.OwnerTerm)
}

// addOwner links an attempt to the entry that it belongs to.
func (c *Core) addOwner(e *execution, seen time.Time) {
	o := c.owners[e.id.Entry]
	if o == nil {
		o = &owner{}
		c.owners[e.id.Entry] = o
	}
	o.attempts++
	e.owner = o
	c.ownerSeen(OwnerSeen{Owner: e.id.Entry, At: seen})
}

// finish removes an attempt and reports its end.
func (c *Core) finish(e *execution, kind msg.ResultKind, reason verdict.RetryReason) {
	delete(c.byName, e.name)
	if e.owner.attempts--; e.owner.attempts == 0 {
		delete(c.owners, e.id.Entry)
	}
	if kind != msg.ResultNotReached {
		reason = 0
	}
	c.emit(Ended{Attempt: e.id, Kind: kind, Reason: reason, RunTime: c.now.Sub(e.startedAt)})
}

// stop requests the end of an attempt. It does nothing for nil or a second time.
func (c *Core) stop(e *execution) {
	if e == nil || e.stopRequested {
		return
	}
	e.stopRequested, e.stopRequestedAt = true, c.now
	// The request may have been late: signs of life that follow it prove nothing about the
	// time at which the entry decided.
	e.stopLimit = c.now.Add(c.cfg.StopTerm)
	if limit := e.owner.seen.Add(c.cfg.OwnerTerm); limit.Before(e.stopLimit) {
		e.stopLimit = limit
	}
	if e.stopDue(c.now) {
		c.sendStop(e)
	}
}

func (c *Core) sendStop(e *execution) {
	e.stopCall = c.nextCall()
	c.byCall[e.stopCall] = call{execution: e, isStop: true, sentAt: c.now}
	c.emit(Stop{Call: e.stopCall, Timeout: c.answers.Timeout(), Instance: c.instance, Task: e.name, Run: e.run, Fence: c.fence})
}

// startAnswered applies the answer to a start.
func (c *Core) startAnswered(e *execution, status Status) {
	if c.byName[e.name] != e || e.state != starting {
		return
	}
	switch status {
	case OK:
		e.state, e.ran = running, true
		e.conclusiveAfter = c.lastCall
	case NoAnswer:
		e.state = startUnknown
		// Only a hold that begins from now on shows whether it runs.
		e.conclusiveAfter = c.lastCall
	default:
		c.startRefused(e, status)
		return
	}
	if e.stopDue(c.now) {
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
	case LeaseExpired:
		c.finish(e, msg.ResultNotReached, verdict.StartByPassed)
	case Malformed:
		c.finish(e, msg.ResultEndpointError, 0)
	case Fenced, WrongInstance:
		c.finish(e, msg.ResultNotReached, verdict.WrongIncarnation)
	default:
		c.finish(e, msg.ResultNotReached, verdict.NotReached)
	}
}

// stopAnswered applies the answer to a stop. How the attempt ended is learnt from a
// later hold.
func (c *Core) stopAnswered(asked call, in Answer) {
	e := asked.execution
	if c.byName[e.name] != e || e.stopCall != in.Call {
		return
	}
	e.stopCall = 0
	if in.Status == OK {
		e.state = stopped
		e.conclusiveAfter, e.missed = c.lastCall, 0
		return
	}
	e.stopPace.Failed()
	e.retryStopAt = e.stopPace.Next(asked.sentAt, callpace.Bounds{Min: 2 * stopRetryDelay, Max: c.cfg.ProbeInterval})
	if earliest := c.now.Add(stopRetryDelay); e.retryStopAt.Before(earliest) {
		e.retryStopAt = earliest
	}
}

// resolveUnlisted handles an attempt that the hold with the given call number
// lists neither as running nor as finished.
func (c *Core) resolveUnlisted(e *execution, number uint64) {
	if number <= e.conclusiveAfter {
		return
	}
	switch e.state {
	case startUnknown:
		// The start may still be carried out; a stop prevents that.
		c.stop(e)
	case stopped:
		kind := msg.ResultNotReached
		if e.ran || e.earlierInstance {
			kind = msg.ResultAborted
		}
		c.finish(e, kind, verdict.NeverStarted)
	case running:
		if e.missed++; e.missed >= lostAfterHolds {
			c.finish(e, msg.ResultAborted, 0)
		}
	}
}

// runFinished applies a run end that the worker lists.
func (c *Core) runFinished(f Finished) {
	e, ok := c.byName[f.Task]
	if !ok || e.run != f.Run {
		return
	}
	switch f.Kind {
	case Done:
		c.finish(e, msg.ResultOK, 0)
	case Failed:
		c.finish(e, msg.ResultEndpointError, 0)
	default:
		c.finish(e, msg.ResultAborted, 0)
	}
}
