package store

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the pauses between the retries of one loop. They grow
// exponentially from Min to Max, with random jitter so that processes that
// failed together do not retry together. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	failures int
}

// Next returns the pause before the next retry, between half of the current
// bound and the full bound.
func (b *Backoff) Next() time.Duration {
	bound := b.Min << min(b.failures, 16)
	if bound > b.Max || bound <= 0 {
		bound = b.Max
	}
	b.failures++
	return bound/2 + rand.N(bound/2+1)
}

// Reset returns to the shortest pause. Call it after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Budget is a token bucket that limits the call rate of all loops of a process
// together. It is not safe for concurrent use.
type Budget struct {
	// PerSecond is the refill rate, Burst the capacity of the bucket.
	PerSecond, Burst float64
	tokens           float64
	last             time.Time
}

// Take reserves one call and returns how long the caller has to wait before it.
func (b *Budget) Take(now time.Time) time.Duration {
	if b.last.IsZero() {
		b.tokens = b.Burst
	} else {
		b.tokens = min(b.Burst, b.tokens+now.Sub(b.last).Seconds()*b.PerSecond)
	}
	b.last = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.PerSecond * float64(time.Second))
}
