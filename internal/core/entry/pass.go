package entry

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Under overload jobs keep coming while the workers are full, so that every message from
// an agent is followed by a pass over a long queue in which nothing can be placed. A pass
// therefore gathers the state of the workers once, and skips a task that is larger than
// any room without examining the workers. The work of a pass has to grow with the number
// of workers plus the number of jobs, not with their product.

// pass holds what one pass over a service's queue knows of its leased workers.
type pass struct {
	now time.Time
	// workers lists those that may get a task.
	workers []*worker
	// totalCores counts the cores of all usable workers of the service times their speeds,
	// freeCores those believed free.
	totalCores, freeCores float64
	// lateCores counts the free cores that a late job may take; placedCores those that
	// tasks got in this pass.
	lateCores, placedCores float64
	// leaveOutSlow is set if slow workers get trial tasks only.
	leaveOutSlow bool
	// maxFree is an upper bound of the free cores of any worker in the list.
	maxFree float64
	// examined counts the workers examined for a task, once for each task.
	examined int
}

// newPass gathers the leased workers of a service. A quarantined or slow worker is listed
// when a trial task is due, a stalled one always: its agent reports room when one is due.
func (c *Core) newPass(now time.Time, service string) pass {
	p := pass{now: now}
	usable, slow := 0, 0
	for _, w := range c.workers.list {
		if !w.usable() || w.hello.Service != service {
			continue
		}
		usable++
		if w.slowdown.slow() {
			slow++
		}
		if w.stalled {
			continue
		}
		p.totalCores += w.hello.Size.Cores * w.speed.Speed()
		p.freeCores += w.room.Cores * w.speed.Speed()
	}
	p.leaveOutSlow = slow <= max(1, usable/slowDivisor)
	for _, w := range c.workers.list {
		if !w.hello.Leased() || w.hello.Service != service || w.rule(now, p.leaveOutSlow) != 0 {
			continue
		}
		p.workers = append(p.workers, w)
		p.maxFree = max(p.maxFree, w.room.Cores)
	}
	return p
}

// rule returns the rule by which the worker gets no task, or zero.
func (w *worker) rule(now time.Time, leaveOutSlow bool) verdict.PlacementRule {
	switch {
	case !w.linked():
		return verdict.WorkerUnlinked
	case w.state == workerLeaving:
		return verdict.WorkerGoing
	case w.state != workerUp:
		return verdict.WorkerSilent
	case w.evacuated:
		return verdict.WorkerEvacuated
	case !w.refusedUntil.IsZero():
		return verdict.EvacuationReported
	case !w.usable():
		return verdict.NoRoom
	case !w.eligible(now):
		return verdict.WorkerOnTrial
	case w.hello.Leased() && leaveOutSlow && !w.stalled && w.excludedAsSlow(now):
		return verdict.WorkerSlow
	}
	return 0
}

// placed records that a worker got a task. A worker on trial gets no other.
func (p *pass) placed(w *worker, cores float64) {
	p.freeCores -= cores * w.speed.Speed()
	p.lateCores -= cores * w.speed.Speed()
	p.placedCores += cores
	if w.health.Quarantined() || w.slowdown.slow() || w.stalled {
		p.workers = slices.DeleteFunc(p.workers, func(o *worker) bool { return o == w })
	}
}

// reserve sets the cores that late jobs may take.
func (p *pass) reserve(s *serviceQueue) {
	p.lateCores = p.freeCores - s.flow.Reserve(p.totalCores-p.freeCores)
}

// lowerMaxFree recomputes the bound after no worker in the list could take a task.
func (p *pass) lowerMaxFree() {
	p.maxFree = 0
	for _, w := range p.workers {
		p.maxFree = max(p.maxFree, w.room.Cores)
	}
}

// tooLarge reports whether no worker in the list has the cores for the job's next task.
func (p *pass) tooLarge(j *job) bool {
	needed := msg.Size{Cores: j.spec.Tasks[j.queuedTasks[0]].DeclaredSize.Cores}
	return !needed.FitsIn(msg.Size{Cores: p.maxFree})
}

// dispatchService dispatches the service's queued tasks while a worker is believed to have
// room. Once the job that comes first has to wait, a smaller or more urgent one may still
// find room.
func (c *Core) dispatchService(now time.Time, name string, s *serviceQueue) {
	s.pass = c.newPass(now, name)
	s.pass.reserve(s)
	c.placeQueued(now, s)
	waiting := s.inTimeWaiting()
	s.flow.Pass(now, s.pass.placedCores, waiting)
	if waiting {
		s.shedder.Waiting(now)
	}
}

// placeQueued dispatches queued tasks in order until one has to wait, and then those that
// still find room.
func (c *Core) placeQueued(now time.Time, s *serviceQueue) {
	for {
		j := s.next()
		if j == nil {
			return
		}
		if c.dispatchNext(now, s, j) {
			continue
		}
		if j.sized() {
			c.backfill(now, s, j)
		}
		return
	}
}

// backfill goes once through the jobs behind one that has to wait and dispatches those
// that find room.
func (c *Core) backfill(now time.Time, s *serviceQueue, waiting *job) {
	for _, a := range s.accounts {
		for _, j := range a.jobs {
			if j != waiting && !s.pass.tooLarge(j) && (!j.late || j.queuedCores() <= s.pass.lateCores) {
				s.candidates = append(s.candidates, queuedJob{j, a})
			}
		}
	}
	slices.SortFunc(s.candidates, func(x, y queuedJob) int { return x.job.compare(y.job) })
	for _, o := range s.candidates {
		c.dispatchJob(now, s, o)
	}
	clear(s.candidates)
	s.candidates = s.candidates[:0]
}

// dispatchJob dispatches the job's tasks until one has to wait.
func (c *Core) dispatchJob(now time.Time, s *serviceQueue, q queuedJob) {
	for q.account.ready() && len(q.job.queuedTasks) > 0 {
		if s.pass.tooLarge(q.job) || !c.dispatchNext(now, s, q.job) {
			return
		}
	}
}

// queuedJob is a job in the queue of an account.
type queuedJob struct {
	job     *job
	account *accountQueue
}

// dispatchNext dispatches the job's next task and reports whether a worker was found.
func (c *Core) dispatchNext(now time.Time, s *serviceQueue, j *job) bool {
	w := c.pick(now, s, j)
	if w == nil {
		return false
	}
	s.freeSlots--
	s.pass.placed(w, j.spec.Tasks[j.queuedTasks[0]].DeclaredSize.Cores)
	c.dispatch(now, j, w)
	return true
}
