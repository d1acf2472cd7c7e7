package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Pattern: jobs wait for workers that are full, and every message from an agent is
// followed by a pass over the queue. Guards against a pass that looks at every
// worker for every job: an entry with 54 workers then falls behind for good after
// a burst of a few seconds.
func TestPassOverAFullFleetIsShort(t *testing.T) {
	const workers, jobs = 50, 200
	f := leasedFixture(t)
	var links []*leasedWorker
	for i := range workers {
		links = append(links, f.linkLeased(fmt.Sprint("w", i), 2))
	}
	for range jobs {
		f.submitSized("once", 3, 2)
	}
	f.out = nil
	for _, w := range links {
		w.send(msg.Heartbeat{Report: w.report(), Revision: 8})
		f.c.Assert(f.core.WorkersExamined("s") <= workers, qt.IsTrue, qt.Commentf("%d looks at %d workers", f.core.WorkersExamined("s"), workers))
	}
	f.c.Assert(f.dispatched(), qt.HasLen, 0)
}

// Guards against a small job that waits behind a large one although a worker has
// room for it.
func TestSmallJobPassesALargeOne(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w1", 4)
	f.submitSized("once", 8, 1)
	f.now = f.now.Add(time.Millisecond)
	f.submitSized("once", 3, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
}
