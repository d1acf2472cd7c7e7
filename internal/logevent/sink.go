package logevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLines is the number of log lines that may wait to be written: some seconds
	// of an entry that refuses every job.
	maxLines = 2048
	// maxBatch bounds the bytes of one write.
	maxBatch = 32 << 10
	// flushLimit bounds the wait for the last lines of a process.
	flushLimit = 300 * time.Millisecond
)

// dropped counts the lost lines of all sinks of the process.
var dropped atomic.Uint64

// Dropped returns the number of log lines that the process has lost because they
// were not read in time.
func Dropped() uint64 { return dropped.Load() }

// sink writes log lines in the background. A reader that stands still costs
// lines, which are counted and reported, and holds up no request. It is safe for
// concurrent use.
type sink struct {
	out   io.Writer
	lines chan []byte
	// lost counts the lines that were dropped since the last report.
	lost atomic.Uint64
	// report returns the line that reports lost lines.
	report func(lost uint64) []byte

	mu      sync.Mutex
	pending int
	idle    chan struct{}
}

func newSink(out io.Writer, lines int, report func(lost uint64) []byte) *sink {
	s := &sink{out: out, lines: make(chan []byte, lines), report: report, idle: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write takes a line. It never blocks and never fails.
func (s *sink) Write(line []byte) (int, error) {
	s.add(1)
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.add(-1)
		s.lost.Add(1)
		dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the lines are written, for a bounded time.
func (s *sink) Sync() error {
	limit := time.NewTimer(flushLimit)
	defer limit.Stop()
	for s.add(0) > 0 {
		select {
		case <-s.idle:
		case <-limit.C:
			return nil
		}
	}
	return nil
}

// add changes the number of lines that are not written yet, and returns it.
func (s *sink) add(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending += n; s.pending == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
	return s.pending
}

// run writes lines, those that wait in one write.
func (s *sink) run() {
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		taken := 1
		for len(batch) < maxBatch && len(s.lines) > 0 {
			batch = append(batch, <-s.lines...)
			taken++
		}
		if lost := s.lost.Swap(0); lost > 0 {
			batch = append(batch, s.report(lost)...)
		}
		if _, err := s.out.Write(batch); err != nil {
			// The log cannot report its own loss, so the metric does.
			dropped.Add(uint64(taken))
		}
		s.add(-taken)
	}
}
