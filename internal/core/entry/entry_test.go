package entry_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

const (
	entryIncarnation = msg.Incarnation(77)
	agentIncarnation = msg.Incarnation(5)
	tick             = 20 * time.Millisecond
)

// fixture drives one entry core with one linked worker.
type fixture struct {
	c      *qt.C
	core   *entry.Core
	now    time.Time
	link   entry.LinkID
	clock  time.Duration
	number uint64
	jobs   uint64
	out    []entry.Output
}

func newFixture(t *testing.T, slots int) *fixture {
	f := &fixture{c: qt.New(t), now: time.Unix(1000, 0), clock: time.Minute}
	f.core = entry.New(entry.Config{
		Name: "e", Incarnation: entryIncarnation, StartWindow: 2 * time.Second,
		SuspectAfter: 3 * time.Second, LostAfter: 10 * time.Second, HeartbeatInterval: time.Second,
		AckDelay: 100 * time.Millisecond, RunLimit: time.Minute, MaxQueued: 100_000, MaxTasks: 1000, MaxPayload: 100,
	})
	f.step(entry.SetPolicy{Policy: policy(7)})
	f.linkUp(agentIncarnation, slots)
	return f
}

func policy(revision uint64) entry.Policy {
	return entry.Policy{
		Revision: revision,
		Services: map[string]entry.ServicePolicy{"s": {JobTypes: map[string]entry.JobTypePolicy{"j": {}}}},
		Accounts: map[string]entry.AccountPolicy{"a": {}},
	}
}

func (f *fixture) step(in entry.Input) {
	f.core.Step(f.now, in)
	f.out = append(f.out, f.core.TakeOutputs()...)
}

// advance moves the time forward in ticks.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.core.Tick(f.now)
		f.out = append(f.out, f.core.TakeOutputs()...)
	}
}

// advanceWithHeartbeats moves the time forward while the worker sends heartbeats.
func (f *fixture) advanceWithHeartbeats(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(min(time.Second, end.Sub(f.now)))
		f.receive(msg.Heartbeat{Revision: 7})
	}
}

func (f *fixture) report(free int, covers uint64) msg.Slots {
	f.number++
	return msg.Slots{Free: free, Covers: covers, Number: f.number}
}

func (f *fixture) hello(inc msg.Incarnation, slots int) msg.Hello {
	return msg.Hello{Worker: "w", Incarnation: inc, Service: "s", Slots: slots, Report: f.report(slots, 0), Revision: 7}
}

func (f *fixture) linkUp(inc msg.Incarnation, slots int) {
	f.link++
	f.step(entry.LinkUp{Link: f.link, Clock: f.clock, Hello: f.hello(inc, slots)})
}

func (f *fixture) receive(m msg.FromAgent) {
	f.step(entry.Received{Link: f.link, Clock: f.clock, Message: m})
}

func (f *fixture) submit(tasks int, timeout time.Duration) uint64 {
	f.jobs++
	f.step(entry.Submit{Job: entry.Job{
		ID: f.jobs, Service: "s", JobType: "j", Account: "a",
		Tasks: make([]entry.Task, tasks), Deadline: f.now.Add(timeout),
	}})
	return f.jobs
}

// take returns the messages of type M sent since the last call of take for any type, and
// discards the others.
func take[M msg.FromEntry](f *fixture) []M {
	var found []M
	for _, o := range f.out {
		if s, ok := o.(entry.Send); ok {
			if m, ok := s.Message.(M); ok {
				found = append(found, m)
			}
		}
	}
	f.out = nil
	return found
}

func (f *fixture) answers() []entry.Answered {
	var found []entry.Answered
	for _, o := range f.out {
		if a, ok := o.(entry.Answered); ok {
			found = append(found, a)
		}
	}
	f.out = nil
	return found
}

// Guards against over-commitment after a report that the agent sent before the latest
// dispatches arrived.
func TestReportWithoutDispatchesInFlight(t *testing.T) {
	f := newFixture(t, 2)
	f.submit(1, time.Minute)
	f.receive(msg.Heartbeat{Report: f.report(2, 0)})
	f.submit(2, time.Minute)
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 2)
	f.receive(msg.Heartbeat{Report: f.report(1, 1)})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
	f.receive(msg.Heartbeat{Report: f.report(1, 2)})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 1)
}

// Guards against a free-slot count that stays too low for ever after a lost dispatch: the
// entry's heartbeat names the latest dispatch, and the agent's next report covers it.
func TestHeartbeatNamesLatestDispatch(t *testing.T) {
	f := newFixture(t, 2)
	f.submit(2, time.Minute)
	f.advance(time.Second + tick)
	beats := take[msg.EntryHeartbeat](f)
	f.c.Assert(beats, qt.HasLen, 1)
	f.c.Assert(beats[0].Seq, qt.Equals, uint64(2))
}

// Guards against a late report, or a late Hello, that replaces a newer one.
func TestLateReports(t *testing.T) {
	f := newFixture(t, 2)
	late := msg.Heartbeat{Report: f.report(2, 0)}
	lateHello := f.hello(agentIncarnation, 2)
	f.receive(msg.Heartbeat{Report: f.report(0, 0)})
	f.receive(late)
	f.submit(1, time.Minute)
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
	f.receive(msg.Leaving{Report: f.report(2, 0)})
	f.receive(lateHello)
	f.receive(msg.SlotsFree{Report: f.report(2, 0)})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
	f.receive(f.hello(agentIncarnation, 2))
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 1)
}

// Guards against a task that waits for its deadline because its dispatch or result was
// lost while the link stayed up.
func TestAttemptWithoutAnswer(t *testing.T) {
	f := newFixture(t, 1)
	start := f.now
	f.submit(1, time.Minute)
	f.out = nil
	var probed []time.Duration
	for f.now.Sub(start) < 22*time.Second {
		f.advanceWithHeartbeats(500 * time.Millisecond)
		if len(take[msg.Revoke](f)) > 0 {
			probed = append(probed, f.now.Sub(start).Truncate(time.Second))
		}
	}
	f.c.Assert(probed, qt.DeepEquals, []time.Duration{3 * time.Second, 9 * time.Second, 21 * time.Second})
}

// Guards against one message per task when many jobs are cancelled at once.
func TestSimultaneousCancellations(t *testing.T) {
	const jobs = 10_000
	f := newFixture(t, jobs)
	for range jobs {
		f.submit(1, time.Minute)
	}
	f.out = nil
	for id := range uint64(jobs) {
		f.step(entry.Cancel{Job: id + 1})
	}
	f.advance(tick)
	revokes := take[msg.Revoke](f)
	f.c.Assert(revokes, qt.HasLen, 1)
	f.c.Assert(revokes[0].Attempts, qt.HasLen, jobs)
}

// Guards against an acknowledgement before Welcome, for which the agent closes the link,
// and against the loss of acknowledgements with a link.
func TestAcknowledgementsAcrossLinks(t *testing.T) {
	f := newFixture(t, 1)
	f.submit(1, time.Minute)
	id := take[msg.Dispatch](f)[0].Attempt
	f.receive(msg.Result{Attempt: id, Kind: msg.ResultOK})
	f.step(entry.LinkDown{Link: f.link})
	f.out = nil
	f.linkUp(agentIncarnation, 1)
	f.c.Assert(f.out[0], qt.Satisfies, func(o entry.Output) bool {
		_, ok := o.(entry.Send).Message.(msg.Welcome)
		return ok
	})
	f.advance(time.Second + tick)
	f.c.Assert(heartbeatAcks(f), qt.DeepEquals, []msg.AttemptID{id})
	f.receive(msg.Result{Attempt: id, Kind: msg.ResultOK})
	f.advance(time.Second + tick)
	f.c.Assert(heartbeatAcks(f), qt.DeepEquals, []msg.AttemptID{id})
}

// heartbeatAcks returns the attempts that the heartbeats since the last call acknowledge.
func heartbeatAcks(f *fixture) (ids []msg.AttemptID) {
	for _, h := range take[msg.EntryHeartbeat](f) {
		ids = append(ids, h.Acks...)
	}
	return ids
}

// Guards against acknowledgements in messages of their own while other messages flow, and
// against acknowledging a result twice.
func TestDispatchCarriesAcknowledgements(t *testing.T) {
	f := newFixture(t, 1)
	f.submit(3, time.Minute)
	first := take[msg.Dispatch](f)[0]
	f.c.Assert(first.Acks, qt.HasLen, 0)
	f.number++
	f.receive(msg.Result{Attempt: first.Attempt, Kind: msg.ResultOK, Report: msg.Slots{Free: 1, Covers: first.Seq, Number: f.number}})
	f.c.Assert(take[msg.Dispatch](f)[0].Acks, qt.DeepEquals, []msg.AttemptID{first.Attempt})
	f.advance(3 * time.Second)
	f.c.Assert(heartbeatAcks(f), qt.HasLen, 0)
	f.c.Assert(take[msg.Ack](f), qt.HasLen, 0)
}

// Guards against an agent that cannot stop because its last results wait for a heartbeat,
// and against one that keeps more results than its memory allows.
func TestAcknowledgementsThatCannotWait(t *testing.T) {
	for _, test := range []struct {
		name   string
		result msg.Result
		before func(*fixture)
	}{
		{"leaving agent", msg.Result{}, func(f *fixture) { f.number++; f.receive(msg.Leaving{Report: msg.Slots{Number: f.number}}) }},
		{"draining entry", msg.Result{}, func(f *fixture) { f.step(entry.BeginDrain{}) }},
		{"large result", msg.Result{Payload: make([]byte, 256<<10)}, func(*fixture) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.submit(1, time.Minute)
			test.result.Attempt, test.result.Kind = take[msg.Dispatch](f)[0].Attempt, msg.ResultOK
			test.before(f)
			f.receive(test.result)
			f.advance(200 * time.Millisecond)
			f.c.Assert(take[msg.Ack](f), qt.DeepEquals, []msg.Ack{{Attempts: []msg.AttemptID{test.result.Attempt}}})
		})
	}
}

// Guards against an entry that takes its own pause for the silence of all workers.
func TestPausedEntry(t *testing.T) {
	f := newFixture(t, 1)
	f.submit(1, time.Minute)
	f.advance(tick)
	f.now = f.now.Add(30 * time.Second)
	f.advance(tick)
	f.c.Assert(f.answers(), qt.HasLen, 0)
	f.advance(10 * time.Second)
	f.c.Assert(f.answers(), qt.HasLen, 1)
}

// Guards against a tick with an old time, which a ticker may deliver after a pause, and
// against the clocks of messages that were overtaken.
func TestClockStamps(t *testing.T) {
	f := newFixture(t, 2)
	f.clock += 10 * time.Second
	f.receive(msg.Heartbeat{})
	f.clock -= 5 * time.Second
	f.receive(msg.Heartbeat{})
	f.core.Tick(f.now.Add(-time.Second))
	f.submit(1, time.Minute)
	f.c.Assert(take[msg.Dispatch](f)[0].StartBy, qt.Equals, time.Minute+12*time.Second)
}

// Guards against verdicts that claim more than is proven.
func TestVerdicts(t *testing.T) {
	result := func(kind msg.ResultKind) func(*fixture, msg.AttemptID) {
		return func(f *fixture, id msg.AttemptID) { f.receive(msg.Result{Attempt: id, Kind: kind}) }
	}
	states := func(s msg.AttemptState) func(*fixture, msg.AttemptID) {
		return func(f *fixture, id msg.AttemptID) {
			f.step(entry.Cancel{Job: 1})
			f.receive(msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: id, State: s}}})
		}
	}
	for _, test := range []struct {
		name    string
		act     func(*fixture, msg.AttemptID)
		outcome entry.Outcome
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"result", result(msg.ResultOK), entry.Complete, verdict.Ran, 0},
		{"endpoint error", result(msg.ResultEndpointError), entry.Failed, verdict.Ran, verdict.EndpointError},
		{"endpoint failed", result(msg.ResultEndpointFailed), entry.Failed, verdict.MayHaveRun, verdict.EndpointFailed},
		{"cancelled before the start", states(msg.NeverStarts), entry.Failed, verdict.NotRun, verdict.Cancelled},
		{"result dropped", states(msg.Forgotten), entry.Failed, verdict.MayHaveRun, verdict.Cancelled},
		{"cancelled while running", func(f *fixture, id msg.AttemptID) {
			states(msg.Running)(f, id)
			f.c.Assert(f.answers(), qt.HasLen, 0)
			result(msg.ResultOK)(f, id)
		}, entry.Failed, verdict.Ran, verdict.Cancelled},
		{"refused after cancellation", func(f *fixture, id msg.AttemptID) {
			f.step(entry.Cancel{Job: 1})
			f.receive(msg.Refused{Attempt: id, Reason: verdict.NoSlot})
		}, entry.Failed, verdict.NotRun, verdict.Cancelled},
		{"refused by another agent process", func(f *fixture, id msg.AttemptID) {
			f.linkUp(agentIncarnation+1, 1)
			f.receive(msg.Refused{Attempt: id, Reason: verdict.WrongIncarnation})
		}, entry.Failed, verdict.MayHaveRun, verdict.WorkerLost},
		{"worker silent", func(f *fixture, _ msg.AttemptID) { f.advance(11 * time.Second) }, entry.Failed, verdict.MayHaveRun, verdict.WorkerLost},
		{"deadline without answer", func(f *fixture, _ msg.AttemptID) { f.advanceWithHeartbeats(61 * time.Second) }, entry.Failed, verdict.MayHaveRun, verdict.DeadlineExceeded},
		{"deadline while queued", func(f *fixture, id msg.AttemptID) {
			f.receive(msg.Refused{Attempt: id, Reason: verdict.NoSlot})
			f.advanceWithHeartbeats(61 * time.Second)
		}, entry.Failed, verdict.NotRun, verdict.DeadlineExceeded},
		{"stop", func(f *fixture, _ msg.AttemptID) { f.step(entry.StopNow{}) }, entry.Failed, verdict.MayHaveRun, verdict.Stopped},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.submit(1, time.Minute)
			test.act(f, take[msg.Dispatch](f)[0].Attempt)
			answers := f.answers()
			f.c.Assert(answers, qt.HasLen, 1)
			got := answers[0].Answer
			f.c.Check(got.Outcome, qt.Equals, test.outcome)
			f.c.Check(got.Verdict.String(), qt.Equals, test.verdict.String())
			f.c.Check(got.Reason.String(), qt.Equals, test.reason.String())
		})
	}
}

// Guards against a second start because a reordered or repeated answer is taken for proof
// about a later attempt.
func TestRepeatedRefusal(t *testing.T) {
	f := newFixture(t, 1)
	f.submit(1, time.Minute)
	first := take[msg.Dispatch](f)[0].Attempt
	refusal := msg.Refused{Attempt: first, Reason: verdict.NoSlot, Report: f.report(1, 1)}
	f.receive(refusal)
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 1)
	refusal.Report = f.report(1, 2)
	f.receive(refusal)
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
}

// Guards against a second start after a broken link: the entry probes the attempt and
// dispatches the task again only after the answer.
func TestRelinkProbesBeforeRedispatch(t *testing.T) {
	f := newFixture(t, 2)
	f.submit(1, time.Minute)
	id := take[msg.Dispatch](f)[0].Attempt
	f.step(entry.LinkDown{Link: f.link})
	f.linkUp(agentIncarnation, 2)
	out := f.out
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
	f.out = out
	f.c.Assert(take[msg.Revoke](f)[0].Attempts[0].Attempt, qt.Equals, id)
	f.receive(msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: id, State: msg.Running}}})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
	f.receive(msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: id, State: msg.NeverStarts}}})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 1)
}

// Guards against a refusal, a result or a state of an attempt from a worker other than the
// one that it was dispatched to.
func TestAnswersOfAnotherWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.submit(1, time.Minute)
	id := take[msg.Dispatch](f)[0].Attempt
	other := f.hello(agentIncarnation+1, 1)
	other.Worker = "x"
	f.link++
	f.step(entry.LinkUp{Link: f.link, Clock: f.clock, Hello: other})
	f.out = nil
	f.receive(msg.Refused{Attempt: id, Reason: verdict.NoSlot})
	f.receive(msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: id, State: msg.NeverStarts}}})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
	f.receive(msg.Result{Attempt: id, Kind: msg.ResultOK})
	f.c.Assert(f.answers(), qt.HasLen, 0)
}

// Guards against two agents with one worker name that replace each other for ever and fail
// each other's tasks.
func TestTwoAgentsClaimOneWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.linkUp(agentIncarnation+1, 1)
	f.out = nil
	for range 3 {
		f.link++
		f.step(entry.LinkUp{Link: f.link, Hello: f.hello(agentIncarnation, 1)})
		f.c.Assert(f.out, qt.DeepEquals, []entry.Output{
			entry.WorkerConflict{Worker: "w", Current: agentIncarnation + 1, Late: agentIncarnation},
			entry.Send{Link: f.link, Message: msg.Rejected{Reason: "a later agent has taken the worker's name"}},
			entry.CloseLink{Link: f.link},
		})
		f.out = nil
	}
	f.submit(1, time.Minute)
	f.c.Assert(take[msg.Dispatch](f)[0].AgentIncarnation, qt.Equals, agentIncarnation+1)
}

// Guards against progress reports for callers that did not ask for them.
func TestProgressOnRequest(t *testing.T) {
	for _, asked := range []bool{false, true} {
		f := newFixture(t, 1)
		f.out = nil
		f.step(entry.Submit{Job: entry.Job{
			ID: 1, Service: "s", JobType: "j", Account: "a", Progress: asked,
			Tasks: make([]entry.Task, 1), Deadline: f.now.Add(time.Minute),
		}})
		reports := 0
		for _, o := range f.out {
			if _, ok := o.(entry.Progress); ok {
				reports++
			}
		}
		f.c.Check(reports > 0, qt.Equals, asked)
	}
}

// Guards against a table revision that goes back, or that an agent never gets because one
// update was lost.
func TestTableRevision(t *testing.T) {
	f := newFixture(t, 1)
	f.step(entry.SetPolicy{Policy: policy(9)})
	f.step(entry.SetPolicy{Policy: policy(8)})
	f.c.Assert(take[msg.TableUpdate](f), qt.DeepEquals, []msg.TableUpdate{{Revision: 9}})
	f.advanceWithHeartbeats(2 * time.Second)
	f.c.Assert(len(take[msg.TableUpdate](f)) > 0, qt.IsTrue)
	f.receive(msg.Heartbeat{Revision: 9})
	f.out = nil
	f.advanceWithHeartbeats(3 * time.Second)
	f.c.Assert(take[msg.TableUpdate](f), qt.HasLen, 0)
}

// Guards against an invariant check that no longer detects the state it is meant for.
func TestInvariantsNoticeDamage(t *testing.T) {
	for _, test := range []struct {
		name   invariant.Name
		damage func(*fixture)
	}{
		{invariant.OneAttempt, func(f *fixture) { f.core.DamageSecondAttempt(1); f.advance(tick) }},
		{invariant.NothingAfterEnd, func(f *fixture) { f.core.DamageQueueAfterEnd(1) }},
		{invariant.AnsweredOnce, func(f *fixture) { f.core.DamageAnswerTwice(1) }},
		{invariant.WholeAnswer, func(f *fixture) { f.core.DamagePartialAnswer(1) }},
		{invariant.NotRunProven, func(f *fixture) { f.core.DamageNotRun(1) }},
		{invariant.SlotsInRange, func(f *fixture) { f.core.DamageFree("w", -1) }},
		{invariant.SlotsInRange, func(f *fixture) { f.core.DamageFree("w", 3) }},
		{invariant.RevisionForward, func(f *fixture) { f.core.DamageRevision() }},
		{invariant.SettledOnce, func(f *fixture) { f.core.DamageSettleTwice(1) }},
	} {
		t.Run(fmt.Sprint(test.name), func(t *testing.T) {
			f := newFixture(t, 2)
			f.submit(1, time.Minute)
			before := invariant.Count(test.name)
			defer func() {
				v, _ := recover().(invariant.Violation)
				f.c.Check(v.Name, qt.Equals, test.name)
				f.c.Check(v.Detail, qt.Not(qt.Equals), "")
				f.c.Check(invariant.Count(test.name), qt.Equals, before+1)
			}()
			test.damage(f)
		})
	}
}

// setLimit limits the account's running tasks.
func (f *fixture) setLimit(limit int) {
	p := policy(8)
	p.Accounts["a"] = entry.AccountPolicy{MaxRunning: limit}
	f.step(entry.SetPolicy{Policy: p})
}

// Guards against starts beyond the allotment or beyond a lowered one, and against tasks
// that end without freeing their part of it.
func TestAllotmentLimitsStarts(t *testing.T) {
	f := newFixture(t, 8)
	f.setLimit(6)
	f.step(entry.SetAllotments{Allotted: map[string]int{"a": 2}})
	f.submit(6, time.Minute)
	sent := take[msg.Dispatch](f)
	f.c.Assert(sent, qt.HasLen, 2)
	f.c.Assert(f.core.Needs()["a"].Waiting, qt.Equals, 4)
	f.receive(msg.Result{Attempt: sent[0].Attempt, Kind: msg.ResultOK, Report: f.report(7, 2)})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 1)
	f.step(entry.SetAllotments{Allotted: map[string]int{"a": 1}})
	f.receive(msg.Result{Attempt: sent[1].Attempt, Kind: msg.ResultOK, Report: f.report(7, 3)})
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
}

// Guards against a new start while an attempt of unknown outcome may run, and against such
// an attempt that counts for ever.
func TestUnknownOutcomeKeepsAllotment(t *testing.T) {
	f := newFixture(t, 8)
	f.setLimit(1)
	f.submit(1, time.Minute)
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 1)
	f.linkUp(agentIncarnation+1, 8)
	f.submit(1, 10*time.Minute)
	f.advanceWithHeartbeats(time.Minute)
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 0)
	f.advanceWithHeartbeats(3 * time.Second)
	f.c.Assert(take[msg.Dispatch](f), qt.HasLen, 1)
}

// Guards against jobs that wait although their account's limit lets no task run.
func TestNoneMayRun(t *testing.T) {
	f := newFixture(t, 8)
	f.setLimit(-1)
	f.submit(1, time.Minute)
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Assert(answers[0].Answer.Reason, qt.Equals, verdict.NeverRunnable)
	f.c.Assert(answers[0].Answer.Verdict, qt.Equals, verdict.NotRun)
}
