package roundtrip_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/roundtrip"
)

// Plays a peer that loses a tenth of its answers, with answer times from a tenth to ten
// times a millisecond: the timeout has to follow them, and few answered calls may exceed
// it.
func TestTimeoutFollowsAnswerTimes(t *testing.T) {
	for _, usual := range []time.Duration{100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond} {
		t.Run(usual.String(), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(1, uint64(usual)))
			e := roundtrip.New(roundtrip.Bounds{Max: time.Second})
			c.Assert(e.Timeout(), qt.Equals, time.Second)
			exceeded := 0
			for i := range 2000 {
				if rng.IntN(10) == 0 {
					e.Unanswered()
					continue
				}
				took := time.Duration(float64(usual) * (0.5 + rng.Float64()))
				if i > 50 && took > e.Timeout() {
					exceeded++
				}
				e.Answered(took)
			}
			c.Check(e.Lossy(), qt.IsTrue)
			c.Check(e.Timeout() < 8*usual, qt.IsTrue, qt.Commentf("%v", e.Timeout()))
			c.Check(exceeded < 20, qt.IsTrue, qt.Commentf("%d answers came after the timeout", exceeded))
		})
	}
}

// Guards against short timeouts long after the last lost answer, which cost a connection
// for each answer that is merely late.
func TestTimeoutIsLongWhileAnswersCome(t *testing.T) {
	c := qt.New(t)
	bounds := roundtrip.Bounds{Min: 10 * time.Millisecond, Max: 30 * time.Millisecond}
	e := roundtrip.New(bounds)
	for range 100 {
		e.Answered(time.Millisecond)
	}
	c.Check(e.Timeout(), qt.Equals, bounds.Max)
	e.Unanswered()
	c.Check(e.Timeout(), qt.Equals, bounds.Min)
	for range 30 {
		e.Alive()
	}
	c.Check(e.Lossy(), qt.IsFalse)
	c.Check(e.Timeout(), qt.Equals, bounds.Max)
}

// Guards against a timeout that stays below the answer time of a peer that has become ten
// times slower: no answer would ever be seen again.
func TestTimeoutReachesSlowPeer(t *testing.T) {
	c := qt.New(t)
	e := roundtrip.New(roundtrip.Bounds{Max: time.Second})
	for range 100 {
		e.Answered(time.Millisecond)
	}
	e.Unanswered()
	const slow = 10 * time.Millisecond
	calls := 0
	for e.Timeout() < slow {
		e.Unanswered()
		calls++
	}
	c.Check(calls < 6, qt.IsTrue, qt.Commentf("%d calls", calls))
}
