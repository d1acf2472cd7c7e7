package callpace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/callpace"
)

var bounds = callpace.Bounds{Min: 10 * time.Millisecond, Max: 50 * time.Millisecond}

// calls returns the number of calls within a time if each fails after the given duration.
func calls(total, failsAfter time.Duration) int {
	var p callpace.Pace
	start := time.Unix(1000, 0)
	n := 0
	for now := start; now.Sub(start) < total; n++ {
		sentAt := now
		p.Failed()
		now = sentAt.Add(failsAfter)
		if next := p.Next(sentAt, bounds); next.After(now) {
			now = next
		}
	}
	return n
}

// Guards against hundreds of connections to a worker that resets each of them, and against
// calls that wait longer because of their pace when each has waited for its timeout.
func TestCallsDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	c.Check(calls(200*time.Millisecond, 100*time.Microsecond) <= 8, qt.IsTrue)
	c.Check(calls(10*time.Second, 100*time.Microsecond) <= 8+10*1000/50, qt.IsTrue)
	c.Check(calls(time.Second, 50*time.Millisecond), qt.Equals, 20)
}

// Guards against a first failure, or one after an answer, that delays the next call, and
// against a spacing that overflows.
func TestSpacing(t *testing.T) {
	c := qt.New(t)
	var p callpace.Pace
	sentAt := time.Unix(1000, 0)
	c.Check(p.Next(sentAt, bounds), qt.Equals, sentAt)
	p.Failed()
	c.Check(p.Next(sentAt, bounds), qt.Equals, sentAt)
	for range 1000 {
		p.Failed()
		next := p.Next(sentAt, callpace.Bounds{Min: time.Millisecond, Max: time.Hour})
		c.Assert(next.After(sentAt) && !next.After(sentAt.Add(time.Hour)), qt.IsTrue)
	}
	p.Answered()
	p.Failed()
	c.Check(p.Next(sentAt, bounds), qt.Equals, sentAt)
}
