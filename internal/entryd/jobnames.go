package entryd

import (
	"sync"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// jobName is the name that a caller gave to a job.
type jobName struct{ account, id string }

// namedJob is a job in progress. The answer is set once done is closed.
type namedJob struct {
	job    uint64
	done   chan struct{}
	answer entry.Answer
}

// jobNames maps the names of jobs in progress to the core's numbers.
type jobNames struct {
	mu    sync.Mutex
	named map[jobName]*namedJob
}

func newJobNames() *jobNames { return &jobNames{named: make(map[jobName]*namedJob)} }

// claim takes the name for the job, or returns the job that has it. An empty id
// is never taken.
func (n *jobNames) claim(name jobName, job uint64) *namedJob {
	if name.id == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if earlier, taken := n.named[name]; taken {
		return earlier
	}
	n.named[name] = &namedJob{job: job, done: make(chan struct{})}
	return nil
}

// end gives the name back and tells those who wait for it the answer.
func (n *jobNames) end(name jobName, answer entry.Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if j, ok := n.named[name]; ok {
		delete(n.named, name)
		j.answer = answer
		close(j.done)
	}
}

func (n *jobNames) find(name jobName) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	j, ok := n.named[name]
	if !ok {
		return 0, false
	}
	return j.job, true
}
