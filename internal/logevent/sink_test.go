package logevent

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	// entered is closed by the first write.
	entered chan struct{}
	first   sync.Once
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{entered: make(chan struct{}), release: make(chan struct{})}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.first.Do(func() { close(w.entered) })
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// Guards against a process that blocks because its output is not read, and against
// lines that are dropped without being counted and reported.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	w := newBlockedWriter()
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
	w := newBlockedWriter()
	close(w.release)
	log, err := newLogger(w, maxQueuedLines, "json", "info")
	c.Assert(err, qt.IsNil)
	for range 1000 {
		ProcessStopped.Log(log)
	}
	c.Assert(log.Sync(), qt.IsNil)
	c.Assert(strings.Count(w.text(), "process_stopped"), qt.Equals, 1000)
}
