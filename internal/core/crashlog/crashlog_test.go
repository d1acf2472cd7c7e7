package crashlog_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/crashlog"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

var start = time.Unix(1000, 0)

func crashOf(instance int64, tasks ...msg.CrashedTask) msg.WorkerCrash {
	return msg.WorkerCrash{Instance: instance, Tasks: tasks}
}

// Guards against a task that is started again and again although workers crash under it,
// against giving up one that shared a single crash, and against counting a crash twice or
// one under which the task may not have started.
func TestTaskIsGivenUpAfterTwoCrashes(t *testing.T) {
	c := qt.New(t)
	var l crashlog.Log
	task := msg.CrashedTask{Name: "a", JobType: "quote", RunTime: time.Millisecond}
	c.Check(l.Suspect("a"), qt.IsFalse)
	l.Crashed(start, "s", "w1", crashOf(1, task))
	l.Crashed(start, "s", "w1", crashOf(1, task))
	c.Check(l.Suspect("a"), qt.IsTrue)
	c.Check(l.GiveUp("a"), qt.IsFalse)
	l.Crashed(start, "s", "w1", crashOf(2, task))
	c.Check(l.GiveUp("a"), qt.IsTrue)
	l.Expire(start.Add(time.Minute))
	c.Check(l.Suspect("a"), qt.IsFalse)

	task.Name, task.Unconfirmed = "b", true
	for i, want := range []bool{false, false, true} {
		l.Crashed(start.Add(time.Hour), "s", "w1", crashOf(int64(10+i), task))
		c.Check(l.GiveUp("b"), qt.Equals, want, qt.Commentf("crash %d", i+1))
	}
}

// traffic draws the tasks that run at a worker at a random moment: three job types with
// different rates and run times, whose tasks start in bursts of one job.
type traffic struct{ rng *rand.Rand }

func (tr traffic) running(next func() string) []msg.CrashedTask {
	var tasks []msg.CrashedTask
	for _, job := range []struct {
		name  string
		perS  float64
		burst int
		lasts time.Duration
	}{{"quote", 3, 4, 60 * time.Millisecond}, {"settle", 0.6, 2, 900 * time.Millisecond}, {"offer", 9, 1, 200 * time.Millisecond}} {
		for at := 0.0; ; {
			at += tr.rng.ExpFloat64() / job.perS
			ran := time.Duration(at * float64(time.Second))
			if ran > 3*job.lasts {
				break
			}
			for range job.burst {
				if lasts := time.Duration(float64(job.lasts) * (0.5 + tr.rng.Float64())); ran < lasts {
					tasks = append(tasks, msg.CrashedTask{Name: next(), JobType: job.name, RunTime: ran})
				}
			}
		}
	}
	return tasks
}

// crashes records crashes with, if deadly is set, a task of that type which has run for
// about the given time. It returns the number of the crash at which a type was confined, and
// the type.
func (tr traffic) crashes(n int, deadly string, after time.Duration) (int, string) {
	var l crashlog.Log
	serial := 0
	next := func() string { serial++; return fmt.Sprint(serial) }
	for i := range n {
		tasks := tr.running(next)
		if deadly != "" {
			ran := time.Duration(float64(after) * (0.95 + 0.1*tr.rng.Float64()))
			tasks = append(tasks, msg.CrashedTask{Name: next(), JobType: deadly, RunTime: ran})
		}
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		for _, j := range l.Crashed(now, "s", fmt.Sprint("w", i%11), crashOf(int64(i), tasks...)) {
			return i + 1, j.Name
		}
	}
	return 0, ""
}

// Guards against one job type whose tasks crash worker after worker without being found,
// and against taking another one for the cause.
func TestDeadlyJobTypeIsConfined(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name  string
		after time.Duration
	}{{"quote", 10 * time.Millisecond}, {"quote", 40 * time.Millisecond}, {"settle", 10 * time.Millisecond}, {"settle", 500 * time.Millisecond}, {"offer", 10 * time.Millisecond}} {
		found, wrong, sum := 0, 0, 0
		const runs = 200
		for seed := range uint64(runs) {
			tr := traffic{rand.New(rand.NewPCG(seed, 1))}
			switch at, name := tr.crashes(12, test.name, test.after); {
			case name == test.name:
				found++
				sum += at
			case name != "":
				wrong++
			}
		}
		t.Logf("%s after %v: found in %d of %d at crash %.1f, another type in %d", test.name, test.after, found, runs, float64(sum)/float64(max(1, found)), wrong)
		c.Check(found >= runs*9/10, qt.IsTrue, qt.Commentf("%s after %v: found in %d", test.name, test.after, found))
		c.Check(wrong <= runs/20, qt.IsTrue, qt.Commentf("%s after %v: another type in %d", test.name, test.after, wrong))
	}
}

// Guards against confining a job type although workers crash for reasons of their own.
func TestUnrelatedCrashesConfineNothing(t *testing.T) {
	c := qt.New(t)
	wrong := 0
	const runs = 200
	for seed := range uint64(runs) {
		tr := traffic{rand.New(rand.NewPCG(seed, 2))}
		if _, name := tr.crashes(8, "", 0); name != "" {
			wrong++
		}
	}
	t.Logf("confined in %d of %d", wrong, runs)
	c.Check(wrong <= runs/20, qt.IsTrue, qt.Commentf("%d of %d", wrong, runs))
}

// Guards against a second job type that is confined because its tasks run wherever those of
// the first crash workers.
func TestExplainedCrashesConfineNoOtherType(t *testing.T) {
	c := qt.New(t)
	wrong := 0
	const runs = 200
	for seed := range uint64(runs) {
		tr := traffic{rand.New(rand.NewPCG(seed, 3))}
		var l crashlog.Log
		serial := 0
		next := func() string { serial++; return fmt.Sprint(serial) }
		for i := range 30 {
			tasks := append(tr.running(next), msg.CrashedTask{Name: next(), JobType: "quote", RunTime: 10 * time.Millisecond})
			l.Crashed(start.Add(time.Duration(i)*300*time.Millisecond), "s", fmt.Sprint("w", i%11), crashOf(int64(i), tasks...))
		}
		if l.Confined(crashlog.JobType{Service: "s", Name: "offer"}) || l.Confined(crashlog.JobType{Service: "s", Name: "settle"}) {
			wrong++
		}
	}
	t.Logf("another type is confined in %d of %d", wrong, runs)
	c.Check(wrong <= runs/20, qt.IsTrue, qt.Commentf("%d of %d", wrong, runs))
}

// Guards against a job type that stays confined after its last deadly task, or is released
// while workers go on to crash under its tasks.
func TestConfinementEnds(t *testing.T) {
	c := qt.New(t)
	var l crashlog.Log
	now := start
	quote := crashlog.JobType{Service: "s", Name: "quote"}
	crash := func(i int64) {
		l.Crashed(now, "s", fmt.Sprint("w", i), crashOf(i, msg.CrashedTask{Name: fmt.Sprint(i), JobType: "quote", RunTime: 10 * time.Millisecond}))
	}
	for i := range int64(6) {
		now = now.Add(300 * time.Millisecond)
		crash(i)
	}
	c.Assert(l.Confined(quote), qt.IsTrue)
	c.Assert(l.Confining("s"), qt.IsTrue)
	c.Assert(l.Confining("other"), qt.IsFalse)
	now = now.Add(4 * time.Second)
	crash(7)
	now = now.Add(4 * time.Second)
	c.Assert(l.Expire(now), qt.HasLen, 0)
	now = now.Add(2 * time.Second)
	c.Assert(l.Expire(now), qt.DeepEquals, []crashlog.JobType{quote})
	c.Assert(l.Confined(quote), qt.IsFalse)
}

// Guards against confining a job type because workers that share a rack crash at the same
// moment: tasks of one job, started together at several of them, have run for the same time.
func TestCrashesAtTheSameMomentConfineNothing(t *testing.T) {
	c := qt.New(t)
	wrong := 0
	const runs = 200
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 4))
		tr := traffic{rng}
		var l crashlog.Log
		serial := 0
		next := func() string { serial++; return fmt.Sprint(serial) }
		shared := time.Duration(5+rng.IntN(50)) * time.Millisecond
		job := next()
		for i := range 4 {
			tasks := append(tr.running(next), msg.CrashedTask{Name: fmt.Sprintf("%s.%d", job, i), JobType: "quote", RunTime: shared})
			reported := start.Add(time.Duration(rng.IntN(45)) * time.Millisecond)
			if len(l.Crashed(reported, "s", fmt.Sprint("w", i), crashOf(int64(i), tasks...))) > 0 {
				wrong++
				break
			}
		}
	}
	t.Logf("confined in %d of %d", wrong, runs)
	c.Check(wrong <= runs/20, qt.IsTrue, qt.Commentf("%d of %d", wrong, runs))
}
