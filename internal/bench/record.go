package bench

import (
	"sync"
	"time"
)

// taskStart is one start of a task at an endpoint, and its end when finished.
type taskStart struct {
	id        taskID
	worker    int
	startedAt time.Time
	endedAt   time.Time
	finished  bool
}

// recorder collects the starts at the endpoints and when workers left or were
// killed. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	starts []*taskStart
	// leftAt holds when each worker announced its leave.
	leftAt   map[int]time.Time
	killedAt map[int]time.Time
}

func newRecorder() *recorder {
	return &recorder{leftAt: make(map[int]time.Time), killedAt: make(map[int]time.Time)}
}

// recordStart adds a start. Warm-up tasks have negative job numbers and are not
// kept.
func (r *recorder) recordStart(id taskID, worker int) *taskStart {
	s := &taskStart{id: id, worker: worker, startedAt: time.Now()}
	if id.job < 0 {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
	return s
}

func (r *recorder) recordEnd(s *taskStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.endedAt, s.finished = time.Now(), true
}

func (r *recorder) recordLeave(worker int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leftAt[worker] = time.Now()
}

func (r *recorder) recordKill(worker int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killedAt[worker] = time.Now()
}

// snapshot returns copies of the starts.
func (r *recorder) snapshot() []taskStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]taskStart, len(r.starts))
	for i, s := range r.starts {
		out[i] = *s
	}
	return out
}
