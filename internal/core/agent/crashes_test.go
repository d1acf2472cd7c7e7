package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against an entry that does not learn which tasks ran when the worker crashed: the
// one that gets the job when it is sent again, one that links later, and one whose link
// broke.
func TestCrashIsToldToEveryEntry(t *testing.T) {
	f := newLeasedFixture(t)
	d := f.dispatchOf(attempt(entry, 1))
	d.Size, d.TaskName, d.JobType = msg.Size{Cores: 1}, "t.0.0.0", "quote"
	f.receive(d)
	f.core.TakeOutputs()
	f.step(agent.WorkerCrashed{Instance: 7, Attempts: []agent.CrashedAttempt{{Attempt: attempt(entry, 1), RunTime: 10 * time.Millisecond}}})
	want := []msg.WorkerCrash{{Instance: 7, Tasks: []msg.CrashedTask{{Name: "t.0.0.0", JobType: "quote", RunTime: 10 * time.Millisecond}}}}
	told := func(e msg.Incarnation) []msg.WorkerCrash {
		var crashes []msg.WorkerCrash
		for _, h := range sentTo[msg.Hello](f, e) {
			crashes = append(crashes, h.Crashes...)
		}
		return crashes
	}
	f.c.Assert(told(other), qt.DeepEquals, want)

	f.step(agent.LeaseChanged{Settled: true})
	f.c.Assert(told(entry), qt.HasLen, 0)

	f.step(agent.LinkDown{Entry: entry})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.c.Assert(told(entry), qt.DeepEquals, want)

	f.now = f.now.Add(time.Minute)
	f.step(agent.LinkUp{Entry: other + 1, Name: "late"})
	f.c.Assert(told(other+1), qt.HasLen, 0)
}
