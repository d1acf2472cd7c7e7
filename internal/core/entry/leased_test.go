package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

const releaseAfter = 2 * time.Second

// leasedFixture returns a fixture with the job types of leasedPolicy, whose worker w has
// no slots.
func leasedFixture(t *testing.T) *fixture {
	f := newFixture(t, 0)
	f.step(entry.SetPolicy{Policy: leasedPolicy()})
	f.out = nil
	return f
}

// leasedPolicy has an urgent and a patient job type with two attempts each, and one whose
// tasks never start twice.
func leasedPolicy() entry.Policy {
	p := policy(8)
	types := p.Services["s"].JobTypes
	types["urgent"] = entry.JobTypePolicy{MaxAttempts: 2, ResponseTarget: 60 * time.Millisecond, ResponseFactor: 1.6}
	types["patient"] = entry.JobTypePolicy{MaxAttempts: 2, Priority: 1, ResponseTarget: 60 * time.Millisecond, ResponseFactor: 1.6}
	types["once"] = entry.JobTypePolicy{Priority: 1}
	return p
}

// leasedWorker is a linked worker whose room is given in cores.
type leasedWorker struct {
	f      *fixture
	name   string
	inc    msg.Incarnation
	link   entry.LinkID
	clock  time.Duration
	number uint64
	cores  float64
	labels []string
	covers uint64
}

func (f *fixture) linkLeased(name string, cores float64, labels ...string) *leasedWorker {
	w := &leasedWorker{f: f, name: name, inc: 9, cores: cores, labels: labels}
	w.connect(true)
	return w
}

func (w *leasedWorker) connect(settled bool) {
	w.f.link++
	w.link = w.f.link
	w.clock += time.Millisecond
	w.f.step(entry.LinkUp{Link: w.link, Clock: w.clock, Hello: msg.Hello{
		Worker: w.name, Incarnation: w.inc, Service: "s", Slots: 8, Size: msg.Size{Cores: w.cores}, Revision: 8,
		ReleaseAfter: releaseAfter, Labels: w.labels, Settled: settled, Report: w.report(),
	}})
}

func (w *leasedWorker) report() msg.Slots {
	w.number++
	return msg.Slots{Room: msg.Size{Cores: w.cores}, Covers: w.covers, Number: w.number}
}

func (w *leasedWorker) send(m msg.FromAgent) {
	w.clock += time.Millisecond
	w.f.step(entry.Received{Link: w.link, Clock: w.clock, Message: m})
}

func (w *leasedWorker) end(d msg.Dispatch, kind msg.ResultKind) {
	w.covers = max(w.covers, d.Seq)
	w.send(msg.Result{Attempt: d.Attempt, Kind: kind, Report: w.report()})
}

func (f *fixture) submitSized(jobType string, cores float64, tasks int) uint64 {
	f.jobs++
	j := entry.Job{ID: f.jobs, Service: "s", JobType: jobType, Account: "a", Deadline: f.now.Add(10 * time.Second)}
	for range tasks {
		j.Tasks = append(j.Tasks, entry.Task{DeclaredSize: msg.Size{Cores: cores}, DeclaredRunTime: 100 * time.Millisecond})
	}
	f.step(entry.Submit{Job: j})
	return f.jobs
}

// dispatched returns the dispatches since the last call, by the link that they were sent
// on.
func (f *fixture) dispatched() map[entry.LinkID][]msg.Dispatch {
	found := make(map[entry.LinkID][]msg.Dispatch)
	for _, o := range f.out {
		if s, ok := o.(entry.Send); ok {
			if d, ok := s.Message.(msg.Dispatch); ok {
				found[s.Link] = append(found[s.Link], d)
			}
		}
	}
	f.out = nil
	return found
}

// Guards against a burst of patient jobs that takes every core that becomes free while the
// jobs with the least time to wait are refused, and against a large job at the head of the
// queue that blocks a smaller one.
func TestCoresAreReservedForUrgentJobs(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w1", 32)
	f.submitSized("patient", 2, 20)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 15)
	f.now = f.now.Add(tick)
	f.submitSized("urgent", 2, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
}

// Guards against a task that starts elsewhere while it may still run at a worker that
// cannot be reached, and against one that is never started again.
func TestUnreachableWorkerIsReleasedInTime(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w1", 32)
	f.submitSized("urgent", 3, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
	f.step(entry.LinkDown{Link: w.link})
	other := f.linkLeased("w2", 32)
	f.advance(releaseAfter - 2*tick)
	f.c.Assert(f.dispatched(), qt.HasLen, 0)
	f.advance(3 * tick)
	f.c.Assert(f.dispatched()[other.link], qt.HasLen, 1)
}

// Guards against a release time counted from when the entry sent a message, not from the
// agent clock that it echoed: the agent may get the message much later.
func TestHeartbeatsToSilentWorkerEchoItsLastClock(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w1", 32)
	f.submitSized("urgent", 3, 1)
	f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
	f.advance(time.Second + tick)
	for _, o := range f.out {
		s, _ := o.(entry.Send)
		if h, ok := s.Message.(msg.EntryHeartbeat); ok && s.Link == w.link {
			f.c.Check(h.EchoedClock, qt.Equals, w.clock)
		}
	}
}

// Guards against a task that starts elsewhere before the agent that replaced its own has
// stopped it, and against one that still waits afterwards.
func TestSuccessorSettlesAttempts(t *testing.T) {
	for _, settled := range []bool{false, true} {
		f := leasedFixture(t)
		w := f.linkLeased("w1", 32)
		f.submitSized("urgent", 3, 1)
		f.c.Assert(f.dispatched()[w.link], qt.HasLen, 1)
		w.inc, w.number, w.covers = 10, 0, 0
		w.connect(settled)
		f.advance(2 * tick)
		f.c.Check(len(f.dispatched()[w.link]) == 1, qt.Equals, settled)
		f.advance(releaseAfter)
		f.c.Check(len(f.dispatched()[w.link]) == 1, qt.Equals, !settled)
	}
}

// Guards against a second start of a task whose job type allows none, against a job that
// fails with attempts left, and against a verdict of "not run" for a task that was
// aborted.
func TestAttemptsAtLeasedWorkers(t *testing.T) {
	for _, test := range []struct {
		name, jobType string
		ends          []msg.ResultKind
		outcome       entry.Outcome
		reason        verdict.Reason
		verdict       verdict.Verdict
	}{
		{"aborted, then done", "urgent", []msg.ResultKind{msg.ResultAborted, msg.ResultOK}, entry.Complete, 0, verdict.Ran},
		{"failed, then done", "urgent", []msg.ResultKind{msg.ResultEndpointError, msg.ResultOK}, entry.Complete, 0, verdict.Ran},
		{"failed twice", "urgent", []msg.ResultKind{msg.ResultEndpointError, msg.ResultEndpointError}, entry.Failed, verdict.EndpointError, verdict.Ran},
		{"aborts are not counted", "urgent", []msg.ResultKind{msg.ResultAborted, msg.ResultAborted, msg.ResultEndpointError, msg.ResultOK}, entry.Complete, 0, verdict.Ran},
		{"aborted, and starts once", "once", []msg.ResultKind{msg.ResultAborted}, entry.Failed, verdict.WorkerLost, verdict.MayHaveRun},
		{"failed, and starts once", "once", []msg.ResultKind{msg.ResultEndpointError}, entry.Failed, verdict.EndpointError, verdict.Ran},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := leasedFixture(t)
			w := f.linkLeased("w1", 32)
			f.submitSized(test.jobType, 3, 1)
			for i, kind := range test.ends {
				d := f.dispatched()[w.link]
				f.c.Assert(d, qt.HasLen, 1, qt.Commentf("attempt %d", i))
				w.end(d[0], kind)
			}
			answers := f.answers()
			f.c.Assert(answers, qt.HasLen, 1)
			a := answers[0].Answer
			f.c.Check(a.Outcome, qt.Equals, test.outcome)
			f.c.Check(a.Reason, qt.Equals, test.reason)
			f.c.Check(a.Verdict, qt.Equals, test.verdict)
		})
	}
}

// Guards against a job that waits until its deadline although it can no longer meet its
// response target, and against a false "not run".
func TestJobThatCannotStartInTimeIsRefused(t *testing.T) {
	f := leasedFixture(t)
	f.linkLeased("w1", 2)
	f.submitSized("urgent", 3, 1)
	f.advance(200 * time.Millisecond)
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.WouldMissDeadline)
	f.c.Check(answers[0].Answer.Verdict, qt.Equals, verdict.NotRun)
}

// Guards against tasks that go on running after their caller has cancelled the job.
func TestCancelStopsRunningTasks(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w1", 32)
	job := f.submitSized("urgent", 3, 2)
	dispatches := f.dispatched()[w.link]
	f.step(entry.Cancel{Job: job})
	f.advance(tick)
	revokes := take[msg.Revoke](f)
	f.c.Assert(revokes, qt.HasLen, 1)
	f.c.Check(revokes[0].Stop, qt.IsTrue)
	f.c.Check(revokes[0].Attempts, qt.HasLen, len(dispatches))
}

// Guards against jobs that go on at an entry that was paused, while their callers may have
// resubmitted them to other entries.
func TestPausedEntryFailsItsJobs(t *testing.T) {
	f := leasedFixture(t)
	f.linkLeased("w1", 32)
	f.submitSized("urgent", 3, 1)
	f.advance(tick)
	f.out = nil
	f.now = f.now.Add(1500 * time.Millisecond)
	f.core.Tick(f.now)
	f.out = f.core.TakeOutputs()
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.EntryPaused)
	f.c.Check(answers[0].Answer.Verdict, qt.Equals, verdict.MayHaveRun)
}

// Guards against a second run of a task whose caller has sent its job to another entry while
// this process was paused: messages that wait at the end of the pause must not start tasks
// of the jobs from before it.
func TestPausedEntryStartsNothingOfEarlierJobs(t *testing.T) {
	f := leasedFixture(t)
	full := f.linkLeased("w1", 2)
	f.submitSized("urgent", 1, 1)
	running := f.dispatched()[full.link]
	f.c.Assert(running, qt.HasLen, 1)
	f.advance(tick)
	f.now = f.now.Add(1500 * time.Millisecond)
	full.end(running[0], msg.ResultAborted)
	out := f.out
	f.c.Check(f.dispatched(), qt.HasLen, 0)
	f.out = out
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.EntryPaused)
}

// Guards against a second run of a task whose job was read before a pause of this process and
// taken after it: the caller may have sent it to another entry.
func TestJobReadBeforeAPauseIsRefused(t *testing.T) {
	f := leasedFixture(t)
	f.linkLeased("w1", 32)
	job := entry.Job{
		ID: 1, Service: "s", JobType: "urgent", Account: "a", Deadline: f.now.Add(10 * time.Second), ReceivedAt: f.now,
		Tasks: []entry.Task{{DeclaredSize: msg.Size{Cores: 1}, DeclaredRunTime: 100 * time.Millisecond}},
	}
	f.now = f.now.Add(1500 * time.Millisecond)
	f.step(entry.Submit{Job: job})
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.EntryPaused)
	f.c.Check(answers[0].Answer.Verdict, qt.Equals, verdict.NotRun)
}

// Guards against a step that starts before the steps it comes after are done, on a worker
// without its label, or too often on one worker.
func TestStepConstraints(t *testing.T) {
	f := leasedFixture(t)
	plain, labelled := f.linkLeased("w1", 32, "a"), f.linkLeased("w2", 32, "b")
	task := entry.Task{DeclaredSize: msg.Size{Cores: 1}}
	after := task
	after.Step = 1
	f.step(entry.Submit{Job: entry.Job{
		ID: 1, Service: "s", JobType: "once", Account: "a", Deadline: f.now.Add(10 * time.Second),
		Tasks: []entry.Task{task, task, after},
		Steps: []entry.Step{{MaxPerWorker: 1}, {After: []int{0}, Requires: "b"}},
	}})
	first := f.dispatched()
	f.c.Assert(first[plain.link], qt.HasLen, 1)
	f.c.Assert(first[labelled.link], qt.HasLen, 1)
	labelled.end(first[labelled.link][0], msg.ResultOK)
	f.c.Assert(f.dispatched(), qt.HasLen, 0)
	plain.end(first[plain.link][0], msg.ResultOK)
	f.c.Assert(f.dispatched()[labelled.link], qt.HasLen, 1)
}

// Guards against a dispatch that does not say by which description its worker was chosen: the
// agent would start it after the worker has become another kind.
func TestDispatchNamesTheReportRead(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w1", 32)
	w.hello(false)
	f.out = nil
	f.submitSized("urgent", 3, 1)
	f.c.Check(f.dispatched()[w.link][0].Report, qt.Equals, w.number)
}
