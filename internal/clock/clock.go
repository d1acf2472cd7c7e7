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
// suspension. The clocks are read one after the other, which by itself leaves a
// gap of microseconds.
const minSuspension = 20 * time.Millisecond

var (
	mu sync.Mutex
	// startTime and startBoottime are the readings of the two clocks at process start.
	startTime     = time.Now()
	startBoottime = boottime()
	// suspended is the total time for which the VM has been suspended since process start.
	suspended time.Duration
)

// Now returns the current time. Differences between its results include the time
// during which the VM was suspended. It is safe for concurrent use.
func Now() time.Time {
	now := time.Now()
	boot := boottime()
	mu.Lock()
	defer mu.Unlock()
	if gap := boot - startBoottime - now.Sub(startTime); gap > suspended+minSuspension {
		suspended = gap
	}
	return now.Add(suspended)
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
