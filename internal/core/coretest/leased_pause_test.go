package coretest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against two runs of one task when its caller's connection breaks while the entry
// is paused: the stop goes out late, the lease is extended once the entry goes on,
// and if it gets no answer the task has to end all the same before the caller sends its job
// to another entry.
func TestTaskOfJobAbandonedInAPauseEndsWhileStopsAreLost(t *testing.T) {
	for pause := 100 * time.Millisecond; pause < resendPause; pause += 100 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(uniformHeartbeatSeeds) {
				w := newLeasedWorld(qt.New(t), seed)
				w.run(time.Second)
				w.loadEntry(w.entries[1])
				e := w.entries[0]
				a := w.submitLong(e, 0)
				e.pausedUntil = w.now.Add(pause)
				a.stopsLostUntil = w.now.Add(4 * time.Second)
				w.run(pause + time.Millisecond)
				w.cancel("long", e)
				w.run(resendPause - pause - time.Millisecond)
				_, runs := a.worker.Running(w.now)["long.0"]
				w.c.Check(runs, qt.IsFalse, qt.Commentf("seed %d: the task still runs %v after its caller's connection broke", seed, resendPause))
				w.submit("long", w.entries[1], 0)
				w.run(4 * time.Second)
			}
		})
	}
}

// Guards against two runs of one task when its caller's connection breaks, the messages of
// its entry reach the agent late, and stops get no answer: the lease has to end before the
// caller sends its job to another entry.
func TestTaskOfAbandonedJobEndsWhileRevokeIsLate(t *testing.T) {
	for delay := 100 * time.Millisecond; delay < time.Second; delay += 200 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(uniformHeartbeatSeeds) {
				w := newLeasedWorld(qt.New(t), seed)
				w.run(time.Second)
				w.loadEntry(w.entries[1])
				e := w.entries[0]
				a := w.submitLong(e, 0)
				a.delayFrom = map[*leasedEntry]time.Duration{e: delay}
				a.stopsLostUntil = w.now.Add(4 * time.Second)
				w.cancel("long", e)
				w.run(resendPause)
				_, runs := a.worker.Running(w.now)["long.0"]
				w.c.Check(runs, qt.IsFalse, qt.Commentf("seed %d: the task still runs %v after its caller's connection broke", seed, resendPause))
				w.submit("long", w.entries[1], 0)
				w.run(4 * time.Second)
			}
		})
	}
}
