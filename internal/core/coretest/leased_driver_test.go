package coretest

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Times of the agent's driver (internal/agentd/instance.go).
const (
	checkTimeout = 30 * time.Millisecond
	checkPause   = 50 * time.Millisecond
	checkLimit   = 3 * time.Second
	numberTrust  = 3 * time.Second
)

// announcement is what a worker says of itself. number rises within one instance.
type announcement struct {
	instance lease.Instance
	number   uint64
}

// instanceDriver decides which announcements of a worker are used, by the rules of the
// agent's driver: another instance than the present one is used only if the worker no longer
// answers as the present one.
type instanceDriver struct {
	present   announcement
	presentAt time.Time
	// adoptions counts the instances used so far; answered is set once the worker has
	// answered as the present one.
	adoptions uint64
	answered  bool
	// described is set once the present instance has announced itself.
	described bool
	// candidate is another instance that is being checked since candidateSince, or nil.
	candidate      *announcement
	candidateSince time.Time
	// record is the announcement in the store, which outlives the process.
	record *announcement
}

// sendAnnouncement lets the worker announce itself if that is due. The announcement may be
// lost or late: it may come after one of the worker's next instance.
func (a *leasedAgent) sendAnnouncement() {
	w := a.w
	if w.now.Before(a.announceAt) || w.now.Before(a.workerDownUntil) {
		return
	}
	a.announceAt = w.now.Add(leasedAnnounceInterval)
	a.announcements++
	in := announcement{a.worker.Instance, a.announcements}
	delay := w.callDelay()
	if !w.quiesced {
		switch w.rng.IntN(20) {
		case 0:
			return
		case 1, 2:
			delay = time.Duration(w.rng.Int64N(int64(4 * time.Second)))
		}
	}
	w.after(delay, func() {
		w.inOrder(&a.pausedUntil, &inputStream{}, func() {
			a.applyAnnouncement(in)
			a.drain()
		})
	})
}

func (a *leasedAgent) applyAnnouncement(in announcement) {
	w, d := a.w, &a.driver
	same := in.instance == d.present.instance
	switch {
	case same && in.number <= d.present.number && w.now.Sub(d.presentAt) < numberTrust:
	case same:
		a.useAnnouncement(in)
	case !d.answered:
		a.adopt(in)
	case d.candidate != nil:
		d.candidate = &in
	default:
		d.candidate, d.candidateSince = &in, w.now
		a.checkPresent()
	}
}

// useAnnouncement applies an announcement of the present instance.
func (a *leasedAgent) useAnnouncement(in announcement) {
	w, d := a.w, &a.driver
	d.present, d.presentAt = in, w.now
	a.lease.Step(w.now, lease.Announced{Instance: in.instance})
	a.passAnnouncement()
}

// adopt begins to use another instance.
func (a *leasedAgent) adopt(in announcement) {
	w, d := a.w, &a.driver
	w.tracef("%s adopts %v", a.name, in.instance)
	if d.adoptions > 0 && in.instance.ID != d.present.instance.ID {
		w.bounded.seen["instances with another ID"]++
	}
	d.answered = d.answered && in.instance.ID == d.present.instance.ID
	d.present, d.presentAt, d.candidate = in, w.now, nil
	d.adoptions++
	a.lease.Step(w.now, lease.Announced{Instance: in.instance, Replaces: true})
	a.reportLease()
	a.passAnnouncement()
}

// passAnnouncement gives the present announcement to the agent core and to the record.
func (a *leasedAgent) passAnnouncement() {
	d := &a.driver
	d.described = true
	if r := d.record; d.answered && (r == nil || d.present.instance.StartedAtMs > r.instance.StartedAtMs) {
		present := d.present
		d.record = &present
	}
	a.core.Step(a.w.now, agent.EndpointAnnounced{
		Service: "s", Slots: workerCores, Connections: workerCores, Size: msg.Size{Cores: workerCores}, Leased: true,
		Join: d.adoptions,
	})
}

// workerRestarted follows a restart of the worker under its ID that an answer has told of. The
// worker gets tasks once it has announced itself.
func (a *leasedAgent) workerRestarted(instance lease.Instance) {
	d := &a.driver
	a.w.tracef("%s finds that its worker has restarted as %v", a.name, instance)
	if d.present.instance.ID != instance.ID || d.present.instance == instance {
		return
	}
	candidate := d.candidate
	d.present, d.candidate, d.described = announcement{instance: instance}, nil, false
	d.adoptions++
	a.core.Step(a.w.now, agent.EndpointRestarted{Join: d.adoptions})
	if candidate != nil && candidate.instance == instance {
		a.useAnnouncement(*candidate)
	}
}

// checkPresent asks whether the worker still is the present instance.
func (a *leasedAgent) checkPresent() {
	asked, fence := a.driver.present.instance, a.lease.Fence()
	a.ask(lease.Hold{Instance: asked}, func(ans lease.Answer) {
		if ans.Status == lease.Fenced {
			a.ask(lease.Hold{Instance: asked, Fence: fence}, func(ans lease.Answer) { a.presentChecked(asked, ans) })
			return
		}
		a.presentChecked(asked, ans)
	})
}

// ask makes a call of the driver's own.
func (a *leasedAgent) ask(h lease.Hold, then func(lease.Answer)) {
	w, gen := a.w, a.gen
	answer := func(ans lease.Answer) {
		w.inOrder(&a.pausedUntil, &inputStream{}, func() {
			if a.gen == gen {
				then(ans)
				a.drain()
			}
		})
	}
	silent := w.now.Before(a.silent.until) && a.silent.holds && w.rng.IntN(100) < a.silent.percent
	if silent || w.now.Before(a.callsLateUntil) && w.rng.IntN(2) == 0 {
		w.after(checkTimeout, func() { answer(lease.Answer{Status: lease.NoAnswer}) })
		return
	}
	w.after(w.callDelay(), func() {
		result := a.carryOut(h)
		w.after(w.callDelay(), func() { answer(result) })
	})
}

// presentChecked applies the answer to a check.
func (a *leasedAgent) presentChecked(asked lease.Instance, ans lease.Answer) {
	w, d := a.w, &a.driver
	answering := asked
	if ans.StartedAtMs != 0 {
		answering.StartedAtMs = ans.StartedAtMs
	}
	switch {
	case d.candidate == nil || asked != d.present.instance:
	case ans.Status == lease.OK && d.candidate.instance == answering, ans.Status == lease.WrongInstance:
		a.adopt(*d.candidate)
	case ans.Status == lease.OK || ans.Status == lease.Fenced:
		d.candidate = nil
	case !a.lease.Ready() && a.core.Running() == 0:
		a.adopt(*d.candidate)
	case w.now.Sub(d.candidateSince) >= checkLimit:
		d.candidate = nil
	default:
		gen := a.gen
		w.after(checkPause, func() {
			w.inOrder(&a.pausedUntil, &inputStream{}, func() {
				if a.gen == gen && d.candidate != nil {
					a.checkPresent()
				}
			})
		})
	}
}

// answerAtEnd answers a hold when a run has ended or the time that it may wait is over. The
// hold gets no answer if the instance that waits ends before.
func (a *leasedAgent) answerAtEnd(receiver any, hold lease.Hold, until time.Time, result lease.Answer, answer func(lease.Answer)) {
	const poll = 4 * time.Millisecond
	w := a.w
	switch {
	case receiver != any(a.worker):
		answer(lease.Answer{Call: hold.Call, Status: lease.NoAnswer})
	case result.Status != lease.OK || len(result.Finished) > 0 || !w.now.Add(poll).Before(until):
		w.after(w.callDelay(), func() { answer(result) })
	default:
		w.after(poll, func() {
			hold.Until = 0
			a.answerAtEnd(receiver, hold, until, a.carryOutUnchecked(hold), answer)
		})
	}
}
