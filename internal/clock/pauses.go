package clock

import (
	"sync"
	"time"
)

// Pauses counts the pauses of a process. The first one to ask after a pause finds it, so that
// the answer does not depend on which goroutine continues first. A pause is found only if
// someone asked less than minPause before it. It is safe for concurrent use.
type Pauses struct {
	read func() (now time.Time, suspended time.Duration)

	mu       sync.Mutex
	detector PauseDetector
	count    uint64
	// found holds the pauses that Take has not returned yet.
	found []Pause
}

// NewPauses returns a counter that reads its times from a function like Read.
func NewPauses(read func() (now time.Time, suspended time.Duration)) *Pauses {
	return &Pauses{read: read}
}

// Count returns the number of pauses since the first call.
func (p *Pauses) Count() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check()
	return p.count
}

// Take returns the pauses since the last call, in order.
func (p *Pauses) Take() []Pause {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check()
	found := p.found
	p.found = nil
	return found
}

// check records the pause that has just ended, if there was one. p.mu must be held.
func (p *Pauses) check() {
	if pause, paused := p.detector.Tick(p.read()); paused {
		p.count++
		p.found = append(p.found, pause)
	}
}
