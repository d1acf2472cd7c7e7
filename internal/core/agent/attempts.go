package agent

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

type attemptState uint8

const (
	stateRunning attemptState = iota + 1
	// stateDone keeps the result until it is acknowledged or expires.
	stateDone
	// stateNeverStarts records that the attempt did not start and must not. A late
	// or repeated dispatch can arrive until startBy.
	stateNeverStarts
	// stateForgotten records that the attempt ran and its result was dropped. It is
	// kept until a repeated dispatch would be refused for its startBy.
	stateForgotten
	// stateWaiting records a dispatch that waits for room. It is as if it had not arrived.
	stateWaiting
)

type attempt struct {
	state   attemptState
	startBy time.Duration
	expires time.Time
	result  msg.Result
	size    msg.Size
	// taskName and jobType are those of a task at a leased worker.
	taskName, jobType string
	// beside is set while what runs beside the attempt is followed.
	beside *colocation.Mark
	// stopping is set once a StopTask was emitted for the running attempt.
	stopping bool
}

func (c *Core) receive(now time.Time, in Received) {
	// Messages are accepted only from the newest incarnation of each entry, over a
	// link that is up. The entry asks again about attempts in dropped messages.
	e := c.entries.link(in.Entry)
	if e == nil {
		return
	}
	e.lastHeard = now
	switch m := in.Message.(type) {
	case msg.Dispatch:
		c.acknowledge(e, m.Acks)
		c.dispatch(now, e, m)
	case msg.Revoke:
		c.answerStates(now, e, m.Attempts, true)
		if m.Stop {
			c.stopRevoked(m.Attempts)
		}
	case msg.Query:
		c.answerStates(now, e, m.Attempts, false)
	case msg.Ack:
		c.acknowledge(e, m.Attempts)
	case msg.EntryHeartbeat:
		c.acknowledge(e, m.Acks)
		e.lastSeq = max(e.lastSeq, m.Seq)
		c.echoed(now, e, m.EchoedClock)
		c.applyClaim(now, e, m.Claim)
	case msg.TableUpdate:
		if m.Revision > c.revision {
			c.emit(ApplyTable(m))
		}
	case msg.Evacuations:
		c.applyEvacuations(now, m.Report)
	}
}

func (c *Core) dispatch(now time.Time, e *entryState, d msg.Dispatch) {
	if d.Attempt.Entry != e.incarnation {
		return
	}
	e.lastSeq = max(e.lastSeq, d.Seq)
	e.waitForRoom = d.WaitForRoom
	c.echoed(now, e, d.EchoedClock)
	if known, ok := c.attempts[d.Attempt]; ok {
		c.repeatedDispatch(now, e, d.Attempt, known)
		return
	}
	reason := c.refusal(now, e, d)
	switch {
	case reason == 0:
		c.accept(now, e, d)
	case reason == verdict.NoSlot && c.roomExpected(now, d):
		c.await(now, e, d)
	default:
		c.refuse(now, e, d, reason)
	}
}

// refuse answers a dispatch that must not start.
func (c *Core) refuse(now time.Time, e *entryState, d msg.Dispatch, reason verdict.RetryReason) {
	if e.claim = d.Claim; reason == verdict.NoSlot {
		e.claim.Waiting++
	}
	c.recordNeverStarts(d.Attempt, d.StartBy)
	c.send(now, e, msg.Refused{Attempt: d.Attempt, Reason: reason, Report: c.report(e)})
}

// accept starts a dispatch that has room.
func (c *Core) accept(now time.Time, e *entryState, d msg.Dispatch) {
	if !c.endpoint.leased {
		c.useGrant(e)
	}
	c.start(now, e, d)
	c.applyClaim(now, e, d.Claim)
}

func (c *Core) start(now time.Time, e *entryState, d msg.Dispatch) {
	if e.running++; e.running == 1 {
		e.busySince = now
	}
	a := &attempt{state: stateRunning, startBy: d.StartBy, size: d.Size, taskName: d.TaskName, jobType: d.JobType}
	c.attempts[d.Attempt] = a
	c.followStart(now, a)
	c.running++
	c.recordStart(now, d.Attempt, d.JobType)
	c.used = c.used.Plus(d.Size)
	c.checkUsage(d.Size)
	name := msg.EndpointTaskName(c.cfg.Incarnation, d.Attempt)
	if c.endpoint.leased {
		name = d.TaskName
	}
	c.emit(Start{
		Attempt: d.Attempt, Name: name, Leased: c.endpoint.leased,
		Service: d.Service, Account: d.Account, Payload: d.Payload, RunLimit: d.RunLimit,
		EntrySeen: c.cfg.Epoch.Add(e.echoedClock),
	})
}

// checkUsage checks that the attempts fit into the endpoint's capacity once one of this size
// has been added. A leased worker that has shrunk stays over its capacity in the resources
// that the attempt does not use.
func (c *Core) checkUsage(added msg.Size) {
	if c.endpoint.leased {
		invariant.Check(c.used.Of(added).FitsIn(c.endpoint.size), invariant.SlotsInRange, "agent %s uses %v of %v", c.cfg.Worker, c.used, c.endpoint.size)
		return
	}
	used, limit := c.running+c.endpoint.blockedSlots(), c.endpoint.capacity()
	invariant.Check(used <= limit, invariant.SlotsInRange, "agent %s uses %d of %d slots", c.cfg.Worker, used, limit)
}

// repeatedDispatch answers a dispatch of an attempt that is already known.
func (c *Core) repeatedDispatch(now time.Time, e *entryState, id msg.AttemptID, known *attempt) {
	switch known.state {
	case stateDone:
		c.sendResult(now, e, known.result)
	case stateNeverStarts:
		c.send(now, e, msg.Refused{Attempt: id, Reason: verdict.AttemptRevoked, Report: c.report(e)})
	}
}

// refusal returns why the attempt must not start, or zero.
func (c *Core) refusal(now time.Time, e *entryState, d msg.Dispatch) verdict.RetryReason {
	switch {
	case d.AgentIncarnation != c.cfg.Incarnation:
		return verdict.WrongIncarnation
	case c.Evacuated():
		return verdict.Evacuated
	case c.Clock(now) > d.StartBy:
		return verdict.StartByPassed
	case c.stopping || e.draining() || !c.endpoint.accepts():
		return verdict.WorkerLeaving
	case d.Service != c.endpoint.service:
		return verdict.WrongService
	case c.endpoint.leased:
		return c.leaseRefusal(now, d)
	case c.Free() <= c.reservedForOthers(e):
		return verdict.NoSlot
	}
	return 0
}

// recordNeverStarts records that the attempt must never start.
func (c *Core) recordNeverStarts(id msg.AttemptID, startBy time.Duration) {
	a := &attempt{state: stateNeverStarts, startBy: startBy}
	c.attempts[id] = a
	c.expireAt(id, a, c.cfg.Epoch.Add(startBy))
}

// dropResult drops the result of an attempt that ran.
func (c *Core) dropResult(id msg.AttemptID, a *attempt) {
	invariant.Check(a.state == stateDone, invariant.SettledOnce, "attempt %v is acknowledged in state %d", id, a.state)
	c.unacknowledged--
	a.state, a.result = stateForgotten, msg.Result{}
	c.expireAt(id, a, c.cfg.Epoch.Add(a.startBy))
}

func (c *Core) answerStates(now time.Time, e *entryState, refs []msg.AttemptRef, revoke bool) {
	answer := msg.AttemptStates{Attempts: make([]msg.AttemptStateItem, 0, len(refs))}
	var results []msg.Result
	for _, ref := range refs {
		if ref.Attempt.Entry != e.incarnation {
			continue
		}
		state := c.stateOf(now, e, ref)
		if state == msg.Unknown && revoke {
			c.recordNeverStarts(ref.Attempt, ref.StartBy)
			state = msg.NeverStarts
		}
		if state == msg.Done {
			results = append(results, c.attempts[ref.Attempt].result)
		}
		answer.Attempts = append(answer.Attempts, msg.AttemptStateItem{Attempt: ref.Attempt, State: state})
	}
	c.send(now, e, answer)
	for _, r := range results {
		c.sendResult(now, e, r)
	}
}

func (c *Core) stateOf(now time.Time, e *entryState, ref msg.AttemptRef) msg.AttemptState {
	if known, ok := c.attempts[ref.Attempt]; ok {
		switch known.state {
		case stateRunning:
			return msg.Running
		case stateDone:
			return msg.Done
		case stateNeverStarts:
			return msg.NeverStarts
		case stateWaiting:
			return msg.Unknown
		}
		return msg.Forgotten
	}
	switch {
	case ref.StartBy <= e.forgottenUntil:
		return msg.Forgotten
	case c.Clock(now) > ref.StartBy:
		// A dispatch that arrives from now on is refused.
		return msg.NeverStarts
	}
	return msg.Unknown
}

func (c *Core) taskEnded(now time.Time, in TaskEnded) {
	a, ok := c.attempts[in.Attempt]
	if !ok || a.state != stateRunning {
		return
	}
	c.running--
	c.unacknowledged++
	c.used = c.used.Minus(a.size)
	c.releases.add(now, a.size.Cores)
	a.state = stateDone
	a.result = msg.Result{Attempt: in.Attempt, Kind: in.Kind, Payload: in.Payload, RunTime: in.RunTime, Beside: c.followEnd(now, in, a)}
	switch in.Kind {
	case msg.ResultEndpointFailed:
		c.endpoint.abandon(in.Attempt)
	case msg.ResultNotReached:
		if !c.endpoint.leased {
			c.endpointUnreachable(now)
		}
	}
	if e := c.entries.byIncarnation[in.Attempt.Entry]; e != nil {
		e.running--
	}
	// Waiting attempts take the room before it is reported.
	c.startWaiting(now)
	c.recordProgress(now, a.result)
	c.recordOutcome(now, a.result)
	owner := c.entries.link(in.Attempt.Entry)
	c.grantFreedSlots(now, owner)
	if !c.entries.isCurrent(in.Attempt.Entry) {
		c.entries.noteDroppedResult(in.Attempt.Entry, a.startBy)
		c.dropResult(in.Attempt, a)
	} else {
		c.expireAt(in.Attempt, a, now.Add(c.cfg.ResultKeep))
		if owner != nil {
			c.sendResult(now, owner, a.result)
		}
	}
}

// acknowledge drops results. The records stay until startBy, since a repeated
// dispatch could still arrive.
func (c *Core) acknowledge(e *entryState, ids []msg.AttemptID) {
	for _, id := range ids {
		a, ok := c.attempts[id]
		if ok && id.Entry == e.incarnation && a.state == stateDone {
			c.dropResult(id, a)
		}
	}
}

// expireAt drops the attempt's record at the given time, but not before its
// startBy.
func (c *Core) expireAt(id msg.AttemptID, a *attempt, at time.Time) {
	if latestStart := c.cfg.Epoch.Add(a.startBy); at.Before(latestStart) {
		at = latestStart
	}
	a.expires = at
	heap.Push(&c.expiries, expiry{at: at, id: id})
}

func (c *Core) expire(now time.Time) {
	for len(c.expiries) > 0 && now.After(c.expiries[0].at) {
		due := heap.Pop(&c.expiries).(expiry)
		a, ok := c.attempts[due.id]
		if !ok || a.state == stateRunning || !a.expires.Equal(due.at) {
			continue
		}
		if a.state == stateDone {
			c.unacknowledged--
			c.entries.noteDroppedResult(due.id.Entry, a.startBy)
		}
		delete(c.attempts, due.id)
	}
}

// expiry is the time at which a record may be dropped.
type expiry struct {
	at time.Time
	id msg.AttemptID
}

// expiryHeap orders expiries by time. One that differs from its attempt's expires is
// outdated and ignored.
type expiryHeap []expiry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), h[i].id.Compare(h[j].id)) < 0
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
