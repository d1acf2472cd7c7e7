package logevent

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stuckWriter holds up every write until it is released.
type stuckWriter struct {
	// entered is closed by the first write.
	entered chan struct{}
	first   sync.Once
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func newStuckWriter() *stuckWriter {
	return &stuckWriter{entered: make(chan struct{}), release: make(chan struct{})}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	w.first.Do(func() { close(w.entered) })
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *stuckWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// Guards against a process that stands still because nobody reads its output, and
// against lines that are lost without a trace.
func TestStuckReaderHoldsUpNoOne(t *testing.T) {
	c := qt.New(t)
	w := newStuckWriter()
	const lines, queue = 100, 8
	log, err := newLogger(w, queue, "json", "info")
	c.Assert(err, qt.IsNil)
	ProcessStarted.Log(log)
	<-w.entered
	before := Dropped()
	for range lines {
		ProcessStarted.Log(log)
	}
	c.Check(Dropped()-before, qt.Equals, uint64(lines-queue))
	close(w.release)
	for !strings.Contains(w.text(), "log_lines_lost") {
		ProcessStopped.Log(log)
		c.Assert(log.Sync(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	for _, line := range strings.Split(strings.TrimSpace(w.text()), "\n") {
		c.Check(line, qt.Matches, `\{.*\}`)
	}
}

// Guards against a process that ends before its last lines are written.
func TestSyncWaitsForTheLastLine(t *testing.T) {
	c := qt.New(t)
	w := newStuckWriter()
	close(w.release)
	log, err := newLogger(w, maxLines, "json", "info")
	c.Assert(err, qt.IsNil)
	for range 1000 {
		ProcessStopped.Log(log)
	}
	c.Assert(log.Sync(), qt.IsNil)
	c.Assert(strings.Count(w.text(), "process_stopped"), qt.Equals, 1000)
}
