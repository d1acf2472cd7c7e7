package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// readLate lets the entry read messages of all workers, each with a delay.
func (f *slowdownFixture) readLate(delay time.Duration) {
	for range 40 {
		f.now = f.now.Add(tick)
		for _, w := range f.workers {
			w.clock = f.now.Add(-delay).Sub(time.Unix(0, 0))
			w.send(msg.Heartbeat{Report: w.report()})
		}
	}
	f.out = nil
}

// Guards against a delay that is not seen, as the clocks of two VMs have different zeros,
// and against one that is seen for ever because one clock is slower than the other.
func TestDelayIsMeasuredAgainstTheFastestMessage(t *testing.T) {
	f := newSlowdownFixture(t)
	f.readLate(20 * time.Millisecond)
	f.c.Check(f.core.LatestDelay(), qt.Equals, time.Duration(0))
	f.readLate(50 * time.Millisecond)
	f.c.Check(f.core.LatestDelay() > 29*time.Millisecond, qt.IsTrue)
	f.c.Check(f.core.LatestDelay() <= 30*time.Millisecond, qt.IsTrue)
	f.now = f.now.Add(5 * time.Minute)
	f.readLate(50 * time.Millisecond)
	f.c.Check(f.core.LatestDelay(), qt.Equals, time.Duration(0), qt.Commentf("the clocks may have drifted by as much"))
}

// Guards against dispatches that agents refuse although the entry would read the refusal
// later than the next task ends there, and against ones that wait although the entry is
// not late.
func TestOnlyLateEntryLetsDispatchesWait(t *testing.T) {
	f := newSlowdownFixture(t)
	wait := func() time.Duration {
		f.submitSized("patient", 3, 1)
		for _, ds := range f.dispatched() {
			return ds[0].WaitForRoom
		}
		f.c.Fatal("nothing is dispatched")
		return 0
	}
	// The job has 72 ms until its latest start.
	const halfOfSlack = 36 * time.Millisecond
	f.readLate(time.Millisecond)
	f.readLate(2 * time.Millisecond)
	f.c.Check(wait() <= 4*time.Millisecond, qt.IsTrue)
	f.readLate(13 * time.Millisecond)
	f.c.Check(wait(), qt.Equals, halfOfSlack, qt.Commentf("the rest is left for a further dispatch"))
	f.readLate(50 * time.Millisecond)
	f.c.Check(wait() > 45*time.Millisecond, qt.IsTrue, qt.Commentf("a refusal would be read later"))
	f.readLate(5 * time.Second)
	f.c.Check(wait(), qt.Equals, 100*time.Millisecond, qt.Commentf("a paused entry"))
	f.readLate(time.Millisecond)
	f.c.Check(wait() <= 12*time.Millisecond, qt.IsTrue, qt.Commentf("the entry is late no more"))
}

// Guards against an entry that takes the time for which results wait to be read for run
// time: it stopped tasks that had ended, and left out sound workers as slow.
func TestLateEntryDoesNotStopTasksAsOverdue(t *testing.T) {
	f := newSlowdownFixture(t)
	f.readLate(time.Millisecond)
	f.readLate(80 * time.Millisecond)
	f.submitSized("patient", 3, 4)
	dispatches := f.dispatched()
	f.c.Assert(dispatches[f.slow.link], qt.HasLen, 1)
	delete(dispatches, f.slow.link)
	for link, ds := range dispatches {
		f.finish(link, ds)
	}
	// The other tasks took 100 ms, so that this one is overdue after 250 ms.
	f.advance(300 * time.Millisecond)
	for _, r := range take[msg.Revoke](f.fixture) {
		f.c.Check(r.Stop, qt.IsFalse)
	}
}
