package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/lease"
)

// Guards against an attempt that counts as ended, or is not stopped, on the strength of what an
// earlier instance of the worker has answered or of a lease that began anew: the restarted worker
// may have carried out the start, and knows of no stop.
func TestAnswersOfEarlierInstanceProveNothing(t *testing.T) {
	const restartedAt = 8
	run := []lease.Running{{Task: "a", Run: 1}}
	for _, test := range []struct {
		name string
		// before plays the earlier instance, and returns a stop that it answers late.
		before func(f *fixture, start lease.Start) lease.Stop
		// unreachable means that the new instance answers nothing; otherwise it lists these runs.
		unreachable bool
		lists       []lease.Running
		stops       int
	}{
		{name: "stop answered late", before: func(f *fixture, start lease.Start) lease.Stop {
			f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
			f.step(lease.StopTask{Attempt: attempt})
			return onlyOutput[lease.Stop](f)
		}, lists: run, stops: 1},
		{name: "stop answered before", before: func(f *fixture, start lease.Start) lease.Stop {
			f.step(lease.Answer{Call: start.Call, Status: lease.NoAnswer})
			f.step(lease.StopTask{Attempt: attempt})
			stop := onlyOutput[lease.Stop](f)
			f.step(lease.Answer{Call: stop.Call, Status: lease.OK, Clock: f.clock()})
			return lease.Stop{}
		}, stops: 1},
		{name: "missing in one list", before: func(f *fixture, start lease.Start) lease.Stop {
			f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
			f.answerHold(lease.Answer{Status: lease.OK})
			f.answerHold(lease.Answer{Status: lease.OK, StartedAtMs: instance.StartedAtMs})
			return lease.Stop{}
		}},
		{name: "lease promised", before: func(f *fixture, start lease.Start) lease.Stop {
			f.step(lease.Answer{Call: start.Call, Status: lease.OK, Clock: f.clock()})
			return lease.Stop{}
		}, unreachable: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			stop := test.before(f, f.begin())
			f.answerHold(lease.Answer{Status: lease.OK, StartedAtMs: restartedAt})
			f.c.Assert(outputs[lease.Restarted](f), qt.HasLen, 1)
			stops, ended := 0, 0
			count := func() {
				f.core.Tick(f.now)
				for _, o := range f.core.TakeOutputs() {
					switch o := o.(type) {
					case lease.Hold:
						f.hold = o
					case lease.Stop:
						stops++
					case lease.Ended:
						ended++
					}
				}
			}
			if stop.Call != 0 {
				f.step(lease.Answer{Call: stop.Call, Status: lease.OK, Clock: f.clock()})
			}
			statuses := []lease.Status{lease.Fenced, lease.OK}
			if test.unreachable {
				statuses = []lease.Status{lease.NoAnswer, lease.NoAnswer, lease.NoAnswer, lease.NoAnswer}
			}
			for _, status := range statuses {
				count()
				f.step(lease.Answer{Call: f.hold.Call, Status: status, Clock: f.clock(), Running: test.lists, StartedAtMs: restartedAt})
				if test.unreachable {
					f.now = f.now.Add(100 * time.Millisecond)
				}
			}
			count()
			f.c.Check(stops, qt.Equals, test.stops)
			f.c.Check(ended, qt.Equals, 0)
		})
	}
}
