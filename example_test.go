package poplarlever_test

import (
	"fmt"
	"time"

	"github.com/poplarlever/poplarlever"
)

const link = poplarlever.LinkID(1)

// system is an entry core and an agent core that exchange messages in memory.
type system struct {
	now   time.Time
	entry *poplarlever.EntryCore
	agent *poplarlever.AgentCore
}

// deliverMessages passes messages between the cores until neither has output. It also
// answers each task at once, in place of an endpoint.
func (s *system) deliverMessages() {
	for delivered := true; delivered; {
		delivered = s.handleEntryOutputs() || s.handleAgentOutputs()
	}
}

// handleEntryOutputs reports whether the entry core had output.
func (s *system) handleEntryOutputs() bool {
	outputs := s.entry.TakeOutputs()
	for _, out := range outputs {
		switch out := out.(type) {
		case poplarlever.SendToAgent:
			s.agent.Step(s.now, poplarlever.ReceivedByAgent{Entry: 1, Message: out.Message})
		case poplarlever.Answered:
			fmt.Println("job", out.Job, "complete:", out.Answer.Outcome == poplarlever.Complete)
			for _, r := range out.Answer.Results {
				fmt.Printf("%s on %s\n", r.Payload, r.Worker)
			}
			if out.Answer.Outcome != poplarlever.Complete {
				fmt.Println(out.Answer.Verdict, out.Answer.Reason)
			}
		}
	}
	return len(outputs) > 0
}

// handleAgentOutputs reports whether the agent core had output.
func (s *system) handleAgentOutputs() bool {
	outputs := s.agent.TakeOutputs()
	for _, out := range outputs {
		switch out := out.(type) {
		case poplarlever.SendToEntry:
			s.entry.Step(s.now, poplarlever.ReceivedByEntry{Link: link, Clock: s.agent.Clock(s.now), Message: out.Message})
		case poplarlever.StartTask:
			s.agent.Step(s.now, poplarlever.TaskEnded{
				Attempt: out.Attempt, Kind: poplarlever.ResultOK,
				Payload: append([]byte("priced "), out.Payload...), RunTime: 50 * time.Millisecond,
			})
		}
	}
	return len(outputs) > 0
}

// Runs an entry core and an agent core step by step, without I/O.
func Example() {
	now := time.Unix(0, 0)
	s := &system{
		now: now,
		entry: poplarlever.NewEntryCore(poplarlever.EntryConfig{
			Name: "entry-1", Incarnation: 1, StartWindow: 2 * time.Second, SuspectAfter: 3 * time.Second,
			LostAfter: 10 * time.Second, HeartbeatInterval: time.Second, AckDelay: 100 * time.Millisecond,
			RunLimit: time.Minute, MaxQueued: 1000, MaxTasks: 1000, MaxPayload: 1 << 10,
		}),
		agent: poplarlever.NewAgentCore(poplarlever.AgentConfig{
			Worker: "worker-1", Incarnation: 2, ResultKeep: time.Minute, HeartbeatInterval: time.Second, Epoch: now,
		}),
	}
	s.entry.Step(now, poplarlever.SetPolicy{Policy: poplarlever.Policy{
		Revision: 1,
		Services: map[string]poplarlever.ServicePolicy{"route-desk": {
			JobTypes: map[string]poplarlever.JobTypePolicy{"pricing": {MaxTasks: 10}},
		}},
		Accounts: map[string]poplarlever.AccountPolicy{"atlas": {Weight: 1}},
	}})
	s.agent.Step(now, poplarlever.EndpointAnnounced{Service: "route-desk", Slots: 1, Connections: 1})
	s.entry.Step(now, poplarlever.WorkerLinkUp{Link: link, Hello: s.agent.Hello()})
	s.agent.Step(now, poplarlever.EntryLinkUp{Entry: 1})
	s.deliverMessages()

	submit := func(id uint64, jobType string) {
		s.entry.Step(now, poplarlever.Submit{Job: poplarlever.Job{
			ID: id, Service: "route-desk", JobType: jobType, Account: "atlas", Deadline: now.Add(time.Second),
			Tasks: []poplarlever.Task{{Payload: []byte("cola-24")}, {Payload: []byte("water-6")}},
		}})
		s.deliverMessages()
	}
	submit(1, "pricing")
	submit(2, "auditing")

	// Output:
	// job 1 complete: true
	// priced cola-24 on worker-1
	// priced water-6 on worker-1
	// job 2 complete: false
	// not_run unknown_job_type
}
