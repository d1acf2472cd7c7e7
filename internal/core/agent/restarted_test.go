package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// lastHello returns the newest Hello to the entry since the last call.
func lastHello(f *fixture) (hello msg.Hello) {
	for _, s := range outputs[agent.Send](f) {
		if h, ok := s.Message.(msg.Hello); ok && s.Entry == entry {
			hello = h
		}
	}
	return hello
}

// Guards against a task that starts at a worker of another kind because its dispatch was sent
// for what the worker was, before a restart or a change of its labels: it arrives late, or its
// entry has read nothing since then.
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
			read := lastHello(f).Report.Number
			f.now = f.now.Add(100 * time.Millisecond)
			sent := f.core.Clock(f.now)
			f.now = f.now.Add(100 * time.Millisecond)
			for _, in := range change {
				f.step(in)
			}
			told := lastHello(f).Report.Number
			for job, d := range []struct {
				clock  time.Duration
				report uint64
				starts int
			}{
				{sent, 0, 0}, {f.core.Clock(f.now), read, 0}, {f.core.Clock(f.now), 0, 1}, {f.core.Clock(f.now), told, 1},
			} {
				m := f.dispatchOf(attempt(entry, uint64(job)))
				m.Size, m.TaskName, m.EchoedClock, m.Report = msg.Size{Cores: 1}, "t", d.clock, d.report
				f.receive(m)
				started, refused := outcomes(f)
				f.c.Check(started, qt.HasLen, d.starts, qt.Commentf("dispatch %d", job))
				f.c.Check(refused, qt.HasLen, 1-d.starts, qt.Commentf("dispatch %d", job))
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
