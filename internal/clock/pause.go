package clock

import "time"

// minPause is the shortest gap between the ticks of a loop that counts as a pause of the
// process. Ticks come every few tens of milliseconds.
const minPause = 500 * time.Millisecond

// Pause is a time in which a process stood still.
type Pause struct {
	// For is how long it lasted.
	For time.Duration
	// Suspended is the part of it in which the VM was suspended: its steady clock and all
	// timers stood still. In the rest the process got no processor time.
	Suspended time.Duration
}

// PauseDetector finds the pauses of a process from the ticks of one loop. The zero value is
// ready for use. It is not safe for concurrent use.
type PauseDetector struct {
	lastTick  time.Time
	suspended time.Duration
}

// Tick records a tick at a time that Read has returned. It returns the pause before the
// tick, if there was one.
func (d *PauseDetector) Tick(now time.Time, suspended time.Duration) (p Pause, paused bool) {
	p = Pause{For: now.Sub(d.lastTick), Suspended: suspended - d.suspended}
	paused = !d.lastTick.IsZero() && p.For >= minPause
	d.lastTick, d.suspended = now, suspended
	return p, paused
}
