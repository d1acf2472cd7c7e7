package agentd

import (
	"context"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/linkpb"
)

// An announcement proves nothing: it may come from another writer, late, or from a sender
// whose numbers are wrong. Once the worker has answered as the announced instance, an
// announcement of another one is used only if the worker no longer answers as the first.
// Otherwise one odd announcement would end the worker's tasks for the entries while they
// run, and an odd start time would keep out all later announcements of the real worker.

const (
	// checkTimeout bounds a call that asks whether the worker still is the present instance.
	checkTimeout = 30 * time.Millisecond
	// checkPause is the pause before a check without an answer is repeated.
	checkPause = 50 * time.Millisecond
	// checkLimit bounds the checks for one announcement. It exceeds the time after which
	// the tasks of a worker that answers no more have ended.
	checkLimit = 3 * time.Second
	// numberTrust is the time after an announcement for which one with a lower number counts
	// as late. Without a higher one for that long, the number was wrong: workers announce
	// themselves every 1.5 s.
	numberTrust = leasedAnnounceTimeout / 2
)

// instanceState is what is believed of one instance of the worker. Each instance begins with a
// new value, so that nothing of an earlier one is applied to it: a worker that restarts under
// its ID may be of another kind.
type instanceState struct {
	instance lease.Instance
	// address is where the instance takes calls.
	address string
	// announced is the newest announcement of the instance in use, which arrived at
	// announcedAt. It is nil until the instance has announced itself; the worker gets no
	// tasks before that.
	announced   *WorkerAnnouncement
	announcedAt time.Time
	// answered is set once the worker has answered as the instance.
	answered bool
	// leftAt is when the instance deregistered without an announcement that it is leaving,
	// or zero.
	leftAt time.Time
	// candidate is the newest announcement of another instance since the check began, at
	// candidateSince; nil without a check.
	candidate      *WorkerAnnouncement
	candidateSince time.Time
}

// instances follows the instances of the worker and decides which announcements are used.
type instances struct {
	present instanceState
	// adoptions counts the instances used so far, and orders them for the agent core. Start
	// times do not: the worker's time of day may have been set back.
	adoptions uint64
}

// begin makes another instance the present one.
func (s *instances) begin(next instanceState) {
	s.present = next
	s.adoptions++
}

// applyAnnouncement uses an announcement of the present instance, or checks whether
// another one has taken its place.
func (d *leasedDriver) applyAnnouncement(now time.Time, a WorkerAnnouncement) {
	p := &d.present
	samePlace := a.Instance == p.instance && a.Address == p.address
	switch {
	case samePlace && p.announced != nil && p.late(now, a):
	case samePlace && d.goesOn(now, a):
		d.adopt(now, a)
	case samePlace:
		d.use(now, a)
	case !p.answered:
		d.adopt(now, a)
	case a.Instance == p.instance:
		d.loop.announcementRefused(errMalformedAnnouncement.New("worker %s answers at %s, not at %s", a.Instance.ID, p.address, a.Address))
	case p.candidate != nil:
		p.candidate = &a
	default:
		p.candidate, p.candidateSince = &a, now
		d.checkPresent()
	}
}

// use applies an announcement of the present instance.
func (d *leasedDriver) use(now time.Time, a WorkerAnnouncement) {
	p := &d.present
	if a.Leaving {
		p.leftAt = time.Time{}
	}
	a.Leaving = a.Leaving || p.announced != nil && p.announced.Leaving
	p.announced, p.announcedAt = &a, now
	d.core.Step(now, lease.Announced{Instance: a.Instance, Leaving: a.Leaving})
	d.pass(now)
}

// late reports whether a newer announcement of the instance is in use. The notice that the
// worker is leaving holds in any order.
func (p *instanceState) late(now time.Time, a WorkerAnnouncement) bool {
	return a.Number <= p.announced.Number && (!a.Leaving || p.announced.Leaving) && now.Sub(p.announcedAt) < numberTrust
}

// goesOn reports whether a worker that seemed to have deregistered announces itself on: the
// call came from another writer, or late from an earlier life with the same ID.
func (d *leasedDriver) goesOn(now time.Time, a WorkerAnnouncement) bool {
	leftAt := d.present.leftAt
	return !leftAt.IsZero() && now.Sub(leftAt) >= numberTrust && !a.Leaving && d.loop.core.Running() == 0
}

// left handles a notice that the worker is leaving, and reports whether it is that of the
// present instance. A notice that names the ID alone comes from an earlier one before the
// present instance has announced itself.
func (d *leasedDriver) left(now time.Time, instance lease.Instance) bool {
	p := &d.present
	if instance.StartedAtMs != 0 && instance != p.instance {
		return false
	}
	if p.announced == nil || !d.core.WorkerLeaving(now, instance) {
		return false
	}
	if !p.announced.Leaving {
		p.announced.Leaving, p.leftAt = true, now
	}
	return true
}

// adopt begins to use another instance. No task starts before the worker has answered as
// that instance.
func (d *leasedDriver) adopt(now time.Time, a WorkerAnnouncement) {
	// A worker that restarts under its ID has answered as that ID; the lease core finds out
	// what it runs.
	answered := d.present.answered && a.Instance.ID == d.present.instance.ID
	d.begin(instanceState{instance: a.Instance, address: a.Address, announced: &a, announcedAt: now, answered: answered})
	d.worker.SetAddress(a.Address)
	d.core.Step(now, lease.Announced{Instance: a.Instance, Replaces: true, Leaving: a.Leaving})
	d.reportLease(now)
	d.pass(now)
}

// pass gives the newest announcement to those that follow it.
func (d *leasedDriver) pass(now time.Time) {
	a := *d.present.announced
	if d.tracker != nil {
		d.tracker.recordAnnouncement(Announcement{Service: a.Service, Join: d.adoptions, Leaving: a.Leaving})
	}
	if d.present.answered {
		d.storeRecord()
	}
	// A leased worker is used by its room. More slots than a link can tell would make every
	// entry refuse the agent.
	slots := min(a.Slots, linkpb.MaxSlots)
	d.loop.core.Step(now, agent.EndpointAnnounced{
		Service: a.Service, Slots: slots, Connections: slots, Size: a.Size, Labels: a.Labels, Leased: true,
		Join: d.adoptions, Leaving: a.Leaving,
	})
}

// storeRecord stores the newest announcement of the present instance, if there is one.
func (d *leasedDriver) storeRecord() {
	if d.record != nil && d.present.announced != nil {
		d.record.announced(*d.present.announced)
	}
}

// instanceAnswered records that the worker has answered as the present instance.
func (d *leasedDriver) instanceAnswered() {
	if d.present.answered {
		return
	}
	d.present.answered = true
	d.storeRecord()
}

// checkPresent asks whether the worker still is the present instance.
func (d *leasedDriver) checkPresent() {
	ask := lease.Hold{Instance: d.present.instance, Timeout: checkTimeout}
	fence := d.core.Fence()
	go func() {
		answer := d.worker.Hold(context.Background(), ask)
		if answer.Status == lease.Fenced {
			// Only an accepted call shows when the instance started.
			ask.Fence = fence
			answer = d.worker.Hold(context.Background(), ask)
		}
		d.loop.submit(func(now time.Time) { d.presentChecked(now, ask.Instance, answer) })
	}()
}

// presentChecked applies the answer to a check.
func (d *leasedDriver) presentChecked(now time.Time, asked lease.Instance, answer lease.Answer) {
	candidate, status := d.present.candidate, answer.Status
	answering := asked
	if answer.StartedAtMs != 0 {
		// Calls name the ID alone, which a restarted worker may keep.
		answering.StartedAtMs = answer.StartedAtMs
	}
	switch {
	case candidate == nil || asked != d.present.instance:
	case status == lease.OK && candidate.Instance == answering:
		d.adopt(now, *candidate)
	case status == lease.OK || status == lease.Fenced:
		d.present.candidate = nil
		d.loop.announcementRefused(errMalformedAnnouncement.New("worker %s is announced, but %s answers", candidate.Instance.ID, asked.ID))
	case status == lease.WrongInstance:
		d.adopt(now, *candidate)
	case !d.core.Ready() && d.loop.core.Running() == 0:
		// Nothing is lost if the worker is only silent.
		d.adopt(now, *candidate)
	case now.Sub(d.present.candidateSince) >= checkLimit:
		// The next announcement begins a new check.
		d.present.candidate = nil
	default:
		time.AfterFunc(checkPause, func() { d.loop.submit(func(time.Time) { d.repeatCheck() }) })
	}
}

// restarted follows a restart of the worker under its ID that an answer has told of. The new
// instance takes calls at the same address. It gets tasks once it has announced itself, which
// may be the announcement that is being checked.
func (d *leasedDriver) restarted(now time.Time, instance lease.Instance) {
	p := d.present
	if p.instance.ID != instance.ID || p.instance == instance {
		return
	}
	d.begin(instanceState{instance: instance, address: p.address, answered: true})
	d.loop.core.Step(now, agent.EndpointRestarted{Join: d.adoptions})
	if a := p.candidate; a != nil && a.Instance == instance && a.Address == p.address {
		d.use(now, *a)
	}
}

func (d *leasedDriver) repeatCheck() {
	if d.present.candidate != nil {
		d.checkPresent()
	}
}
