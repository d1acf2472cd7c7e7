package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// scenario changes the trace and injects faults into the fleet at given times.
type scenario struct {
	name      string
	configure func(c *traceConfig)
	faults    []fault
}

// fault is injected at a fraction of the run's duration.
type fault struct {
	at     float64
	inject func(r *benchRun)
}

const (
	// pauseDuration is longer than SuspectAfter and shorter than LostAfter, so that
	// a paused worker is suspected and not given up.
	pauseDuration = 5 * time.Second
	// replacementDelay is how long the platform takes to replace a dead worker.
	replacementDelay = 5 * time.Second
	// stragglerFactor multiplies the run time of a task on a straggler.
	stragglerFactor = 4
	// poisonFraction is the fraction of the jobs that always fail.
	poisonFraction = 0.02
	// cancelFraction is the fraction of the jobs in progress that a wave cancels.
	cancelFraction = 0.5
	// skewFraction is the fraction of the jobs at the first entry.
	skewFraction = 0.8
	// declaredErrorDecades is the largest error of declared run times in powers of
	// ten, in either direction.
	declaredErrorDecades = 2
)

func withLoad(load float64) func(*traceConfig) {
	return func(c *traceConfig) { c.load = load }
}

var scenarios = []scenario{
	{name: "steady"},
	{name: "high", configure: withLoad(0.95)},
	{name: "overload-2x", configure: withLoad(2)},
	{name: "burst", configure: func(c *traceConfig) { c.transforms = append(c.transforms, addBurst(c)) }},
	{name: "skewed-entry", configure: configureSkewedEntry},
	{name: "competing-accounts", configure: configureCompetingAccounts},
	{name: "lying-sizes", configure: func(c *traceConfig) { c.transforms = append(c.transforms, distortDeclaredRunTimes) }},
	{name: "blackhole-worker", faults: []fault{
		{at: 1. / 3, inject: func(r *benchRun) { r.fleet.worker(0).failing.Store(true) }},
		{at: 2. / 3, inject: func(r *benchRun) { r.fleet.worker(0).failing.Store(false) }},
	}},
	{name: "stragglers", faults: []fault{
		{at: 1. / 4, inject: func(r *benchRun) { r.slowWorkers(stragglerFactor) }},
		{at: 3. / 4, inject: func(r *benchRun) { r.slowWorkers(1) }},
	}},
	{name: "poison-job", configure: func(c *traceConfig) { c.transforms = append(c.transforms, poisonJobs) }},
	{name: "cancel-wave", faults: []fault{
		{at: 1. / 3, inject: (*benchRun).cancelWave}, {at: 2. / 3, inject: (*benchRun).cancelWave},
	}},
	{name: "worker-killed", faults: []fault{{at: 1. / 3, inject: func(r *benchRun) {
		r.fleet.killWorker(0)
		time.Sleep(replacementDelay)
		r.recordError(r.fleet.replaceWorker(0))
	}}}},
	{name: "entry-killed", faults: []fault{{at: 1. / 2, inject: func(r *benchRun) { r.fleet.killEntry(0) }}}},
	{name: "agent-paused", faults: []fault{{at: 1. / 3, inject: func(r *benchRun) { r.fleet.pauseAgent(0, pauseDuration) }}}},
	{name: "connection-resets", faults: []fault{
		{at: 1. / 4, inject: (*benchRun).resetLinks}, {at: 2. / 4, inject: (*benchRun).resetLinks}, {at: 3. / 4, inject: (*benchRun).resetLinks},
	}},
	{name: "worker-leaves", faults: []fault{{at: 1. / 2, inject: func(r *benchRun) { r.fleet.leaveWorker(0) }}}},
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.name
	}
	return names
}

// parseScenarioName returns the scenarios whose names are joined by "+".
func parseScenarioName(name string) ([]scenario, error) {
	var found []scenario
	for part := range strings.SplitSeq(name, "+") {
		i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == part })
		if i < 0 {
			return nil, fmt.Errorf("unknown scenario %q", part)
		}
		found = append(found, scenarios[i])
	}
	return found, nil
}

func configureSkewedEntry(c *traceConfig) {
	c.load = 0.95
	c.pickEntry = func(rng *rand.Rand) int {
		if c.options.Entries == 1 || rng.Float64() < skewFraction {
			return 0
		}
		return 1 + rng.IntN(c.options.Entries-1)
	}
}

// addBurst returns a transform that adds a job of 1,000 tasks at the first entry
// after a quarter of the duration.
func addBurst(c *traceConfig) func(*rand.Rand, []traceJob) []traceJob {
	return func(rng *rand.Rand, jobs []traceJob) []traceJob {
		burst := traceJob{arrival: c.options.Duration / 4}
		for range maxJobTasks {
			run := c.sampleRunTime(rng)
			burst.tasks = append(burst.tasks, traceTask{runTime: run, declaredRunTime: run})
		}
		return append(jobs, burst)
	}
}

// configureCompetingAccounts sets up accounts with weights 1, 2 and 4 that each
// offer more than their share, and one that may run 4 tasks at once.
func configureCompetingAccounts(c *traceConfig) {
	c.load = 2
	c.weights = []float64{1, 2, 4, 1}
	c.maxRunning = []int{0, 0, 0, 4}
}

func distortDeclaredRunTimes(rng *rand.Rand, jobs []traceJob) []traceJob {
	for i := range jobs {
		for t := range jobs[i].tasks {
			factor := math.Pow(10, (2*rng.Float64()-1)*declaredErrorDecades)
			jobs[i].tasks[t].declaredRunTime = time.Duration(float64(jobs[i].tasks[t].runTime) * factor)
		}
	}
	return jobs
}

func poisonJobs(rng *rand.Rand, jobs []traceJob) []traceJob {
	for i := range jobs {
		jobs[i].poison = rng.Float64() < poisonFraction
	}
	return jobs
}

// slowWorkers sets the slowdown of a sixth of the workers.
func (r *benchRun) slowWorkers(factor int64) {
	for i := range r.fleet.workers {
		if i%6 == 0 {
			r.fleet.worker(i).slowdown.Store(factor)
		}
	}
}

func (r *benchRun) cancelWave() {
	r.callers.cancelRandom(r.jobs, cancelFraction, rand.New(rand.NewPCG(r.options.Seed, 2)))
}

// resetLinks resets every link of a third of the workers.
func (r *benchRun) resetLinks() {
	for i := range r.fleet.workers {
		if i%3 != 0 {
			continue
		}
		for _, link := range r.fleet.worker(i).linkRelays {
			link.reset()
		}
	}
}
