package entryd

import (
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// ownerTimeout is how long a silent link keeps its worker's name. It exceeds
// the heartbeat interval of agents, so that a live agent is always heard, and
// a VM that died without closing its links is soon replaced.
const ownerTimeout = 3 * time.Second

// workerOwners remembers which agent process uses which worker's name. A
// restarted agent's old link closes with its process, so an open link that is
// still heard means a second agent.
type workerOwners struct {
	mu     sync.Mutex
	owners map[string]*workerOwner
}

type workerOwner struct {
	incarnation msg.Incarnation
	links       int
	lastHeard   time.Time
}

func newWorkerOwners() *workerOwners { return &workerOwners{owners: make(map[string]*workerOwner)} }

// acquire returns false when another live process uses the name.
func (s *workerOwners) acquire(worker string, process msg.Incarnation, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, owned := s.owners[worker]
	if owned && owner.incarnation != process {
		if owner.links > 0 && now.Sub(owner.lastHeard) < ownerTimeout {
			return false
		}
		owned = false
	}
	if !owned {
		owner = &workerOwner{incarnation: process}
		s.owners[worker] = owner
	}
	owner.links++
	owner.lastHeard = now
	return true
}

func (s *workerOwners) touch(worker string, process msg.Incarnation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if user, ok := s.owners[worker]; ok && user.incarnation == process {
		user.lastHeard = now
	}
}

func (s *workerOwners) release(worker string, process msg.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	user, ok := s.owners[worker]
	if !ok || user.incarnation != process {
		return
	}
	user.links--
	if user.links == 0 {
		delete(s.owners, worker)
	}
}
