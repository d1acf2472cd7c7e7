package coretest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cancelLimit is the time after its cancel by which nothing of a job may run (cancel_ms and
// stopGraceMs of the users' platform).
const cancelLimit = 3050 * time.Millisecond

// loadWithSteps submits jobs of several steps, one after the other. Half of the callers lose
// their connection and send the job to any entry, or cancel the job. With faults, processes,
// links and workers fail as well.
func (w *leasedWorld) loadWithSteps(faults bool) {
	if w.quiesced {
		return
	}
	e := w.randomLiveEntry()
	name, gen := fmt.Sprintf("job-%d", w.jobs), e.gen
	w.submit(name, e, 0)
	leaveAfter := time.Duration(w.rng.IntN(800)) * time.Millisecond
	switch w.rng.IntN(4) {
	case 0:
		w.after(leaveAfter, func() { w.breakCallerConnection(name, e, gen) })
	case 1:
		w.after(leaveAfter, func() { w.cancelForGood(name, e, gen) })
	}
	if faults {
		w.mixedFault(w.randomAgent(), w.randomEntry())
	}
	w.after(time.Duration(w.rng.IntN(60))*time.Millisecond, func() { w.loadWithSteps(faults) })
}

// cancelForGood cancels the job at its entry, unless that is paused. Its caller does not send
// it again.
func (w *leasedWorld) cancelForGood(name string, e *leasedEntry, gen int) {
	if e.gen != gen || w.now.Before(e.pausedUntil) || !e.hasOpen(name) {
		return
	}
	w.cancel(name, e)
	w.after(cancelLimit, func() { w.checkGone(name) })
}

// checkGone checks that no task of the job runs or starts from now on.
func (w *leasedWorld) checkGone(name string) {
	for _, a := range w.agents {
		if runsTaskOf(a, name) {
			w.c.Fatalf("%s: a task of %s runs at %s %s after its job was cancelled", w.now, name, a.name, cancelLimit)
		}
	}
	if !w.quiesced {
		w.after(50*time.Millisecond, func() { w.checkGone(name) })
	}
}

// runsTaskOf reports whether a task of the job runs at the agent's worker.
func runsTaskOf(a *leasedAgent, job string) bool {
	for task := range a.worker.Running(a.w.now) {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// Guards against a job that goes on to its next step after its caller has left or cancelled
// it: tasks run twice at once when the caller sends the job again, and run on when it does
// not.
func TestAbandonedJobsRunNoFurtherStep(t *testing.T) {
	for _, faults := range []bool{false, true} {
		for seed := range max(1, *leasedSeeds/2) {
			t.Run(fmt.Sprintf("seed %d, faults %v", seed, faults), func(t *testing.T) {
				t.Parallel()
				w := newLeasedWorld(qt.New(t), seed)
				w.inSteps = true
				w.after(time.Second, func() { w.loadWithSteps(faults) })
				w.run(30 * time.Second)
				w.quiesced = true
				w.run(10 * time.Second)
				for _, e := range w.entries {
					w.c.Assert(e.openJobs, qt.HasLen, 0)
				}
			})
		}
	}
}
