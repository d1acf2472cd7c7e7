package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarlever/poplarlever/internal/core/crashlog"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// This file applies package crashlog: a task under which workers crashed is given up, a
// suspect starts again where it endangers few others, and tasks of a confined job type use
// a part of the workers only.

// cellDivisor limits the workers that a confined job type uses to one in this many of its
// service.
const cellDivisor = 3

// cellPenalty is the part of a worker's cores that has to be free beyond that of another
// for a task to go where a confined job type runs.
const cellPenalty = 2

// noteCrashes applies the crashes that an agent has reported.
func (c *Core) noteCrashes(now time.Time, w *worker, crashes []msg.WorkerCrash) {
	if len(crashes) == 0 {
		return
	}
	for _, crash := range crashes {
		for _, jobType := range c.crashes.Crashed(now, w.hello.Service, w.name, crash) {
			c.emit(JobTypeConfined{Service: jobType.Service, JobType: jobType.Name, Confined: true})
		}
	}
	// The silence of a worker that crashed says nothing about its speed.
	w.slowdown = slowdown{}
	c.renewSpeed(w)
	w.crashed = w.hello.Leaving
	c.applyConfinement()
	c.giveUpQueued()
}

// expireCrashes forgets old crashes and releases job types.
func (c *Core) expireCrashes(now time.Time) {
	released := c.crashes.Expire(now)
	for _, jobType := range released {
		c.emit(JobTypeConfined{Service: jobType.Service, JobType: jobType.Name})
	}
	if len(released) > 0 {
		c.applyConfinement()
	}
}

func (c *Core) applyConfinement() {
	for _, j := range c.jobs {
		j.confined = c.crashes.Confined(j.typeKey())
	}
	c.markCells()
}

func (j *job) typeKey() crashlog.JobType {
	return crashlog.JobType{Service: j.spec.Service, Name: j.spec.JobType}
}

// giveUpQueued fails the jobs with a queued task that must not start again.
func (c *Core) giveUpQueued() {
	for _, j := range c.orderedJobs() {
		if slices.ContainsFunc(j.queuedTasks, func(i int) bool { return c.crashes.GiveUp(j.spec.Tasks[i].Name) }) {
			c.failJob(j, verdict.WorkerCrashed, "workers crashed under a task")
		}
	}
}

// knownDeadly reports whether a job that has just arrived has a task that must not start
// again. It has been sent before.
func (c *Core) knownDeadly(spec Job) bool {
	return slices.ContainsFunc(spec.Tasks, func(t Task) bool { return c.crashes.GiveUp(t.Name) })
}

// abortedByCrash handles the end of an attempt whose worker crashed.
func (c *Core) abortedByCrash(j *job, task int) {
	if c.crashes.GiveUp(j.spec.Tasks[task].Name) {
		j.tasks[task].state = taskFinished
		c.failTask(j, verdict.WorkerCrashed, "workers crashed under a task")
		return
	}
	if j.confined && !j.latestStart.IsZero() {
		// Jobs that have met no crash go first.
		j.late = true
		c.queue.fix(j)
	}
	c.retryTask(j, task, verdict.Crash)
}

// suspect reports whether a worker crashed under the task.
func (c *Core) suspect(j *job, task int) bool { return c.crashes.Suspect(j.spec.Tasks[task].Name) }

// markCells sets which workers form the cell of their service's confined job types. Every
// entry that knows the same workers chooses the same ones.
func (c *Core) markCells() {
	members := make(map[string][]*worker)
	for _, w := range c.workers.list {
		w.inCell = false
		if w.hello.Leased() && !w.evacuated && c.crashes.Confining(w.hello.Service) {
			members[w.hello.Service] = append(members[w.hello.Service], w)
		}
	}
	for _, all := range members {
		slices.SortFunc(all, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(cellRank(a), cellRank(b)), cmp.Compare(a.name, b.name))
		})
		for _, w := range all[:max(1, len(all)/cellDivisor)] {
			w.inCell = true
		}
	}
}

// cellRank orders workers evenly over racks and failure domains, which their names follow.
// FNV does not: it sorts names that differ only in their last digits next to each other.
func cellRank(w *worker) uint64 { return xxhash.Sum64String(w.name) }

// crashRulesAllow reports whether a leased worker may get the task after earlier crashes. A
// suspect runs where no other one does. Tasks of a confined job type run in the cell, unless
// none of its workers can ever run them. One that has restarted and not announced itself might.
func (c *Core) crashRulesAllow(w *worker, j *job, task int, step Step) bool {
	if w.suspects > 0 && c.suspect(j, task) {
		return false
	}
	if !j.confined || w.inCell {
		return true
	}
	size := j.spec.Tasks[task].DeclaredSize
	return !slices.ContainsFunc(c.workers.list, func(o *worker) bool {
		return o.inCell && o.hello.Service == j.spec.Service && (!o.described() || size.FitsIn(o.hello.Size) && o.hasRequiredLabel(step))
	})
}

// cellScore is what a worker's score loses for tasks that are not confined themselves.
func (w *worker) cellScore(j *job) float64 {
	if w.inCell && !j.confined {
		return cellPenalty
	}
	return 0
}

// cellInUse reports whether a worker of the cell takes tasks.
func (c *Core) cellInUse(service string) bool {
	return slices.ContainsFunc(c.workers.list, func(w *worker) bool {
		return w.inCell && w.hello.Service == service && w.usable()
	})
}
