package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// newEvacuationFixture returns a worker of failure domain z with two linked entries.
func newEvacuationFixture(t *testing.T, leased, enabled bool) *fixture {
	f := &fixture{c: qt.New(t), now: time.Unix(1000, 0)}
	f.core = agent.New(agent.Config{
		Worker: "w", FailureDomain: "z", Incarnation: self, ResultKeep: time.Minute, HeartbeatInterval: 10 * time.Second,
		OrphanAfter: time.Hour, Epoch: f.now, Evacuations: enabled,
	})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.step(agent.LinkUp{Entry: other, Name: "o"})
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32}, Join: 1, Number: 1, Leased: leased})
	if leased {
		f.step(agent.LeaseChanged{Ready: true, Settled: true})
	}
	f.core.TakeOutputs()
	return f
}

// tell delivers the state of a domain from an entry.
func (f *fixture) tell(from msg.Incarnation, domain string, evacuated bool, version uint64) {
	f.step(agent.Received{Entry: from, Message: msg.Evacuations{Report: evacuation.Report{
		Domains: []evacuation.Domain{{Name: domain, Evacuated: evacuated, Version: version}},
	}}})
}

// Guards against a start in an evacuated domain: of a dispatch from an entry that does not know
// of the evacuation, and of one that waits for room; against a running task that is stopped; and
// against a worker that is not used again, or is forgotten to be evacuated when its links break.
func TestEvacuatedWorkerStartsNothing(t *testing.T) {
	for _, leased := range []bool{true, false} {
		f := newEvacuationFixture(t, leased, true)
		f.tell(entry, "elsewhere", true, 1)
		f.occupy(1, 8)
		started, _ := outcomes(f)
		f.c.Assert(started, qt.HasLen, 1)
		f.tell(entry, "z", true, 5)
		out := f.core.TakeOutputs()
		f.c.Check(out[0], qt.DeepEquals, agent.Output(agent.EvacuationChanged{Domain: evacuation.Domain{Name: "z", Evacuated: true, Version: 5}}))
		for _, o := range out {
			_, stops := o.(agent.StopTask)
			f.c.Check(stops, qt.IsFalse)
		}
		f.late(2, 8, time.Second)
		started, refused := outcomes(f)
		f.c.Check(started, qt.HasLen, 0)
		f.c.Assert(refused, qt.HasLen, 1)
		f.c.Check(refused[0].Reason, qt.Equals, verdict.Evacuated)
		f.receive(msg.Revoke{Attempts: []msg.AttemptRef{{Attempt: attempt(entry, 9), StartBy: f.core.Clock(f.now)}}})
		f.end(attempt(entry, 1), msg.ResultOK)
		f.c.Check(sentMessages[msg.Result](f), qt.HasLen, 1, qt.Commentf("the running task ends as usual"))

		f.step(agent.LinkDown{Entry: entry})
		f.step(agent.LinkDown{Entry: other})
		f.step(agent.LinkUp{Entry: other, Name: "o"})
		f.c.Check(sentMessages[msg.Hello](f)[0].EvacuatedAt, qt.Equals, uint64(5))
		f.late(3, 8, 0)
		started, _ = outcomes(f)
		f.c.Check(started, qt.HasLen, 0)
		f.tell(other, "z", false, 4)
		f.late(4, 8, 0)
		started, _ = outcomes(f)
		f.c.Check(started, qt.HasLen, 0, qt.Commentf("an earlier withdrawal"))
		f.tell(other, "z", false, 6)
		f.c.Check(sentMessages[msg.Hello](f)[0].EvacuatedAt, qt.Equals, uint64(0))
		f.late(5, 8, 0)
		started, _ = outcomes(f)
		f.c.Check(started, qt.HasLen, 1)
	}
}

// Guards against a dispatch that waits for room and starts when a task ends, although the domain
// was evacuated meanwhile.
func TestWaitingDispatchIsRefusedByAnEvacuation(t *testing.T) {
	f := newEvacuationFixture(t, true, true)
	for job := range uint64(4) {
		f.occupy(job, 8)
		f.advanceFine(20 * time.Millisecond)
		if job < 3 {
			f.end(attempt(entry, job), msg.ResultOK)
			f.occupy(10+job, 8)
		}
	}
	f.core.TakeOutputs()
	waiting := f.late(30, 8, time.Second)
	started, refused := outcomes(f)
	f.c.Assert(len(started)+len(refused), qt.Equals, 0)
	f.tell(entry, "z", true, 5)
	_, refused = outcomes(f)
	f.c.Assert(refused, qt.HasLen, 1)
	f.c.Check(refused[0].Attempt, qt.Equals, waiting)
	f.c.Check(refused[0].Reason, qt.Equals, verdict.Evacuated)
	f.end(attempt(entry, 3), msg.ResultOK)
	started, _ = outcomes(f)
	f.c.Check(started, qt.HasLen, 0)
}

// Guards against an agent that follows evacuations although they are not enabled.
func TestEvacuationsAreOffByDefault(t *testing.T) {
	f := newEvacuationFixture(t, true, false)
	f.tell(entry, "z", true, 5)
	f.occupy(1, 8)
	f.c.Check(outputs[agent.Start](f), qt.HasLen, 1)
}

// Guards against an invalid state that blocks a valid one or goes unnoticed.
func TestInvalidEvacuationIsReported(t *testing.T) {
	f := newEvacuationFixture(t, true, true)
	f.step(agent.Received{Entry: entry, Message: msg.Evacuations{Report: evacuation.Report{Domains: []evacuation.Domain{
		{Name: "", Evacuated: true, Version: 3}, {Name: "z", Evacuated: true, Version: 4},
	}}}})
	f.c.Check(outputs[agent.EvacuationRejected](f), qt.HasLen, 1)
	f.c.Check(f.core.Evacuated(), qt.IsTrue)
}
