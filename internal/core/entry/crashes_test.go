package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// hello sends the worker's description again, with crashes of it.
func (w *leasedWorker) hello(leaving bool, crashes ...msg.WorkerCrash) {
	report := w.report()
	if leaving {
		report.Room = msg.Size{}
	}
	w.send(msg.Hello{
		Worker: w.name, Incarnation: w.inc, Service: "s", Slots: 8, Size: msg.Size{Cores: w.cores}, Revision: 8,
		ReleaseAfter: releaseAfter, Labels: w.labels, Settled: true, Report: report, Leaving: leaving, Crashes: crashes,
	})
}

func crashOf(instance int64, ran time.Duration, dispatches ...msg.Dispatch) msg.WorkerCrash {
	crash := msg.WorkerCrash{Instance: instance}
	for _, d := range dispatches {
		crash.Tasks = append(crash.Tasks, msg.CrashedTask{Name: d.TaskName, JobType: d.JobType, RunTime: ran})
	}
	return crash
}

// crash ends the worker's instance under the given attempts.
func (w *leasedWorker) crash(instance int64, ran time.Duration, dispatches ...msg.Dispatch) {
	w.hello(true, crashOf(instance, ran, dispatches...))
	for _, d := range dispatches {
		w.end(d, msg.ResultAborted)
	}
}

// submitNamed submits a job whose tasks are named after it.
func (f *fixture) submitNamed(name, jobType string, cores float64, tasks int) uint64 {
	f.jobs++
	j := entry.Job{ID: f.jobs, Service: "s", JobType: jobType, Account: "a", Deadline: f.now.Add(10 * time.Second)}
	for i := range tasks {
		j.Tasks = append(j.Tasks, entry.Task{
			Name: fmt.Sprintf("%s.0.0.%d", name, i), DeclaredSize: msg.Size{Cores: cores}, DeclaredRunTime: 100 * time.Millisecond,
		})
	}
	f.step(entry.Submit{Job: j})
	return f.jobs
}

// Guards against a task that is started again and again although each worker that starts it
// crashes, until its caller's deadline.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := leasedFixture(t)
	f.submitNamed("deadly", "urgent", 3, 1)
	for i := range 2 {
		w := f.linkLeased(fmt.Sprint("w", i), 32)
		d := f.dispatched()[w.link]
		f.c.Assert(d, qt.HasLen, 1, qt.Commentf("start %d", i+1))
		f.c.Assert(d[0].JobType, qt.Equals, "urgent")
		w.crash(1, 10*time.Millisecond, d[0])
	}
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Outcome, qt.Equals, entry.Failed)
	f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.WorkerCrashed)
	f.c.Check(answers[0].Answer.Verdict, qt.Equals, verdict.MayHaveRun)
	f.out = nil
	f.linkLeased("w3", 32)
	f.advance(time.Second)
	f.c.Check(f.dispatched(), qt.HasLen, 0)
}

// Guards against a job that is given up because it shared one crash with the task that
// caused it, or because a worker crashed under its start before it had answered.
func TestTaskThatSharedACrashStartsAgain(t *testing.T) {
	f := leasedFixture(t)
	f.submitNamed("sound", "urgent", 3, 1)
	w := f.linkLeased("w1", 32)
	d := f.dispatched()[w.link]
	w.crash(1, 10*time.Millisecond, d[0])
	other := f.linkLeased("w2", 32)
	d = f.dispatched()[other.link]
	f.c.Assert(d, qt.HasLen, 1)
	crash := crashOf(1, 0, d[0])
	crash.Tasks[0].Unconfirmed = true
	other.hello(true, crash)
	other.end(d[0], msg.ResultAborted)
	third := f.linkLeased("w3", 32)
	d = f.dispatched()[third.link]
	f.c.Assert(d, qt.HasLen, 1)
	third.end(d[0], msg.ResultOK)
	f.c.Check(f.answers()[0].Answer.Outcome, qt.Equals, entry.Complete)
}

// Guards against a job that is sent again, to another entry or one that was restarted, and
// whose task crashes as many workers again.
func TestResentJobIsGivenUp(t *testing.T) {
	f := leasedFixture(t)
	for i := range 2 {
		w := f.linkLeased(fmt.Sprint("w", i), 32)
		w.hello(false, crashOf(1, time.Millisecond, msg.Dispatch{TaskName: "deadly.0.0.0", JobType: "urgent"}))
	}
	f.out = nil
	f.submitNamed("deadly", "urgent", 3, 1)
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.WorkerCrashed)
	f.c.Check(f.dispatched(), qt.HasLen, 0)
}

// Guards against a task that waits at this entry while workers crash under it at another,
// and is started nevertheless.
func TestQueuedTaskIsGivenUp(t *testing.T) {
	f := leasedFixture(t)
	f.submitNamed("deadly", "urgent", 3, 1)
	for i := range 2 {
		w := f.linkLeased(fmt.Sprint("w", i), 1)
		w.hello(false, crashOf(1, time.Millisecond, msg.Dispatch{TaskName: "deadly.0.0.0", JobType: "urgent"}))
	}
	answers := f.answers()
	f.c.Assert(answers, qt.HasLen, 1)
	f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.WorkerCrashed)
}

// Guards against several tasks that may have crashed a worker starting again at one other
// worker, so that one of them crashes it under all.
func TestSuspectsRunApart(t *testing.T) {
	f := leasedFixture(t)
	f.submitNamed("a", "urgent", 1, 3)
	w := f.linkLeased("w", 32)
	d := f.dispatched()[w.link]
	f.c.Assert(d, qt.HasLen, 3)
	others := []*leasedWorker{f.linkLeased("x", 32), f.linkLeased("y", 32)}
	w.crash(1, 10*time.Millisecond, d...)
	again := f.dispatched()
	for _, o := range others {
		f.c.Assert(again[o.link], qt.HasLen, 1)
	}
	others[0].end(again[others[0].link][0], msg.ResultOK)
	f.c.Assert(f.dispatched()[others[0].link], qt.HasLen, 1)
}

// confine has workers crash, one after the other, under tasks of the patient job type at the
// same point of their runs.
func (f *fixture) confine(workers []*leasedWorker) {
	for i, w := range workers {
		f.advance(300 * time.Millisecond)
		for _, o := range workers {
			o.hello(false)
		}
		w.hello(false, crashOf(int64(i), 10*time.Millisecond, msg.Dispatch{TaskName: fmt.Sprint("deadly", i), JobType: "patient"}))
	}
}

// Guards against a job type with deadly tasks that takes every worker out of use, and the
// tasks of other jobs with it, and against one that is refused altogether or that stays
// confined.
func TestDeadlyJobTypeLeavesMostWorkersAlone(t *testing.T) {
	f := leasedFixture(t)
	var workers []*leasedWorker
	for i := range 9 {
		workers = append(workers, f.linkLeased(fmt.Sprint("w", i), 32))
	}
	f.confine(workers)
	var confined []entry.JobTypeConfined
	for _, o := range f.out {
		if j, ok := o.(entry.JobTypeConfined); ok {
			confined = append(confined, j)
		}
	}
	f.c.Assert(confined, qt.DeepEquals, []entry.JobTypeConfined{{Service: "s", JobType: "patient", Confined: true}})
	f.out = nil
	f.submitNamed("p", "patient", 8, 8)
	cell := f.dispatched()
	f.c.Assert(cell, qt.HasLen, 3)
	f.submitNamed("u", "urgent", 8, 12)
	for link := range f.dispatched() {
		f.c.Check(cell[link], qt.HasLen, 0, qt.Commentf("an urgent task shares a worker with those that may crash it"))
	}
	for range 12 {
		f.advance(500 * time.Millisecond)
		for _, w := range workers {
			w.hello(false)
		}
	}
	f.out = nil
	f.submitNamed("q", "patient", 8, 30)
	f.c.Assert(len(f.dispatched()) > 3, qt.IsTrue)
}

// Guards against a confined job type whose workers are whole racks of a few failure domains,
// because the order of the workers follows the last digits of their names.
func TestConfinedWorkersAreSpread(t *testing.T) {
	for naming, name := range map[string]func(rack, i int) string{
		"domain, rack and number": func(rack, i int) string { return fmt.Sprintf("zone-%c-rack-%d-vm-%02d", 'a'+rack/2, rack, i%10) },
		"one number":              func(_, i int) string { return fmt.Sprint("worker-", i) },
	} {
		f := leasedFixture(t)
		var workers []*leasedWorker
		racks := make(map[entry.LinkID]int)
		for i := range 60 {
			rack := i / 10
			w := f.linkLeased(name(rack, i), 32)
			workers, racks[w.link] = append(workers, w), rack
		}
		f.confine(workers)
		f.out = nil
		f.submitNamed("p", "patient", 8, 60)
		cell := f.dispatched()
		f.c.Assert(cell, qt.HasLen, 20)
		inRack, inDomain := make([]int, 6), make([]int, 3)
		for link := range cell {
			inRack[racks[link]]++
			inDomain[racks[link]/2]++
		}
		f.c.Check(slices.Min(inRack) >= 1 && slices.Max(inRack) <= 7, qt.IsTrue, qt.Commentf("%s: %v in each rack", naming, inRack))
		f.c.Check(slices.Min(inDomain) >= 3, qt.IsTrue, qt.Commentf("%s: %v in each failure domain", naming, inDomain))
	}
}

// Guards against a job type with deadly tasks that spreads to all workers whenever those that
// it may use have crashed, restarted and not yet announced themselves.
func TestConfinedJobsWaitForRestartedWorkers(t *testing.T) {
	f := leasedFixture(t)
	var workers []*leasedWorker
	for i := range 9 {
		workers = append(workers, f.linkLeased(fmt.Sprint("w", i), 32))
	}
	f.confine(workers)
	f.out = nil
	f.submitNamed("p", "patient", 8, 30)
	cell := f.dispatched()
	f.c.Assert(cell, qt.HasLen, 3)
	for _, w := range workers {
		if cell[w.link] != nil {
			w.number++
			w.send(msg.Hello{
				Worker: w.name, Incarnation: w.inc, Service: "s", Revision: 8, ReleaseAfter: releaseAfter,
				Settled: true, Report: msg.Slots{Number: w.number}, Leaving: true,
			})
		}
	}
	f.advance(100 * time.Millisecond)
	f.c.Check(f.dispatched(), qt.HasLen, 0)
}

// Guards against jobs that are refused for want of room while those of a confined job type
// wait for theirs.
func TestConfinedBacklogRefusesNoOtherJobs(t *testing.T) {
	f := leasedFixture(t)
	var workers []*leasedWorker
	for i := range 9 {
		workers = append(workers, f.linkLeased(fmt.Sprint("w", i), 32))
	}
	f.confine(workers)
	for i := range 40 {
		f.submitNamed(fmt.Sprint("p", i), "patient", 8, 4)
		f.advance(tick)
	}
	f.out = nil
	job := f.submitNamed("u", "urgent", 8, 4)
	f.c.Assert(f.dispatched(), qt.Not(qt.HasLen), 0)
	for _, a := range f.answers() {
		f.c.Check(a.Job, qt.Not(qt.Equals), job)
	}
}

// Guards against a worker that is back after a crash and gets trial tasks only, for seconds,
// because its silence counted as slowness.
func TestCrashIsNotSlowness(t *testing.T) {
	f := leasedFixture(t)
	w := f.linkLeased("w", 32)
	f.submitNamed("a", "urgent", 3, 1)
	f.submitNamed("b", "urgent", 3, 1)
	d := f.dispatched()[w.link]
	f.c.Assert(d, qt.HasLen, 2)
	f.advance(300 * time.Millisecond)
	w.hello(true, crashOf(1, 10*time.Millisecond, d...))
	f.advance(900 * time.Millisecond)
	for _, a := range d {
		w.end(a, msg.ResultAborted)
	}
	f.linkLeased("x", 32)
	f.advance(100 * time.Millisecond)
	w.hello(false)
	f.out = nil
	f.submitNamed("c", "urgent", 8, 8)
	f.c.Assert(len(f.dispatched()[w.link]) >= 2, qt.IsTrue)
}
