package health

import "time"

// A worker may stop making progress while it answers every call. Each of its tasks alone
// might just be long, as declared run times are wrong by half and more, and is given
// several times its declared time. Together they show sooner that the worker hangs.

const (
	// silentFactor times its expected run time is how long a task must have run.
	silentFactor = 2.5
	// silentJobs is the number of jobs of which a task must have run for so long. The run
	// times of one job are wrong alike.
	silentJobs = 2
)

// Running is a task that runs at a worker and started after the worker's latest end.
type Running struct {
	Job uint64
	// For is how long it has run, and Expected its expected run time.
	For, Expected time.Duration
}

// Silent reports whether a worker with these tasks makes no progress.
func Silent(tasks []Running) bool {
	jobs, last := 0, uint64(0)
	for _, t := range tasks {
		if t.Expected <= 0 || t.For < time.Duration(silentFactor*float64(t.Expected)) || jobs > 0 && t.Job == last {
			continue
		}
		jobs, last = jobs+1, t.Job
		if jobs >= silentJobs {
			return true
		}
	}
	return false
}
