package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against a task that starts at a worker of another kind because its dispatch was sent
// for what the worker was, before a restart or a change of its labels, and arrives after it.
func TestDispatchForEarlierDescriptionIsRefused(t *testing.T) {
	labels := func(join uint64, kind string) agent.EndpointAnnounced {
		return agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32}, Join: join, Number: 9, Leased: true, Labels: []string{kind}}
	}
	for name, change := range map[string][]agent.Input{
		"restart found by an answer": {agent.EndpointRestarted{Join: 2}, labels(2, "b")},
		"restart announced":          {labels(2, "b")},
		"labels changed":             {func() agent.EndpointAnnounced { a := labels(1, "b"); a.Number++; return a }()},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLeasedFixture(t)
			f.step(labels(1, "a"))
			f.now = f.now.Add(100 * time.Millisecond)
			sent := f.core.Clock(f.now)
			f.now = f.now.Add(100 * time.Millisecond)
			for _, in := range change {
				f.step(in)
			}
			f.core.TakeOutputs()
			for job, clock := range []time.Duration{sent, f.core.Clock(f.now)} {
				d := f.dispatchOf(attempt(entry, uint64(job)))
				d.Size, d.TaskName, d.EchoedClock = msg.Size{Cores: 1}, "t", clock
				f.receive(d)
				started, refused := outcomes(f)
				f.c.Check(len(started), qt.Equals, job)
				f.c.Check(len(refused), qt.Equals, 1-job)
			}
		})
	}
}

// Guards against tasks of an entry process that go on under a lease when a later process has
// taken its name: the entry's callers send their jobs again.
func TestTasksOfReplacedEntryAreStopped(t *testing.T) {
	f := newLeasedFixture(t)
	f.occupy(1, 1)
	f.core.TakeOutputs()
	f.step(agent.LinkUp{Entry: entry + 100, Name: "e"})
	f.c.Check(outputs[agent.StopTask](f), qt.DeepEquals, []agent.StopTask{{Attempt: attempt(entry, 1)}})
}
