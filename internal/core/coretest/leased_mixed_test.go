package coretest

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// leasedSeeds is the number of seeds of TestLeasedTasksRunAtOneWorkerUnderMixedFaults.
var leasedSeeds = flag.Uint64("leased.seeds", 8, "seeds of the mixed faults at leased workers")

// loadWithMixedFaults submits jobs, some of whose callers lose their connection and send
// the job again, and injects faults of every kind, which overlap.
func (w *leasedWorld) loadWithMixedFaults() {
	if w.quiesced {
		return
	}
	e := w.randomLiveEntry()
	name := fmt.Sprintf("job-%d", w.jobs)
	if w.rng.IntN(20) > 0 {
		w.submit(name, e, 2)
	} else {
		w.submit(name, e, 0)
		w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() { w.breakCallerConnection(name, e, e.gen) })
	}
	w.mixedFault(w.randomAgent(), w.randomEntry())
	w.after(time.Duration(w.rng.IntN(60))*time.Millisecond, w.loadWithMixedFaults)
}

// breakCallerConnection cancels the job at its entry, unless that is paused, and lets the
// caller send it to a live entry after resendPause.
func (w *leasedWorld) breakCallerConnection(name string, e *leasedEntry, gen int) {
	if e.gen != gen || w.now.Before(e.pausedUntil) || !e.hasOpen(name) {
		return
	}
	w.cancel(name, e)
	w.after(resendPause, func() { w.submit(name, w.randomLiveEntry(), 1) })
}

func (e *leasedEntry) hasOpen(name string) bool {
	for _, open := range e.openJobs {
		if open == name {
			return true
		}
	}
	return false
}

// mixedFault injects a fault at random. All entries but one may be down.
func (w *leasedWorld) mixedFault(a *leasedAgent, e *leasedEntry) {
	switch w.rng.IntN(200) {
	case 0:
		w.startWorker(a)
	case 1:
		w.startAgent(a)
	case 2:
		a.partitionedUntil = w.randomEnd(4 * time.Second)
	case 3, 4:
		a.callsLateUntil = w.randomEnd(3 * time.Second)
	case 5, 6:
		standStill(&a.pausedUntil, w.randomEnd(2500*time.Millisecond))
	case 7:
		standStill(&e.pausedUntil, w.randomEnd(800*time.Millisecond))
	case 8, 9:
		a.stopsLostUntil = w.randomEnd(4 * time.Second)
	case 10, 11:
		a.cutUntil[e] = w.randomEnd(4 * time.Second)
	case 12, 13:
		if w.liveEntries() > 1 {
			w.startEntry(e)
			e.downUntil = w.randomEnd(2 * time.Second)
		}
	}
}

func (w *leasedWorld) liveEntries() int {
	live := 0
	for _, e := range w.entries {
		if !w.now.Before(e.downUntil) {
			live++
		}
	}
	return live
}

// Guards against two runs of one task under faults that overlap: entries, agents and
// workers die, freeze or are cut off from each other, stops and other calls are lost or
// late, and callers send their jobs again.
func TestLeasedTasksRunAtOneWorkerUnderMixedFaults(t *testing.T) {
	for seed := range *leasedSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newLeasedWorld(qt.New(t), seed)
			w.longTasks = true
			w.after(time.Second, w.loadWithMixedFaults)
			w.run(30 * time.Second)
			w.quiesced = true
			w.run(10 * time.Second)
			for _, e := range w.entries {
				w.c.Assert(e.openJobs, qt.HasLen, 0)
			}
		})
	}
}
