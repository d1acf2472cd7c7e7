package entryd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// Guards against a tick that takes a worker for silent, or a task for overdue, although
// its message is already queued.
func TestTickRunsQueuedInputsFirst(t *testing.T) {
	l := newLoop(entry.New(entry.Config{Name: "e", Incarnation: 1}))
	read := 0
	for range 10 {
		l.post(func(time.Time) { read++ })
	}
	l.tick()
	qt.Assert(t, read, qt.Equals, 10)
}
