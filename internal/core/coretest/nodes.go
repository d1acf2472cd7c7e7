package coretest

import (
	"fmt"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 3 * time.Second
	resultKeep       = 20 * time.Second
	runLimit         = 5 * time.Second
)

// entryNode simulates the entry process of one name, which may crash and restart.
type entryNode struct {
	process
	name  string
	inc   msg.Incarnation
	core  *entry.Core
	links map[entry.LinkID]*link
	jobs  uint64
}

func newEntryNode(w *world, i int) *entryNode {
	e := &entryNode{process: process{w: w}, name: fmt.Sprintf("entry-%d", i)}
	e.start()
	return e
}

func (e *entryNode) start() {
	if e.up {
		return
	}
	e.boot()
	e.clock = e.w.newClock()
	e.inc, e.links = e.w.newIncarnation(), make(map[entry.LinkID]*link)
	e.core = entry.New(entry.Config{
		Name: e.name, Incarnation: e.inc, Seed: uint64(e.inc),
		StartWindow: 2 * time.Second, SuspectAfter: 3 * time.Second, LostAfter: 10 * time.Second,
		HeartbeatInterval: time.Second, AckDelay: 100 * time.Millisecond, RunLimit: runLimit,
		MaxQueued: 10_000, MaxTasks: 1000, MaxPayload: 1 << 10,
		// Entries with and without the setting share the agents.
		SeparateJobTypes: e.inc%2 == 0,
	})
	e.w.logf("%s starts as %x", e.name, uint64(e.inc))
	e.step(entry.SetPolicy{Policy: e.w.policy})
	e.tickLoop(e.gen)
}

func (e *entryNode) tickLoop(gen int) {
	e.w.after(entryTick, func() {
		if e.gen != gen || !e.up {
			return
		}
		if !e.paused {
			e.tick()
		}
		e.tickLoop(gen)
	})
}

func (e *entryNode) tick() {
	e.core.Tick(e.clock.read(e.w))
	e.handleOutputs()
}

func (e *entryNode) step(in entry.Input) {
	e.core.Step(e.clock.read(e.w), in)
	e.handleOutputs()
}

func (e *entryNode) handleOutputs() {
	for _, out := range e.core.TakeOutputs() {
		switch out := out.(type) {
		case entry.Send:
			if l := e.links[out.Link]; l != nil {
				l.toAgent(out.Message)
			}
		case entry.CloseLink:
			if l := e.links[out.Link]; l != nil {
				l.closeSides(true, !l.blackholed)
			}
		case entry.Answered:
			e.w.oracle.answered(e.inc, out)
		case entry.Progress:
			e.w.oracle.progress(e.inc, out)
		case entry.Retried:
			e.w.oracle.result.Retries++
		case entry.WorkerConflict:
			e.w.oracle.result.Conflicts++
		}
	}
}

func (e *entryNode) unlinked(l *link) {
	if e.links[l.id] == l {
		delete(e.links, l.id)
		e.step(entry.LinkDown{Link: l.id})
	}
}

func (e *entryNode) crash() {
	if !e.up {
		return
	}
	e.w.logf("%s crashes", e.name)
	e.halt()
	e.w.oracle.entryCrashed(e.inc)
	for _, l := range e.w.links {
		if l.entry == e && l.entryGen == e.gen {
			l.disconnect()
		}
	}
}

// submit submits a job with the given number of tasks and reports it to the
// oracle.
func (e *entryNode) submit(tasks int, timeout time.Duration) {
	if !e.up {
		return
	}
	e.jobs++
	job := entry.Job{
		ID: e.jobs, Service: service, JobType: "price", Account: account,
		Deadline: e.clock.read(e.w).Add(timeout), Progress: e.jobs%4 == 0,
	}
	for i := range tasks {
		job.Tasks = append(job.Tasks, entry.Task{Payload: payload(e.inc, job.ID, uint32(i))})
	}
	e.w.logf("%s submits job %d of %d tasks for %s", e.name, job.ID, tasks, timeout)
	e.w.oracle.submitted(e.inc, job)
	e.doUnlessRestarted(e.gen, func() { e.step(entry.Submit{Job: job}) })
}

// payload returns the payload of a task, which is unique to the task.
func payload(inc msg.Incarnation, job uint64, task uint32) []byte {
	return fmt.Appendf(nil, "%x/%d/%d", uint64(inc), job, task)
}

// agentNode simulates the agent process of one worker, which may crash and restart
// beside the worker's endpoint.
type agentNode struct {
	process
	worker   string
	inc      msg.Incarnation
	core     *agent.Core
	links    map[*entryNode]*link
	endpoint *endpointNode
	// lastAnnounced is the time of the endpoint's last announcement, or zero after a
	// leave.
	lastAnnounced time.Time
	// stopped is set when the process has been told to stop.
	stopped bool
}

func newAgentNode(w *world, worker string) *agentNode {
	a := &agentNode{process: process{w: w}, worker: worker}
	a.endpoint = &endpointNode{w: w, agent: a, running: make(map[string]*taskRun)}
	a.endpoint.start()
	a.endpoint.announceLoop()
	a.start()
	return a
}

func (a *agentNode) start() {
	if a.up {
		return
	}
	a.boot()
	a.clock = a.w.newClock()
	a.stopped = false
	a.inc, a.links, a.lastAnnounced = a.w.newIncarnation(), make(map[*entryNode]*link), time.Time{}
	a.core = agent.New(agent.Config{
		Worker: a.worker, FailureDomain: "casa-ain", Incarnation: a.inc,
		ResultKeep: resultKeep, HeartbeatInterval: time.Second,
		Epoch: a.clock.read(a.w).Add(-a.w.randomDuration(0, maxEpochAge)),
	})
	a.w.logf("%s starts as %x", a.worker, uint64(a.inc))
	for _, e := range a.w.entries {
		a.redial(e)
	}
	a.tickLoop(a.gen)
}

func (a *agentNode) tickLoop(gen int) {
	a.w.after(agentTick, func() {
		if a.gen != gen || !a.up {
			return
		}
		if !a.paused {
			a.tick()
		}
		a.tickLoop(gen)
	})
}

func (a *agentNode) tick() {
	a.core.Tick(a.clock.read(a.w))
	a.handleOutputs()
	if !a.lastAnnounced.IsZero() && a.w.now.Sub(a.lastAnnounced) > announceTimeout {
		a.lastAnnounced = time.Time{}
		a.w.logf("%s loses its endpoint", a.worker)
		a.step(agent.EndpointLost{})
	}
}

func (a *agentNode) step(in agent.Input) {
	a.core.Step(a.clock.read(a.w), in)
	a.handleOutputs()
}

func (a *agentNode) handleOutputs() {
	for _, out := range a.core.TakeOutputs() {
		switch out := out.(type) {
		case agent.Send:
			if l := a.linkTo(out.Entry); l != nil {
				l.toEntry(out.Message, a.core.Clock(a.clock.read(a.w)))
			}
		case agent.CloseLink:
			if l := a.linkTo(out.Entry); l != nil {
				l.closeSides(!l.blackholed, true)
			}
		case agent.Start:
			a.endpoint.startTask(out)
		case agent.ApplyTable:
			a.step(agent.RevisionChanged(out))
		case agent.EntryConflict:
			a.w.oracle.result.Conflicts++
		}
	}
}

func (a *agentNode) linkTo(inc msg.Incarnation) *link {
	for _, e := range a.w.entries {
		if l := a.links[e]; l != nil && l.entryInc == inc {
			return l
		}
	}
	return nil
}

func (a *agentNode) crash() {
	if !a.up {
		return
	}
	a.w.logf("%s crashes", a.worker)
	a.halt()
	for _, e := range a.w.entries {
		if l := a.links[e]; l != nil {
			l.disconnect()
		}
	}
}
