package entryd

import (
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// ownerTimeout is how long an agent owns its worker's name while its links are silent.
// It exceeds the heartbeat interval of agents, so that a live agent keeps the name. It
// is short, so that a VM that died without closing its links is soon replaced.
const ownerTimeout = 3 * time.Second

// workerOwners records which agent process owns each worker's name. The links of an
// agent close when its process ends, so an open link that is not silent means that its
// process is alive and another one is a second agent.
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

// acquire adds a link of the process to the worker's name. It returns false when
// another live process owns the name.
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
	if owner, ok := s.owners[worker]; ok && owner.incarnation == process {
		owner.lastHeard = now
	}
}

func (s *workerOwners) release(worker string, process msg.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, ok := s.owners[worker]
	if !ok || owner.incarnation != process {
		return
	}
	owner.links--
	if owner.links == 0 {
		delete(s.owners, worker)
	}
}
