package coretest

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longRun outlasts every time after which a task may start elsewhere, and ends before
// the deadline of its job.
const longRun = 3500 * time.Millisecond

// loadEntry keeps every worker busy with short jobs of one entry.
func (w *leasedWorld) loadEntry(e *leasedEntry) {
	if w.quiesced {
		return
	}
	w.submit(fmt.Sprintf("load-%d", w.jobs), e, 0)
	w.after(15*time.Millisecond, func() { w.loadEntry(e) })
}

// submitLong submits a job with a task of longRun to the entry and returns the agent at
// whose worker the task runs.
func (w *leasedWorld) submitLong(e *leasedEntry, resends int) *leasedAgent {
	const name = "long"
	for i := range 5 {
		w.runTimes[fmt.Sprintf("%s.%d", name, i)] = longRun
	}
	w.submit(name, e, resends)
	w.run(50 * time.Millisecond)
	for _, a := range w.agents {
		if _, ok := a.worker.Running(w.now)[name+".0"]; ok {
			return a
		}
	}
	w.c.Fatalf("the task of the job does not run")
	return nil
}

// Guards against two runs of one task when its entry is cut off from the worker's agent
// and stops get no answer: holds and starts for the tasks of another entry must not
// extend the lease until the first entry takes the task as ended and starts it elsewhere.
func TestTaskOfCutOffEntryEndsWhileStopsAreLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(uniformHeartbeatSeeds) {
		w := newLeasedWorld(qt.New(t), seed)
		w.run(time.Second)
		w.loadEntry(w.entries[1])
		a := w.submitLong(w.entries[0], 0)
		a.cutUntil[w.entries[0]] = w.now.Add(4 * time.Second)
		a.stopsLostUntil = w.now.Add(4 * time.Second)
		w.run(5 * time.Second)
	}
}

// Guards against two runs of one task when its entry dies and stops get no answer: the
// task must have ended when the caller sends its job to another entry.
func TestTaskOfDeadEntryEndsWhileStopsAreLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(uniformHeartbeatSeeds) {
		w := newLeasedWorld(qt.New(t), seed)
		w.run(time.Second)
		w.loadEntry(w.entries[1])
		a := w.submitLong(w.entries[0], 1)
		w.startEntry(w.entries[0])
		w.entries[0].downUntil = w.now.Add(4 * time.Second)
		a.stopsLostUntil = w.now.Add(4 * time.Second)
		w.run(5 * time.Second)
	}
}

// Guards against two runs of one task when its caller's connection breaks and stops get
// no answer: the task must have ended when the caller sends its job to another entry.
func TestTaskOfAbandonedJobEndsWhileStopsAreLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(uniformHeartbeatSeeds) {
		w := newLeasedWorld(qt.New(t), seed)
		w.run(time.Second)
		w.loadEntry(w.entries[1])
		a := w.submitLong(w.entries[0], 0)
		a.stopsLostUntil = w.now.Add(4 * time.Second)
		w.cancel("long", w.entries[0])
		w.after(resendPause, func() { w.submit("long", w.entries[1], 0) })
		w.run(5 * time.Second)
	}
}

// Guards against two runs of one task when an entry dies and the worker's agent freezes
// before it has stopped the entry's tasks: the lease that was renewed last must have
// ended when the caller sends its job to another entry.
func TestTaskOfDeadEntryEndsWhileAgentIsFrozen(t *testing.T) {
	t.Parallel()
	for seed := range uint64(uniformHeartbeatSeeds) {
		for frozenAfter := 100 * time.Millisecond; frozenAfter <= time.Second; frozenAfter += 100 * time.Millisecond {
			w := newLeasedWorld(qt.New(t), seed)
			w.run(time.Second)
			w.loadEntry(w.entries[1])
			a := w.submitLong(w.entries[0], 1)
			w.startEntry(w.entries[0])
			w.entries[0].downUntil = w.now.Add(4 * time.Second)
			w.after(frozenAfter, func() { a.pausedUntil = w.now.Add(2 * time.Second) })
			w.run(5 * time.Second)
		}
	}
}
