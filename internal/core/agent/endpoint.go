package agent

import (
	"slices"
	"strings"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// announcementsBeforeRelease is the number of announcements in a row that must
// omit an abandoned attempt before its slot is free. The first one may have been
// written before the attempt was abandoned; the second is written after the
// first was answered.
const announcementsBeforeRelease = 2

// endpointState is the state of the endpoint according to its last announcement.
type endpointState struct {
	present bool
	// left is reset by an announcement with a larger join.
	left        bool
	service     string
	slots       int
	connections int
	size        msg.Size
	labels      []string
	// leased says that tasks run under a lease; ready and settled are the values
	// of the last LeaseChanged.
	leased, ready, settled bool
	join                   uint64
	number                 uint64
	// describedAt is the agent's clock when it learned of the present join and labels, and
	// describedBy the number of the first slot report since then. A dispatch of an entry that
	// had not read it was sent for others.
	describedAt time.Duration
	describedBy uint64
	// foreignTasks counts the listed tasks that this agent process did not start.
	foreignTasks int
	// abandoned holds attempts of this process that ended without a complete
	// answer, with the number of announcements since that do not list them. The
	// endpoint may still be working on them.
	abandoned map[msg.AttemptID]int
}

func (e *endpointState) accepts() bool { return e.present && !e.left && (!e.leased || e.ready) }

func (e *endpointState) capacity() int { return min(e.slots, e.connections) }

// blockedSlots returns the slots used by tasks other than running attempts of
// this process.
func (e *endpointState) blockedSlots() int { return e.foreignTasks + len(e.abandoned) }

func (e *endpointState) abandon(id msg.AttemptID) {
	if e.abandoned == nil {
		e.abandoned = make(map[msg.AttemptID]int)
	}
	e.abandoned[id] = 0
}

// stale reports whether a newer announcement or leave has been seen.
func (e *endpointState) stale(in EndpointAnnounced) bool {
	return in.Join < e.join || in.Join == e.join && in.Number != 0 && in.Number <= e.number
}

// advertisedState is the part of the state that entries learn from Hello.
type advertisedState struct {
	accepts            bool
	service            string
	slots, connections int
	size               msg.Size
	leased, settled    bool
	labels             string
}

func (e *endpointState) advertised() advertisedState {
	return advertisedState{e.accepts(), e.service, e.slots, e.connections, e.size, e.leased, e.settled, strings.Join(e.labels, ",")}
}

// describes reports whether an announcement tells another join or other labels than before.
func (e *endpointState) describes(in EndpointAnnounced) bool {
	return !e.present || in.Join != e.join || !slices.Equal(in.Labels, e.labels)
}

// apply stores an announcement that is not stale.
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
// abandoned attempts that the endpoint no longer works on. Tasks of this process
// are not counted here: they are already running or abandoned, and a list
// written before a task began or ended must not change that.
func (e *endpointState) applyRunning(self msg.Incarnation, running []string) {
	e.foreignTasks = 0
	for id := range e.abandoned {
		e.abandoned[id]++
	}
	for _, name := range running {
		agent, id, ok := msg.ParseEndpointTaskName(name)
		if !ok || agent != self {
			e.foreignTasks++
			continue
		}
		if _, abandoned := e.abandoned[id]; abandoned {
			e.abandoned[id] = 0
		}
	}
	for id, missing := range e.abandoned {
		if missing >= announcementsBeforeRelease {
			delete(e.abandoned, id)
		}
	}
}

func (c *Core) endpointAnnounced(now time.Time, in EndpointAnnounced) {
	if c.endpoint.stale(in) {
		return
	}
	before := c.endpoint.advertised()
	if in.Join != c.endpoint.join {
		c.resetStall()
	}
	if c.endpoint.describes(in) {
		c.endpoint.describedAt, c.endpoint.describedBy = c.Clock(now), c.lastReport+1
	}
	c.endpoint.apply(c.cfg.Incarnation, in)
	c.setColocation(now)
	if before != c.endpoint.advertised() {
		// Hello also says whether the endpoint is leaving.
		c.sendHellos(now)
	}
	c.grantNewSlots(now)
}

// endpointRestarted drops what was announced by an earlier instance of a leased worker, and
// closes the room until the present one announces itself. The service and the lease are those
// of the agent, which goes on resolving the attempts; entries learn so from Hello.
func (c *Core) endpointRestarted(now time.Time, in EndpointRestarted) {
	e := &c.endpoint
	if in.Join <= e.join {
		return
	}
	before := e.advertised()
	c.resetStall()
	*e = endpointState{join: in.Join, service: e.service, leased: e.leased, ready: e.ready, settled: e.settled}
	if before != e.advertised() {
		c.sendHellos(now)
	}
}

func (c *Core) endpointLeaving(now time.Time, join uint64) {
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
		// The next endpoint may count its joins from the start.
		e.left, e.join = false, 0
	}
	if accepted {
		c.sendLeaving(now)
	}
}

// endpointUnreachable closes the slots after a refused connection, so that the
// task is not sent here again at once.
func (c *Core) endpointUnreachable(now time.Time) {
	if !c.endpoint.accepts() {
		return
	}
	c.endpoint.present = false
	c.sendLeaving(now)
}
