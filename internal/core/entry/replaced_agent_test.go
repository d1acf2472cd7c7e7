package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against what an entry believes of one agent process that is applied to the next of the
// worker: a clock that is ahead, counts that began anew, reports that seem older, dispatches that
// the new one never saw.
func TestNothingOfAReplacedAgentIsKept(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Name: "e", Incarnation: 1, SuspectAfter: time.Second, LostAfter: time.Minute})
	link := func(incarnation msg.Incarnation, clock time.Duration) *worker {
		core.Step(now, LinkUp{Link: LinkID(incarnation), Clock: clock, Hello: msg.Hello{
			Worker: "w", Incarnation: incarnation, Service: "s", Slots: 8, Report: msg.Slots{Free: 8, Number: 1},
		}})
		return core.workers.byName["w"]
	}
	w := link(9, time.Hour)
	w.health.Quarantine(now)
	w.outcomes, w.slowdown = health.Outcomes{Ended: 5, Failed: 5}, slowdown{factor: 4, at: now}
	w.transit, w.covered, w.seq, w.lastReport = transit{least: time.Second, at: now}, 5, 7, 100
	w = link(10, time.Second)
	c.Check(w.clock, qt.Equals, time.Second)
	c.Check(w.health, qt.Equals, health.Worker{})
	c.Check(w.outcomes, qt.Equals, health.Outcomes{})
	c.Check(w.slowdown, qt.Equals, slowdown{})
	c.Check(w.transit, qt.Equals, transit{})
	c.Check(w.covered, qt.Equals, uint64(0))
	c.Check(w.lastReport, qt.Equals, uint64(1))
	c.Check(w.baseSeq, qt.Equals, uint64(7))
	c.Check(w.free, qt.Equals, 8)
}
