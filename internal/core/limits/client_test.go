package limits_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/limits"
)

func neverLapsed(string) bool { return false }

// Guards against starts at an entry whose allotments the others may have reclaimed
// because its confirmations have expired.
func TestNoStartsWithoutQuorum(t *testing.T) {
	now := time.Unix(1000, 0)
	v := value(limits.Share{Size: 2}, limits.Share{}, limits.Share{})
	v.SetElectors("1")
	c := limits.NewClient("1", 1, times)
	c.Observe(now, 1, v)
	need := limits.Need{Limit: 2, Waiting: 5}
	qt.Check(t, c.Allotted(now, "a", need), qt.Equals, 0)
	c.RecordConfirmation("3", now)
	qt.Check(t, c.Allotted(now, "a", need), qt.Equals, 2)
	qt.Check(t, c.Allotted(now.Add(times.ConfirmationTTL), "a", need), qt.Equals, 0)
}

// Guards against using a part that a write with an unknown outcome gives away.
func TestPendingWriteLowersAllotment(t *testing.T) {
	now := time.Unix(1000, 0)
	v := value(limits.Share{Size: 2}, limits.Share{Want: 2})
	c := limits.NewClient("1", 1, times)
	c.Observe(now, 1, v)
	now = now.Add(time.Minute)
	_, ok := c.Propose(now, map[string]limits.Need{"a": {Limit: 2}}, neverLapsed)
	qt.Assert(t, ok, qt.IsTrue)
	c.RecordConfirmation("2", now)
	busy := limits.Need{Limit: 2, Waiting: 5}
	qt.Check(t, c.Allotted(now, "a", busy), qt.Equals, 0)
	c.Observe(now, 2, v)
	qt.Check(t, c.Allotted(now, "a", busy), qt.Equals, 1)
}

// Guards against an elector that confirms a holder that it doubts, which would let a
// reclaimed entry start tasks.
func TestDoubtEndsConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	v := value(limits.Share{Size: 2}, limits.Share{})
	v.SetElectors("1")
	c := limits.NewClient("2", 1, times)
	c.Observe(now, 1, v)
	qt.Check(t, c.Confirms("1", 1), qt.IsTrue)
	qt.Check(t, c.Confirms("1", 2), qt.IsFalse)
	w, ok := c.Propose(now, map[string]limits.Need{"a": {Limit: 2}}, func(name string) bool { return name == "1" })
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, c.Confirms("1", 1), qt.IsFalse)
	qt.Check(t, w.Value.Sum("a"), qt.Equals, 2)
	c.Observe(now, 2, w.Value)
	w, _ = c.Propose(now.Add(time.Minute), map[string]limits.Need{"a": {Limit: 2}}, func(name string) bool { return name == "1" })
	qt.Check(t, w.Value.Sum("a"), qt.Equals, 0)
}

// Guards against a new incarnation using its predecessor's share while tasks of the
// predecessor may be running, or before the predecessor has lost its quorum.
func TestTakeoverWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	v := value(limits.Share{Size: 2}, limits.Share{}, limits.Share{})
	v.SetElectors("1")
	c := limits.NewClient("1", 2, times)
	c.Observe(now, 1, v)
	w, _ := c.Propose(now, nil, neverLapsed)
	c.Observe(now, 2, w.Value)
	allottedAt := func(at time.Time) int {
		c.Tick(at)
		return c.Allotted(at, "a", limits.Need{Limit: 2, Used: c.Inherited("a"), Waiting: 5})
	}
	drainTime := (times.ConfirmationTTL + times.MaxTaskTime) * 9 / 8
	c.RecordConfirmation("2", now)
	qt.Check(t, allottedAt(now), qt.Equals, 0)
	now = now.Add(drainTime)
	c.RecordConfirmation("2", now)
	c.RecordConfirmation("3", now)
	qt.Check(t, allottedAt(now), qt.Equals, 0)
	now = now.Add(drainTime)
	c.RecordConfirmation("2", now)
	qt.Check(t, allottedAt(now.Add(-time.Millisecond)), qt.Equals, 0)
	qt.Check(t, allottedAt(now), qt.Equals, 2)
}
