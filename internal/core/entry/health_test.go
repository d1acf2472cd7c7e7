package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// healthFleet is one entry core with several workers of one slot each in one failure
// domain. It counts the outcomes of each worker.
type healthFleet struct {
	*fixture
	total   map[entry.LinkID]health.Outcomes
	numbers uint64
	seen    map[entry.LinkID]uint64
}

func newHealthFleet(t *testing.T, workers int) *healthFleet {
	f := &healthFleet{fixture: newFixture(t, 0), total: make(map[entry.LinkID]health.Outcomes), seen: make(map[entry.LinkID]uint64)}
	for i := range workers {
		f.link++
		f.step(entry.LinkUp{Link: f.link, Clock: f.clock, Hello: msg.Hello{
			Worker: fmt.Sprintf("worker-%d", i), Incarnation: msg.Incarnation(100 + i), Service: "s",
			Slots: 1, Report: f.slots(f.link), Revision: 7,
		}})
	}
	f.out = nil
	return f
}

func (f *healthFleet) slots(link entry.LinkID) msg.Slots {
	f.numbers++
	return msg.Slots{Free: 1, Covers: f.seen[link], Number: f.numbers, Outcomes: f.total[link]}
}

// run submits a job of one task and ends it at whichever worker gets it, with a failure if
// fails returns true. It returns the link of that worker.
func (f *healthFleet) run(fails func(entry.LinkID) bool) entry.LinkID {
	f.submit(1, time.Minute)
	for _, o := range f.out {
		s, ok := o.(entry.Send)
		if !ok {
			continue
		}
		d, ok := s.Message.(msg.Dispatch)
		if !ok {
			continue
		}
		kind, total := msg.ResultOK, f.total[s.Link]
		total.Ended++
		if fails(s.Link) {
			kind = msg.ResultEndpointError
			total.Failed++
		}
		f.total[s.Link] = total
		f.seen[s.Link] = d.Seq
		f.out = nil
		f.step(entry.Received{Link: s.Link, Clock: f.clock, Message: msg.Result{
			Attempt: d.Attempt, Kind: kind, RunTime: time.Millisecond, Report: f.slots(s.Link),
		}})
		f.out = nil
		return s.Link
	}
	f.c.Fatal("no worker got the task")
	return 0
}

// Guards against a worker that attracts work because it fails every task quickly.
func TestWorkerThatFailsEverything(t *testing.T) {
	f := newHealthFleet(t, 6)
	bad := f.link
	lost := 0
	for range 300 {
		if f.run(func(l entry.LinkID) bool { return l == bad }) == bad {
			lost++
		}
	}
	f.c.Assert(lost > 0, qt.IsTrue)
	f.c.Assert(lost <= 3, qt.IsTrue, qt.Commentf("%d jobs failed", lost))
}

// Guards against a recovered worker that is never used again.
func TestQuarantineEnds(t *testing.T) {
	f := newHealthFleet(t, 3)
	bad, broken := f.link, true
	fails := func(l entry.LinkID) bool { return broken && l == bad }
	for range 60 {
		f.run(fails)
	}
	broken = false
	f.now = f.now.Add(5 * time.Second)
	for link := entry.LinkID(2); link <= f.link; link++ {
		f.step(entry.Received{Link: link, Clock: f.clock, Message: msg.Heartbeat{Report: f.slots(link), Revision: 7}})
	}
	f.out = nil
	used := 0
	for range 60 {
		if f.run(fails) == bad {
			used++
		}
	}
	f.c.Assert(used > 1, qt.IsTrue, qt.Commentf("the worker got %d tasks", used))
}

// Guards against a faulty job type that gets healthy workers quarantined.
func TestJobTypeThatFailsEverywhere(t *testing.T) {
	f := newHealthFleet(t, 9)
	for range 60 {
		f.run(func(entry.LinkID) bool { return true })
	}
	used := make(map[entry.LinkID]bool)
	for range 300 {
		used[f.run(func(entry.LinkID) bool { return false })] = true
	}
	f.c.Assert(used, qt.HasLen, 9)
}

// Guards against quarantine of so many workers of a failure domain that the rest cannot
// carry the load.
func TestQuarantineIsBounded(t *testing.T) {
	f := newHealthFleet(t, 9)
	for link := entry.LinkID(2); link <= f.link; link++ {
		f.total[link] = health.Outcomes{Ended: 50}
		if link > f.link-4 {
			f.total[link] = health.Outcomes{Ended: 50, Failed: 50}
		}
		f.step(entry.Received{Link: link, Clock: f.clock, Message: msg.Heartbeat{Report: f.slots(link), Revision: 7}})
	}
	f.submit(9, time.Minute)
	f.c.Assert(take[msg.Dispatch](f.fixture), qt.HasLen, 6)
}

// Guards against a task that is given up at the only worker with the label that it needs,
// and against one that starts again where it failed although another worker can run it.
func TestFailedTaskStartsElsewhereIfItCan(t *testing.T) {
	for _, test := range []struct {
		name      string
		label     string
		elsewhere bool
	}{
		{"another worker has the label", "b", true},
		{"no other worker has the label", "c", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := leasedFixture(t)
			w1 := f.linkLeased("w1", 32, "b")
			w2 := f.linkLeased("w2", 8, test.label)
			workers := map[entry.LinkID]*leasedWorker{w1.link: w1, w2.link: w2}
			f.step(entry.Submit{Job: entry.Job{
				ID: 1, Service: "s", JobType: "patient", Account: "a", Deadline: f.now.Add(10 * time.Second),
				Steps: []entry.Step{{Requires: "b"}},
				Tasks: []entry.Task{{DeclaredSize: msg.Size{Cores: 3}, DeclaredRunTime: 100 * time.Millisecond}},
			}})
			for link, ds := range f.dispatched() {
				workers[link].end(ds[0], msg.ResultEndpointError)
				again := f.dispatched()
				f.c.Assert(again, qt.HasLen, 1)
				f.c.Check(len(again[link]) == 0, qt.Equals, test.elsewhere)
			}
		})
	}
}
