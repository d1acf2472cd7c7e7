package bench

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarlever/poplarlever/internal/linkpb"
)

// promptGrantsPerDispatch is GrantsPerDispatch of the policy held-prompt.
const promptGrantsPerDispatch = 0.15

// policies are the names of the policies for the choice of worker and the order
// of tasks. held-prompt spends more messages on passing slots between entries.
var policies = []string{"held", "held-prompt"}

// Policies returns the names of the policies.
func Policies() []string { return slices.Clone(policies) }

// propagationTimeout bounds the wait until all agents follow a new revision.
const propagationTimeout = 10 * time.Second

// benchRun is the state of one run.
type benchRun struct {
	options         Options
	config          *traceConfig
	scenarios       []scenario
	jobs            []traceJob
	fleet           *fleet
	callers         *callers
	startedAt       time.Time
	endedAt         time.Time
	firstErr        atomic.Pointer[error]
	propagationTime time.Duration
	// The message tallies at the start of the trace.
	entryTalliesBefore, agentTalliesBefore []linkpb.Tally
}

// Run executes one run and returns its figures. It writes human-readable notes
// to w.
func Run(o Options, w io.Writer) (Result, error) {
	r, err := newBenchRun(o)
	if err != nil {
		return Result{}, err
	}
	if r.fleet, err = startFleet(o, r.config); err != nil {
		return Result{}, err
	}
	defer r.fleet.close()
	if err := r.calibrateDelay(w); err != nil {
		return Result{}, err
	}
	r.callers = newCallers(r.fleet, len(r.jobs))
	r.callers.warmUp()
	r.replayTrace()
	if failed := r.firstErr.Load(); failed != nil {
		return Result{}, *failed
	}
	return r.buildResult(w), nil
}

// Validate returns an error when an option is invalid.
func (o Options) Validate() error {
	if !slices.Contains(policies, o.Policy) {
		return fmt.Errorf("unknown policy %q", o.Policy)
	}
	if o.Entries < 1 || o.Workers < 1 || o.Slots < 1 || o.Accounts < 1 || o.Duration <= 0 || o.Load < 0 {
		return fmt.Errorf("entries, workers, slots, accounts and duration must be positive, load must not be negative")
	}
	_, err := parseScenarioName(o.Scenario)
	return err
}

func newBenchRun(o Options) (*benchRun, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	parts, err := parseScenarioName(o.Scenario)
	if err != nil {
		return nil, err
	}
	r := &benchRun{options: o, config: newTraceConfig(o), scenarios: parts}
	for _, s := range parts {
		if s.configure != nil {
			s.configure(r.config)
		}
	}
	if o.Load > 0 {
		r.config.load = o.Load
	}
	r.jobs = r.config.generate()
	return r, nil
}

// replayTrace sends the trace, injects the faults and waits for all answers.
func (r *benchRun) replayTrace() {
	r.entryTalliesBefore, r.agentTalliesBefore = r.fleet.counter.FromEntry(), r.fleet.counter.FromAgent()
	r.startedAt = time.Now()
	var group sync.WaitGroup
	for _, s := range r.scenarios {
		for _, f := range s.faults {
			group.Go(func() {
				r.sleepUntil(time.Duration(f.at * float64(r.options.Duration)))
				f.inject(r)
			})
		}
	}
	group.Go(func() {
		r.sleepUntil(r.options.Duration / 2)
		r.propagationTime = r.fleet.propagatePolicy(propagationTimeout)
	})
	for i := range r.jobs {
		j := &r.jobs[i]
		r.sleepUntil(j.arrival)
		group.Go(func() { r.callers.submit(j) })
	}
	group.Wait()
	r.endedAt = time.Now()
}

// recordError keeps the first error of the bench itself, which makes the run
// invalid.
func (r *benchRun) recordError(err error) {
	if err != nil {
		r.firstErr.CompareAndSwap(nil, &err)
	}
}

func (r *benchRun) sleepUntil(offset time.Duration) { time.Sleep(time.Until(r.startedAt.Add(offset))) }
