package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/fake/worker"
)

// world joins lease cores, one agent process after the other, with a stand-in
// worker over a path that delays, loses and repeats late.
type world struct {
	c      *qt.C
	rng    *rand.Rand
	now    time.Time
	events eventHeap
	order  int
	worker *worker.Worker
	core   *lease.Core
	// process numbers the agent processes; answers to earlier ones are lost.
	process int
	lives   int64
	// open holds the attempts without an end, of the present process.
	open map[msg.AttemptID]string
	// over holds the runs that a core has called ended.
	over  map[string]map[uint32]bool
	runs  map[string]uint32
	ends  map[msg.ResultKind]int
	tasks int
	calm  bool
	// cutUntil is the end of a time in which every call is lost or late.
	cutUntil time.Time
	// orphans are the open attempts of earlier processes.
	orphans map[msg.AttemptID]string
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, do})
}

func (w *world) work(string) (time.Duration, lease.How) {
	takes := time.Duration(1+w.rng.IntN(600)) * time.Millisecond
	if w.rng.IntN(10) == 0 {
		return takes, lease.Failed
	}
	return takes, lease.Done
}

// newWorker begins a new life of the worker.
func (w *world) newWorker() {
	w.lives++
	w.worker = worker.New(lease.Life{ID: "i-1", Born: w.lives}, w.now, 8, w.work)
}

// newAgent begins a new agent process.
func (w *world) newAgent() {
	w.process++
	for id, task := range w.open {
		w.orphans[id] = task
	}
	w.core, w.open = lease.New(lease.Config{}), make(map[msg.AttemptID]string)
}

// deliver carries a call to the worker and its answer back, with faults.
func (w *world) deliver(call func() lease.Answer, number uint64) {
	process := w.process
	back := func(a lease.Answer) {
		w.after(w.delay(), func() {
			if process == w.process {
				w.core.Step(w.now, a)
				w.drain()
			}
		})
	}
	lost := func() {
		w.after(250*time.Millisecond, func() {
			if process == w.process {
				w.core.Step(w.now, lease.Answer{Call: number, Status: lease.NoAnswer})
				w.drain()
			}
		})
	}
	fault := w.rng.IntN(40)
	if w.now.Before(w.cutUntil) {
		fault = 1 + w.rng.IntN(2)
	}
	switch {
	case !w.calm && fault == 0:
		lost()
	case !w.calm && fault == 1:
		w.after(w.delay(), func() { call() })
		lost()
	case !w.calm && fault == 2:
		w.after(time.Duration(2000+w.rng.IntN(10000))*time.Millisecond, func() { call() })
		lost()
	default:
		w.after(w.delay(), func() { back(call()) })
	}
}

func (w *world) delay() time.Duration { return time.Duration(100+w.rng.IntN(900)) * time.Microsecond }

func (w *world) drain() {
	for _, out := range w.core.Drain() {
		switch out := out.(type) {
		case lease.Start:
			w.deliver(func() lease.Answer { return w.worker.Start(w.now, out) }, out.Call)
		case lease.Stop:
			w.deliver(func() lease.Answer { return w.worker.Stop(w.now, out) }, out.Call)
		case lease.Hold:
			w.deliver(func() lease.Answer { return w.worker.Hold(w.now, out) }, out.Call)
		case lease.Ended:
			w.ended(out)
		}
	}
}

func (w *world) ended(e lease.Ended) {
	task, ok := w.open[e.Attempt]
	w.c.Assert(ok, qt.IsTrue, qt.Commentf("attempt %v ends again", e.Attempt))
	delete(w.open, e.Attempt)
	w.ends[e.Kind]++
	w.markOver(e.Attempt, task)
	w.checkOver()
}

func (w *world) markOver(id msg.AttemptID, task string) {
	if w.over[task] == nil {
		w.over[task] = make(map[uint32]bool)
	}
	w.over[task][id.Attempt] = true
}

// settle marks the attempts of earlier processes as over once the core says so.
func (w *world) settle() {
	if !w.core.Settled() {
		return
	}
	for id, task := range w.orphans {
		w.markOver(id, task)
		delete(w.orphans, id)
	}
}

// checkOver checks that nothing runs that was called ended.
func (w *world) checkOver() {
	for task, number := range w.worker.Running(w.now) {
		if w.over[task][number] {
			w.c.Fatalf("run %d of %s is called ended and runs", number, task)
		}
	}
}

func (w *world) begin() {
	w.tasks++
	task := fmt.Sprintf("task-%d", w.rng.IntN(60))
	w.runs[task]++
	id := msg.AttemptID{Entry: 1, Job: uint64(w.tasks), Attempt: w.runs[task]}
	w.open[id] = task
	w.core.Step(w.now, lease.Begin{Attempt: id, Task: task, Run: id.Attempt, Limit: time.Second})
	w.drain()
	if w.rng.IntN(5) == 0 {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() {
			w.core.Step(w.now, lease.End{Attempt: id})
			w.drain()
		})
	}
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
		w.settle()
		w.checkOver()
	}
	w.now = end
}

func (w *world) tick() {
	w.core.Step(w.now, lease.Announced{Life: w.worker.Life})
	w.core.Tick(w.now)
	w.drain()
	w.after(20*time.Millisecond, w.tick)
}

func (w *world) load() {
	if w.calm {
		return
	}
	w.begin()
	switch w.rng.IntN(400) {
	case 0:
		w.newWorker()
	case 1:
		w.newAgent()
	case 2:
		w.cutUntil = w.now.Add(time.Duration(500+w.rng.IntN(3000)) * time.Millisecond)
	}
	w.after(time.Duration(w.rng.IntN(120))*time.Millisecond, w.load)
}

// Guards against a task that is called ended, or never started, and runs: after
// lost answers, calls that are carried out late, restarts of the worker and of
// the agent. Guards as well against an attempt that never ends, and against a
// worker that is never used again.
func TestEndedMeansEnded(t *testing.T) {
	for seed := range uint64(30) {
		c := qt.New(t)
		w := &world{
			c: c, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
			over: make(map[string]map[uint32]bool), runs: make(map[string]uint32), ends: make(map[msg.ResultKind]int),
			orphans: make(map[msg.AttemptID]string),
		}
		w.newWorker()
		w.newAgent()
		w.after(0, w.tick)
		w.after(0, w.load)
		w.run(30 * time.Second)
		w.calm = true
		w.run(15 * time.Second)
		c.Assert(w.open, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		c.Assert(w.worker.Running(w.now), qt.HasLen, 0)
		c.Assert(w.core.Ready(), qt.IsTrue)
		c.Assert(w.ends[msg.ResultOK] > 100, qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.ends))
	}
}
