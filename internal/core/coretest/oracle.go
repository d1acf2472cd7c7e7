package coretest

import (
	"bytes"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

var namespace = errorx.NewNamespace("coretest")

// ErrGuaranteeViolated means that a run violated a guarantee to callers or
// endpoints.
var ErrGuaranteeViolated = errorx.NewType(namespace, "promise_broken")

// ErrPanic means that a core panicked for another reason than a violated
// invariant.
var ErrPanic = errorx.NewType(namespace, "panic")

// Result counts what happened in a run.
type Result struct {
	// Trace is a hash of every event in order.
	Trace     uint64
	Submitted int
	Refused   int
	Complete  int
	Failed    map[verdict.Verdict]int
	Abandoned int
	Starts    int
	Retries   int
	Conflicts int
	// Faults counts the injected faults.
	Faults int
}

type jobKey struct {
	inc msg.Incarnation
	id  uint64
}

type taskKey struct {
	job  jobKey
	task uint32
}

type jobRecord struct {
	key      jobKey
	spec     entry.Job
	answered bool
	notRun   bool
	// abandoned is set when the entry crashed before the answer.
	abandoned bool
}

// oracle checks the guarantees from outside the cores.
type oracle struct {
	w           *world
	jobs        map[jobKey]*jobRecord
	submissions []*jobRecord
	starts      map[taskKey]int
	result      Result
	err         error
}

func newOracle(w *world) *oracle {
	return &oracle{
		w: w, jobs: make(map[jobKey]*jobRecord), starts: make(map[taskKey]int),
		result: Result{Failed: make(map[verdict.Verdict]int)},
	}
}

// fail records a violated guarantee; the first one is the error of the run.
func (o *oracle) fail(format string, args ...any) {
	if o.err == nil {
		o.err = ErrGuaranteeViolated.New("at %s: "+format, append([]any{o.w.now.Sub(o.w.start)}, args...)...)
		o.w.logf("FAIL %v", o.err)
	}
}

func (o *oracle) submitted(inc msg.Incarnation, spec entry.Job) {
	r := &jobRecord{key: jobKey{inc, spec.ID}, spec: spec}
	o.jobs[r.key] = r
	o.submissions = append(o.submissions, r)
	o.result.Submitted++
}

func (o *oracle) entryCrashed(inc msg.Incarnation) {
	for _, r := range o.submissions {
		if r.key.inc == inc && !r.answered && !r.abandoned {
			r.abandoned = true
			o.result.Abandoned++
		}
	}
}

func (o *oracle) started(s agent.Start, hasLeft bool) {
	key := taskKey{jobKey{s.Attempt.Entry, s.Attempt.Job}, s.Attempt.Task}
	o.starts[key]++
	o.result.Starts++
	r := o.jobs[key.job]
	switch {
	case r == nil:
		o.fail("%s starts for a job that was not submitted", s.Name)
	case o.starts[key] > 1:
		o.fail("%s is start number %d of its task", s.Name, o.starts[key])
	case r.notRun:
		o.fail("%s starts after its job was answered not run", s.Name)
	case hasLeft:
		o.fail("%s starts after the endpoint or the agent has left", s.Name)
	case !bytes.Equal(s.Payload, payload(s.Attempt.Entry, s.Attempt.Job, s.Attempt.Task)):
		o.fail("%s carries the payload %q", s.Name, s.Payload)
	}
}

func (o *oracle) progress(inc msg.Incarnation, p entry.Progress) {
	r := o.jobs[jobKey{inc, p.Job}]
	if r == nil || r.answered || !r.spec.Progress {
		o.fail("unexpected progress of job %d of entry %x", p.Job, uint64(inc))
		return
	}
	if sum := p.Queued + p.Running + p.Finished; sum > len(r.spec.Tasks) {
		o.fail("progress of job %d counts %d of %d tasks", p.Job, sum, len(r.spec.Tasks))
	}
}

func (o *oracle) answered(inc msg.Incarnation, out entry.Answered) {
	r := o.jobs[jobKey{inc, out.Job}]
	o.w.logf("entry %x answers job %d: %d %s %s", uint64(inc), out.Job, out.Answer.Outcome, out.Answer.Verdict, out.Answer.Reason)
	if r == nil || r.answered {
		o.fail("job %d of entry %x is answered twice or was not submitted", out.Job, uint64(inc))
		return
	}
	r.answered = true
	switch out.Answer.Outcome {
	case entry.Complete:
		o.result.Complete++
		o.checkComplete(r, out.Answer)
	case entry.Refused:
		o.result.Refused++
		if out.Answer.Verdict != verdict.NotRun {
			o.fail("job %d is refused with the verdict %s", out.Job, out.Answer.Verdict)
		}
	default:
		o.result.Failed[out.Answer.Verdict]++
	}
	if len(out.Answer.Results) > 0 && out.Answer.Outcome != entry.Complete {
		o.fail("job %d failed and has results", out.Job)
	}
	if out.Answer.Verdict == verdict.NotRun {
		r.notRun = true
		o.checkNotRun(r)
	}
}

func (o *oracle) checkComplete(r *jobRecord, a entry.Answer) {
	if len(a.Results) != len(r.spec.Tasks) {
		o.fail("job %d has %d results for %d tasks", r.key.id, len(a.Results), len(r.spec.Tasks))
		return
	}
	for i, result := range a.Results {
		if !bytes.Equal(result.Payload, r.spec.Tasks[i].Payload) {
			o.fail("task %d of job %d has the result %q", i, r.key.id, result.Payload)
		}
		if starts := o.starts[taskKey{r.key, uint32(i)}]; starts != 1 {
			o.fail("task %d of the complete job %d started %d times", i, r.key.id, starts)
		}
	}
}

func (o *oracle) checkNotRun(r *jobRecord) {
	for i := range r.spec.Tasks {
		if o.starts[taskKey{r.key, uint32(i)}] > 0 {
			o.fail("job %d is answered not run, but its task %d started", r.key.id, i)
		}
	}
}

// checkEnded checks that every job has its answer unless its entry crashed.
func (o *oracle) checkEnded() {
	for _, r := range o.submissions {
		if !r.answered && !r.abandoned {
			o.fail("job %d of entry %x has no answer at the end", r.key.id, uint64(r.key.inc))
		}
	}
}
