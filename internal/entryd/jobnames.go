package entryd

import (
	"sync"

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
	if earlier, taken := n.jobs[name]; taken {
		return earlier
	}
	n.jobs[name] = &namedJob{coreID: job, done: make(chan struct{})}
	return nil
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
	j, ok := n.jobs[name]
	if !ok {
		return 0, false
	}
	j.cancelled = true
	return j.coreID, true
}

// isCancelled reports whether the job that has the name was cancelled by it.
func (n *jobNames) isCancelled(name jobName) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	j, ok := n.jobs[name]
	return ok && j.cancelled
}
