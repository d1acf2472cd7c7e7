package agent

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// maxRetired bounds the number of remembered incarnations that a later one
// replaced.
const maxRetired = 256

// entryState is the state of one entry incarnation.
type entryState struct {
	name        string
	incarnation msg.Incarnation
	up          bool
	lastSent    time.Time
	lastHeard   time.Time
	// granted is the number of free slots granted to the entry. They are reserved
	// for it until reservedUntil.
	granted       int
	reservedUntil time.Time
	claim         msg.Claim
	// waitForRoom is how long its newest dispatch may wait; the later the entry reads
	// messages, the longer.
	waitForRoom time.Duration
	// running is the number of its attempts at the endpoint.
	running int
	// busySince is when running last rose from zero.
	busySince time.Time
	// drainingSince is when draining of the link began, or zero.
	drainingSince time.Time
	// echoedClock is the newest agent clock that the entry has sent back.
	echoedClock time.Duration
	// crashesSent is the number of the latest crash that the entry was told of on this
	// link.
	crashesSent uint64
	// reportedRoom is the room in the latest report to the entry.
	reportedRoom msg.Size
	// colocationEvery is the latest msg.Welcome.ColocationEvery.
	colocationEvery uint32
	// lastSeq is the largest Dispatch.Seq received.
	lastSeq uint64
	// forgottenUntil is the largest StartBy of an attempt that ran and whose
	// result was dropped without acknowledgement.
	forgottenUntil time.Duration
	// retired is set when a later incarnation has taken the name.
	retired bool
}

// noteDroppedResult records that a result with this startBy was dropped.
func (e *entryState) noteDroppedResult(startBy time.Duration) {
	e.forgottenUntil = max(e.forgottenUntil, startBy)
}

// entrySet holds the known entry incarnations, of which at most one is current
// for each name.
type entrySet struct {
	byIncarnation map[msg.Incarnation]*entryState
	byName        map[string]*entryState
	// linked is ordered by the time of linking, so that outputs have a fixed
	// order. It is no longer than the number of links of one agent.
	linked []*entryState
	// retired holds replaced incarnations, oldest first.
	retired []*entryState
	// evictedForgottenUntil is the largest forgottenUntil of evicted incarnations.
	// An unknown incarnation that links may be one of them.
	evictedForgottenUntil time.Duration
}

func newEntrySet() entrySet {
	return entrySet{byIncarnation: make(map[msg.Incarnation]*entryState), byName: make(map[string]*entryState)}
}

// link returns the state of a linked entry, or nil.
func (s *entrySet) link(id msg.Incarnation) *entryState {
	if e := s.byIncarnation[id]; e != nil && e.up {
		return e
	}
	return nil
}

func (s *entrySet) unlink(id msg.Incarnation) {
	if e := s.byIncarnation[id]; e != nil && e.up {
		e.up, e.granted, e.reservedUntil, e.claim, e.drainingSince = false, 0, time.Time{}, msg.Claim{}, time.Time{}
		s.linked = slices.DeleteFunc(s.linked, func(o *entryState) bool { return o == e })
	}
}

// connect marks the entry as linked and returns its state and that of the
// incarnation that it replaces, or nil.
func (s *entrySet) connect(now time.Time, id msg.Incarnation, name string) (e, replaced *entryState) {
	s.unlink(id)
	e = s.byIncarnation[id]
	if e == nil {
		e = &entryState{name: name, incarnation: id, forgottenUntil: s.evictedForgottenUntil}
		s.byIncarnation[id] = e
	}
	if replaced = s.byName[name]; replaced == e {
		replaced = nil
	}
	s.byName[name] = e
	if e.retired {
		e.retired = false
		s.retired = slices.DeleteFunc(s.retired, func(o *entryState) bool { return o == e })
	}
	e.up, e.lastSent, e.lastHeard, e.crashesSent = true, now, now, 0
	s.linked = append(s.linked, e)
	return e, replaced
}

func (s *entrySet) retire(e *entryState) {
	s.unlink(e.incarnation)
	e.retired = true
	if len(s.retired) >= maxRetired {
		oldest := s.retired[0]
		s.retired = slices.Delete(s.retired, 0, 1)
		s.evictedForgottenUntil = max(s.evictedForgottenUntil, oldest.forgottenUntil)
		delete(s.byIncarnation, oldest.incarnation)
	}
	s.retired = append(s.retired, e)
}

// noteDroppedResult records that a result of the entry was dropped.
func (s *entrySet) noteDroppedResult(id msg.Incarnation, startBy time.Duration) {
	if e := s.byIncarnation[id]; e != nil {
		e.noteDroppedResult(startBy)
		return
	}
	s.evictedForgottenUntil = max(s.evictedForgottenUntil, startBy)
}

// isCurrent reports whether the incarnation is known and not replaced.
func (s *entrySet) isCurrent(id msg.Incarnation) bool {
	e := s.byIncarnation[id]
	return e != nil && !e.retired
}

// conflict returns the holder of the name that keeps the replaced incarnation
// out, or nil. A holder that is unlinked and silent for the given time does not.
func (s *entrySet) conflict(now time.Time, id msg.Incarnation, name string, silence time.Duration) *entryState {
	e, holder := s.byIncarnation[id], s.byName[name]
	if e == nil || !e.retired || holder == nil || holder == e {
		return nil
	}
	if !holder.up && now.Sub(holder.lastHeard) >= silence {
		return nil
	}
	return holder
}

func (c *Core) linkUp(now time.Time, in LinkUp) {
	if holder := c.entries.conflict(now, in.Entry, in.Name, c.cfg.EntrySilence); holder != nil {
		c.emit(EntryConflict{Name: in.Name, Current: holder.incarnation, Late: in.Entry})
		c.emit(CloseLink{Entry: in.Entry})
		return
	}
	e, replaced := c.entries.connect(now, in.Entry, in.Name)
	if replaced != nil {
		c.retire(replaced)
	}
	e.colocationEvery = in.ColocationEvery
	c.setColocation(now)
	c.redistributeGrants()
	// The endpoint may have announced itself after Hello was written.
	c.send(now, e, c.hello(e))
	c.resendResults(now, e)
}

// closeSilentLinks closes links on which nothing was received for too long: a
// stream whose other end is gone may look open for minutes. A pause of this
// process is not counted as silence.
func (c *Core) closeSilentLinks(now time.Time) {
	gap := now.Sub(c.lastTick)
	paused := !c.lastTick.IsZero() && gap >= pauseThreshold
	c.lastTick = now
	var silent []*entryState
	for _, e := range c.entries.linked {
		if paused {
			e.lastHeard = e.lastHeard.Add(min(gap, now.Sub(e.lastHeard)))
		}
		if now.Sub(e.lastHeard) >= c.silenceLimit(e) {
			silent = append(silent, e)
		}
	}
	for _, e := range silent {
		c.entries.unlink(e.incarnation)
		c.emit(CloseLink{Entry: e.incarnation})
	}
}

// retire drops the results of an entry process that a later one replaced, and
// stops its attempts at a leased worker. Their results are not kept.
func (c *Core) retire(e *entryState) {
	if e.up {
		c.emit(CloseLink{Entry: e.incarnation})
	}
	c.entries.retire(e)
	c.stopAttempts(e)
	for id, a := range c.attempts {
		if id.Entry == e.incarnation && a.state == stateDone {
			e.noteDroppedResult(a.startBy)
			c.dropResult(id, a)
		}
	}
}

func (c *Core) resendResults(now time.Time, e *entryState) {
	var results []msg.Result
	for id, a := range c.attempts {
		if id.Entry == e.incarnation && a.state == stateDone {
			results = append(results, a.result)
		}
	}
	slices.SortFunc(results, func(a, b msg.Result) int { return a.Attempt.Compare(b.Attempt) })
	for _, r := range results {
		c.sendResult(now, e, r)
	}
}

func (c *Core) sendResult(now time.Time, e *entryState, r msg.Result) {
	r.Report = c.report(e)
	c.send(now, e, r)
}
