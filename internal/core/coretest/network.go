package coretest

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	minDelay = 200 * time.Microsecond
	maxDelay = 2 * time.Millisecond
	// maxReorderDelay bounds the extra delay of a message that is reordered.
	maxReorderDelay = 3 * time.Second
	// welcomeTimeout is how long an agent waits for Welcome.
	welcomeTimeout = time.Second
)

// faultRates are the probabilities of a fault for each message, in percent.
type faultRates struct{ loss, duplication, reordering int }

// link is one stream from an agent to an entry. While it is blackholed, it loses
// all messages without breaking.
type link struct {
	w        *world
	id       entry.LinkID
	agent    *agentNode
	agentGen int
	entry    *entryNode
	entryGen int
	// entryInc is the entry's incarnation, set when Welcome has arrived.
	entryInc   msg.Incarnation
	broken     bool
	blackholed bool
	// lastToEntry and lastToAgent are the latest arrival times in each direction.
	lastToEntry, lastToAgent time.Time
}

// deliver schedules the arrival of a message, subject to the current faults. last
// is the latest arrival time in the message's direction.
func (l *link) deliver(last *time.Time, arrive func()) {
	w := l.w
	copies := 1
	if w.chance(w.faults.duplication) {
		copies = 2
	}
	for range copies {
		if l.broken || l.blackholed || w.chance(w.faults.loss) {
			continue
		}
		at := w.now.Add(w.randomDuration(minDelay, maxDelay))
		if w.chance(w.faults.reordering) {
			at = at.Add(w.randomDuration(0, maxReorderDelay))
		} else {
			if at.Before(*last) {
				at = *last
			}
			*last = at
		}
		w.after(at.Sub(w.now), func() {
			if !l.broken && !l.blackholed {
				arrive()
			}
		})
	}
}

func (l *link) toEntry(m msg.FromAgent, stamp time.Duration) {
	l.deliver(&l.lastToEntry, func() {
		l.entry.doUnlessRestarted(l.entryGen, func() {
			l.w.logf("%s <- %s #%d %T%v", l.entry.name, l.agent.worker, l.id, m, m)
			if _, open := l.entry.links[l.id]; open {
				l.entry.step(entry.Received{Link: l.id, Clock: stamp, Message: m})
			}
		})
	})
}

func (l *link) toAgent(m msg.FromEntry) {
	l.deliver(&l.lastToAgent, func() {
		l.agent.doUnlessRestarted(l.agentGen, func() {
			l.w.logf("%s <- %s #%d %T%v", l.agent.worker, l.entry.name, l.id, m, m)
			l.agent.received(l, m)
		})
	})
}

// disconnect ends the stream; messages in flight are lost. Both sides notice after
// a random delay, but neither does on a blackholed link.
func (l *link) disconnect() { l.closeSides(!l.blackholed, !l.blackholed) }

// closeSides ends the stream; the given sides notice after a random delay.
func (l *link) closeSides(entrySide, agentSide bool) {
	if !l.broken {
		l.w.logf("link #%d breaks", l.id)
	}
	l.broken = true
	if entrySide {
		l.w.after(l.w.randomDuration(0, 100*time.Millisecond), func() { l.entry.doUnlessRestarted(l.entryGen, func() { l.entry.unlinked(l) }) })
	}
	if agentSide {
		l.w.after(l.w.randomDuration(0, 100*time.Millisecond), func() { l.agent.doUnlessRestarted(l.agentGen, func() { l.agent.unlinked(l) }) })
	}
}

// dial opens a stream from the agent to the entry.
func (a *agentNode) dial(e *entryNode) {
	if a.links[e] != nil {
		return
	}
	w := a.w
	if !e.up {
		a.redial(e)
		return
	}
	w.lastLinkID++
	l := &link{w: w, id: entry.LinkID(w.lastLinkID), agent: a, agentGen: a.gen, entry: e, entryGen: e.gen}
	a.links[e] = l
	w.links = append(w.links, l)
	hello, stamp := a.core.Hello(), a.core.Clock(a.clock.read(w))
	w.after(welcomeTimeout, func() {
		if l.entryInc == 0 {
			l.closeSides(!l.blackholed, true)
		}
	})
	l.deliver(&l.lastToEntry, func() {
		e.doUnlessRestarted(l.entryGen, func() {
			if l.broken || e.links[l.id] != nil {
				return
			}
			w.logf("%s <- %s #%d %T%v", e.name, a.worker, l.id, hello, hello)
			e.links[l.id] = l
			e.step(entry.LinkUp{Link: l.id, Clock: stamp, Hello: hello})
		})
	})
}

func (a *agentNode) redial(e *entryNode) {
	gen := a.gen
	a.w.after(a.w.randomDuration(50*time.Millisecond, time.Second), func() { a.doUnlessRestarted(gen, func() { a.dial(e) }) })
}

// received passes a message to the core once Welcome has arrived. A stream whose
// first message is not Welcome is closed.
func (a *agentNode) received(l *link, m msg.FromEntry) {
	if a.links[l.entry] != l {
		return
	}
	welcome, isWelcome := m.(msg.Welcome)
	switch {
	case l.entryInc != 0 && !isWelcome:
		a.step(agent.Received{Entry: l.entryInc, Message: m})
	case l.entryInc == 0 && isWelcome:
		l.entryInc = welcome.Incarnation
		a.step(agent.LinkUp{Entry: welcome.Incarnation, Name: welcome.Entry, ColocationEvery: welcome.ColocationEvery})
	case l.entryInc == 0:
		l.closeSides(!l.blackholed, true)
	}
}

func (a *agentNode) unlinked(l *link) {
	if a.links[l.entry] != l {
		return
	}
	delete(a.links, l.entry)
	if l.entryInc != 0 {
		a.step(agent.LinkDown{Entry: l.entryInc})
	}
	a.redial(l.entry)
}

// pruneLinks removes broken links from w.links.
func (w *world) pruneLinks() {
	kept := w.links[:0]
	for _, l := range w.links {
		if !l.broken {
			kept = append(kept, l)
		}
	}
	w.links = kept
}
