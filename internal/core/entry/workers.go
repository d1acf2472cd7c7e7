package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/speed"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

type workerState uint8

const (
	workerUp workerState = iota + 1
	// workerSuspect gets no new tasks; results of its attempts are still accepted.
	workerSuspect
	workerLeaving
)

var workerStateNames = [...]string{"", "up", "suspect", "leaving"}

// String returns the name shown by the status command.
func (s workerState) String() string { return workerStateNames[s] }

// worker is the entry's view of one worker.
type worker struct {
	name        string
	hello       msg.Hello
	incarnation msg.Incarnation
	// remote reports whether the worker is in another failure domain than the entry.
	remote bool
	// retired holds the agent incarnations that later ones replaced.
	retired []msg.Incarnation
	link    LinkID
	state   workerState
	// free is the number of slots granted to this entry and believed free, spare the
	// number of other slots believed free.
	free, spare int
	// room is the capacity believed free at a leased worker.
	room msg.Size
	// echoedAt is when the agent clock that was last echoed to the agent was received.
	echoedAt time.Time
	// outcomes counts the tasks that have ended at the worker, according to its newest
	// report.
	outcomes health.Outcomes
	health   health.Worker
	slowdown slowdown
	// reportedStalled is set while the agent reports that the worker's tasks make no progress,
	// stalled once the entry has acted on it, at stalledAt after the dispatch stalledSeq.
	reportedStalled, stalled bool
	stalledAt                time.Time
	stalledSeq               uint64
	// stalledUntil is when the latest stall ended.
	stalledUntil time.Time
	// speed is nil unless the core learns speeds.
	speed *speed.Worker
	// crashed is set from a crash of the worker until it takes tasks again.
	crashed bool
	// suspects counts the outstanding attempts of tasks under which a worker crashed before.
	suspects int
	// evacuated is set while the worker's failure domain is evacuated. refusedUntil is set after
	// the agent has refused a task for that reason although the entry did not know.
	evacuated    bool
	refusedUntil time.Time
	// inCell is set for a worker that tasks of confined job types may use.
	inCell bool
	// separationRank is the worker's place in the order of package separation.
	separationRank float64
	// reported is when the newest report arrived.
	reported time.Time
	// seq is the Seq of the latest dispatch. It starts above every Seq that an earlier
	// record of the same worker used.
	seq uint64
	// baseSeq is the Seq up to which dispatches are settled or probed, because they were
	// sent before the current link.
	baseSeq uint64
	// lastReport is the Number of the newest report applied.
	lastReport uint64
	// covered is the largest Covers in the reports of the current agent.
	covered     uint64
	revision    uint64
	outstanding []*attempt
	// lastEnd is when the latest result arrived.
	lastEnd time.Time
	// busySince is when outstanding last rose from zero.
	busySince time.Time
	// claimedWaiting reports whether the latest claim sent had waiting tasks.
	claimedWaiting bool
	lastHeard      time.Time
	lastSent       time.Time
	tableSent      time.Time
	// clock is the agent's clock when it sent the latest message, which
	// arrived at clockSeen.
	clock     time.Duration
	clockSeen time.Time
	transit   transit
	acks      acks
	// queuedRevokes are sent together by the next tick.
	queuedRevokes []*attempt
}

func (w *worker) linked() bool { return w.link != 0 }

// described reports whether the worker's agent knows what its present instance is.
func (w *worker) described() bool { return w.hello.Slots > 0 || w.hello.Size != msg.Size{} }

func (w *worker) usable() bool {
	return w.linked() && w.state == workerUp && !w.evacuated && w.refusedUntil.IsZero() && (w.hello.Leased() || w.free+w.spare > 0)
}

// clockAt estimates the agent's clock. The estimate is never ahead of the real clock,
// since the message took some time to arrive.
func (w *worker) clockAt(now time.Time) time.Duration { return w.clock + now.Sub(w.clockSeen) }

func (w *worker) add(a *attempt) {
	if !w.busy() {
		w.busySince = a.sentAt
	}
	if a.suspect {
		w.suspects++
	}
	a.index = len(w.outstanding)
	w.outstanding = append(w.outstanding, a)
}

func (w *worker) remove(a *attempt) {
	if a.suspect {
		w.suspects--
	}
	last := w.outstanding[len(w.outstanding)-1]
	w.outstanding[a.index] = last
	last.index = a.index
	w.outstanding[len(w.outstanding)-1] = nil
	w.outstanding = w.outstanding[:len(w.outstanding)-1]
}

// owns reports whether the attempt was dispatched to the agent process that is linked now.
func (w *worker) owns(a *attempt) bool { return a.worker == w && a.agentIncarnation == w.incarnation }

// report applies an agent's slot report and reports whether it was newer than all before.
// Dispatches that the agent had not seen when it sent the report use slots that it counts
// as free.
func (w *worker) report(r msg.Slots) bool {
	if r.Number <= w.lastReport {
		return false
	}
	w.lastReport, w.covered = r.Number, max(w.covered, r.Covers)
	w.reported = w.lastHeard
	w.outcomes = r.Outcomes
	w.setFree(r.Free-w.inFlight(r.Covers), r.Spare)
	w.setRoom(r)
	w.reportedStalled = r.Stalled
	return true
}

// inFlight returns the number of dispatches that a report does not cover.
func (w *worker) inFlight(covers uint64) int {
	return int(w.seq - min(w.seq, max(w.baseSeq, covers)))
}

// setFree sets the slots believed free. Dispatches beyond the granted slots, which make
// free negative, use spare slots.
func (w *worker) setFree(free, spare int) {
	spare += min(0, free)
	w.free = max(0, min(free, w.hello.Slots))
	w.spare = max(0, min(spare, w.hello.Slots-w.free))
}

// reserveSlot uses a granted slot for a dispatch, or a spare one when none is free.
func (w *worker) reserveSlot() {
	if w.free > 0 {
		w.free--
	} else {
		w.spare--
	}
	w.checkSlots()
}

// reserve uses the slot or, at a leased worker, the room that a dispatch needs.
func (w *worker) reserve(size msg.Size) {
	if w.hello.Leased() {
		w.room = w.room.Minus(size)
		if w.stalled {
			w.room = msg.Size{}
		}
		return
	}
	w.reserveSlot()
}

func (w *worker) checkSlots() {
	invariant.Check(w.free >= 0 && w.spare >= 0 && w.free+w.spare <= w.hello.Slots, invariant.SlotsInRange, "worker %s has %d granted and %d spare slots believed free out of %d", w.name, w.free, w.spare, w.hello.Slots)
}

// workerSet holds the known workers, ordered by name.
type workerSet struct {
	byName map[string]*worker
	byLink map[LinkID]*worker
	list   []*worker
}

func newWorkerSet() workerSet {
	return workerSet{byName: make(map[string]*worker), byLink: make(map[LinkID]*worker)}
}

func (s *workerSet) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.list, name, func(w *worker, n string) int { return cmp.Compare(w.name, n) })
}

// getOrCreate returns the worker, creating it with the given dispatch counter if it is
// unknown.
func (s *workerSet) getOrCreate(name string, seq uint64) *worker {
	if w, ok := s.byName[name]; ok {
		return w
	}
	w := &worker{name: name, seq: seq}
	s.byName[name] = w
	i, _ := s.find(name)
	s.list = slices.Insert(s.list, i, w)
	return w
}

// freeSlots returns the number of slots believed free at workers of the service.
func (s *workerSet) freeSlots(service string) int {
	sum := 0
	for _, w := range s.list {
		if w.usable() && !w.health.Quarantined() && w.hello.Service == service {
			sum += w.free + w.spare
		}
	}
	return sum
}

// maxReportAge is the age up to which a slot report is kept after another worker refused a
// task for lack of a slot.
const maxReportAge = 50 * time.Millisecond

// discardStaleReports assumes no free slots where the report is older than maxReportAge. A
// worker that filled up unnoticed is a sign that the others have filled up too, and each
// refused dispatch costs two messages. Later reports correct the assumption.
func (s *workerSet) discardStaleReports(now time.Time, service string) {
	for _, w := range s.list {
		if w.hello.Service == service && now.Sub(w.reported) > maxReportAge {
			w.setFree(0, 0)
		}
	}
}

// rank orders workers for the next dispatch: any granted slot ranks above every spare one.
func (w *worker) rank() int {
	if w.free > 0 {
		return w.hello.Slots + w.free
	}
	return w.spare
}

func (s *workerSet) drop(w *worker) {
	delete(s.byName, w.name)
	if i, ok := s.find(w.name); ok {
		s.list = slices.Delete(s.list, i, i+1)
	}
}

// pick returns the worker of the service with the most granted slots or, when there is
// none, the most spare slots, chosen at random among equals. It returns nil when no slot
// is believed free.
func (s *workerSet) pick(now time.Time, service string, rng *rand.Rand) *worker {
	var best *worker
	ties := 0
	for _, w := range s.list {
		if w.hello.Leased() || w.hello.Service != service || w.rule(now, false) != 0 {
			continue
		}
		switch {
		case best == nil || w.rank() > best.rank():
			best, ties = w, 1
		case w.rank() == best.rank():
			ties++
			if rng.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

// maxRetired bounds the number of replaced agent incarnations remembered for one worker.
const maxRetired = 16

func (c *Core) linkUp(now time.Time, in LinkUp) {
	w := c.workers.getOrCreate(in.Hello.Worker, c.dispatches)
	if slices.Contains(w.retired, in.Hello.Incarnation) {
		c.emit(WorkerConflict{Worker: w.name, Current: w.incarnation, Late: in.Hello.Incarnation})
		c.emit(Send{Link: in.Link, Message: msg.Rejected{Reason: "a later agent has taken the worker's name"}})
		c.emit(CloseLink{Link: in.Link})
		return
	}
	if w.incarnation != 0 && w.incarnation != in.Hello.Incarnation {
		c.replaceAgent(w)
	}
	c.unlink(w)
	w.link, w.lastHeard = in.Link, now
	c.workers.byLink[in.Link] = w
	w.baseSeq = w.seq
	c.applyHello(now, w, in.Hello)
	if w.state == workerSuspect {
		w.state = workerUp
	}
	c.recordContact(now, w, in.Clock)
	c.updateStalled(now, w)
	c.sendTo(now, w, c.welcome())
	c.sendEvacuationsTo(now, w)
	if w.revision < c.policy.Revision {
		c.sendTable(now, w)
	}
	c.probeOutstanding(now, w)
	if len(w.outstanding) > 0 {
		// Echoes the agent's clock before the agent stops the attempts.
		c.sendHeartbeat(now, w)
	}
}

// replaceAgent gives up the attempts of an agent process that a later one replaced; at a
// leased worker they are released once they are certain to have ended. The earlier process
// is not accepted again, so that two agents that claim one worker cannot alternate.
func (c *Core) replaceAgent(w *worker) {
	if w.hello.Leased() {
		w.scheduleRelease()
	} else {
		c.loseAttempts(w, "the agent was restarted")
	}
	if len(w.retired) >= maxRetired {
		w.retired = slices.Delete(w.retired, 0, 1)
	}
	w.retired = append(w.retired, w.incarnation)
	w.health, w.outcomes, w.slowdown = health.Worker{}, health.Outcomes{}, slowdown{}
	w.reportedStalled, w.stalled = false, false
	c.forgetSpeed(w)
	w.covered, w.lastReport, w.revision, w.clock, w.clockSeen = 0, 0, 0, 0, time.Time{}
	w.transit = transit{}
}

// unlink closes the current link, if any.
func (c *Core) unlink(w *worker) {
	if w.linked() {
		delete(c.workers.byLink, w.link)
		c.emit(CloseLink{Link: w.link})
		w.link = 0
	}
}

// applyHello applies an agent's description of itself and its endpoint, unless a newer
// report was applied before.
func (c *Core) applyHello(now time.Time, w *worker, h msg.Hello) {
	if h.Incarnation == w.incarnation && h.Report.Number <= w.lastReport {
		return
	}
	c.trackSpeed(w, h)
	w.hello, w.incarnation, w.revision = h, h.Incarnation, max(w.revision, h.Revision)
	w.remote = c.cfg.FailureDomain != "" && h.FailureDomain != "" && h.FailureDomain != c.cfg.FailureDomain
	w.report(h.Report)
	w.state = workerUp
	if h.Leaving {
		w.state = workerLeaving
	}
	w.crashed = w.crashed && h.Leaving
	w.evacuated = c.evacuations.Evacuated(h.FailureDomain)
	c.noteCrashes(now, w, h.Crashes)
	c.markCells()
	c.separations.workersChanged()
}

func (c *Core) linkDown(now time.Time, id LinkID) {
	w, ok := c.workers.byLink[id]
	if !ok {
		return
	}
	delete(c.workers.byLink, id)
	w.link = 0
	w.lastHeard = now
}

func (c *Core) receive(now time.Time, in Received) {
	w, ok := c.workers.byLink[in.Link]
	if !ok {
		return
	}
	c.recordContact(now, w, in.Clock)
	c.recordDelay(now, w, in.Clock)
	switch m := in.Message.(type) {
	case msg.Hello:
		if m.Worker == w.name && m.Incarnation == w.incarnation {
			c.applyHello(now, w, m)
			c.correctEvacuation(now, w)
		}
	case msg.Refused:
		w.report(m.Report)
		w.noteRefusal(now, m.Reason)
		if m.Reason == verdict.NoSlot {
			c.workers.discardStaleReports(now, w.hello.Service)
		}
		if a, ok := c.attempts[m.Attempt]; ok && w.owns(a) {
			c.attemptNotStarted(a, m.Reason)
		}
	case msg.Result:
		w.report(m.Report)
		c.handleResult(now, w, m)
	case msg.AttemptStates:
		c.handleStates(w, m)
	case msg.Heartbeat:
		w.report(m.Report)
		w.revision = max(w.revision, m.Revision)
		c.resendTable(now, w)
	case msg.SlotsFree:
		w.report(m.Report)
	case msg.Leaving:
		if w.report(m.Report) {
			w.state = workerLeaving
		}
	}
	c.updateHealth(now, w)
	c.updateStalled(now, w)
	w.checkSlots()
}

// recordContact records that a message from the worker arrived. A clock older than the
// last one comes from a message that was overtaken and is ignored.
func (c *Core) recordContact(now time.Time, w *worker, clock time.Duration) {
	w.lastHeard = now
	if clock >= w.clock {
		w.clock, w.clockSeen = clock, now
	}
	if w.state == workerSuspect {
		w.state = workerUp
		c.probeOutstanding(now, w)
	}
}

// checkWorkers marks silent workers as suspect, gives up lost ones, and sends heartbeats
// and acknowledgements that are due.
func (c *Core) checkWorkers(now time.Time) {
	var lost []*worker
	for _, w := range c.workers.list {
		c.releaseAttempts(now, w)
		if now.Sub(w.lastHeard) >= c.lostAfter(w) {
			lost = append(lost, w)
			continue
		}
		if c.silentTooLong(now, w) && w.state == workerUp {
			w.state = workerSuspect
		}
		c.maintainLink(now, w)
	}
	for _, w := range lost {
		c.loseAttempts(w, "the worker has been silent for too long")
		c.unlink(w)
		c.forgetSpeed(w)
		c.workers.drop(w)
	}
	if len(lost) > 0 {
		c.markCells()
		c.separations.workersChanged()
	}
}

// maintainLink sends the heartbeat and the acknowledgements that are due on a link.
func (c *Core) maintainLink(now time.Time, w *worker) {
	if !w.linked() {
		return
	}
	if c.heartbeatDue(now, w) {
		c.sendHeartbeat(now, w)
	}
	c.sendAcks(now, w)
}

func (c *Core) sendHeartbeat(now time.Time, w *worker) {
	c.sendTo(now, w, msg.EntryHeartbeat{
		Seq: w.seq, Revision: c.policy.Revision, Acks: w.acks.take(), Claim: c.nextClaim(w), EchoedClock: w.echoClock(),
	})
}

// loseAttempts gives up every outstanding attempt at the worker.
func (c *Core) loseAttempts(w *worker, message string) {
	for _, a := range slices.Clone(w.outstanding) {
		c.attemptLost(a, message)
	}
	w.acks.take()
}

func (c *Core) sendTable(now time.Time, w *worker) {
	w.tableSent = now
	c.sendTo(now, w, msg.TableUpdate{Revision: c.policy.Revision})
}

// resendTable sends the table revision again to an agent whose heartbeats still name an
// older one.
func (c *Core) resendTable(now time.Time, w *worker) {
	if w.revision < c.policy.Revision && now.Sub(w.tableSent) >= c.cfg.HeartbeatInterval {
		c.sendTable(now, w)
	}
}
