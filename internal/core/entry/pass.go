package entry

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// This file answers one load pattern: jobs keep coming while the workers are full,
// so that every message from an agent is followed by a pass over a long queue in
// which nothing can be placed. What a pass needs to know of the workers is
// gathered once, and a task that is larger than any room is passed over without a
// look at the workers. The rule is judged by the work of a pass, which grows with
// the number of workers plus the number of jobs, not with their product.

// pass is what one pass over a service's queue knows of its leased workers.
type pass struct {
	// workers are those that may get a task.
	workers []*worker
	// cores is what all usable workers of the service have, free what is believed
	// free of it.
	cores, free float64
	// most is an upper bound of the free cores of any worker in the list.
	most float64
	// looks counts the workers that were looked at for a task.
	looks int
}

// newPass gathers the leased workers of a service. A worker that was set aside or
// is slow is in the list when a trial task is due.
func (c *Core) newPass(now time.Time, service string) pass {
	p := pass{}
	usable, slow := 0, 0
	for _, w := range c.workers.list {
		if !w.usable() || w.hello.Service != service {
			continue
		}
		usable++
		if w.pace.slow() {
			slow++
		}
		p.cores += w.hello.Size.Cores
		p.free += w.room.Cores
	}
	leaveOutSlow := slow <= max(1, usable/slowDivisor)
	for _, w := range c.workers.list {
		if !w.usable() || !w.hello.Leased() || w.hello.Service != service || !w.mayTake(now) || leaveOutSlow && w.slowed(now) {
			continue
		}
		p.workers = append(p.workers, w)
		p.most = max(p.most, w.room.Cores)
	}
	return p
}

// took notes that a worker got a task. One on trial gets no other.
func (p *pass) took(w *worker, cores float64) {
	p.free -= cores
	if w.health.aside || w.pace.slow() {
		p.workers = slices.DeleteFunc(p.workers, func(o *worker) bool { return o == w })
	}
}

// full lowers the bound after no worker in the list could take a task.
func (p *pass) full() {
	p.most = 0
	for _, w := range p.workers {
		p.most = max(p.most, w.room.Cores)
	}
}

// hopeless tells whether no worker in the list has the cores for the job's next
// task.
func (p *pass) hopeless(j *job) bool {
	needed := msg.Size{Cores: j.spec.Tasks[j.waiting[0]].DeclaredSize.Cores}
	return !needed.Within(msg.Size{Cores: p.most})
}

// dispatchService sends the service's queued tasks while a worker is believed to
// have room. Once the job that comes first has to wait, a smaller or more urgent
// one may still find room.
func (c *Core) dispatchService(now time.Time, name string, s *serviceQueue) {
	s.pass = c.newPass(now, name)
	for {
		j := s.next()
		if j == nil {
			return
		}
		if c.dispatchNext(now, s, j) {
			continue
		}
		if j.sized() {
			c.dispatchOthers(now, s, j)
		}
		return
	}
}

// dispatchOthers goes once through the jobs behind one that has to wait.
func (c *Core) dispatchOthers(now time.Time, s *serviceQueue, waiting *job) {
	for _, a := range s.accounts {
		for _, j := range a.jobs {
			if j != waiting && !s.pass.hopeless(j) {
				s.others = append(s.others, queued{j, a})
			}
		}
	}
	slices.SortFunc(s.others, func(x, y queued) int { return x.job.compare(y.job) })
	for _, o := range s.others {
		c.dispatchAll(now, s, o)
	}
	clear(s.others)
	s.others = s.others[:0]
}

// dispatchAll sends the job's tasks until one has to wait.
func (c *Core) dispatchAll(now time.Time, s *serviceQueue, q queued) {
	for q.account.ready() && len(q.job.waiting) > 0 {
		if s.pass.hopeless(q.job) || !c.dispatchNext(now, s, q.job) {
			return
		}
	}
}

// queued is a job in the queue of an account.
type queued struct {
	job     *job
	account *accountQueue
}

// dispatchNext sends the job's next task and tells whether a worker was found.
func (c *Core) dispatchNext(now time.Time, s *serviceQueue, j *job) bool {
	w := c.pick(now, s, j)
	if w == nil {
		return false
	}
	s.idle--
	s.pass.took(w, j.spec.Tasks[j.waiting[0]].DeclaredSize.Cores)
	c.dispatch(now, j, w)
	return true
}
