package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// newFullFixture returns a leased worker that runs four tasks of 8 cores and at which one
// has ended every 20 ms, and the tasks that run.
func newFullFixture(t *testing.T) (*fixture, []msg.AttemptID) {
	f := newLeasedFixture(t)
	var running []msg.AttemptID
	for job := range uint64(20) {
		f.occupy(job, 8)
		running = append(running, attempt(entry, job))
		if len(running) > 4 {
			t.Fatal("the worker runs more tasks than fit")
		}
		if len(running) == 4 && job < 19 {
			f.advanceFine(20 * time.Millisecond)
			f.end(running[0], msg.ResultOK)
			running = running[1:]
		}
	}
	f.core.TakeOutputs()
	return f, running
}

// late dispatches a task of the other entry that may wait.
func (f *fixture) late(job uint64, cores float64, wait time.Duration) msg.AttemptID {
	d := f.dispatchOf(attempt(other, job))
	d.Size, d.TaskName, d.WaitForRoom, d.EchoedClock = msg.Size{Cores: cores}, "late", wait, f.core.Clock(f.now)
	f.step(agent.Received{Entry: other, Message: d})
	return d.Attempt
}

// outcomes returns the attempts that started and the refusals since the last call.
func outcomes(f *fixture) (started []msg.AttemptID, refused []msg.Refused) {
	for _, out := range f.core.TakeOutputs() {
		switch out := out.(type) {
		case agent.Start:
			started = append(started, out.Attempt)
		case agent.Send:
			if r, ok := out.Message.(msg.Refused); ok {
				refused = append(refused, r)
			}
		}
	}
	return started, refused
}

// Guards against a refusal, which costs an entry without processor time more than the task,
// where a task is about to end.
func TestDispatchWaitsForTheNextEnd(t *testing.T) {
	f, running := newFullFixture(t)
	waiting := f.late(1, 8, 50*time.Millisecond)
	started, refused := outcomes(f)
	f.c.Assert(started, qt.HasLen, 0)
	f.c.Assert(refused, qt.HasLen, 0)
	f.end(running[0], msg.ResultOK)
	started, refused = outcomes(f)
	f.c.Check(started, qt.DeepEquals, []msg.AttemptID{waiting})
	f.c.Check(refused, qt.HasLen, 0)
}

// Guards against a dispatch that is held although its entry did not allow it, or although
// the wait is expected to be longer than allowed.
func TestDispatchIsRefusedAtOnceWithoutExpectedRoom(t *testing.T) {
	f, _ := newFullFixture(t)
	f.late(1, 8, 0)
	f.late(2, 8, 50*time.Millisecond)
	f.late(3, 8, 50*time.Millisecond)
	f.late(4, 32, 50*time.Millisecond)
	f.late(5, 40, time.Hour)
	_, refused := outcomes(f)
	f.c.Assert(len(refused) >= 3, qt.IsTrue, qt.Commentf("%d refused", len(refused)))
	f.c.Check(refused[0].Attempt, qt.Equals, attempt(other, 1))
	f.c.Check(refused[len(refused)-1].Attempt, qt.Equals, attempt(other, 5))
	for _, r := range refused {
		f.c.Check(r.Reason, qt.Equals, verdict.NoSlot)
	}
}

// Guards against a dispatch that waits although what it lacks is memory, whose release is
// not followed.
func TestDispatchDoesNotWaitForMemory(t *testing.T) {
	f := newLeasedFixture(t)
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32, MemoryBytes: 100}, Join: 1, Number: 2, Leased: true})
	for job := range uint64(2) {
		d := f.dispatchOf(attempt(entry, job))
		d.Size, d.TaskName = msg.Size{Cores: 4, MemoryBytes: 50}, "task"
		f.receive(d)
	}
	f.end(attempt(entry, 0), msg.ResultOK)
	f.core.TakeOutputs()
	d := f.dispatchOf(attempt(other, 9))
	d.Size, d.TaskName, d.WaitForRoom, d.EchoedClock = msg.Size{Cores: 4, MemoryBytes: 60}, "late", 50*time.Millisecond, f.core.Clock(f.now)
	f.step(agent.Received{Entry: other, Message: d})
	_, refused := outcomes(f)
	f.c.Check(refused, qt.HasLen, 1)
}

// Guards against a dispatch that waits for longer than its entry allowed.
func TestWaitEnds(t *testing.T) {
	f, _ := newFullFixture(t)
	waiting := f.late(1, 8, 50*time.Millisecond)
	f.advanceFine(40 * time.Millisecond)
	_, refused := outcomes(f)
	f.c.Assert(refused, qt.HasLen, 0)
	f.advanceFine(20 * time.Millisecond)
	_, refused = outcomes(f)
	f.c.Assert(refused, qt.HasLen, 1)
	f.c.Check(refused[0].Attempt, qt.Equals, waiting)
}

// Guards against the start of an attempt that was revoked, whose link has ended, or whose
// worker accepts no tasks.
func TestWaitingDispatchDoesNotStart(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(f *fixture, id msg.AttemptID)
	}{
		{"revoked", func(f *fixture, id msg.AttemptID) {
			ref := msg.AttemptRef{Attempt: id, StartBy: f.core.Clock(f.now) + time.Second}
			f.step(agent.Received{Entry: other, Message: msg.Revoke{Attempts: []msg.AttemptRef{ref}}})
			states := sentTo[msg.AttemptStates](f, other)
			f.c.Assert(states, qt.HasLen, 1)
			f.c.Check(states[0].Attempts, qt.DeepEquals, []msg.AttemptStateItem{{Attempt: id, State: msg.NeverStarts}})
		}},
		{"link down", func(f *fixture, _ msg.AttemptID) { f.step(agent.LinkDown{Entry: other}) }},
		{"entry replaced", func(f *fixture, _ msg.AttemptID) { f.step(agent.LinkUp{Entry: other + 1, Name: "o"}) }},
		{"link drains", func(f *fixture, _ msg.AttemptID) { f.step(agent.DrainLink{Entry: other}) }},
		{"worker leaves", func(f *fixture, _ msg.AttemptID) { f.step(agent.EndpointLeaving{}) }},
		{"lease lost", func(f *fixture, _ msg.AttemptID) { f.step(agent.LeaseChanged{}) }},
		{"agent stops", func(f *fixture, _ msg.AttemptID) { f.step(agent.Stop{}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, running := newFullFixture(t)
			id := f.late(1, 8, 50*time.Millisecond)
			test.do(f, id)
			for _, r := range running {
				f.end(r, msg.ResultOK)
			}
			started, _ := outcomes(f)
			f.c.Check(started, qt.HasLen, 0)
		})
	}
}

// Guards against a revoke of a waiting dispatch after its link has broken and come back
// that gets another answer than "never starts".
func TestWaitingDispatchOfBrokenLinkNeverStarts(t *testing.T) {
	f, _ := newFullFixture(t)
	id := f.late(1, 8, 50*time.Millisecond)
	f.step(agent.LinkDown{Entry: other})
	f.step(agent.LinkUp{Entry: other, Name: "o"})
	f.core.TakeOutputs()
	ref := msg.AttemptRef{Attempt: id, StartBy: f.core.Clock(f.now) + time.Second}
	f.step(agent.Received{Entry: other, Message: msg.Query{Attempts: []msg.AttemptRef{ref}}})
	states := sentTo[msg.AttemptStates](f, other)
	f.c.Assert(states, qt.HasLen, 1)
	f.c.Check(states[0].Attempts[0].State, qt.Equals, msg.NeverStarts)
}
