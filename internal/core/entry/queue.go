package entry

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/limits"
)

// queue holds the tasks that wait for a slot: by service, then by account,
// then by job.
type queue struct {
	services map[string]*serviceQueue
	names    []string
	tasks    int
	use      *limits.Ledger
}

type serviceQueue struct {
	accounts []*accountQueue
	// idle is the number of slots believed free while tasks are dispatched.
	idle int
	// unplaced is the number of tasks for which the latest pass found no worker.
	unplaced int
	// pass is the present pass over the queue.
	pass pass
	// others is reused from pass to pass.
	others []queued
}

// waiting returns the number of queued tasks that may run now.
func (s *serviceQueue) waiting() int {
	n := 0
	for _, a := range s.accounts {
		n += a.use.Room(a.tasks)
	}
	return n
}

// accountQueue orders the jobs of one account. The job with the fewest
// unfinished tasks comes first, because a job is answered when its last task
// is.
type accountQueue struct {
	account string
	jobs    []*job
	tasks   int
	// used is the slot time charged to the account divided by its weight.
	used time.Duration
	// use counts the account's running tasks over all services.
	use *limits.Use
}

// ready tells whether a task may be dispatched.
func (a *accountQueue) ready() bool { return a.tasks > 0 && a.use.MayStart() }

func newQueue(use *limits.Ledger) queue {
	return queue{services: make(map[string]*serviceQueue), use: use}
}

// waiting returns the number of the account's queued tasks over all services.
func (q *queue) waiting(account string) int {
	n := 0
	for _, s := range q.services {
		for _, a := range s.accounts {
			if a.account == account {
				n += a.tasks
			}
		}
	}
	return n
}

// account returns the queue of an account within a service, made when missing.
func (q *queue) account(service, account string) *accountQueue {
	s, ok := q.services[service]
	if !ok {
		s = &serviceQueue{}
		q.services[service] = s
		q.names = append(q.names, service)
		slices.Sort(q.names)
	}
	for _, a := range s.accounts {
		if a.account == account {
			return a
		}
	}
	a := &accountQueue{account: account, use: q.use.Account(account)}
	s.accounts = append(s.accounts, a)
	slices.SortFunc(s.accounts, func(a, b *accountQueue) int { return cmp.Compare(a.account, b.account) })
	return a
}

// push queues a task of the job.
func (q *queue) push(j *job, task int) {
	a := q.account(j.spec.Service, j.spec.Account)
	if a.tasks == 0 {
		a.used = max(a.used, q.services[j.spec.Service].leastUsed())
	}
	j.waiting = append(j.waiting, task)
	a.tasks++
	q.tasks++
	if len(j.waiting) == 1 {
		heap.Push(a, j)
		return
	}
	heap.Fix(a, j.heapIndex)
}

// next returns the job whose task is dispatched next, or nil. Accounts that use
// up their allotment are passed over.
func (s *serviceQueue) next() *job {
	var best *accountQueue
	for _, a := range s.accounts {
		if a.ready() && (best == nil || a.used < best.used) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

// leastUsed returns the smallest use among accounts with queued tasks, so that
// an account that was idle does not collect credit.
func (s *serviceQueue) leastUsed() time.Duration {
	least := time.Duration(-1)
	for _, a := range s.accounts {
		if a.tasks > 0 && (least < 0 || a.used < least) {
			least = a.used
		}
	}
	return max(0, least)
}

// pop takes the next task of the job.
func (q *queue) pop(j *job) int {
	a := q.account(j.spec.Service, j.spec.Account)
	task := j.waiting[0]
	j.waiting = j.waiting[1:]
	a.tasks--
	q.tasks--
	if len(j.waiting) == 0 {
		heap.Remove(a, j.heapIndex)
	}
	return task
}

// remove drops all queued tasks of the job.
func (q *queue) remove(j *job) {
	if len(j.waiting) == 0 {
		return
	}
	a := q.account(j.spec.Service, j.spec.Account)
	a.tasks -= len(j.waiting)
	q.tasks -= len(j.waiting)
	j.waiting = nil
	heap.Remove(a, j.heapIndex)
}

// fix restores the order after the job's number of unfinished tasks changed.
func (q *queue) fix(j *job) {
	if len(j.waiting) > 0 {
		heap.Fix(q.account(j.spec.Service, j.spec.Account), j.heapIndex)
	}
}

// Len implements heap.Interface.
func (a *accountQueue) Len() int { return len(a.jobs) }

// Less implements heap.Interface.
func (a *accountQueue) Less(x, y int) bool {
	return a.jobs[x].compare(a.jobs[y]) < 0
}

// compare orders the jobs of one account: by the time at which they have to start
// where callers want the answer in a certain time, otherwise the one with the
// fewest unfinished tasks first.
func (j *job) compare(o *job) int {
	return cmp.Or(j.latestStart.Compare(o.latestStart), cmp.Compare(j.unfinished, o.unfinished), cmp.Compare(j.spec.ID, o.spec.ID))
}

// Swap implements heap.Interface.
func (a *accountQueue) Swap(x, y int) {
	a.jobs[x], a.jobs[y] = a.jobs[y], a.jobs[x]
	a.jobs[x].heapIndex, a.jobs[y].heapIndex = x, y
}

// Push implements heap.Interface.
func (a *accountQueue) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(a.jobs)
	a.jobs = append(a.jobs, j)
}

// Pop implements heap.Interface.
func (a *accountQueue) Pop() any {
	j := a.jobs[len(a.jobs)-1]
	a.jobs = a.jobs[:len(a.jobs)-1]
	return j
}
