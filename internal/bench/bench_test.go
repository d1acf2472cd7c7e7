package bench

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

func defaultOptions() Options {
	return Options{
		Scenario: "steady", Policy: "held", Seed: 1, Entries: 3, Workers: 11, Slots: 8,
		Accounts: 1, Duration: 20 * time.Second,
	}
}

// Guards against a trace whose offered work differs from the load, which would
// make figures at "load 0.95" mean something else.
func TestTraceMatchesOfferedLoad(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		o := defaultOptions()
		o.Seed = seed
		config := newTraceConfig(o)
		jobs := config.generate()
		var work, largest time.Duration
		last := time.Duration(0)
		for _, j := range jobs {
			c.Assert(j.arrival >= last, qt.IsTrue)
			c.Assert(len(j.tasks) >= 1 && len(j.tasks) <= maxJobTasks, qt.IsTrue)
			last = j.arrival
			work += j.slotTime()
			largest = max(largest, j.slotTime())
		}
		span := float64(work) / (config.load * float64(o.Workers*o.Slots))
		c.Check(float64(last) <= span, qt.IsTrue)
		c.Check(work-largest < time.Duration(config.load*float64(o.Workers*o.Slots)*float64(o.Duration)), qt.IsTrue)
	}
}

// Guards against a trace that depends on anything but its seed.
func TestTraceIsDeterministic(t *testing.T) {
	c := qt.New(t)
	for _, name := range Scenarios() {
		o := defaultOptions()
		o.Scenario = name + "+high"
		first, err := newBenchRun(o)
		c.Assert(err, qt.IsNil)
		second, err := newBenchRun(o)
		c.Assert(err, qt.IsNil)
		c.Check(len(first.jobs), qt.Equals, len(second.jobs))
		for i := range first.jobs {
			c.Assert(first.jobs[i].arrival, qt.Equals, second.jobs[i].arrival)
			c.Assert(first.jobs[i].slotTime(), qt.Equals, second.jobs[i].slotTime())
		}
	}
}

// Guards against a baseline that leaves slots idle, adds costs other than the
// network's, or serves a larger job before a smaller one.
func TestCentralQueueServesFewestUnfinishedFirst(t *testing.T) {
	c := qt.New(t)
	second := time.Second
	fixed := 2*callerDelay + 2*domainDelay
	one := simulateCentralQueue([]queuedJob{{index: 0, runTimes: []time.Duration{second, second}}}, 2, fewestUnfinishedFirst)
	c.Check(one[0], qt.Equals, second+fixed)
	jobs := []queuedJob{
		{index: 0, runTimes: []time.Duration{second, second, second}},
		{index: 1, sent: time.Millisecond, runTimes: []time.Duration{second}},
	}
	turn := second + 2*domainDelay
	best := simulateCentralQueue(jobs, 1, fewestUnfinishedFirst)
	c.Check(best[1], qt.Equals, 2*turn-time.Millisecond+2*callerDelay)
	c.Check(best[0], qt.Equals, 4*turn+2*callerDelay)
	arrival := simulateCentralQueue(jobs, 1, byArrival)
	c.Check(arrival[0], qt.Equals, 3*turn+2*callerDelay)
}

// Guards against a share error computed against the wrong due share, or in a
// window in which an account has nothing to run.
func TestShareError(t *testing.T) {
	c := qt.New(t)
	r := &benchRun{config: &traceConfig{weights: []float64{1, 3}, maxRunning: []int{0, 0}}}
	window := interval{0, 10 * time.Second}
	whole := []interval{window}
	runs := [][]interval{{window}, {window}}
	c.Check(r.shareError(window, runs, [][]interval{whole, whole}), qt.Equals, 1.0)
	c.Check(r.shareError(window, [][]interval{{window}, {window, window, window}}, [][]interval{whole, whole}), qt.Equals, 0.0)
	c.Check(r.shareError(window, runs, [][]interval{whole, {{time.Second, 10 * time.Second}}}), qt.Equals, 0.0)
	c.Check(maxOverlap([]interval{{0, 2}, {1, 3}, {2, 4}}), qt.Equals, 2)
}

// Guards against a partial answer, a second start of a task or a false "not run"
// in a small system while links are reset and jobs are cancelled.
func TestRunKeepsGuarantees(t *testing.T) {
	if testing.Short() {
		t.Skip("runs daemons for some seconds")
	}
	c := qt.New(t)
	o := Options{
		Scenario: "steady+connection-resets+cancel-wave", Policy: "held", Seed: 1, Entries: 2, Workers: 3, Slots: 4,
		Accounts: 1, Duration: 2 * time.Second, TaskTime: 20 * time.Millisecond,
	}
	result, err := Run(o, io.Discard)
	c.Assert(err, qt.IsNil)
	c.Check(result.Complete+result.Failed+result.Refused, qt.Equals, result.Jobs)
	c.Check(result.Complete > 0, qt.IsTrue)
	c.Check(result.Partial, qt.Equals, 0)
	c.Check(result.DoubleStarts, qt.Equals, 0)
	c.Check(result.NotRunViolations, qt.Equals, 0)
}

// Guards against answers that violate a guarantee and are counted as correct.
func TestViolationsAreCounted(t *testing.T) {
	c := qt.New(t)
	jobs := []traceJob{{tasks: make([]traceTask, 2)}}
	result := func(task int) *pb.TaskResult { return &pb.TaskResult{Payload: payload{id: taskID{0, task}}.encode()} }
	check := func(answer *pb.SubmitResponse, starts ...taskStart) (out Result) {
		r := &benchRun{jobs: jobs, callers: &callers{outcomes: []outcome{{answer: answer}}}, fleet: &fleet{recorder: newRecorder()}}
		r.countAnswer(&out, 0, starts)
		return out
	}
	complete := func(results ...*pb.TaskResult) *pb.SubmitResponse {
		return &pb.SubmitResponse{JobId: jobName(0), Outcome: pb.Outcome_OUTCOME_COMPLETE, Results: results}
	}
	notRun := &pb.SubmitResponse{
		Outcome: pb.Outcome_OUTCOME_FAILED, Failure: &pb.Failure{Verdict: pb.Verdict_VERDICT_NOT_RUN},
	}
	c.Check(check(complete(result(0), result(1))), qt.Equals, Result{Complete: 1})
	c.Check(check(complete(result(0))), qt.Equals, Result{Complete: 1, Partial: 1})
	c.Check(check(complete(result(1), result(0))), qt.Equals, Result{Complete: 1, Partial: 1})
	c.Check(check(notRun), qt.Equals, Result{Failed: 1})
	c.Check(check(notRun, taskStart{id: taskID{0, 1}}), qt.Equals, Result{Failed: 1, NotRunViolations: 1})
	c.Check(check(nil, taskStart{}, taskStart{}, taskStart{}), qt.Equals, Result{Failed: 1, DoubleStarts: 2})
}
