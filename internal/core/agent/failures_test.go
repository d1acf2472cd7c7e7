package agent_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against each entry losing jobs of its own to an endpoint that fails every
// task, against counting the failed tasks of one job several times, and against counting
// tasks that were stopped.
func TestOutcomesAreReported(t *testing.T) {
	f := newFixture(t)
	f.step(agent.LinkUp{Entry: entry + 1, Name: "other"})
	f.core.TakeOutputs()
	results := []struct {
		job, task   uint64
		kind        msg.ResultKind
		ended       uint64
		failed      uint64
		tellsOthers bool
	}{
		{1, 0, msg.ResultEndpointError, 1, 1, false},
		{1, 1, msg.ResultEndpointError, 1, 1, false},
		{2, 0, msg.ResultEndpointFailed, 2, 2, true},
		{1, 2, msg.ResultEndpointError, 2, 2, false},
		{3, 0, msg.ResultOK, 3, 2, false},
		{4, 0, msg.ResultAborted, 3, 2, false},
		{5, 0, msg.ResultEndpointError, 4, 3, false},
		{6, 0, msg.ResultEndpointError, 5, 4, true},
	}
	for _, r := range results {
		id := msg.AttemptID{Entry: entry, Job: r.job, Task: uint32(r.task), Attempt: 1}
		f.seq++
		f.step(agent.Received{Entry: entry, Message: msg.Dispatch{
			Attempt: id, AgentIncarnation: self, StartBy: f.core.Clock(f.now) + 1, Seq: f.seq, Service: "s",
		}})
		f.core.TakeOutputs()
		f.step(agent.TaskEnded{Attempt: id, Kind: r.kind})
		want := health.Outcomes{Ended: r.ended, Failed: r.failed}
		reported, others := health.Outcomes{}, false
		for _, o := range f.core.TakeOutputs() {
			s, ok := o.(agent.Send)
			if !ok {
				continue
			}
			switch m := s.Message.(type) {
			case msg.Result:
				reported = m.Report.Outcomes
			case msg.Heartbeat:
				others = others || s.Entry == entry+1 && m.Report.Outcomes == want
			}
		}
		f.c.Check(reported, qt.Equals, want, qt.Commentf("job %d task %d", r.job, r.task))
		f.c.Check(others, qt.Equals, r.tellsOthers, qt.Commentf("job %d task %d", r.job, r.task))
	}
}
