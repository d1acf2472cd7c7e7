package agent

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// maxRetired bounds the remembered incarnations that a later one replaced.
const maxRetired = 256

// entryState is what the agent knows of one entry incarnation.
type entryState struct {
	name        string
	incarnation msg.Incarnation
	up          bool
	lastSent    time.Time
	lastHeard   time.Time
	// granted is the number of free slots granted to the entry. Until firmUntil
	// no other entry takes them.
	granted   int
	firmUntil time.Time
	claim     msg.Claim
	// running is the number of its attempts at the endpoint.
	running int
	// busySince is when running last rose from zero.
	busySince time.Time
	// drainingSince is when the link was found not to be wanted any more, or zero.
	drainingSince time.Time
	// vouched is the newest agent clock that the entry has repeated.
	vouched time.Duration
	// toldRoom is the room in the latest report to it.
	toldRoom msg.Size
	// seen is the largest Dispatch.Seq received.
	seen uint64
	// forgottenUntil is the largest StartBy of an attempt that ran and whose
	// result was dropped without acknowledgement.
	forgottenUntil time.Duration
	// retired is set when a later incarnation has taken the name.
	retired bool
}

// forget notes that the result of an attempt was dropped.
func (e *entryState) forget(startBy time.Duration) {
	e.forgottenUntil = max(e.forgottenUntil, startBy)
}

// entrySet holds the known entry incarnations, at most one of each name.
type entrySet struct {
	byIncarnation map[msg.Incarnation]*entryState
	byName        map[string]*entryState
	// linked is ordered by the time of linking, so that outputs have a fixed
	// order. It is as short as the number of links of one agent.
	linked []*entryState
	// retired holds replaced incarnations, oldest first.
	retired []*entryState
	// evictedUntil is the largest forgottenUntil of incarnations that are not
	// remembered any more, one of which may come back as an unknown one.
	evictedUntil time.Duration
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
		e.up, e.granted, e.firmUntil, e.claim, e.drainingSince = false, 0, time.Time{}, msg.Claim{}, time.Time{}
		s.linked = slices.DeleteFunc(s.linked, func(o *entryState) bool { return o == e })
	}
}

// connect marks the entry as linked and returns the incarnation that it
// replaces, or nil.
func (s *entrySet) connect(now time.Time, id msg.Incarnation, name string) (e, replaced *entryState) {
	s.unlink(id)
	e = s.byIncarnation[id]
	if e == nil {
		e = &entryState{name: name, incarnation: id, forgottenUntil: s.evictedUntil}
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
	e.up, e.lastSent, e.lastHeard = true, now, now
	s.linked = append(s.linked, e)
	return e, replaced
}

func (s *entrySet) retire(e *entryState) {
	s.unlink(e.incarnation)
	e.retired = true
	if len(s.retired) >= maxRetired {
		oldest := s.retired[0]
		s.retired = slices.Delete(s.retired, 0, 1)
		s.evictedUntil = max(s.evictedUntil, oldest.forgottenUntil)
		delete(s.byIncarnation, oldest.incarnation)
	}
	s.retired = append(s.retired, e)
}

// forget notes that the result of an attempt of the entry was dropped.
func (s *entrySet) forget(id msg.Incarnation, startBy time.Duration) {
	if e := s.byIncarnation[id]; e != nil {
		e.forget(startBy)
		return
	}
	s.evictedUntil = max(s.evictedUntil, startBy)
}

// expected tells whether the incarnation still speaks for its name.
func (s *entrySet) expected(id msg.Incarnation) bool {
	e := s.byIncarnation[id]
	return e != nil && !e.retired
}

// conflict returns the holder of the name that keeps the retired incarnation
// out, or nil. A holder that has been gone for the given time does not.
func (s *entrySet) conflict(now time.Time, id msg.Incarnation, name string, gone time.Duration) *entryState {
	e, holder := s.byIncarnation[id], s.byName[name]
	if e == nil || !e.retired || holder == nil || holder == e {
		return nil
	}
	if !holder.up && now.Sub(holder.lastHeard) >= gone {
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
	c.spreadGrants()
	// The endpoint may have announced itself after Hello was written.
	c.send(now, e, c.hello(e))
	c.resendResults(now, e)
}

// closeSilent gives up links on which nothing has come for too long: a stream
// whose other end is gone may look open for minutes. A pause of this process
// is not held against the entries.
func (c *Core) closeSilent(now time.Time) {
	gap := now.Sub(c.lastTick)
	paused := !c.lastTick.IsZero() && gap >= pauseLimit
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

// retire drops the results of an entry process that a later one replaced. Its
// running attempts end unheard.
func (c *Core) retire(e *entryState) {
	if e.up {
		c.emit(CloseLink{Entry: e.incarnation})
	}
	c.entries.retire(e)
	c.stopAttempts(e)
	for id, a := range c.attempts {
		if id.Entry == e.incarnation && a.state == stateDone {
			e.forget(a.startBy)
			c.spend(id, a)
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
