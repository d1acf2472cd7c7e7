package logevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of log lines that may wait to be written: the
	// output of a few seconds of an entry that refuses every job.
	maxQueuedLines = 2048
	// maxBatch is the size in bytes from which a batch takes no further line.
	maxBatch = 32 << 10
	// syncTimeout bounds the wait for the last lines of a process.
	syncTimeout = 300 * time.Millisecond
)

// dropped counts the lost lines of all sinks of the process.
var dropped atomic.Uint64

// Dropped returns the number of log lines that the process has lost because they
// were not read in time.
func Dropped() uint64 { return dropped.Load() }

// sink writes log lines in the background. When the output blocks and the queue
// is full, lines are dropped, counted and reported; no request waits for the log.
// It is safe for concurrent use.
type sink struct {
	out   io.Writer
	lines chan []byte
	// lost counts the lines that were dropped since the last report.
	lost atomic.Uint64
	// report returns the log line that states the number of lost lines.
	report func(lost uint64) []byte

	mu      sync.Mutex
	pending int // lines that are not written yet
	// drained receives a value when pending reaches zero.
	drained chan struct{}
}

func newSink(out io.Writer, queueLength int, report func(lost uint64) []byte) *sink {
	s := &sink{out: out, lines: make(chan []byte, queueLength), report: report, drained: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write queues a copy of the line, or drops it when the queue is full. It never
// blocks and never fails.
func (s *sink) Write(line []byte) (int, error) {
	s.addPending(1)
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.addPending(-1)
		s.lost.Add(1)
		dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until all lines are written, for at most syncTimeout.
func (s *sink) Sync() error {
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	for s.addPending(0) > 0 {
		select {
		case <-s.drained:
		case <-timeout.C:
			return nil
		}
	}
	return nil
}

// addPending adds n to the number of lines that are not written yet and returns
// the sum.
func (s *sink) addPending(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending += n; s.pending == 0 {
		select {
		case s.drained <- struct{}{}:
		default:
		}
	}
	return s.pending
}

// run writes the queued lines, combining waiting ones into one write.
func (s *sink) run() {
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		count := 1
		for len(batch) < maxBatch && len(s.lines) > 0 {
			batch = append(batch, <-s.lines...)
			count++
		}
		if lost := s.lost.Swap(0); lost > 0 {
			batch = append(batch, s.report(lost)...)
		}
		if _, err := s.out.Write(batch); err != nil {
			// A failed write cannot be logged; only the metric counts its lines.
			dropped.Add(uint64(count))
		}
		s.addPending(-count)
	}
}
