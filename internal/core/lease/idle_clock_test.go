package lease_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/fake/worker"
)

// Guards against a start after an idle time whose end of the lease lies ahead of what the
// core counts on, because the worker's clock is slow and was read long ago: the start must
// not be carried out after its attempt was reported as ended.
func TestStartAfterIdleTimeOfSlowClock(t *testing.T) {
	const rate = 0.98
	// Answers are lost from before the start on, which then may not be sent, or from the start on.
	for _, test := range []struct {
		idle        time.Duration
		startIsSent bool
	}{
		{time.Second, false}, {5 * time.Second, false}, {10 * time.Second, false}, {20 * time.Second, false}, {60 * time.Second, false},
		{time.Second, true}, {5 * time.Second, true}, {10 * time.Second, true}, {20 * time.Second, true}, {60 * time.Second, true},
	} {
		t.Run(fmt.Sprint(test.idle, test.startIsSent), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := worker.New(instance, now, 8, func(string) (time.Duration, lease.EndKind) { return time.Minute, lease.Done })
			w.SetClockRate(rate)
			core := lease.New(lease.Config{})
			now = now.Add(100 * time.Millisecond)
			core.Step(now, lease.Announced{Instance: instance})
			var start lease.Start
			ended, lost := false, false
			run := func(until func() bool, limit time.Duration) {
				for end := now.Add(limit); !until() && now.Before(end); now = now.Add(5 * time.Millisecond) {
					core.Tick(now)
					for _, out := range core.TakeOutputs() {
						switch out := out.(type) {
						case lease.Start:
							start, lost = out, true
							core.Step(now, lease.Answer{Call: out.Call, Status: lease.NoAnswer})
						case lease.Stop:
							core.Step(now, lease.Answer{Call: out.Call, Status: lease.NoAnswer})
						case lease.Hold:
							if lost {
								call := out.Call
								now = now.Add(out.Timeout)
								core.Step(now, lease.Answer{Call: call, Status: lease.NoAnswer})
								continue
							}
							core.Step(now, w.Hold(now, out))
						case lease.Ended:
							ended = true
						}
					}
				}
			}
			run(core.Ready, time.Second)
			c.Assert(core.Ready(), qt.IsTrue)
			run(func() bool { return false }, test.idle)
			lost = !test.startIsSent
			attempt := msg.AttemptID{Entry: 1, Job: 1, Attempt: 1}
			core.Step(now, lease.RunTask{Attempt: attempt, Task: "a", Run: 1, OwnerSeen: now})
			sent := now
			run(func() bool { return ended }, 5*time.Second)
			c.Assert(ended, qt.IsTrue)
			if start.Call == 0 {
				c.Assert(test.startIsSent, qt.IsFalse)
				return
			}
			c.Check(w.Start(now, start).Status, qt.Equals, lease.LeaseExpired, qt.Commentf(
				"the start can be carried out %v after it was sent, when its attempt has been reported as ended", now.Sub(sent)))
		})
	}
}
