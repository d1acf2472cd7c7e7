package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// scenario changes the trace and acts on the fleet at given moments.
type scenario struct {
	name  string
	shape func(c *traceConfig)
	// fault runs at a portion of the duration.
	faults []fault
}

type fault struct {
	at  float64
	act func(r *run)
}

const (
	// pauseLength is longer than the time after which a silent worker is
	// suspected and shorter than that after which it is given up.
	pauseLength = 5 * time.Second
	// replaceAfter is how long the platform takes to replace a dead worker.
	replaceAfter = 5 * time.Second
	// stragglerFactor is how much longer a task takes on a straggler.
	stragglerFactor = 4
	// poisonPortion is the part of the jobs that can never run.
	poisonPortion = 0.02
	// cancelPortion is the part of the live jobs that a wave cancels.
	cancelPortion = 0.5
	// skewPortion is the part of the jobs at the first entry.
	skewPortion = 0.8
	// lieDecades is how many powers of ten declared run times are off, either way.
	lieDecades = 2
)

func withLoad(load float64) func(*traceConfig) {
	return func(c *traceConfig) { c.load = load }
}

var scenarios = []scenario{
	{name: "steady"},
	{name: "high", shape: withLoad(0.95)},
	{name: "overload-2x", shape: withLoad(2)},
	{name: "burst", shape: func(c *traceConfig) { c.alter = append(c.alter, addBurst(c)) }},
	{name: "skewed-entry", shape: skewEntries},
	{name: "competing-accounts", shape: competeAccounts},
	{name: "lying-sizes", shape: func(c *traceConfig) { c.alter = append(c.alter, lie) }},
	{name: "blackhole-worker", faults: []fault{
		{at: 1. / 3, act: func(r *run) { r.fleet.worker(0).failing.Store(true) }},
		{at: 2. / 3, act: func(r *run) { r.fleet.worker(0).failing.Store(false) }},
	}},
	{name: "stragglers", faults: []fault{
		{at: 1. / 4, act: func(r *run) { r.slowWorkers(stragglerFactor) }},
		{at: 3. / 4, act: func(r *run) { r.slowWorkers(1) }},
	}},
	{name: "poison-job", shape: func(c *traceConfig) { c.alter = append(c.alter, poison) }},
	{name: "cancel-wave", faults: []fault{
		{at: 1. / 3, act: (*run).cancelWave}, {at: 2. / 3, act: (*run).cancelWave},
	}},
	{name: "worker-killed", faults: []fault{{at: 1. / 3, act: func(r *run) {
		r.fleet.killWorker(0)
		time.Sleep(replaceAfter)
		r.fault(r.fleet.replaceWorker(0))
	}}}},
	{name: "entry-killed", faults: []fault{{at: 1. / 2, act: func(r *run) { r.fleet.killEntry(0) }}}},
	{name: "agent-paused", faults: []fault{{at: 1. / 3, act: func(r *run) { r.fleet.pauseAgent(0, pauseLength) }}}},
	{name: "connection-resets", faults: []fault{
		{at: 1. / 4, act: (*run).resetLinks}, {at: 2. / 4, act: (*run).resetLinks}, {at: 3. / 4, act: (*run).resetLinks},
	}},
	{name: "worker-leaves", faults: []fault{{at: 1. / 2, act: func(r *run) { r.fleet.leaveWorker(0) }}}},
}

// Scenarios lists the names of the scenarios.
func Scenarios() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.name
	}
	return names
}

// findScenario returns the parts of a scenario's name, joined by "+".
func findScenario(name string) ([]scenario, error) {
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

func skewEntries(c *traceConfig) {
	c.load = 0.95
	c.entryOf = func(rng *rand.Rand) int {
		if c.options.Entries == 1 || rng.Float64() < skewPortion {
			return 0
		}
		return 1 + rng.IntN(c.options.Entries-1)
	}
}

// addBurst adds a job of 1,000 tasks at the first entry after a quarter of the
// duration.
func addBurst(c *traceConfig) func(*rand.Rand, []traceJob) []traceJob {
	return func(rng *rand.Rand, jobs []traceJob) []traceJob {
		burst := traceJob{arrival: c.options.Duration / 4}
		for range maxJobTasks {
			run := c.drawRun(rng)
			burst.tasks = append(burst.tasks, traceTask{run: run, declared: run})
		}
		return append(jobs, burst)
	}
}

// competeAccounts sets up accounts with weights 1, 2 and 4 that each offer more
// than their share, and one that may run 4 tasks at once.
func competeAccounts(c *traceConfig) {
	c.load = 2
	c.weights = []float64{1, 2, 4, 1}
	c.limits = []int{0, 0, 0, 4}
}

func lie(rng *rand.Rand, jobs []traceJob) []traceJob {
	for i := range jobs {
		for t := range jobs[i].tasks {
			factor := math.Pow(10, (2*rng.Float64()-1)*lieDecades)
			jobs[i].tasks[t].declared = time.Duration(float64(jobs[i].tasks[t].run) * factor)
		}
	}
	return jobs
}

func poison(rng *rand.Rand, jobs []traceJob) []traceJob {
	for i := range jobs {
		jobs[i].poison = rng.Float64() < poisonPortion
	}
	return jobs
}

// slowWorkers sets the factor of a sixth of the workers.
func (r *run) slowWorkers(factor int64) {
	for i := range r.fleet.workers {
		if i%6 == 0 {
			r.fleet.worker(i).slowdown.Store(factor)
		}
	}
}

func (r *run) cancelWave() {
	r.callers.cancelRandom(r.jobs, cancelPortion, rand.New(rand.NewPCG(r.options.Seed, 2)))
}

// resetLinks breaks every link of a third of the workers.
func (r *run) resetLinks() {
	for i := range r.fleet.workers {
		if i%3 != 0 {
			continue
		}
		for _, link := range r.fleet.worker(i).linkRelays {
			link.reset()
		}
	}
}
