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

// instanceCheck is the state of a leasedDriver that decides which announcements are used.
type instanceCheck struct {
	// present is the newest announcement in use; it has no ID before the first.
	present WorkerAnnouncement
	// presentAt is when that announcement arrived.
	presentAt time.Time
	// adoptions counts the instances used so far, and orders them for the agent core. Start
	// times do not: the worker's time of day may have been set back.
	adoptions uint64
	// answered is set once the worker has answered as the present instance.
	answered bool
	// leftAt is when the present instance deregistered without an announcement that it is
	// leaving, or zero.
	leftAt time.Time
	// candidate is the newest announcement of another instance since the check began, at
	// candidateSince; nil without a check.
	candidate      *WorkerAnnouncement
	candidateSince time.Time
}

// applyAnnouncement uses an announcement of the present instance, or checks whether
// another one has taken its place.
func (d *leasedDriver) applyAnnouncement(now time.Time, a WorkerAnnouncement) {
	samePlace := a.Instance == d.present.Instance && a.Address == d.present.Address
	switch {
	case samePlace && d.late(now, a):
	case samePlace && d.goesOn(now, a):
		d.adopt(now, a)
	case samePlace:
		if a.Leaving {
			d.leftAt = time.Time{}
		}
		a.Leaving = a.Leaving || d.present.Leaving
		d.present, d.presentAt = a, now
		d.core.Step(now, lease.Announced{Instance: a.Instance, Leaving: a.Leaving})
		d.pass(now)
	case !d.answered:
		d.adopt(now, a)
	case a.Instance == d.present.Instance:
		d.loop.announcementRefused(errMalformedAnnouncement.New("worker %s answers at %s, not at %s", a.Instance.ID, d.present.Address, a.Address))
	case d.candidate != nil:
		d.candidate = &a
	default:
		d.candidate, d.candidateSince = &a, now
		d.checkPresent()
	}
}

// late reports whether a newer announcement of the instance is in use. The notice that the
// worker is leaving holds in any order.
func (d *leasedDriver) late(now time.Time, a WorkerAnnouncement) bool {
	return a.Number <= d.present.Number && (!a.Leaving || d.present.Leaving) && now.Sub(d.presentAt) < numberTrust
}

// goesOn reports whether a worker that seemed to have deregistered announces itself on: the
// call came from another writer, or late from an earlier life with the same ID.
func (d *leasedDriver) goesOn(now time.Time, a WorkerAnnouncement) bool {
	return !d.leftAt.IsZero() && now.Sub(d.leftAt) >= numberTrust && !a.Leaving && d.loop.core.Running() == 0
}

// left handles a notice that the worker is leaving, and reports whether it is that of the
// present instance.
func (d *leasedDriver) left(now time.Time, instance lease.Instance) bool {
	if !d.core.WorkerLeaving(now, instance) {
		return false
	}
	if !d.present.Leaving {
		d.present.Leaving, d.leftAt = true, now
	}
	return true
}

// adopt begins to use another instance. No task starts before the worker has answered as
// that instance.
func (d *leasedDriver) adopt(now time.Time, a WorkerAnnouncement) {
	// A worker that restarts under its ID has answered as that ID; the lease core finds out
	// what it runs.
	answered := d.answered && a.Instance.ID == d.present.Instance.ID
	d.present, d.presentAt, d.answered, d.candidate, d.leftAt = a, now, answered, nil, time.Time{}
	d.adoptions++
	d.worker.SetAddress(a.Address)
	d.core.Step(now, lease.Announced{Instance: a.Instance, Replaces: true, Leaving: a.Leaving})
	d.reportLease(now)
	d.pass(now)
}

// pass gives the present announcement to those that follow it.
func (d *leasedDriver) pass(now time.Time) {
	a := d.present
	if d.tracker != nil {
		d.tracker.recordAnnouncement(Announcement{Service: a.Service, Join: d.adoptions, Leaving: a.Leaving})
	}
	if d.answered && d.record != nil {
		d.record.announced(a)
	}
	// A leased worker is used by its room. More slots than a link can tell would make every
	// entry refuse the agent.
	slots := min(a.Slots, linkpb.MaxSlots)
	d.loop.core.Step(now, agent.EndpointAnnounced{
		Service: a.Service, Slots: slots, Connections: slots, Size: a.Size, Labels: a.Labels, Leased: true,
		Join: d.adoptions, Leaving: a.Leaving,
	})
}

// instanceAnswered records that the worker has answered as the present instance.
func (d *leasedDriver) instanceAnswered() {
	if d.answered {
		return
	}
	d.answered = true
	if d.record != nil {
		d.record.announced(d.present)
	}
}

// checkPresent asks whether the worker still is the present instance.
func (d *leasedDriver) checkPresent() {
	ask := lease.Hold{Instance: d.present.Instance, Timeout: checkTimeout}
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
	candidate, status := d.candidate, answer.Status
	answering := asked
	if answer.StartedAtMs != 0 {
		// Calls name the ID alone, which a restarted worker may keep.
		answering.StartedAtMs = answer.StartedAtMs
	}
	switch {
	case candidate == nil || asked != d.present.Instance:
	case status == lease.OK && candidate.Instance == answering:
		d.adopt(now, *candidate)
	case status == lease.OK || status == lease.Fenced:
		d.candidate = nil
		d.loop.announcementRefused(errMalformedAnnouncement.New("worker %s is announced, but %s answers", candidate.Instance.ID, asked.ID))
	case status == lease.WrongInstance:
		d.adopt(now, *candidate)
	case !d.core.Ready() && d.loop.core.Running() == 0:
		// Nothing is lost if the worker is only silent.
		d.adopt(now, *candidate)
	case now.Sub(d.candidateSince) >= checkLimit:
		// The next announcement begins a new check.
		d.candidate = nil
	default:
		time.AfterFunc(checkPause, func() { d.loop.submit(func(time.Time) { d.repeatCheck() }) })
	}
}

// restarted follows a restart of the worker under its ID that an answer has told of. Its
// announcements are numbered anew.
func (d *leasedDriver) restarted(now time.Time, instance lease.Instance) {
	if d.present.Instance.ID != instance.ID || d.present.Instance == instance {
		return
	}
	d.present.Instance, d.present.Number, d.present.Leaving, d.leftAt = instance, 0, false, time.Time{}
	d.candidate = nil
	d.adoptions++
	d.pass(now)
}

func (d *leasedDriver) repeatCheck() {
	if d.candidate != nil {
		d.checkPresent()
	}
}
