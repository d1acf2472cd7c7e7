package entryd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Guards against an overload of seconds that leaves no trace: the counters of a whole life
// do not tell an entry that reads messages late from one that finds no room.
func TestLoadLineTellsLateMessagesFromMissingRoom(t *testing.T) {
	c := qt.New(t)
	core, lines := observer.New(zap.InfoLevel)
	l := newLoop(entry.New(entry.Config{Name: "e", Incarnation: 1}))
	l.log = zap.New(core)
	now := clock.Now()
	l.logLoad(now)
	at := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	l.load.submitted(at(40), entry.Job{ReceivedAt: at(10)})
	l.load.received(0, msg.Heartbeat{})
	l.load.received(60*time.Millisecond, msg.Refused{Reason: verdict.NoSlot})
	l.load.output(entry.Answered{Answer: entry.Answer{Outcome: entry.Failed, Verdict: verdict.NotRun}})
	l.logLoad(at(1010))
	c.Assert(lines.Len(), qt.Equals, 1)
	fields := lines.All()[0].ContextMap()
	for name, want := range map[string]int64{
		"interval_ms": 1010, "jobs": 1, "refused": 1, "failed": 0, "no_room": 1, "reports": 1,
		"message_delay_ms": 30, "longest_message_delay_ms": 60, "admission_delay_ms": 30,
	} {
		c.Check(fields[name], qt.Equals, want, qt.Commentf(name))
	}
	l.logLoad(at(2100))
	c.Check(lines.Len(), qt.Equals, 1, qt.Commentf("an idle entry writes no line"))
}
