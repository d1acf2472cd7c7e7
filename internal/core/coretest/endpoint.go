package coretest

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// taskErrorPercent is the share of tasks that the endpoint answers with an error.
	taskErrorPercent = 2
	// longTaskPercent is the share of tasks that take seconds, some beyond runLimit.
	longTaskPercent = 3
)

// endpointNode simulates the endpoint of one worker. It keeps running when its
// agent crashes.
type endpointNode struct {
	w       *world
	agent   *agentNode
	up      bool
	leaving bool
	// leaveSeenBy is the generation of the agent process that has learned of the
	// leave.
	leaveSeenBy int
	silent      bool
	join        uint64
	number      uint64
	running     map[string]*taskRun
}

// taskRun is one run of a task at the endpoint. reported is set when the end of
// the run was reported to the agent.
type taskRun struct {
	start    agent.Start
	gen      int
	reported bool
}

func (n *endpointNode) start() {
	if !n.up {
		n.up, n.leaving, n.silent, n.leaveSeenBy, n.number = true, false, false, 0, 0
		n.join++
	}
}

func (n *endpointNode) announceLoop() {
	n.w.after(announceInterval, func() {
		if n.up && !n.silent {
			n.announce()
		}
		n.announceLoop()
	})
}

func (n *endpointNode) runningNames() []string {
	names := make([]string, 0, len(n.running))
	for name := range n.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// announce sends an announcement, which arrives after a random delay, and twice
// if the network duplicates it.
func (n *endpointNode) announce() {
	n.number++
	in := agent.EndpointAnnounced{
		Service: service, Slots: slots, Connections: 64, Join: n.join, Number: n.number, Running: n.runningNames(),
	}
	a, gen := n.agent, n.agent.gen
	// An agent that has learned of the leave must remember it, so it is told once.
	in.Leaving = n.leaving && n.leaveSeenBy != gen
	copies := 1
	if n.w.chance(n.w.faults.duplication) {
		copies = 2
	}
	for range copies {
		n.w.after(n.w.randomDuration(minDelay, 50*time.Millisecond), func() {
			a.doUnlessRestarted(gen, func() {
				n.w.logf("%s <- endpoint %v", a.worker, in)
				a.lastAnnounced = n.w.now
				a.step(in)
				if in.Leaving && n.join == in.Join {
					n.leaveSeenBy = gen
				}
			})
		})
	}
}

// leave tells the agent that the endpoint accepts no new tasks. The endpoint
// keeps announcing itself under the same join.
func (n *endpointNode) leave() {
	if !n.up || n.leaving {
		return
	}
	n.leaving = true
	a, gen, join := n.agent, n.agent.gen, n.join
	n.w.logf("endpoint of %s leaves join %d", a.worker, join)
	n.w.after(n.w.randomDuration(minDelay, 50*time.Millisecond), func() {
		a.doUnlessRestarted(gen, func() {
			a.lastAnnounced = time.Time{}
			a.step(agent.EndpointLeaving{Join: join})
			if n.join == join {
				n.leaveSeenBy = gen
			}
		})
	})
}

func (n *endpointNode) rejoin() {
	if n.up && n.leaving {
		n.leaving, n.leaveSeenBy, n.number = false, 0, 0
		n.join++
	}
}

// crash ends all tasks; the agent sees their connections break off.
func (n *endpointNode) crash() {
	if !n.up {
		return
	}
	n.w.logf("endpoint of %s crashes", n.agent.worker)
	n.up = false
	names := n.runningNames()
	for _, name := range names {
		n.reportEnd(n.running[name], msg.ResultEndpointFailed)
	}
	clear(n.running)
}

// reportEnd reports the end of a task once, to the agent process that started it.
func (n *endpointNode) reportEnd(r *taskRun, kind msg.ResultKind) {
	if r.reported {
		return
	}
	r.reported = true
	a := n.agent
	a.doUnlessRestarted(r.gen, func() {
		n.w.logf("%s <- endpoint ends %s with %d", a.worker, r.start.Name, kind)
		a.step(agent.TaskEnded{Attempt: r.start.Attempt, Kind: kind, Payload: r.start.Payload, RunTime: time.Millisecond})
	})
}

// startTask starts a task, or reports it as not reached if the endpoint is down.
func (n *endpointNode) startTask(s agent.Start) {
	w := n.w
	r := &taskRun{start: s, gen: n.agent.gen}
	if !n.up {
		w.after(time.Millisecond, func() { n.reportEnd(r, msg.ResultNotReached) })
		return
	}
	w.logf("endpoint of %s starts %s", n.agent.worker, s.Name)
	n.running[s.Name] = r
	w.oracle.started(s, n.leaving && n.leaveSeenBy == n.agent.gen || n.agent.stopped)
	if len(n.running) > slots {
		w.oracle.fail("endpoint of %s runs %d tasks in %d slots: %v", n.agent.worker, len(n.running), slots, n.runningNames())
	}
	duration, kind := w.drawTaskOutcome()
	w.after(duration, func() {
		if n.running[s.Name] == r {
			delete(n.running, s.Name)
			n.reportEnd(r, kind)
		}
	})
	w.after(s.RunLimit, func() { n.reportEnd(r, msg.ResultEndpointFailed) })
}

// drawTaskOutcome returns a random run time and result kind for a task.
func (w *world) drawTaskOutcome() (time.Duration, msg.ResultKind) {
	duration, kind := w.randomDuration(5*time.Millisecond, time.Second), msg.ResultOK
	if w.healed {
		return duration, kind
	}
	if w.chance(longTaskPercent) {
		duration += w.randomDuration(0, 7*time.Second)
	}
	if w.chance(taskErrorPercent) {
		kind = msg.ResultEndpointError
	}
	return duration, kind
}
