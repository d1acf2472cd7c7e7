package coretest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// Guards against two concurrent runs of one task, and against a job without an answer, when
// entries learn speeds and stop tasks by them. The faults are those of
// TestLeasedTasksRunAtOneWorker.
func TestLeasedTasksRunAtOneWorkerWithLearnedSpeeds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2 * uniformHeartbeatSeeds) {
		c := qt.New(t)
		w := newLeasedWorld(c, 1000+seed)
		w.learnSpeeds = true
		for _, e := range w.entries {
			w.startEntry(e)
		}
		w.after(time.Second, w.loadWithFaults)
		w.run(30 * time.Second)
		w.quiesced = true
		w.run(10 * time.Second)
		for _, e := range w.entries {
			c.Assert(e.openJobs, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		}
		c.Assert(w.answers[entry.Complete] > 300, qt.IsTrue, qt.Commentf("seed %d: %v", seed, w.answers))
	}
}
