// Package clock provides the time for the loops that drive the cores. Unlike the
// Go runtime's monotonic clock it advances while the VM is suspended, and unlike
// the time of day it does not jump.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest gap between the two clocks that is treated as a
// suspension.
const minSuspension = 20 * time.Millisecond

// process is the clock of this process.
var process = newReader(time.Now, boottime)

// reader combines two clocks. It is safe for concurrent use.
type reader struct {
	// steady stands still while the VM is suspended; boottime does not.
	steady   func() time.Time
	boottime func() time.Duration
	// startSteady and startBoottime are the first readings.
	startSteady   time.Time
	startBoottime time.Duration

	mu sync.Mutex
	// suspended is the total time for which the VM has been suspended since the start.
	suspended time.Duration
}

func newReader(steady func() time.Time, boottime func() time.Duration) *reader {
	r := &reader{steady: steady, boottime: boottime}
	// In the order of read: a pause between the two readings would otherwise hide a suspension
	// of the same length.
	r.startBoottime = boottime()
	r.startSteady = steady()
	return r
}

// Now returns the current time. Differences between its results include the time
// during which the VM was suspended. It is safe for concurrent use.
func Now() time.Time {
	now, _ := process.read()
	return now
}

// Read returns the current time, as Now, and how long of the time since the start of the
// process the VM has been suspended. It is safe for concurrent use.
func Read() (now time.Time, suspended time.Duration) { return process.read() }

func (r *reader) read() (now time.Time, suspended time.Duration) {
	// In this order a pause between the two readings makes the gap smaller. In the other one
	// it would count as a suspension.
	boot := r.boottime()
	now = r.steady()
	r.mu.Lock()
	defer r.mu.Unlock()
	if gap := boot - r.startBoottime - now.Sub(r.startSteady); gap > r.suspended+minSuspension {
		r.suspended = gap
	}
	return now.Add(r.suspended), r.suspended
}

// Sleep waits for d and reports whether d elapsed before ctx was done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// boottime returns the time since the VM booted, including suspensions. It returns
// zero where the system has no such clock; suspensions then go undetected.
func boottime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
