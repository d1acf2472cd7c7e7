package agent_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

const (
	self  = msg.Incarnation(5)
	entry = msg.Incarnation(77)
	slots = 2
)

// fixture drives one agent core with one linked entry.
type fixture struct {
	c      *qt.C
	core   *agent.Core
	now    time.Time
	number uint64
	seq    uint64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), now: time.Unix(1000, 0)}
	f.core = agent.New(agent.Config{
		Worker: "w", Incarnation: self, ResultKeep: time.Minute, HeartbeatInterval: time.Second, Epoch: f.now,
	})
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.announce(1)
	f.core.TakeOutputs()
	return f
}

func (f *fixture) step(in agent.Input) { f.core.Step(f.now, in) }

// advance lets time pass in ticks of 100 ms.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		f.core.Tick(f.now)
	}
}

func (f *fixture) announce(join uint64, running ...string) {
	f.number++
	f.announceAs(join, f.number, running...)
}

func (f *fixture) announceAs(join, number uint64, running ...string) {
	f.step(agent.EndpointAnnounced{Service: "s", Slots: slots, Connections: 64, Join: join, Number: number, Running: running})
}

func attempt(from msg.Incarnation, job uint64) msg.AttemptID {
	return msg.AttemptID{Entry: from, Job: job, Attempt: 1}
}

func (f *fixture) dispatchOf(id msg.AttemptID) msg.Dispatch {
	f.seq++
	return msg.Dispatch{Attempt: id, Seq: f.seq, AgentIncarnation: self, StartBy: f.core.Clock(f.now) + 2*time.Second, Service: "s"}
}

func (f *fixture) receive(m msg.FromEntry) { f.step(agent.Received{Entry: entry, Message: m}) }

// run dispatches the job's attempt and discards the outputs.
func (f *fixture) run(job uint64) msg.AttemptID {
	id := attempt(entry, job)
	f.receive(f.dispatchOf(id))
	f.core.TakeOutputs()
	return id
}

func (f *fixture) end(id msg.AttemptID, kind msg.ResultKind) {
	f.step(agent.TaskEnded{Attempt: id, Kind: kind})
}

// sentMessages returns the messages of one type sent since the last call and
// discards the other outputs.
func sentMessages[M msg.FromAgent](f *fixture) []M {
	var found []M
	for _, o := range f.core.TakeOutputs() {
		if s, ok := o.(agent.Send); ok {
			if m, ok := s.Message.(M); ok {
				found = append(found, m)
			}
		}
	}
	return found
}

func outputs[O agent.Output](f *fixture) []O {
	var found []O
	for _, o := range f.core.TakeOutputs() {
		if o, ok := o.(O); ok {
			found = append(found, o)
		}
	}
	return found
}

// Guards against tasks for an endpoint that has left, or after the agent process
// has stopped, and against an endpoint that cannot come back.
func TestLeaveUntilNewJoin(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(*fixture)
		free int
	}{
		{"announced", func(*fixture) {}, slots},
		{"periodic announcement after a leave", func(f *fixture) { f.step(agent.EndpointLeaving{Join: 1}); f.announce(1) }, 0},
		{"new join after a leave", func(f *fixture) { f.step(agent.EndpointLeaving{Join: 1}); f.announce(2) }, slots},
		{"leave without a join", func(f *fixture) { f.step(agent.EndpointLeaving{}); f.announce(1) }, 0},
		{"late leave of an earlier join", func(f *fixture) { f.announce(2); f.step(agent.EndpointLeaving{Join: 1}) }, slots},
		{"leave that overtakes its announcement", func(f *fixture) { f.step(agent.EndpointLeaving{Join: 2}); f.announce(2) }, 0},
		{"silence after a leave", func(f *fixture) {
			f.step(agent.EndpointLeaving{Join: 1})
			f.step(agent.EndpointLost{})
			f.announce(1)
		}, 0},
		{"silence", func(f *fixture) { f.step(agent.EndpointLost{}) }, 0},
		{"announcement after silence", func(f *fixture) { f.step(agent.EndpointLost{}); f.announceAs(1, 1) }, slots},
		{"endpoint without joins returns after silence", func(f *fixture) {
			f.step(agent.EndpointLost{})
			f.announceAs(0, 0)
			f.step(agent.EndpointLeaving{})
			f.announceAs(0, 0)
			f.c.Assert(f.core.Free(), qt.Equals, 0)
			f.step(agent.EndpointLost{})
			f.announceAs(0, 0)
		}, slots},
		{"announcement of a leave to a new agent", func(f *fixture) {
			f.step(agent.EndpointAnnounced{Service: "s", Slots: slots, Connections: 64, Join: 1, Number: 9, Leaving: true})
			f.announceAs(1, 10)
		}, 0},
		{"agent stops", func(f *fixture) { f.step(agent.Stop{}); f.announce(2) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.act(f)
			f.c.Assert(f.core.Free(), qt.Equals, test.free)
			f.c.Assert(f.core.Hello().Leaving, qt.Equals, test.free == 0)
			f.core.TakeOutputs()
			f.receive(f.dispatchOf(attempt(entry, 1)))
			f.c.Assert(outputs[agent.Start](f), qt.HasLen, min(test.free, 1))
		})
	}
}

// Guards against tasks that are lost, or slots that are counted free, because the
// endpoint was silent for a while.
func TestSilentEndpointKeepsItsTasks(t *testing.T) {
	f := newFixture(t)
	id := f.run(1)
	f.step(agent.EndpointLost{})
	f.c.Assert(sentMessages[msg.Leaving](f), qt.HasLen, 1)
	f.announce(1)
	f.c.Assert(f.core.Free(), qt.Equals, slots-1)
	f.step(agent.EndpointLost{})
	f.core.TakeOutputs()
	f.end(id, msg.ResultOK)
	f.c.Assert(sentMessages[msg.Result](f), qt.HasLen, 1)
	f.c.Assert(f.core.Free(), qt.Equals, 0)
}

// Guards against slots that are released or held wrongly for tasks of an
// earlier agent process, because of stale announcements or because a task of
// this process is listed after its end.
func TestSlotsHeldForEarlierAgents(t *testing.T) {
	foreign := msg.EndpointTaskName(self-1, attempt(entry, 8))
	own := msg.EndpointTaskName(self, attempt(entry, 1))
	for _, test := range []struct {
		name string
		act  func(*fixture)
		free int
	}{
		{"task of an earlier process", func(f *fixture) { f.announce(1, foreign) }, slots - 1},
		{"end of a task of an earlier process", func(f *fixture) { f.announce(1, foreign); f.announce(1) }, slots},
		{"stale announcement of its end", func(f *fixture) { f.announceAs(1, 9, foreign); f.announceAs(1, 8) }, slots - 1},
		{"repeated announcement", func(f *fixture) { f.announceAs(1, 9); f.announceAs(1, 9, foreign) }, slots},
		{"name that no agent gave", func(f *fixture) { f.announce(1, "cron") }, slots - 1},
		{"own task", func(f *fixture) { f.run(1); f.announce(1, own) }, slots - 1},
		{"own task not listed yet", func(f *fixture) { f.run(1); f.announce(1) }, slots - 1},
		{"own task listed after its end", func(f *fixture) { f.end(f.run(1), msg.ResultOK); f.announce(1, own) }, slots},
		{"own task without a complete answer", func(f *fixture) { f.end(f.run(1), msg.ResultEndpointFailed) }, slots - 1},
		{"announcement written before its failure", func(f *fixture) { f.end(f.run(1), msg.ResultEndpointFailed); f.announce(1) }, slots - 1},
		{"own task listed after its failure", func(f *fixture) {
			f.end(f.run(1), msg.ResultEndpointFailed)
			f.announce(1)
			f.announce(1, own)
			f.announce(1)
		}, slots - 1},
		{"own task not listed any more after its failure", func(f *fixture) {
			f.end(f.run(1), msg.ResultEndpointFailed)
			f.announce(1, own)
			f.announce(1)
			f.announce(1)
		}, slots},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.act(f)
			f.c.Assert(f.core.Free(), qt.Equals, test.free)
		})
	}
}

// Guards against a task that is sent again and again to an endpoint that
// refuses connections.
func TestUnreachableEndpoint(t *testing.T) {
	f := newFixture(t)
	f.end(f.run(1), msg.ResultNotReached)
	f.c.Assert(f.core.Free(), qt.Equals, 0)
	f.announce(1)
	f.c.Assert(f.core.Free(), qt.Equals, slots)
}

// Guards against an announcement or a leave that comes between the Hello of a
// link and its Welcome and never reaches that entry.
func TestEndpointChangesBeforeWelcome(t *testing.T) {
	f := newFixture(t)
	before := f.core.Hello()
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 3, Connections: 64, Join: 2})
	f.core.TakeOutputs()
	f.step(agent.LinkUp{Entry: entry + 1, Name: "e2"})
	hellos := sentMessages[msg.Hello](f)
	f.c.Assert(hellos, qt.HasLen, 1)
	f.c.Assert(hellos[0].Slots, qt.Equals, 3)
	f.c.Assert(hellos[0].Report.Number > before.Report.Number, qt.IsTrue)
	f.step(agent.EndpointLeaving{Join: 2})
	f.core.TakeOutputs()
	f.step(agent.LinkUp{Entry: entry + 2, Name: "e3"})
	f.c.Assert(sentMessages[msg.Hello](f)[0].Leaving, qt.IsTrue)
}

// Guards against results that are lost with a link or with an acknowledgement,
// and against acknowledgements by other entries.
func TestResultsKeptUntilAcknowledged(t *testing.T) {
	f := newFixture(t)
	id := f.run(1)
	f.step(agent.LinkDown{Entry: entry})
	f.end(id, msg.ResultOK)
	f.c.Assert(sentMessages[msg.Result](f), qt.HasLen, 0)
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.c.Assert(sentMessages[msg.Result](f), qt.HasLen, 1)
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.c.Assert(sentMessages[msg.Result](f), qt.HasLen, 1)
	f.step(agent.LinkUp{Entry: entry + 1, Name: "other"})
	f.step(agent.Received{Entry: entry + 1, Message: msg.Ack{Attempts: []msg.AttemptID{id}}})
	f.c.Assert(f.core.Unacknowledged(), qt.Equals, 1)
	f.receive(msg.Ack{Attempts: []msg.AttemptID{id}})
	f.receive(msg.Ack{Attempts: []msg.AttemptID{id}})
	f.c.Assert(f.core.Unacknowledged(), qt.Equals, 0)
}

// Guards against results that are kept although a dispatch or a heartbeat has
// acknowledged them.
func TestPiggybackedAcknowledgements(t *testing.T) {
	f := newFixture(t)
	first, second := f.run(1), f.run(2)
	f.end(first, msg.ResultOK)
	f.end(second, msg.ResultOK)
	d := f.dispatchOf(attempt(entry, 3))
	d.Acks = []msg.AttemptID{first}
	f.receive(d)
	f.c.Assert(f.core.Unacknowledged(), qt.Equals, 1)
	f.receive(msg.EntryHeartbeat{Acks: []msg.AttemptID{second}})
	f.c.Assert(f.core.Unacknowledged(), qt.Equals, 0)
}

// Guards against the answer NeverStarts about an attempt that ran.
func TestRevokeReportsAttemptState(t *testing.T) {
	for _, test := range []struct {
		name  string
		act   func(*fixture, msg.AttemptID)
		state msg.AttemptState
	}{
		{"never arrived", func(f *fixture, id msg.AttemptID) {}, msg.NeverStarts},
		{"running", func(f *fixture, id msg.AttemptID) { f.run(1) }, msg.Running},
		{"ended", func(f *fixture, id msg.AttemptID) { f.end(f.run(1), msg.ResultOK) }, msg.Done},
		{"acknowledged", func(f *fixture, id msg.AttemptID) {
			f.end(f.run(1), msg.ResultOK)
			f.receive(msg.Ack{Attempts: []msg.AttemptID{id}})
		}, msg.Forgotten},
		{"expired", func(f *fixture, id msg.AttemptID) {
			f.end(f.run(1), msg.ResultOK)
			f.step(agent.LinkDown{Entry: entry})
			f.advance(2 * time.Minute)
			f.step(agent.LinkUp{Entry: entry, Name: "e"})
		}, msg.Forgotten},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			id := attempt(entry, 1)
			ref := msg.AttemptRef{Attempt: id, StartBy: 2 * time.Second}
			test.act(f, id)
			f.core.TakeOutputs()
			f.receive(msg.Revoke{Attempts: []msg.AttemptRef{ref}})
			f.c.Assert(sentMessages[msg.AttemptStates](f)[0].Attempts[0].State, qt.Equals, test.state)
		})
	}
}

// Guards against the start of an attempt that was reported as never starting,
// before or after its StartBy, and against a second start by a repeated dispatch.
func TestDispatchesThatMustNotStart(t *testing.T) {
	id := attempt(entry, 1)
	for _, test := range []struct {
		name   string
		act    func(*fixture, msg.Dispatch)
		reason verdict.RetryReason
	}{
		{"revoked", func(f *fixture, d msg.Dispatch) {
			f.receive(msg.Revoke{Attempts: []msg.AttemptRef{{Attempt: id, StartBy: d.StartBy}}})
		}, verdict.AttemptRevoked},
		{"revoked long ago", func(f *fixture, d msg.Dispatch) {
			f.receive(msg.Revoke{Attempts: []msg.AttemptRef{{Attempt: id, StartBy: d.StartBy}}})
			f.advance(5 * time.Second)
		}, verdict.StartByPassed},
		{"agent was paused", func(f *fixture, _ msg.Dispatch) { f.now = f.now.Add(3 * time.Second) }, verdict.StartByPassed},
		{"time goes back", func(f *fixture, _ msg.Dispatch) {
			f.core.Tick(f.now.Add(3 * time.Second))
		}, verdict.StartByPassed},
		{"running", func(f *fixture, d msg.Dispatch) { f.receive(d) }, 0},
		{"acknowledged", func(f *fixture, d msg.Dispatch) {
			f.receive(d)
			f.end(id, msg.ResultOK)
			f.receive(msg.Ack{Attempts: []msg.AttemptID{id}})
		}, 0},
		{"dispatch for an earlier agent process", func(f *fixture, d msg.Dispatch) {
			d.AgentIncarnation--
			f.receive(d)
		}, verdict.AttemptRevoked},
		{"refused while the slots were taken", func(f *fixture, d msg.Dispatch) {
			f.run(2)
			running := f.run(3)
			f.receive(d)
			f.end(running, msg.ResultOK)
		}, verdict.AttemptRevoked},
		{"no slot", func(f *fixture, _ msg.Dispatch) { f.run(2); f.run(3) }, verdict.NoSlot},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			d := f.dispatchOf(id)
			test.act(f, d)
			f.core.TakeOutputs()
			f.receive(d)
			var got verdict.RetryReason
			for _, o := range f.core.TakeOutputs() {
				_, started := o.(agent.Start)
				f.c.Assert(started, qt.IsFalse)
				if s, ok := o.(agent.Send); ok {
					got = s.Message.(msg.Refused).Reason
				}
			}
			f.c.Assert(got.String(), qt.Equals, test.reason.String())
		})
	}
}

// Guards against work from an entry process that a later one has replaced, and
// against results kept for it.
func TestReplacedEntry(t *testing.T) {
	f := newFixture(t)
	done, running := f.run(1), f.run(2)
	f.end(done, msg.ResultOK)
	f.core.TakeOutputs()
	f.step(agent.LinkUp{Entry: entry + 1, Name: "e"})
	f.c.Assert(outputs[agent.CloseLink](f), qt.DeepEquals, []agent.CloseLink{{Entry: entry}})
	f.c.Assert(f.core.Unacknowledged(), qt.Equals, 0)
	f.receive(f.dispatchOf(attempt(entry, 3)))
	f.end(running, msg.ResultOK)
	f.c.Assert(f.core.Unacknowledged(), qt.Equals, 0)
	f.c.Assert(f.core.TakeOutputs(), qt.HasLen, 0)
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.c.Assert(f.core.TakeOutputs(), qt.DeepEquals, []agent.Output{
		agent.EntryConflict{Name: "e", Current: entry + 1, Late: entry}, agent.CloseLink{Entry: entry},
	})
}

// Guards against an entry that is rejected for ever because an older one took its
// name for a moment, and against the answer NeverStarts about attempts whose
// results were dropped meanwhile.
func TestReplacedEntryReturns(t *testing.T) {
	f := newFixture(t)
	ref := msg.AttemptRef{Attempt: attempt(entry, 1), StartBy: f.core.Clock(f.now) + 2*time.Second}
	f.end(f.run(1), msg.ResultOK)
	f.step(agent.LinkUp{Entry: entry + 1, Name: "e"})
	f.step(agent.LinkDown{Entry: entry + 1})
	f.advance(9 * time.Second)
	f.core.TakeOutputs()
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.c.Assert(outputs[agent.EntryConflict](f), qt.HasLen, 1)
	f.advance(2 * time.Second)
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.c.Assert(outputs[agent.EntryConflict](f), qt.HasLen, 0)
	f.receive(msg.Revoke{Attempts: []msg.AttemptRef{ref}})
	f.c.Assert(sentMessages[msg.AttemptStates](f)[0].Attempts[0].State, qt.Equals, msg.Forgotten)
	f.run(2)
	f.c.Assert(f.core.Running(), qt.Equals, 1)
}

// Guards against the answer NeverStarts about an attempt of an entry that was
// replaced so long ago that the agent does not remember it.
func TestEvictedEntryReturns(t *testing.T) {
	f := newFixture(t)
	ref := msg.AttemptRef{Attempt: attempt(entry, 1), StartBy: f.core.Clock(f.now) + 2*time.Second}
	f.end(f.run(1), msg.ResultOK)
	for i := range msg.Incarnation(300) {
		f.step(agent.LinkUp{Entry: entry + 1 + i, Name: "e"})
	}
	f.advance(5 * time.Second)
	f.core.TakeOutputs()
	f.step(agent.LinkUp{Entry: entry, Name: "e"})
	f.receive(msg.Revoke{Attempts: []msg.AttemptRef{ref}})
	f.c.Assert(sentMessages[msg.AttemptStates](f)[0].Attempts[0].State, qt.Equals, msg.Forgotten)
}

// Guards against a link that stays half open when its entry is gone, and
// against one that is closed because the agent itself was paused.
func TestSilentEntry(t *testing.T) {
	f := newFixture(t)
	f.advance(time.Second)
	f.now = f.now.Add(time.Minute)
	f.advance(9 * time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 0)
	f.receive(msg.EntryHeartbeat{})
	f.advance(9 * time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 0)
	f.advance(time.Second)
	f.c.Assert(outputs[agent.CloseLink](f), qt.HasLen, 1)
}

// Guards against reports that do not say which dispatches they cover.
func TestReportsCoverDispatches(t *testing.T) {
	f := newFixture(t)
	id := f.run(1)
	f.receive(msg.EntryHeartbeat{Seq: 4})
	f.end(id, msg.ResultOK)
	first := sentMessages[msg.Result](f)[0].Report
	f.c.Assert(first.Free, qt.Equals, slots)
	f.c.Assert(first.Covers, qt.Equals, uint64(4))
	f.advance(time.Second)
	f.c.Assert(sentMessages[msg.Heartbeat](f)[0].Report.Number, qt.Equals, first.Number+1)
}

// Guards against invariants that no longer detect the states they exclude.
func TestInvariantsDetectCorruption(t *testing.T) {
	for i, test := range []struct {
		name    invariant.Name
		corrupt func(*fixture)
	}{
		{invariant.SlotsInRange, func(f *fixture) { f.core.CorruptRunning(); f.core.Tick(f.now) }},
		{invariant.SlotsInRange, func(f *fixture) {
			for job := range uint64(slots + 1) {
				f.core.StartUnchecked(f.dispatchOf(attempt(entry, job)))
			}
		}},
		{invariant.RevisionForward, func(f *fixture) { f.step(agent.RevisionChanged{Revision: 3}); f.core.LowerRevision() }},
		{invariant.SettledOnce, func(f *fixture) {
			id := f.run(1)
			f.end(id, msg.ResultOK)
			f.core.DropResultTwice(id)
		}},
	} {
		t.Run(fmt.Sprint(i, test.name), func(t *testing.T) {
			f := newFixture(t)
			defer func() {
				v, _ := recover().(invariant.Violation)
				f.c.Check(v.Detail, qt.Not(qt.Equals), "")
				f.c.Check(v.Name, qt.Equals, test.name)
			}()
			test.corrupt(f)
		})
	}
}
