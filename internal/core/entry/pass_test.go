package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against a pass that examines every worker for every job. While jobs wait for full
// workers, every message from an agent triggers a pass over the queue; an entry with 54
// workers then falls behind permanently after a burst of a few seconds.
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
		f.c.Assert(f.core.WorkersExamined("s") <= workers, qt.IsTrue, qt.Commentf("%d workers examined, %d linked", f.core.WorkersExamined("s"), workers))
	}
	f.c.Assert(f.dispatched(), qt.HasLen, 0)
}

// Guards against a small job that waits behind a large one although a worker has room for
// it.
func TestSmallJobPassesALargeOne(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w1", 4)
	f.submitSized("once", 8, 1)
	f.now = f.now.Add(time.Millisecond)
	f.submitSized("once", 3, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
}
