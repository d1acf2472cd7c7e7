package coretest

import (
	"io"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

const (
	// settleTime is long enough after the last fault for every deadline to pass, for
	// unacknowledged results to expire and for a worker whose name was used twice to
	// be accepted again.
	settleTime = 45 * time.Second
	// probeTimeout is the timeout of the jobs that check that all slots are usable.
	probeTimeout = 15 * time.Second
	longTimeout  = 12 * time.Second
	shortTimeout = time.Second
	// maxFaultPercent bounds the share of messages with one kind of fault, in percent.
	maxFaultPercent = 50
	// maxFaultTime is the longest duration of a network fault.
	maxFaultTime = 8 * time.Second
	maxJobTasks  = 12
)

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions. The effect of a fault ends by itself after a while.
const (
	Submit ActionKind = iota
	Cancel
	CancelAll
	BreakLink
	BlackholeLink
	LoseMessages
	DuplicateMessages
	ReorderMessages
	CrashEntry
	StopEntry
	PauseEntry
	CrashAgent
	StopAgent
	PauseAgent
	LeaveEndpoint
	CrashEndpoint
	SilenceEndpoint
	DuplicateWorker
	UpdateTable
	actionKindCount
)

// actionWeights are the relative frequencies of the kinds in Actions.
var actionWeights = [actionKindCount]int{
	Submit: 80, Cancel: 20, CancelAll: 2, BreakLink: 5, BlackholeLink: 3, LoseMessages: 3, DuplicateMessages: 4, ReorderMessages: 5,
	CrashEntry: 1, StopEntry: 1, PauseEntry: 2, CrashAgent: 2, StopAgent: 1, PauseAgent: 3,
	LeaveEndpoint: 2, CrashEndpoint: 2, SilenceEndpoint: 2, DuplicateWorker: 1, UpdateTable: 2,
}

// Action is one step of a run. Pick selects its target, Size scales its amount or
// duration, and Wait is the time until the next action, in milliseconds.
type Action struct {
	Kind ActionKind
	Pick uint16
	Size uint16
	Wait uint8
}

// ActionKinds returns the number of kinds of actions.
func ActionKinds() int { return int(actionKindCount) }

// Actions returns the given number of random actions, determined by the seed.
func Actions(seed uint64, steps int) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	var kinds []ActionKind
	for k, n := range actionWeights {
		for range n {
			kinds = append(kinds, ActionKind(k))
		}
	}
	actions := make([]Action, steps)
	for i := range actions {
		actions[i] = Action{
			Kind: kinds[rng.IntN(len(kinds))], Pick: uint16(rng.Uint32()),
			Size: uint16(rng.Uint32()), Wait: uint8(rng.Uint32()),
		}
	}
	return actions
}

// Run replays the actions that Actions returns for the seed.
func Run(seed uint64, steps int) (Result, error) { return Replay(seed, Actions(seed, steps), nil) }

// Replay runs the actions, ends every fault, and checks that all jobs end and all
// slots are usable again. Every event is written to log unless it is nil. The
// error is ErrGuaranteeViolated, an invariant.Violation if violations are fatal
// (see invariant.SetFatal), or ErrPanic for any other panic of a core.
func Replay(seed uint64, actions []Action, log io.Writer) (result Result, err error) {
	w := newWorld(seed, log)
	defer func() {
		if cause := recover(); cause != nil {
			result, err = w.result(), panicError(cause)
		}
	}()
	w.advance(2 * time.Second)
	for _, a := range actions {
		if w.oracle.err != nil {
			break
		}
		w.apply(a)
		w.advance(time.Duration(a.Wait) * time.Millisecond)
		w.pruneLinks()
	}
	w.heal()
	w.probe()
	return w.result(), w.oracle.err
}

// panicError returns a violated invariant unchanged, and ErrPanic with the stack
// for any other panic.
func panicError(cause any) error {
	if v, ok := cause.(invariant.Violation); ok {
		return v
	}
	return ErrPanic.New("%v\n%s", cause, debug.Stack())
}

func (w *world) result() Result {
	r := w.oracle.result
	r.Trace = w.trace.Sum64()
	return r
}

// scaledDuration returns the limit scaled by the action's size.
func (a Action) scaledDuration(limit time.Duration) time.Duration {
	return limit * time.Duration(a.Size) / (1 << 16)
}

// timeout returns the timeout of a submitted job; one in four is short.
func (a Action) timeout() time.Duration {
	limit := longTimeout
	if a.Pick%4 == 0 {
		limit = shortTimeout
	}
	return 50*time.Millisecond + a.scaledDuration(limit)
}

func (w *world) apply(a Action) {
	e := w.entries[int(a.Pick)%len(w.entries)]
	g := w.agents[int(a.Pick)%len(w.agents)]
	if w.isFault(a.Kind, e, g) {
		w.oracle.result.Faults++
	}
	switch a.Kind {
	case Submit:
		e.submit(1+int(a.Size)%maxJobTasks, a.timeout())
	case Cancel:
		if e.jobs > 0 {
			w.cancel(e, e.jobs-uint64(a.Size)%min(e.jobs, 8))
		}
	case CancelAll:
		for id := range e.jobs {
			w.cancel(e, id+1)
		}
	case BreakLink, BlackholeLink:
		w.injectLinkFault(a)
	case LoseMessages, DuplicateMessages, ReorderMessages:
		w.injectNetworkFault(a)
	case CrashEntry, StopEntry, PauseEntry:
		w.injectEntryFault(a, e)
	case CrashAgent, StopAgent, PauseAgent, DuplicateWorker:
		w.injectAgentFault(a, g)
	case LeaveEndpoint, CrashEndpoint, SilenceEndpoint:
		w.injectEndpointFault(a, g.endpoint)
	case UpdateTable:
		w.policy.Revision++
		w.setPolicy(e, w.policy)
	}
}

// isFault reports whether an action causes a fault in the current state; one that
// hits a process that is down, for example, does not.
func (w *world) isFault(k ActionKind, e *entryNode, g *agentNode) bool {
	switch k {
	case BreakLink, BlackholeLink:
		return len(w.links) > 0
	case LoseMessages, DuplicateMessages, ReorderMessages:
		return true
	case CrashEntry, StopEntry, PauseEntry:
		return e.up
	case CrashAgent, StopAgent, PauseAgent:
		return g.up
	case DuplicateWorker:
		return w.duplicateAgent == nil
	case LeaveEndpoint:
		return g.endpoint.up && !g.endpoint.leaving
	case CrashEndpoint, SilenceEndpoint:
		return g.endpoint.up
	}
	return false
}

func (w *world) setPolicy(e *entryNode, p entry.Policy) {
	e.doUnlessRestarted(e.gen, func() { e.step(entry.SetPolicy{Policy: p}) })
}

func (w *world) cancel(e *entryNode, id uint64) {
	e.doUnlessRestarted(e.gen, func() { e.step(entry.Cancel{Job: id}) })
}

func (w *world) injectLinkFault(a Action) {
	if len(w.links) == 0 {
		return
	}
	l := w.links[int(a.Pick)%len(w.links)]
	if a.Kind == BreakLink {
		l.disconnect()
		return
	}
	w.logf("link #%d is blackholed", l.id)
	l.blackholed = true
	w.after(a.scaledDuration(15*time.Second), func() { l.blackholed = false })
}

func (w *world) injectNetworkFault(a Action) {
	share := 1 + int(a.Pick)%maxFaultPercent
	w.logf("network fault %d of %d%%", a.Kind, share)
	field := map[ActionKind]*int{LoseMessages: &w.faults.loss, DuplicateMessages: &w.faults.duplication, ReorderMessages: &w.faults.reordering}[a.Kind]
	*field = share
	w.after(a.scaledDuration(maxFaultTime), func() { *field = 0 })
}

func (w *world) injectEntryFault(a Action, e *entryNode) {
	switch a.Kind {
	case PauseEntry:
		w.logf("%s pauses for %s", e.name, a.scaledDuration(15*time.Second))
		e.paused = e.up
		gen := e.gen
		w.after(a.scaledDuration(15*time.Second), func() {
			if e.gen == gen {
				e.resume(e.tick)
			}
		})
		return
	case StopEntry:
		if e.up && !e.paused {
			e.step(entry.StopNow{})
		}
	}
	e.crash()
	w.after(100*time.Millisecond+a.scaledDuration(5*time.Second), e.start)
}

func (w *world) injectAgentFault(a Action, g *agentNode) {
	gen := g.gen
	switch a.Kind {
	case CrashAgent:
		g.crash()
		w.after(100*time.Millisecond+a.scaledDuration(15*time.Second), g.start)
	case StopAgent:
		g.stop()
		w.after(a.scaledDuration(5*time.Second), func() {
			if g.gen == gen {
				g.crash()
				w.after(100*time.Millisecond, g.start)
			}
		})
	case PauseAgent:
		w.logf("%s pauses for %s", g.worker, a.scaledDuration(15*time.Second))
		g.paused = g.up
		w.after(a.scaledDuration(15*time.Second), func() {
			if g.gen == gen {
				g.resume(g.tick)
			}
		})
	case DuplicateWorker:
		w.startDuplicateAgent(a, g)
	}
}

// startDuplicateAgent starts a second agent, with its own endpoint, under the worker
// name of g.
func (w *world) startDuplicateAgent(a Action, g *agentNode) {
	if w.duplicateAgent != nil {
		return
	}
	w.logf("a second agent claims %s", g.worker)
	w.duplicateAgent = newAgentNode(w, g.worker)
	w.after(a.scaledDuration(10*time.Second), w.removeDuplicateAgent)
}

func (w *world) removeDuplicateAgent() {
	if w.duplicateAgent != nil {
		w.duplicateAgent.crash()
		w.duplicateAgent.endpoint.crash()
		w.duplicateAgent = nil
	}
}

func (w *world) injectEndpointFault(a Action, n *endpointNode) {
	switch a.Kind {
	case LeaveEndpoint:
		n.leave()
		w.after(100*time.Millisecond+a.scaledDuration(5*time.Second), n.rejoin)
	case CrashEndpoint:
		n.crash()
		w.after(100*time.Millisecond+a.scaledDuration(5*time.Second), n.start)
	case SilenceEndpoint:
		n.silent = true
		w.after(a.scaledDuration(8*time.Second), func() { n.silent = false })
	}
}

// heal ends all faults, waits for settleTime and checks that all jobs have ended
// and all processes are idle.
func (w *world) heal() {
	w.logf("heal")
	w.healed = true
	w.faults = faultRates{}
	w.removeDuplicateAgent()
	for _, l := range w.links {
		l.blackholed = false
	}
	for _, e := range w.entries {
		e.start()
		e.resume(e.tick)
	}
	for _, g := range w.agents {
		g.start()
		g.resume(g.tick)
		g.endpoint.start()
		g.endpoint.rejoin()
		g.endpoint.silent = false
	}
	w.advance(settleTime)
	w.oracle.checkEnded()
	w.checkIdle()
}

func (w *world) checkIdle() {
	for _, g := range w.agents {
		if g.core.Running() != 0 || g.core.Unacknowledged() != 0 || g.core.Free() != slots {
			w.oracle.fail("%s is not idle: %d running, %d unacknowledged, %d free", g.worker, g.core.Running(), g.core.Unacknowledged(), g.core.Free())
		}
	}
	for _, e := range w.entries {
		if e.core.Jobs() != 0 || e.core.Outstanding() != 0 {
			w.oracle.fail("%s is not idle: %d jobs, %d attempts", e.name, e.core.Jobs(), e.core.Outstanding())
		}
	}
}

// probe checks that every entry can use every slot.
func (w *world) probe() {
	before := w.oracle.result
	for _, e := range w.entries {
		e.submit(agentCount*slots, probeTimeout)
	}
	w.advance(probeTimeout + time.Second)
	w.oracle.checkEnded()
	if got := w.oracle.result.Complete - before.Complete; got != len(w.entries) {
		w.oracle.fail("%d of %d jobs complete after all faults have ended, failed %v", got, len(w.entries), w.oracle.result.Failed)
	}
}

func (g *agentNode) stop() {
	g.do(func() {
		g.w.logf("%s stops", g.worker)
		g.step(agent.Stop{})
		g.stopped = true
	})
}
