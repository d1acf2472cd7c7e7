package bench

import (
	"time"
)

// tasksPerPoint is the number of tasks measured for one point.
const tasksPerPoint = 4000

// taskSeries holds the series of one dimension, per task.
type taskSeries struct{ entry, agent, allocations, bytes *Series }

func (r *slopeRun) addTaskSeries(name, x string) taskSeries {
	return taskSeries{
		entry:       r.addSeries(name+"-entry", x, "processor microseconds per task in the entry core with encoding"),
		agent:       r.addSeries(name+"-agent", x, "processor microseconds per task in the agent core with encoding"),
		allocations: r.addSeries(name+"-allocations", x, "heap allocations per task, both roles"),
		bytes:       r.addSeries(name+"-bytes", x, "bytes on the link per task without payloads, both directions"),
	}
}

func (s taskSeries) add(x int, f *coreFleet) {
	s.entry.add(float64(x), f.perTask(microseconds(f.entryCPU)))
	s.agent.add(float64(x), f.perTask(microseconds(f.agentCPU)))
	s.allocations.add(float64(x), f.perTask(float64(f.mallocs)))
	s.bytes.add(float64(x), f.perTask(float64(f.entryBytes+f.agentBytes)))
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// measureTaskCPU measures the cores with real encoding in memory, one dimension at
// a time, five seeds at each size.
func measureTaskCPU(r *slopeRun) error {
	dimensions := []struct {
		name, x string
		sizes   []int
		set     func(s *coreSize, n int)
	}{
		{"queued", "tasks queued", []int{0, 10_000, 30_000, 100_000}, func(s *coreSize, n int) { s.queued = n }},
		{"workers", "workers", []int{11, 120, 320, 960}, func(s *coreSize, n int) { s.workers = n }},
		{"accounts", "accounts", []int{2, 32, 64, targetAccounts}, func(s *coreSize, n int) { s.accounts = n }},
		{"job", "tasks per job", []int{1, 10, 100, 1000}, func(s *coreSize, n int) { s.jobTasks = n }},
	}
	for _, d := range dimensions {
		series := r.addTaskSeries(d.name, d.x)
		for _, n := range d.sizes {
			size := coreBaseSize
			d.set(&size, n)
			if err := r.forEachSeed(size, func(f *coreFleet) error {
				err := f.runTasks(tasksPerPoint)
				series.add(n, f)
				return err
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *slopeRun) forEachSeed(size coreSize, measure func(*coreFleet) error) error {
	for i := range uint64(repetitions) {
		f, err := newCoreFleet(size, r.seed+i)
		if err == nil {
			err = measure(f)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// measureStartCPU measures the fraction of a processor core that one entry uses
// against the rate of task starts, including ticks and heartbeats, and derives the
// rate that fills a processor core.
func measureStartCPU(r *slopeRun) error {
	s := r.addSeries("starts", "task starts/s at one entry", "core share of the entry core with encoding, 320 workers")
	all := r.addSeries("starts-all-linked", "task starts/s at one entry", "core share of the entry core with encoding, 960 workers")
	for _, rate := range []int{1_667, 10_000, 20_000, 40_000, 80_000} {
		for _, c := range []struct {
			series  *Series
			workers int
		}{{s, coreBaseSize.workers}, {all, workerCounts[len(workerCounts)-1]}} {
			size := coreBaseSize
			size.workers, size.queued = c.workers, 0
			if err := r.forEachSeed(size, func(f *coreFleet) error {
				err := f.runTasksAt(tasksPerPoint, coreBatch*time.Second/time.Duration(rate))
				c.series.add(float64(rate), (f.entryCPU+f.tickCPU).Seconds()/f.simulated.Seconds())
				return err
			}); err != nil {
				return err
			}
		}
	}
	for name, series := range map[string]*Series{"starts_per_core_320_workers": s, "starts_per_core_960_workers": all} {
		series.fit()
		r.setFigure(name, (1-series.Intercept)/series.Slope)
	}
	return nil
}
