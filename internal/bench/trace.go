package bench

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	maxJobTasks      = 1000
	shortTaskMin     = 50 * time.Millisecond
	shortTaskMax     = time.Second
	longTaskMin      = 2 * time.Second
	longTaskMax      = 6 * time.Second
	longTaskFraction = 0.02
)

// Options are the settings of one run.
type Options struct {
	Scenario string
	Policy   string
	Seed     uint64
	Entries  int
	Workers  int
	Slots    int
	// Load is the offered slot time divided by the fleet's slot time; zero means
	// the scenario's default.
	Load     float64
	Accounts int
	// Duration is the time over which jobs arrive; the trace ends with the job
	// that brings the offered work over this time to Load.
	Duration time.Duration
	// TaskTime is the run time of every task; zero means the default mix.
	TaskTime time.Duration
}

// traceJob is one job of a trace.
type traceJob struct {
	index   int
	arrival time.Duration
	entry   int
	account int
	tasks   []traceTask
	// poison marks a job with one task that always ends in an error.
	poison bool
}

type traceTask struct {
	runTime         time.Duration
	declaredRunTime time.Duration
}

// slotTime returns the sum of the tasks' run times.
func (j *traceJob) slotTime() time.Duration {
	var sum time.Duration
	for _, t := range j.tasks {
		sum += t.runTime
	}
	return sum
}

// traceConfig holds the parameters of a trace that a scenario may change before
// the trace is generated.
type traceConfig struct {
	options Options
	load    float64
	// pickEntry chooses the entry of a job; the default is uniform.
	pickEntry func(rng *rand.Rand) int
	weights   []float64
	// maxRunning limits the running tasks of each account; zero means no limit.
	maxRunning []int
	// transforms change the generated jobs, in order.
	transforms []func(rng *rand.Rand, jobs []traceJob) []traceJob
}

func newTraceConfig(o Options) *traceConfig {
	c := &traceConfig{options: o, load: 0.8}
	c.pickEntry = func(rng *rand.Rand) int { return rng.IntN(o.Entries) }
	for range o.Accounts {
		c.weights = append(c.weights, 1)
		c.maxRunning = append(c.maxRunning, 0)
	}
	return c
}

// generate returns the jobs in order of arrival. Arrivals are a Poisson process
// conditioned on the offered work: they are uniform over the time in which the
// generated work amounts to the load. With this heavy tail, the load of an
// unconditioned process over half a minute is far from its mean.
func (c *traceConfig) generate() []traceJob {
	rng := rand.New(rand.NewPCG(c.options.Seed, 1))
	capacity := c.load * float64(c.options.Workers*c.options.Slots)
	target := time.Duration(capacity * float64(c.options.Duration))
	var jobs []traceJob
	var work time.Duration
	for work < target {
		j := c.generateJob(rng)
		work += j.slotTime()
		jobs = append(jobs, j)
	}
	span := float64(work) / capacity
	for i := range jobs {
		jobs[i].arrival = time.Duration(rng.Float64() * span)
	}
	for _, alter := range c.transforms {
		jobs = alter(rng, jobs)
	}
	slices.SortStableFunc(jobs, func(a, b traceJob) int { return cmp.Compare(a.arrival, b.arrival) })
	for i := range jobs {
		jobs[i].index = i
	}
	return jobs
}

func (c *traceConfig) generateJob(rng *rand.Rand) traceJob {
	j := traceJob{entry: c.pickEntry(rng), account: rng.IntN(len(c.weights))}
	for range sampleTaskCount(rng) {
		run := c.sampleRunTime(rng)
		j.tasks = append(j.tasks, traceTask{runTime: run, declaredRunTime: run})
	}
	return j
}

// sampleTaskCount returns a number of tasks from a Pareto distribution with shape
// 1.3, truncated to 1 to 1,000.
func sampleTaskCount(rng *rand.Rand) int {
	sizes := distuv.Pareto{Xm: 1, Alpha: 1.3, Src: rng}
	for {
		if n := sizes.Rand(); n < maxJobTasks+1 {
			return int(n)
		}
	}
}

func (c *traceConfig) sampleRunTime(rng *rand.Rand) time.Duration {
	if c.options.TaskTime > 0 {
		return c.options.TaskTime
	}
	if rng.Float64() < longTaskFraction {
		return longTaskMin + time.Duration(rng.Int64N(int64(longTaskMax-longTaskMin)))
	}
	return shortTaskMin + time.Duration(rng.Int64N(int64(shortTaskMax-shortTaskMin)))
}

// taskID identifies a task by the index of its job and its index in the job.
type taskID struct{ job, task int }

// payload tells the fake endpoint how to run a task.
type payload struct {
	id      taskID
	runTime time.Duration
	fail    bool
}

const payloadSize = 17

func (p payload) encode() []byte {
	b := make([]byte, payloadSize)
	binary.BigEndian.PutUint32(b, uint32(int32(p.id.job)))
	binary.BigEndian.PutUint32(b[4:], uint32(p.id.task))
	binary.BigEndian.PutUint64(b[8:], uint64(p.runTime))
	if p.fail {
		b[16] = 1
	}
	return b
}

func decodePayload(b []byte) (payload, bool) {
	if len(b) != payloadSize {
		return payload{}, false
	}
	return payload{
		id:      taskID{job: int(int32(binary.BigEndian.Uint32(b))), task: int(binary.BigEndian.Uint32(b[4:]))},
		runTime: time.Duration(binary.BigEndian.Uint64(b[8:])),
		fail:    b[16] != 0,
	}, true
}
