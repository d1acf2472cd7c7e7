package coretest

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against two runs of one task whose dispatch was delayed: the worker's lease was
// extended for tasks of another entry before the task started, and does not get shorter
// when the task's entry turns out to be dead and its stop gets no answer, or when the agent
// freezes.
func TestTaskOfDelayedDispatchEndsInTime(t *testing.T) {
	for name, disturb := range map[string]func(*leasedAgent){
		"stops lost":   func(a *leasedAgent) { a.stopsLostUntil = a.w.now.Add(4 * time.Second) },
		"agent frozen": func(a *leasedAgent) { a.pausedUntil = a.w.now.Add(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(uniformHeartbeatSeeds) {
				w := newLeasedWorld(qt.New(t), seed)
				w.run(time.Second)
				w.loadEntry(w.entries[1])
				w.run(100 * time.Millisecond)
				for i := range 5 {
					w.runTimes["long."+string(rune('0'+i))] = longRun
				}
				e := w.entries[0]
				for _, a := range w.agents {
					a.delayFrom = map[*leasedEntry]time.Duration{e: 800 * time.Millisecond}
				}
				w.submit("long", e, 1)
				w.run(30 * time.Millisecond)
				w.startEntry(e)
				e.downUntil = w.now.Add(4 * time.Second)
				w.run(785 * time.Millisecond)
				for _, a := range w.agents {
					if _, runs := a.worker.Running(w.now)["long.0"]; runs {
						disturb(a)
					}
				}
				w.run(resendPause - 785*time.Millisecond)
				for _, a := range w.agents {
					for task := range a.worker.Running(w.now) {
						w.c.Assert(strings.HasPrefix(task, "long."), qt.IsFalse,
							qt.Commentf("seed %d: %s still runs at %s %v after the death of its entry", seed, task, a.name, resendPause))
					}
				}
				w.run(4 * time.Second)
			}
		})
	}
}
