package coretest_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// The simulation plays entries that have little processor time and share workers that are
// nearly full. An entry handles one input after the other; each input and each message
// takes processor time, and what arrives meanwhile waits.

const (
	// busyMessageCost is the time that an entry takes for an input or a message.
	busyMessageCost = 420 * time.Microsecond
	// busyNetworkDelay is the time that a message is under way.
	busyNetworkDelay = time.Millisecond
	busyTick         = 20 * time.Millisecond
	busyCallerWaits  = 3 * time.Second
	busyWorkerCores  = 64
	busyTaskCores    = 4.9
)

// busyJobType is a kind of job: tasks, their run time, and its share of the jobs.
type busyJobType struct {
	name    string
	tasks   int
	runTime time.Duration
	share   float64
}

var busyJobTypes = []busyJobType{
	{"quick", 8, 60 * time.Millisecond, 0.24},
	{"long", 4, 900 * time.Millisecond, 0.06},
	{"short", 2, 200 * time.Millisecond, 0.70},
}

type busyEvent struct {
	at  time.Time
	seq int
	do  func()
}

type busyEvents []busyEvent

func (h busyEvents) Len() int { return len(h) }
func (h busyEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h busyEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *busyEvents) Push(x any)   { *h = append(*h, x.(busyEvent)) }
func (h *busyEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type busyWorld struct {
	start, now time.Time
	seq        int
	events     busyEvents
	rng        *rand.Rand
	entries    []*busyEntry
	workers    []*busyWorker
}

// busyEntry is an entry whose inputs wait in queue while it works.
type busyEntry struct {
	w     *busyWorld
	inc   msg.Incarnation
	core  *entry.Core
	queue []func()
	// working is set while an input is being handled, tickQueued while a tick waits.
	working, tickQueued bool
	lastJob             uint64
	sent                map[uint64]busyJob
	// jobs and inTime count the jobs by the second of their arrival.
	jobs, inTime []int
	dispatches   int
}

type busyJob struct {
	at    time.Time
	limit time.Duration
}

type busyWorker struct {
	w     *busyWorld
	name  string
	epoch time.Time
	core  *agent.Core
}

func (w *busyWorld) at(at time.Time, do func()) {
	w.seq++
	heap.Push(&w.events, busyEvent{at, w.seq, do})
}

func (w *busyWorld) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run plays the events up to the given time after the start.
func (w *busyWorld) run(until time.Duration) {
	end := w.start.Add(until)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(busyEvent)
		w.now = e.at
		e.do()
	}
}

// post queues an input of the entry.
func (e *busyEntry) post(f func()) {
	e.queue = append(e.queue, f)
	if !e.working {
		e.work()
	}
}

// work handles the first input. Its messages leave when it has been handled.
func (e *busyEntry) work() {
	if len(e.queue) == 0 {
		e.working = false
		return
	}
	e.working = true
	f := e.queue[0]
	e.queue = e.queue[1:]
	f()
	cost := busyMessageCost
	var send []entry.Send
	for _, out := range e.core.TakeOutputs() {
		switch out := out.(type) {
		case entry.Send:
			cost += busyMessageCost
			send = append(send, out)
			if _, ok := out.Message.(msg.Dispatch); ok {
				e.dispatches++
			}
		case entry.Answered:
			e.answered(out)
		}
	}
	e.w.after(cost, func() {
		for _, s := range send {
			worker := e.w.workers[int(s.Link)-1]
			e.w.after(busyNetworkDelay, func() { worker.step(agent.Received{Entry: e.inc, Message: s.Message}) })
		}
		e.work()
	})
}

func (e *busyEntry) answered(a entry.Answered) {
	job := e.sent[a.Job]
	delete(e.sent, a.Job)
	if a.Answer.Outcome == entry.Complete && e.w.now.Sub(job.at) <= job.limit {
		e.inTime[int(job.at.Sub(e.w.start)/time.Second)]++
	}
}

func (e *busyEntry) tick() {
	e.w.after(busyTick, e.tick)
	if e.tickQueued {
		return
	}
	e.tickQueued = true
	e.post(func() {
		e.tickQueued = false
		e.core.Tick(e.w.now)
	})
}

// arrive sends jobs at the rate, in jobs a second, which may change with time, until the
// seconds that are counted are over.
func (e *busyEntry) arrive(rate func(since time.Duration) float64) {
	since := e.w.now.Sub(e.w.start)
	e.w.after(time.Duration(e.w.rng.ExpFloat64()/rate(since)*float64(time.Second)), func() {
		if e.w.now.Sub(e.w.start) >= time.Duration(len(e.jobs))*time.Second {
			return
		}
		e.submit()
		e.arrive(rate)
	})
}

func (e *busyEntry) submit() {
	pick := e.w.rng.Float64()
	t := busyJobTypes[0]
	for _, t = range busyJobTypes {
		if pick -= t.share; pick < 0 {
			break
		}
	}
	// Run times vary, and the declared ones are off by up to 40%.
	runTime := time.Duration(float64(t.runTime) * (0.6 + 0.8*e.w.rng.Float64()))
	declared := time.Duration(float64(runTime) * (0.6 + 0.8*e.w.rng.Float64()))
	e.lastJob++
	id, now := e.lastJob, e.w.now
	job := entry.Job{ID: id, Service: "s", JobType: t.name, Account: "a", Deadline: now.Add(busyCallerWaits)}
	for i := range t.tasks {
		job.Tasks = append(job.Tasks, entry.Task{
			Name: fmt.Sprintf("%d.%d.%d", e.inc, id, i), Payload: []byte(runTime.String()),
			DeclaredSize: msg.Size{Cores: busyTaskCores}, DeclaredRunTime: declared,
		})
	}
	e.sent[id] = busyJob{now, runTime*8/5 + 60*time.Millisecond}
	e.jobs[int(now.Sub(e.w.start)/time.Second)]++
	e.post(func() { e.core.Step(e.w.now, entry.Submit{Job: job}) })
}

func (w *busyWorker) step(in agent.Input) {
	w.core.Step(w.w.now, in)
	w.carryOut()
}

func (w *busyWorker) tick() {
	w.w.after(busyTick, w.tick)
	w.core.Tick(w.w.now)
	w.carryOut()
}

func (w *busyWorker) carryOut() {
	for _, out := range w.core.TakeOutputs() {
		switch out := out.(type) {
		case agent.Send:
			e, clock := w.w.entries[int(out.Entry)-1], w.core.Clock(w.w.now)
			link := w.link()
			w.w.after(busyNetworkDelay, func() {
				e.post(func() { e.core.Step(e.w.now, entry.Received{Link: link, Clock: clock, Message: out.Message}) })
			})
		case agent.Start:
			runTime, err := time.ParseDuration(string(out.Payload))
			if err != nil {
				panic(err)
			}
			w.w.after(runTime, func() {
				w.step(agent.TaskEnded{Attempt: out.Attempt, Kind: msg.ResultOK, RunTime: runTime})
			})
		case agent.StopTask:
			w.step(agent.TaskEnded{Attempt: out.Attempt, Kind: msg.ResultAborted})
		}
	}
}

// link is the number of the worker's link at each entry.
func (w *busyWorker) link() entry.LinkID {
	for i, o := range w.w.workers {
		if o == w {
			return entry.LinkID(i + 1)
		}
	}
	panic("unknown worker")
}

func newBusyWorld(seed uint64, entries, workers, seconds int) *busyWorld {
	w := &busyWorld{start: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
	w.now = w.start
	types := make(map[string]entry.JobTypePolicy)
	for i, t := range busyJobTypes {
		types[t.name] = entry.JobTypePolicy{MaxAttempts: 4, Priority: i, ResponseTarget: 60 * time.Millisecond, ResponseFactor: 1.6}
	}
	policy := entry.Policy{
		Revision: 1, Services: map[string]entry.ServicePolicy{"s": {JobTypes: types}},
		Accounts: map[string]entry.AccountPolicy{"a": {Weight: 1}},
	}
	for i := range entries {
		e := &busyEntry{w: w, inc: msg.Incarnation(i + 1), sent: make(map[uint64]busyJob), jobs: make([]int, seconds), inTime: make([]int, seconds)}
		e.core = entry.New(entry.Config{
			Name: fmt.Sprint("e", i), Incarnation: e.inc, Seed: seed + uint64(i), StartWindow: 2 * time.Second, SuspectAfter: 600 * time.Millisecond,
			LostAfter: 5 * time.Second, HeartbeatInterval: 200 * time.Millisecond, IdleHeartbeat: 500 * time.Millisecond,
			AckDelay: 100 * time.Millisecond, RunLimit: 10 * time.Second, MaxQueued: 100_000, MaxTasks: 1000, MaxPayload: 1 << 20,
		})
		e.core.Step(w.now, entry.SetPolicy{Policy: policy})
		w.entries = append(w.entries, e)
		w.after(time.Duration(w.rng.Int64N(int64(busyTick))), e.tick)
	}
	for i := range workers {
		a := &busyWorker{w: w, name: fmt.Sprintf("w%02d", i), epoch: w.now.Add(-time.Duration(w.rng.Int64N(int64(time.Hour))))}
		a.core = agent.New(agent.Config{
			Worker: a.name, Incarnation: msg.Incarnation(100 + i), ResultKeep: time.Minute, HeartbeatInterval: 200 * time.Millisecond,
			IdleHeartbeat: 500 * time.Millisecond, EntrySilence: 1200 * time.Millisecond, ReleaseAfter: 1200 * time.Millisecond, Epoch: a.epoch,
		})
		w.workers = append(w.workers, a)
		a.core.Step(w.now, agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: busyWorkerCores}, Join: 1, Number: 1, Leased: true})
		a.core.Step(w.now, agent.LeaseChanged{Ready: true, Settled: true})
		for _, e := range w.entries {
			e.core.Step(w.now, entry.LinkUp{Link: a.link(), Clock: a.core.Clock(w.now), Hello: a.core.Hello()})
			a.core.Step(w.now, agent.LinkUp{Entry: e.inc, Name: fmt.Sprint("e", e.inc-1)})
		}
		a.carryOut()
		w.after(time.Duration(w.rng.Int64N(int64(busyTick))), a.tick)
	}
	return w
}

// shareInTime returns the part of the jobs of some seconds that were answered in time.
func shareInTime(entries []*busyEntry, from, to int) float64 {
	jobs, inTime := 0, 0
	for _, e := range entries {
		for second := from; second < to; second++ {
			jobs, inTime = jobs+e.jobs[second], inTime+e.inTime[second]
		}
	}
	return float64(inTime) / float64(jobs)
}

// minShareOfBusiest is how often the callers of any entry have to be served, as a part of
// how often all callers are.
const minShareOfBusiest = 0.8

// Guards against an entry with more callers than the others, and a full processor, that
// spends its time on refused dispatches and reports of room: it answered a fraction of its
// jobs while workers were free, and did so for seconds after a burst.
func TestCallersOfTheBusiestEntryAreServedLikeOthers(t *testing.T) {
	const seconds, burstFrom, burstTo, recovered = 12, 3, 5, 7
	for seed := range uint64(3) {
		w := newBusyWorld(seed+1, 4, 27, seconds)
		for i, e := range w.entries {
			rate := 115.0
			if i == 0 {
				rate = 200
			}
			e.arrive(func(since time.Duration) float64 {
				if i == 0 && since >= burstFrom*time.Second && since < burstTo*time.Second {
					return 1.3 * rate
				}
				return rate
			})
		}
		w.run(seconds*time.Second + busyCallerWaits)
		all, busiest := shareInTime(w.entries, 1, seconds), shareInTime(w.entries[:1], 1, seconds)
		after := shareInTime(w.entries[:1], recovered, seconds)
		t.Logf("seed %d: in time %.3f of all, %.3f of those of the busiest entry, %.3f of its later ones; its dispatches %d for %d jobs", seed+1, all, busiest, after, w.entries[0].dispatches, w.entries[0].lastJob)
		qt.Check(t, busiest >= minShareOfBusiest*all, qt.IsTrue, qt.Commentf("seed %d: all of the day", seed+1))
		qt.Check(t, after >= minShareOfBusiest*shareInTime(w.entries, recovered, seconds), qt.IsTrue, qt.Commentf("seed %d: two seconds after the burst", seed+1))
	}
}
