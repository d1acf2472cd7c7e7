// Package coretest runs entry and agent cores against each other on a fake
// network in fake time. The network loses, duplicates, delays and reorders
// messages and breaks links; processes pause, crash and restart; endpoints
// leave, stop announcing themselves and crash. An oracle checks the guarantees
// to callers and endpoints.
//
// A run is a pure function of its seed and actions, so replaying a seed gives the
// same trace. A run uses one goroutine; several runs may proceed concurrently.
package coretest

import (
	"container/heap"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	entryCount = 3
	agentCount = 4
	slots      = 3
	service    = "route-desk"
	account    = "atlas"

	entryTick = 20 * time.Millisecond
	agentTick = 50 * time.Millisecond
	// maxEpochAge bounds the age of an agent's epoch when the agent starts.
	maxEpochAge = time.Hour
	// maxOffset bounds the difference between the clocks of two processes.
	maxOffset = time.Hour
	// maxDriftPPM bounds the drift of a process's clock, in parts per million.
	maxDriftPPM = 200
)

// world is the state of one run.
type world struct {
	rng             *rand.Rand
	start           time.Time
	now             time.Time
	events          eventHeap
	lastSeq         uint64
	faults          faultRates
	entries         []*entryNode
	agents          []*agentNode
	duplicateAgent  *agentNode
	links           []*link
	oracle          *oracle
	trace           hash.Hash64
	log             io.Writer
	policy          entry.Policy
	lastIncarnation msg.Incarnation
	lastLinkID      uint64
	healed          bool
}

func newWorld(seed uint64, log io.Writer) *world {
	start := time.Unix(1_700_000_000, 0)
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 0)), start: start, now: start,
		trace: fnv.New64a(), log: log, policy: initialPolicy(),
	}
	w.oracle = newOracle(w)
	for i := range entryCount {
		w.entries = append(w.entries, newEntryNode(w, i))
	}
	for i := range agentCount {
		w.agents = append(w.agents, newAgentNode(w, fmt.Sprintf("worker-%d", i)))
	}
	return w
}

func initialPolicy() entry.Policy {
	return entry.Policy{
		Revision: 1,
		Services: map[string]entry.ServicePolicy{service: {JobTypes: map[string]entry.JobTypePolicy{"price": {}}}},
		Accounts: map[string]entry.AccountPolicy{account: {Weight: 1}},
	}
}

// newIncarnation returns an incarnation that no process has used. Like real
// incarnations, the numbers are not ordered by time.
func (w *world) newIncarnation() msg.Incarnation {
	w.lastIncarnation++
	return w.lastIncarnation * 0x9e3779b97f4a7c15
}

// randomDuration returns a random duration in [low, high).
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// chance returns true with a probability of p percent.
func (w *world) chance(p int) bool { return w.rng.IntN(100) < p }

// logf adds an event to the trace and the log.
func (w *world) logf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(w.trace, "%d %s\n", w.now.Sub(w.start), line)
	if w.log != nil {
		fmt.Fprintf(w.log, "%12s %s\n", w.now.Sub(w.start), line)
	}
}

// after schedules f to run after d.
func (w *world) after(d time.Duration, f func()) {
	w.lastSeq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.lastSeq, run: f})
}

// advance runs the events of the next d. It stops running them when the oracle has
// found an error.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) && w.oracle.err == nil {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// clock is the clock of one process, with an offset and a drift from the world's
// time.
type clock struct {
	offset   time.Duration
	driftPPM int64
}

func (w *world) newClock() clock {
	return clock{offset: w.randomDuration(-maxOffset, maxOffset), driftPPM: w.rng.Int64N(2*maxDriftPPM) - maxDriftPPM}
}

func (c clock) read(w *world) time.Time {
	elapsed := w.now.Sub(w.start)
	return w.now.Add(c.offset + elapsed*time.Duration(c.driftPPM)/1_000_000)
}

// process is the common part of entry and agent nodes: a process that can pause,
// crash and restart. gen, its generation, counts the starts.
type process struct {
	w       *world
	up      bool
	paused  bool
	gen     int
	clock   clock
	backlog []func()
}

// do runs f now, or when a paused process resumes, or never if the process is down.
func (p *process) do(f func()) {
	switch {
	case !p.up:
	case p.paused:
		p.backlog = append(p.backlog, f)
	default:
		f()
	}
}

// doUnlessRestarted is do for the given generation of the process: f does not run
// after a restart.
func (p *process) doUnlessRestarted(gen int, f func()) {
	p.do(func() {
		if p.gen == gen {
			f()
		}
	})
}

func (p *process) boot() {
	p.up, p.paused, p.backlog = true, false, nil
	p.gen++
}

func (p *process) halt() { p.up, p.paused, p.backlog = false, false, nil }

// resume ends a pause and runs what was deferred. At random, a tick comes first, so
// that a tick may precede or follow the deferred events.
func (p *process) resume(tick func()) {
	if !p.paused {
		return
	}
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	if p.w.chance(50) {
		tick()
	}
	for _, f := range backlog {
		p.do(f)
	}
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}
