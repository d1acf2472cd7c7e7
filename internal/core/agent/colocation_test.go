package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// runType dispatches a task of a job type from an entry.
func (f *fixture) runType(from msg.Incarnation, job uint64, jobType string) {
	d := f.dispatchOf(attempt(from, job))
	d.Size, d.TaskName, d.JobType = msg.Size{Cores: 8}, jobType, jobType
	f.step(agent.Received{Entry: from, Message: d})
}

// lastBeside returns what the latest result to the entry says.
func lastBeside(f *fixture, to msg.Incarnation) colocation.Summary {
	results := sentTo[msg.Result](f, to)
	f.c.Assert(results, qt.Not(qt.HasLen), 0)
	return results[len(results)-1].Beside
}

// Guards against evidence that lacks the tasks of other entries, and against bytes on the
// link and work for entries that have not asked for it.
func TestResultsSayWhatRanBesideForEntriesThatAsk(t *testing.T) {
	f := newLeasedFixture(t)
	f.runType(entry, 1, "a")
	f.runType(other, 2, "b")
	f.now = f.now.Add(50 * time.Millisecond)
	f.end(attempt(other, 2), msg.ResultOK)
	f.c.Check(lastBeside(f, other), qt.DeepEquals, colocation.Summary{})

	f.step(agent.LinkUp{Entry: entry, Name: "e", ColocationEvery: 2})
	f.runType(entry, 4, "c")
	f.runType(entry, 5, "c")
	f.runType(other, 6, "b")
	f.now = f.now.Add(50 * time.Millisecond)
	f.end(attempt(other, 6), msg.ResultOK)
	f.c.Check(lastBeside(f, other), qt.DeepEquals, colocation.Summary{})
	f.now = f.now.Add(50 * time.Millisecond)
	f.end(attempt(entry, 5), msg.ResultOK)
	f.c.Check(lastBeside(f, entry), qt.DeepEquals, colocation.Summary{}, qt.Commentf("the job is not one of every two"))
	f.end(attempt(entry, 4), msg.ResultOK)
	beside := lastBeside(f, entry)
	f.c.Check(beside.Known, qt.IsTrue)
	f.c.Check(beside.Load, qt.Equals, 0.625)
	means := map[colocation.TypeID]float64{}
	for _, n := range beside.Neighbours {
		means[n.Type] = n.Mean
	}
	f.c.Check(means, qt.DeepEquals, map[colocation.TypeID]float64{
		colocation.TypeIDOf("a"): 1, colocation.TypeIDOf("b"): 0.5, colocation.TypeIDOf("c"): 1,
	})
	f.end(attempt(entry, 1), msg.ResultOK)
	f.c.Check(lastBeside(f, entry), qt.DeepEquals, colocation.Summary{}, qt.Commentf("it started before the entry asked"))
}

// Guards against an agent that says nothing for good because its entries linked before its
// worker announced itself, and against one that follows the tasks for entries that are gone.
func TestTasksAreFollowedWhileAnEntryAsks(t *testing.T) {
	f := &fixture{c: qt.New(t), now: time.Unix(1000, 0)}
	f.core = agent.New(agent.Config{
		Worker: "w", Incarnation: self, ResultKeep: time.Minute, HeartbeatInterval: 10 * time.Second, OrphanAfter: time.Hour, Epoch: f.now,
	})
	f.step(agent.LinkUp{Entry: entry, Name: "e", ColocationEvery: 1})
	f.step(agent.LinkUp{Entry: other, Name: "o"})
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: msg.Size{Cores: 32}, Join: 1, Number: 1, Leased: true})
	f.step(agent.LeaseChanged{Ready: true, Settled: true})
	f.runType(entry, 1, "a")
	f.now = f.now.Add(50 * time.Millisecond)
	f.end(attempt(entry, 1), msg.ResultOK)
	f.c.Check(lastBeside(f, entry).Known, qt.IsTrue)

	f.c.Check(f.core.FollowsTasks(), qt.IsTrue)
	f.step(agent.LinkDown{Entry: entry})
	f.advanceFine(time.Second)
	f.c.Check(f.core.FollowsTasks(), qt.IsFalse)
}
