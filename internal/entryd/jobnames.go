package entryd

import (
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// jobName is the job id that a caller chose, unique within the account.
type jobName struct{ account, id string }

// namedJob is a job in progress that has a name. answer and cancelled may be read once done
// is closed.
type namedJob struct {
	coreID uint64
	done   chan struct{}
	answer entry.Answer
	// cancelled is set once the job was cancelled by its name.
	cancelled bool
}

// jobNames maps the names of jobs in progress to the core's job IDs.
type jobNames struct {
	mu   sync.Mutex
	jobs map[jobName]*namedJob
	// cancels holds the late cancels of names that are never used for another job.
	cancels keptCancels
}

func newJobNames() *jobNames { return &jobNames{jobs: make(map[jobName]*namedJob)} }

// reserve assigns the name to the job, or returns the job that has it. An empty id is
// never assigned.
func (n *jobNames) reserve(name jobName, job uint64) *namedJob {
	if name.id == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reserveLocked(name, job)
}

func (n *jobNames) reserveLocked(name jobName, job uint64) *namedJob {
	if earlier, taken := n.jobs[name]; taken {
		return earlier
	}
	n.jobs[name] = &namedJob{coreID: job, done: make(chan struct{})}
	return nil
}

// reserveUnique is like reserve, for a name that is never used for another job. It reserves
// nothing if the name was cancelled before and no job has it.
func (n *jobNames) reserveUnique(now time.Time, name jobName, job uint64) (earlier *namedJob, cancelled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, kept := n.cancels.lookup(now, name); kept && n.jobs[name] == nil {
		return nil, true
	}
	return n.reserveLocked(name, job), false
}

// finish frees the name and passes the answer to those who wait for the job.
func (n *jobNames) finish(name jobName, answer entry.Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if j, ok := n.jobs[name]; ok {
		delete(n.jobs, name)
		j.answer = answer
		close(j.done)
	}
}

// cancel marks the job that has the name as cancelled and returns the core's job ID.
func (n *jobNames) cancel(name jobName) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cancelLocked(name)
}

func (n *jobNames) cancelLocked(name jobName) (uint64, bool) {
	j, ok := n.jobs[name]
	if !ok {
		return 0, false
	}
	j.cancelled = true
	return j.coreID, true
}

// cancelUnique is like cancel, for a name that is never used for another job, and keeps the
// cancel. cancelledBefore is set if an earlier cancel found the job.
func (n *jobNames) cancelUnique(now time.Time, name jobName) (job uint64, inProgress, cancelledBefore bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	job, inProgress = n.cancelLocked(name)
	earlier, kept := n.cancels.lookup(now, name)
	n.cancels.add(now, name, inProgress)
	return job, inProgress, kept && earlier.found
}

// isCancelled reports whether the job that has the name was cancelled by it.
func (n *jobNames) isCancelled(name jobName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	j, ok := n.jobs[name]
	return ok && j.cancelled
}
