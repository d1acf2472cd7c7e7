package coretest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/fake/worker"
)

const (
	leasedEntries = 2
	leasedWorkers = 3
	workerCores   = 8
	// resendPause is how long after the loss of its entry a caller sends a job again.
	resendPause = 1300 * time.Millisecond
	leasedTick  = 20 * time.Millisecond
)

// leasedWorld joins entries, agents with their leases, and stand-in workers. All
// clocks run alike; messages between processes keep their order on a link.
type leasedWorld struct {
	c       *qt.C
	rng     *rand.Rand
	now     time.Time
	events  eventHeap
	serial  uint64
	incs    msg.Incarnation
	entries []*leasedEntry
	agents  []*leasedAgent
	jobs    int
	// answers counts jobs by outcome; done holds the names of completed ones.
	answers map[entry.Outcome]int
	done    map[string]bool
	calm    bool
	// long makes some tasks take seconds.
	long bool
	// idleHeartbeat is the pace of heartbeats on links without tasks.
	idleHeartbeat time.Duration
	// checked is when oneRun looked last.
	checked time.Time
}

func (w *leasedWorld) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now.Add(d), serial: w.serial, run: do})
}

func (w *leasedWorld) incarnation() msg.Incarnation {
	w.incs++
	return w.incs
}

// leasedEntry is one entry process after the other.
type leasedEntry struct {
	w     *leasedWorld
	name  string
	core  *entry.Core
	gen   int
	links entry.LinkID
	peers map[entry.LinkID]*leasedAgent
	open  map[uint64]string
	// pausedUntil is the end of a time in which the process stands still, downUntil
	// that in which there is none.
	pausedUntil, downUntil time.Time
}

// leasedAgent is a worker with one agent process after the other.
type leasedAgent struct {
	w      *leasedWorld
	name   string
	core   *agent.Core
	lease  *lease.Core
	worker *worker.Worker
	lives  int64
	gen    int
	links  map[msg.Incarnation]agentLink
	told   agent.LeaseChanged
	epoch  time.Time
	number uint64
	// cutUntil is the end of a time in which nothing passes between the agent and
	// the entries; lateUntil that in which calls to the worker are carried out late.
	cutUntil, lateUntil, pausedUntil time.Time
}

type agentLink struct {
	to   *leasedEntry
	gen  int
	link entry.LinkID
}

func (w *leasedWorld) start(e *leasedEntry) {
	e.gen++
	inc := w.incarnation()
	e.core = entry.New(entry.Config{
		Name: e.name, Incarnation: inc, Seed: uint64(inc), StartWindow: 2 * time.Second,
		SuspectAfter: 600 * time.Millisecond, LostAfter: 5 * time.Second, HeartbeatInterval: 200 * time.Millisecond,
		IdleHeartbeat: w.idleHeartbeat,
		AckDelay:      50 * time.Millisecond, RunLimit: time.Minute, MaxQueued: 1000, MaxTasks: 100, MaxPayload: 1 << 10,
	})
	e.peers, e.open = make(map[entry.LinkID]*leasedAgent), make(map[uint64]string)
	e.core.Step(w.now, entry.SetPolicy{Policy: entry.Policy{
		Revision: 1,
		Services: map[string]entry.ServicePolicy{"s": {JobTypes: map[string]entry.JobTypePolicy{
			"job": {MaxAttempts: 4, ResponseTarget: 60 * time.Millisecond, ResponseFactor: 1.6},
		}}},
		Accounts: map[string]entry.AccountPolicy{"a": {Weight: 1}},
	}})
}

func (w *leasedWorld) startAgent(a *leasedAgent) {
	a.gen++
	a.epoch, a.told = w.now, agent.LeaseChanged{}
	a.links = make(map[msg.Incarnation]agentLink)
	a.lease = lease.New(lease.Config{})
	a.core = agent.New(agent.Config{
		Worker: a.name, Incarnation: w.incarnation(), Epoch: a.epoch, LeaseTail: lease.Tail(lease.Config{}),
		ResultKeep: time.Minute, HeartbeatInterval: 200 * time.Millisecond, EntrySilence: 1200 * time.Millisecond,
		IdleHeartbeat: w.idleHeartbeat,
	})
}

func (w *leasedWorld) bear(a *leasedAgent) {
	a.lives++
	a.worker = worker.New(lease.Life{ID: a.name, Born: a.lives}, w.now, workerCores, func(string) (time.Duration, lease.How) {
		took := time.Duration(5+w.rng.IntN(500)) * time.Millisecond
		if w.long && w.rng.IntN(8) == 0 {
			// Such a task outlives the caller's pause.
			took += 2 * resendPause
		}
		if w.rng.IntN(15) == 0 {
			return took, lease.Failed
		}
		return took, lease.Done
	})
}

func (w *leasedWorld) delay() time.Duration {
	return time.Duration(200+w.rng.IntN(300)) * time.Microsecond
}

// link opens a link from the agent to the entry.
func (a *leasedAgent) link(e *leasedEntry) {
	w := a.w
	if w.now.Before(a.cutUntil) || w.now.Before(a.pausedUntil) || w.now.Before(e.pausedUntil) || w.now.Before(e.downUntil) {
		return
	}
	for _, l := range a.links {
		if l.to == e && l.gen == e.gen {
			return
		}
	}
	e.links++
	id := e.links
	e.peers[id] = a
	hello, clock := a.core.Hello(), a.core.Clock(w.now)
	agentGen, entryGen := a.gen, e.gen
	e.core.Step(w.now, entry.LinkUp{Link: id, Clock: clock, Hello: hello})
	for _, out := range e.core.Drain() {
		s, ok := out.(entry.Send)
		if !ok || s.Link != id {
			e.carryOut(out)
			continue
		}
		if welcome, ok := s.Message.(msg.Welcome); ok {
			a.links[welcome.Incarnation] = agentLink{e, entryGen, id}
			a.core.Step(w.now, agent.LinkUp{Entry: welcome.Incarnation, Name: welcome.Entry})
			continue
		}
		a.receive(agentGen, entryGen, e, s)
	}
	a.drain()
}

// receive delivers a message of the entry, unless the path is cut.
func (a *leasedAgent) receive(agentGen, entryGen int, e *leasedEntry, s entry.Send) {
	w := a.w
	if w.now.Before(a.cutUntil) {
		return
	}
	w.after(500*time.Microsecond, func() {
		w.whenAwake(&a.pausedUntil, func() {
			for inc, l := range a.links {
				if a.gen == agentGen && l.to == e && l.gen == entryGen && l.link == s.Link {
					a.core.Step(w.now, agent.Received{Entry: inc, Message: s.Message})
					a.drain()
				}
			}
		})
	})
}

// whenAwake runs f, or runs it at the end of a pause.
func (w *leasedWorld) whenAwake(pausedUntil *time.Time, f func()) {
	if w.now.Before(*pausedUntil) {
		w.after(pausedUntil.Sub(w.now), func() { w.whenAwake(pausedUntil, f) })
		return
	}
	f()
}

func (e *leasedEntry) drain() {
	for _, out := range e.core.Drain() {
		e.carryOut(out)
	}
}

func (e *leasedEntry) carryOut(out entry.Output) {
	switch out := out.(type) {
	case entry.Send:
		if a := e.peers[out.Link]; a != nil {
			a.receive(a.gen, e.gen, e, out)
		}
	case entry.CloseLink:
		if a := e.peers[out.Link]; a != nil {
			delete(e.peers, out.Link)
			a.unlink(e, out.Link)
		}
	case entry.Answered:
		e.w.answered(e, out)
	}
}

func (a *leasedAgent) unlink(e *leasedEntry, id entry.LinkID) {
	for inc, l := range a.links {
		if l.to == e && l.link == id {
			delete(a.links, inc)
			a.core.Step(a.w.now, agent.LinkDown{Entry: inc})
		}
	}
}

// answered notes an answer. A caller whose job may have run sends it again to any
// entry after the pause.
func (w *leasedWorld) answered(e *leasedEntry, out entry.Answered) {
	name := e.open[out.Job]
	delete(e.open, out.Job)
	w.answers[out.Answer.Outcome]++
	if out.Answer.Outcome == entry.Complete {
		w.done[name] = true
	}
}

// drain does what the agent and its lease asked for, until neither asks for more.
func (a *leasedAgent) drain() {
	w := a.w
	for busy := true; busy; {
		busy = false
		for _, out := range a.core.Drain() {
			busy = true
			switch out := out.(type) {
			case agent.Send:
				a.send(out)
			case agent.CloseLink:
				if l, ok := a.links[out.Entry]; ok {
					delete(a.links, out.Entry)
					if l.gen == l.to.gen {
						delete(l.to.peers, l.link)
						l.to.core.Step(w.now, entry.LinkDown{Link: l.link})
					}
				}
			case agent.Start:
				a.lease.Step(w.now, lease.Begin{Attempt: out.Attempt, Task: out.Name, Run: out.Attempt.Attempt, Limit: out.RunLimit})
			case agent.StopTask:
				a.lease.Step(w.now, lease.End{Attempt: out.Attempt})
			}
		}
		for _, out := range a.lease.Drain() {
			busy = true
			switch out := out.(type) {
			case lease.Start:
				a.call(out.Call, func() lease.Answer { return a.worker.Start(w.now, out) })
			case lease.Stop:
				a.call(out.Call, func() lease.Answer { return a.worker.Stop(w.now, out) })
			case lease.Hold:
				a.call(out.Call, func() lease.Answer { return a.worker.Hold(w.now, out) })
			case lease.Ended:
				a.core.Step(w.now, agent.TaskEnded{Attempt: out.Attempt, Kind: out.Kind, RunTime: out.RunTime})
			}
		}
		a.tellLease()
	}
}

func (a *leasedAgent) tellLease() {
	if state := (agent.LeaseChanged{Ready: a.lease.Ready(), Settled: a.lease.Settled()}); state != a.told {
		a.told = state
		a.core.Step(a.w.now, state)
	}
}

func (a *leasedAgent) send(out agent.Send) {
	w := a.w
	l, ok := a.links[out.Entry]
	if !ok || w.now.Before(a.cutUntil) {
		return
	}
	clock := a.core.Clock(w.now)
	w.after(500*time.Microsecond, func() {
		w.whenAwake(&l.to.pausedUntil, func() {
			if l.gen == l.to.gen {
				l.to.core.Step(w.now, entry.Received{Link: l.link, Clock: clock, Message: out.Message})
				l.to.drain()
			}
		})
	})
}

// call carries a call to the worker. While calls are late it gets no answer and
// may be carried out seconds later.
func (a *leasedAgent) call(number uint64, do func() lease.Answer) {
	w, gen := a.w, a.gen
	answer := func(ans lease.Answer) {
		w.whenAwake(&a.pausedUntil, func() {
			if a.gen == gen {
				a.lease.Step(w.now, ans)
				a.drain()
			}
		})
	}
	if !w.calm && (w.now.Before(a.lateUntil) && w.rng.IntN(2) == 0 || w.rng.IntN(200) == 0) {
		if w.rng.IntN(2) == 0 {
			w.after(time.Duration(w.rng.IntN(6000))*time.Millisecond, func() { do() })
		}
		w.after(25*time.Millisecond, func() { answer(lease.Answer{Call: number, Status: lease.NoAnswer}) })
		return
	}
	w.after(w.delay(), func() {
		result := do()
		w.after(w.delay(), func() { answer(result) })
	})
}

// submit gives a job to an entry. When that entry dies without an answer, the
// caller sends the job to the other one after the pause.
func (w *leasedWorld) submit(name string, e *leasedEntry, left int) {
	w.jobs++
	id, gen := uint64(w.jobs), e.gen
	job := entry.Job{ID: id, Service: "s", JobType: "job", Account: "a", Deadline: w.now.Add(4 * time.Second)}
	for i := range 1 + int(id)%5 {
		job.Tasks = append(job.Tasks, entry.Task{
			Name: fmt.Sprintf("%s.%d", name, i), DeclaredSize: msg.Size{Cores: 1}, DeclaredRunTime: 200 * time.Millisecond,
		})
	}
	e.open[id] = name
	w.whenAwake(&e.pausedUntil, func() {
		if e.gen == gen {
			e.core.Step(w.now, entry.Submit{Job: job})
			e.drain()
		}
	})
	if left > 0 {
		w.watch(name, e, id, gen, left)
	}
}

// watch sends the job again when its entry has died.
func (w *leasedWorld) watch(name string, e *leasedEntry, id uint64, gen, left int) {
	w.after(leasedTick, func() {
		if e.gen != gen {
			w.after(resendPause, func() { w.submit(name, w.up(), left-1) })
			return
		}
		if _, open := e.open[id]; open {
			w.watch(name, e, id, gen, left)
		}
	})
}

// up returns an entry that is there.
func (w *leasedWorld) up() *leasedEntry {
	e := w.entries[w.rng.IntN(leasedEntries)]
	for w.now.Before(e.downUntil) {
		e = w.entries[w.rng.IntN(leasedEntries)]
	}
	return e
}

// oneRun checks that no task runs at two workers, once in a millisecond: tasks take
// five and more.
func (w *leasedWorld) oneRun() {
	if w.now.Sub(w.checked) < time.Millisecond {
		return
	}
	w.checked = w.now
	at := make(map[string]string)
	for _, a := range w.agents {
		for task := range a.worker.Running(w.now) {
			if other, twice := at[task]; twice {
				w.c.Fatalf("%s: task %s runs at %s and %s", w.now, task, other, a.name)
			}
			at[task] = a.name
		}
	}
}

func (w *leasedWorld) tick() {
	for _, e := range w.entries {
		if !w.now.Before(e.pausedUntil) {
			e.core.Tick(w.now)
			e.drain()
		}
	}
	for _, a := range w.agents {
		if w.now.Before(a.pausedUntil) {
			continue
		}
		a.number++
		a.lease.Step(w.now, lease.Announced{Life: a.worker.Life})
		a.core.Step(w.now, agent.EndpointAnnounced{
			Service: "s", Slots: workerCores, Connections: workerCores, Size: msg.Size{Cores: workerCores}, Leased: true,
			Join: uint64(a.worker.Life.Born), Number: a.number,
		})
		a.core.Tick(w.now)
		a.lease.Tick(w.now)
		a.drain()
		for _, e := range w.entries {
			a.link(e)
		}
	}
	w.after(leasedTick, w.tick)
}

// span returns a time between a tenth and the whole of the limit.
func (w *leasedWorld) span(limit time.Duration) time.Time {
	return w.now.Add(limit/10 + time.Duration(w.rng.Int64N(int64(limit*9/10))))
}

// load submits jobs and brings about faults. Agents and entries do not die
// together: see spec/README.md on an agent that dies just after an entry.
func (w *leasedWorld) load() {
	if w.calm {
		return
	}
	w.submit(fmt.Sprintf("job-%d", w.jobs), w.entries[w.rng.IntN(leasedEntries)], 2)
	a, e := w.agents[w.rng.IntN(leasedWorkers)], w.entries[w.rng.IntN(leasedEntries)]
	switch w.rng.IntN(300) {
	case 0:
		w.bear(a)
	case 1:
		w.startAgent(a)
	case 2:
		a.cutUntil = w.span(4 * time.Second)
	case 3:
		a.lateUntil = w.span(3 * time.Second)
	case 4:
		a.pausedUntil = w.span(4 * time.Second)
	case 5:
		e.pausedUntil = w.span(800 * time.Millisecond)
	}
	w.after(time.Duration(w.rng.IntN(60))*time.Millisecond, w.load)
}

// crashes kills an entry now and then, while agents and workers are sound, and
// starts it again after a while.
func (w *leasedWorld) crashes() {
	if w.calm {
		return
	}
	e := w.entries[w.rng.IntN(leasedEntries)]
	w.start(e)
	e.downUntil = w.span(2 * time.Second)
	w.after(time.Duration(2000+w.rng.IntN(4000))*time.Millisecond, w.crashes)
}

func (w *leasedWorld) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.oneRun()
	}
	w.now = end
}

// steadySeeds is the number of seeds that are played with one pace of heartbeats on
// all links; later ones have a slower pace on links without tasks.
const steadySeeds = 5

func newLeasedWorld(c *qt.C, seed uint64) *leasedWorld {
	w := &leasedWorld{
		c: c, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
		answers: make(map[entry.Outcome]int), done: make(map[string]bool),
	}
	if seed >= steadySeeds {
		w.idleHeartbeat = 2 * time.Second
	}
	for i := range leasedEntries {
		e := &leasedEntry{w: w, name: fmt.Sprint("entry-", i)}
		w.start(e)
		w.entries = append(w.entries, e)
	}
	for i := range leasedWorkers {
		a := &leasedAgent{w: w, name: fmt.Sprint("worker-", i)}
		w.bear(a)
		w.startAgent(a)
		w.agents = append(w.agents, a)
	}
	w.after(0, w.tick)
	return w
}

// Guards against two runs of one task at once at leased workers: after lost and
// late calls, reborn workers, replaced, frozen and cut-off agents, and paused
// entries. Guards as well against a job without an answer.
func TestLeasedTasksRunAtOneWorker(t *testing.T) {
	for seed := range uint64(2 * steadySeeds) {
		c := qt.New(t)
		w := newLeasedWorld(c, seed)
		w.after(time.Second, w.load)
		w.run(30 * time.Second)
		w.calm = true
		w.run(10 * time.Second)
		for _, e := range w.entries {
			c.Assert(e.open, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		}
		c.Assert(w.answers[entry.Complete] > 300, qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.answers))
	}
}

// Guards against two runs of one task at once when entries die and callers send
// their jobs to another one.
func TestLeasedTasksOfADeadEntryEnd(t *testing.T) {
	for seed := range uint64(2 * steadySeeds) {
		c := qt.New(t)
		w := newLeasedWorld(c, seed)
		w.long = true
		w.after(time.Second, func() {
			w.after(0, w.crashes)
			var load func()
			load = func() {
				if !w.calm {
					w.submit(fmt.Sprintf("job-%d", w.jobs), w.up(), 2)
					w.after(time.Duration(w.rng.IntN(60))*time.Millisecond, load)
				}
			}
			load()
		})
		w.run(30 * time.Second)
		w.calm = true
		w.run(10 * time.Second)
		c.Assert(w.answers[entry.Complete] > 300, qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.answers))
	}
}
