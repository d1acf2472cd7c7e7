package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Guards against closing a link while a task of its entry runs or a result waits
// for its acknowledgement, and against a link that is never closed.
func TestDrainingLinkClosesWithoutOpenAttempts(t *testing.T) {
	f := newIdleFixture(t)
	f.occupy(1, 3)
	f.core.TakeOutputs()
	f.step(agent.DrainLink{Entry: entry})
	f.c.Assert(sentTo[msg.Leaving](f, entry), qt.HasLen, 1)
	for range 5 {
		f.advanceFine(time.Second)
		f.receive(msg.EntryHeartbeat{})
		f.step(agent.Received{Entry: other, Message: msg.EntryHeartbeat{}})
	}
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 0, qt.Commentf("a task runs"))
	f.end(attempt(entry, 1), msg.ResultOK)
	f.advanceFine(time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 0, qt.Commentf("the result is not acknowledged"))
	f.receive(msg.Ack{Attempts: []msg.AttemptID{attempt(entry, 1)}})
	f.advanceFine(100 * time.Millisecond)
	f.c.Assert(outputs[agent.CloseLink](f), qt.DeepEquals, []agent.CloseLink{{Entry: entry}})
}

// Guards against a task that is accepted over a link that is about to be closed, and
// against a later link of the same entry that accepts no tasks.
func TestDrainingLinkRefusesTasks(t *testing.T) {
	f := newIdleFixture(t)
	f.step(agent.DrainLink{Entry: entry})
	f.core.TakeOutputs()
	d := f.dispatchOf(attempt(entry, 1))
	d.Size, d.TaskName = msg.Size{Cores: 3}, "task"
	f.receive(d)
	refused := sentTo[msg.Refused](f, entry)
	f.c.Assert(refused, qt.HasLen, 1)
	f.c.Assert(refused[0].Reason, qt.Equals, verdict.WorkerLeaving)
	f.step(agent.LinkDown{Entry: entry})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.core.TakeOutputs()
	f.occupy(2, 3)
	f.c.Assert(outputs[agent.Start](f), qt.HasLen, 1)
}
