// Package clock gives the time to the loops that drive the cores. Unlike the
// runtime's clock it goes on while the VM is suspended, and unlike the time of
// day it does not jump.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspensionGrain is the shortest suspension that counts. The two clocks are read
// one after the other, which looks like a suspension of microseconds.
const suspensionGrain = 20 * time.Millisecond

var (
	mu sync.Mutex
	// started and bootedAt are the readings of both clocks at the start.
	started  = time.Now()
	bootedAt = boottime()
	// suspended is the time for which the VM has been suspended since the start.
	suspended time.Duration
)

// Now returns the time. Differences between its results include suspensions of
// the VM. It is safe for concurrent use.
func Now() time.Time {
	now := time.Now()
	boot := boottime()
	mu.Lock()
	defer mu.Unlock()
	if gap := boot - bootedAt - now.Sub(started); gap > suspended+suspensionGrain {
		suspended = gap
	}
	return now.Add(suspended)
}

// Sleep waits and returns false when ctx ended first.
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

// boottime returns the time since the VM booted, or zero where the system has no
// such clock; suspensions then go unnoticed.
func boottime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
