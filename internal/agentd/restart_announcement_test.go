package agentd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/lease"
)

// startLate lets the worker carry out a start that was sent to an earlier instance.
func (w *instanceWorker) startLate(task string) lease.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.worker.Start(clock.Now(), lease.Start{Instance: w.worker.Instance, Task: task, Run: 1, Until: time.Hour, Fence: 1}).Status
}

// loseCoreCalls loses the calls of the lease core from now on.
func (w *instanceWorker) loseCoreCalls() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coreCallsLost = true
}

// Guards against tasks that are reported as ended while they run at a worker that has
// restarted under its ID and carried out starts meant for the earlier instance: an
// announcement of a worker with another ID must not end them, whether the restart was
// announced before or is learnt from the check for that announcement.
func TestOtherAnnouncementAfterRestartLeavesTasksRunning(t *testing.T) {
	for name, announced := range map[string]bool{"restart announced": true, "restart learnt from the check": false} {
		t.Run(name, func(t *testing.T) {
			f := newOddFixture(t)
			f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
			f.startTask("t")
			f.worker.loseCoreCalls()
			f.worker.restart(lease.Instance{ID: "i", StartedAtMs: 7})
			f.c.Assert(f.worker.startLate("t"), qt.Equals, lease.OK)
			if announced {
				f.announce()
				time.Sleep(30 * time.Millisecond)
				f.c.Assert(f.running(), qt.Equals, 1)
			}
			other := announcementOf(6, 1, false)
			other.Instance.ID = "x"
			f.daemon.Announced(other)
			time.Sleep(30 * time.Millisecond)
			f.c.Assert(f.worker.runs("t"), qt.IsTrue)
			f.c.Check(f.running(), qt.Equals, 1, qt.Commentf("the task is reported as ended while it runs"))
		})
	}
}

// Guards against a worker that announced that it is leaving, restarts under its ID and is
// not used again because an answer told of the restart before its announcement.
func TestWorkerThatLeftAndRestartedIsUsed(t *testing.T) {
	f := newOddFixture(t)
	f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
	f.startTask("t")
	f.number++
	f.daemon.Announced(announcementOf(5, f.number, true))
	f.worker.restart(lease.Instance{ID: "i", StartedAtMs: 7})
	time.Sleep(150 * time.Millisecond)
	f.number = 0
	f.c.Check(f.waitUntilInUse(6*time.Second), qt.IsTrue, qt.Commentf("%+v", f.hello()))
}
