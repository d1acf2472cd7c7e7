package agent

import (
	"strings"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// releaseAfter is the number of announcements without an abandoned attempt
// after which its slot is free. The first one may have been written before the
// attempt was abandoned; the second is written after the first was answered.
const releaseAfter = 2

// endpointState is what the endpoint announced last.
type endpointState struct {
	present bool
	// left lasts until an announcement with a larger join.
	left        bool
	service     string
	slots       int
	connections int
	size        msg.Size
	labels      []string
	// leased says that tasks run under a lease, of which ready and settled are the
	// state that the driver has told with LeaseChanged.
	leased, ready, settled bool
	join                   uint64
	number                 uint64
	// held counts slots taken by tasks that an earlier agent process started.
	held int
	// abandoned holds attempts of this process that ended without a whole
	// answer, with the number of announcements since that do not list them. The
	// endpoint may still be working on them.
	abandoned map[msg.AttemptID]int
}

func (e *endpointState) accepts() bool { return e.present && !e.left && (!e.leased || e.ready) }

func (e *endpointState) capacity() int { return min(e.slots, e.connections) }

// taken returns the slots used by tasks that are not running attempts of this
// process.
func (e *endpointState) taken() int { return e.held + len(e.abandoned) }

func (e *endpointState) abandon(id msg.AttemptID) {
	if e.abandoned == nil {
		e.abandoned = make(map[msg.AttemptID]int)
	}
	e.abandoned[id] = 0
}

// stale tells whether a newer announcement or leave has been seen.
func (e *endpointState) stale(in EndpointAnnounced) bool {
	return in.Join < e.join || in.Join == e.join && in.Number != 0 && in.Number <= e.number
}

// visible is the part of the state that entries know.
type visible struct {
	accepts            bool
	service            string
	slots, connections int
	size               msg.Size
	leased, settled    bool
	labels             string
}

func (e *endpointState) visible() visible {
	return visible{e.accepts(), e.service, e.slots, e.connections, e.size, e.leased, e.settled, strings.Join(e.labels, ",")}
}

// apply takes over an announcement that is not stale.
func (e *endpointState) apply(self msg.Incarnation, in EndpointAnnounced) {
	if in.Join > e.join {
		e.left = false
	}
	e.left = e.left || in.Leaving
	e.present, e.join, e.number = true, in.Join, in.Number
	e.service, e.slots, e.connections, e.size = in.Service, in.Slots, in.Connections, in.Size
	e.leased, e.labels = in.Leased, in.Labels
	e.applyRunning(self, in.Running)
}

// applyRunning counts the tasks that this process did not start and releases
// abandoned attempts that the endpoint no longer works on. Tasks of this
// process need no count here: they are running or abandoned, and a list written
// before a task began or ended must not change that.
func (e *endpointState) applyRunning(self msg.Incarnation, running []string) {
	e.held = 0
	for id := range e.abandoned {
		e.abandoned[id]++
	}
	for _, name := range running {
		agent, id, ok := msg.ParseStartName(name)
		if !ok || agent != self {
			e.held++
			continue
		}
		if _, abandoned := e.abandoned[id]; abandoned {
			e.abandoned[id] = 0
		}
	}
	for id, missing := range e.abandoned {
		if missing >= releaseAfter {
			delete(e.abandoned, id)
		}
	}
}

func (c *Core) announced(now time.Time, in EndpointAnnounced) {
	if c.endpoint.stale(in) {
		return
	}
	before := c.endpoint.visible()
	c.endpoint.apply(c.cfg.Incarnation, in)
	if before != c.endpoint.visible() {
		// Hello says whether the endpoint leaves.
		c.sendHellos(now)
	}
	c.offerAppeared(now)
}

func (c *Core) leave(now time.Time, join uint64) {
	e := &c.endpoint
	if join != 0 && join < e.join || join == 0 && !e.present {
		return
	}
	accepted := e.accepts()
	e.left, e.join = true, max(e.join, join)
	if accepted {
		c.sendLeaving(now)
	}
}

// endpointLost closes the slots until the endpoint announces itself again.
func (c *Core) endpointLost(now time.Time) {
	e := &c.endpoint
	accepted := e.accepts()
	e.present, e.number = false, 0
	if !e.left || e.join == 0 {
		// A successor may count its joins anew.
		e.left, e.join = false, 0
	}
	if accepted {
		c.sendLeaving(now)
	}
}

// unreachable closes the slots after a refused connection, so that the task is
// not sent here again at once.
func (c *Core) unreachable(now time.Time) {
	if !c.endpoint.accepts() {
		return
	}
	c.endpoint.present = false
	c.sendLeaving(now)
}
