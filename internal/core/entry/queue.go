package entry

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/forecast"
	"github.com/poplarlever/poplarlever/internal/core/limits"
	"github.com/poplarlever/poplarlever/internal/core/shedding"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

// queue holds the tasks that wait for a slot: by service, then by account,
// then by job.
type queue struct {
	services     map[string]*serviceQueue
	serviceNames []string
	tasks        int
	usage        *limits.Ledger
}

type serviceQueue struct {
	accounts []*accountQueue
	// freeSlots is the number of slots believed free during a pass.
	freeSlots int
	// unplaced is the number of tasks for which the latest pass found no worker.
	unplaced int
	// pass is the current pass over the queue.
	pass pass
	// flow forecasts when the service will have room.
	flow forecast.Flow
	// shedder chooses the jobs that give way; it is used only with Config.ShedByJobType.
	shedder shedding.Shedder
	// candidates is reused by every backfill.
	candidates []queuedJob
}

// runnable returns the number of queued tasks that the limits of their accounts let run
// now.
func (s *serviceQueue) runnable() int {
	n := 0
	for _, a := range s.accounts {
		n += a.usage.Room(a.tasks)
	}
	return n
}

// accountQueue orders the jobs of one account. Among jobs without a response target, the
// one with the fewest unfinished tasks comes first, because a job is answered when its
// last task is done.
type accountQueue struct {
	account string
	jobs    []*job
	tasks   int
	// virtualTime is the run time charged to the account, divided by its weight.
	virtualTime time.Duration
	// usage counts the account's running tasks over all services.
	usage *limits.Use
}

// ready reports whether a task may be dispatched.
func (a *accountQueue) ready() bool { return a.tasks > 0 && a.usage.MayStart() }

func newQueue(usage *limits.Ledger) queue {
	return queue{services: make(map[string]*serviceQueue), usage: usage}
}

// queuedTasks returns the number of the account's queued tasks over all services.
func (q *queue) queuedTasks(account string) int {
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

// account returns the queue of an account within a service, creating it if it is missing.
func (q *queue) account(service, account string) *accountQueue {
	s, ok := q.services[service]
	if !ok {
		s = &serviceQueue{}
		q.services[service] = s
		q.serviceNames = append(q.serviceNames, service)
		slices.Sort(q.serviceNames)
	}
	for _, a := range s.accounts {
		if a.account == account {
			return a
		}
	}
	a := &accountQueue{account: account, usage: q.usage.Account(account)}
	s.accounts = append(s.accounts, a)
	slices.SortFunc(s.accounts, func(a, b *accountQueue) int { return cmp.Compare(a.account, b.account) })
	return a
}

// service returns the queue of a service, which is empty if it has none.
func (q *queue) service(name string) *serviceQueue {
	if s, ok := q.services[name]; ok {
		return s
	}
	return &serviceQueue{}
}

// queuedIn returns the number of an account's queued tasks in a service.
func (q *queue) queuedIn(service, account string) int {
	for _, a := range q.service(service).accounts {
		if a.account == account {
			return a.tasks
		}
	}
	return 0
}

// push queues a task of an open job. It refuses a task of any other job, which would be
// dispatched after the job's end was decided.
func (q *queue) push(j *job, task int) {
	invariant.Check(j.phase == jobOpen, invariant.NothingAfterEnd, "task %d of job %d is queued after the end of the job was decided", task, j.spec.ID)
	if j.phase != jobOpen {
		return
	}
	a := q.account(j.spec.Service, j.spec.Account)
	if a.tasks == 0 {
		a.virtualTime = max(a.virtualTime, q.services[j.spec.Service].minVirtualTime())
	}
	j.queuedTasks = append(j.queuedTasks, task)
	a.tasks++
	q.tasks++
	if len(j.queuedTasks) == 1 {
		heap.Push(a, j)
		return
	}
	heap.Fix(a, j.heapIndex)
}

// next returns the first job of the ready account with the least virtual time, or nil.
// Accounts that use up their allotment are skipped.
func (s *serviceQueue) next() *job {
	var best *accountQueue
	for _, a := range s.accounts {
		if a.ready() && (best == nil || a.virtualTime < best.virtualTime) {
			best = a
		}
	}
	if best == nil {
		return nil
	}
	return best.jobs[0]
}

// minVirtualTime returns the smallest virtual time among accounts with queued tasks. An
// account that was idle starts from it, so that it gathers no credit.
func (s *serviceQueue) minVirtualTime() time.Duration {
	least := time.Duration(-1)
	for _, a := range s.accounts {
		if a.tasks > 0 && (least < 0 || a.virtualTime < least) {
			least = a.virtualTime
		}
	}
	return max(0, least)
}

// pop removes and returns the next task of the job.
func (q *queue) pop(j *job) int {
	a := q.account(j.spec.Service, j.spec.Account)
	task := j.queuedTasks[0]
	j.queuedTasks = j.queuedTasks[1:]
	a.tasks--
	q.tasks--
	if len(j.queuedTasks) == 0 {
		heap.Remove(a, j.heapIndex)
	}
	return task
}

// remove drops all queued tasks of the job.
func (q *queue) remove(j *job) {
	if len(j.queuedTasks) == 0 {
		return
	}
	a := q.account(j.spec.Service, j.spec.Account)
	a.tasks -= len(j.queuedTasks)
	q.tasks -= len(j.queuedTasks)
	j.queuedTasks = nil
	heap.Remove(a, j.heapIndex)
}

// fix restores the order after the job's number of unfinished tasks changed.
func (q *queue) fix(j *job) {
	if len(j.queuedTasks) > 0 {
		heap.Fix(q.account(j.spec.Service, j.spec.Account), j.heapIndex)
	}
}

// Len implements heap.Interface.
func (a *accountQueue) Len() int { return len(a.jobs) }

// Less implements heap.Interface.
func (a *accountQueue) Less(x, y int) bool {
	return a.jobs[x].compare(a.jobs[y]) < 0
}

// inTimeWaiting reports whether a task waits that may be dispatched and whose job is not
// late.
func (s *serviceQueue) inTimeWaiting() bool {
	for _, a := range s.accounts {
		if a.ready() && slices.ContainsFunc(a.jobs, func(j *job) bool { return !j.late && !j.confined }) {
			return true
		}
	}
	return false
}

// coresAhead returns the cores of the queued tasks that come before the job.
func (s *serviceQueue) coresAhead(j *job) float64 {
	sum := 0.0
	for _, a := range s.accounts {
		for _, o := range a.jobs {
			if o != j && !o.confined && o.compare(j) < 0 {
				sum += o.queuedCores()
			}
		}
	}
	return sum
}

// coresInTime returns the cores of the queued tasks whose jobs are in time.
func (s *serviceQueue) coresInTime() float64 {
	sum := 0.0
	for _, a := range s.accounts {
		for _, o := range a.jobs {
			if !o.late && !o.confined {
				sum += o.queuedCores()
			}
		}
	}
	return sum
}

// queuedCores returns the cores of the job's queued tasks.
func (j *job) queuedCores() float64 {
	sum := 0.0
	for _, i := range j.queuedTasks {
		sum += j.spec.Tasks[i].DeclaredSize.Cores
	}
	return sum
}

// compare orders jobs: late ones last, then by latest start where they have a response
// target, then by fewest unfinished tasks, then by ID.
func (j *job) compare(o *job) int {
	if j.late != o.late {
		if j.late {
			return 1
		}
		return -1
	}
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
