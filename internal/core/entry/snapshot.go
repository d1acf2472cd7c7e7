package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/interference"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/separation"
)

// Snapshot is a copy of the state of an entry that operators see.
type Snapshot struct {
	Revision     uint64
	Jobs         int
	QueuedTasks  int
	RunningTasks int
	Links        int
	Draining     bool
	// MessageDelay is how late messages of agents are read.
	MessageDelay time.Duration
	Workers      []WorkerSnapshot
	Accounts     []AccountSnapshot
	Peers        []msg.Peer
	// Evacuated lists the evacuations in force.
	Evacuated []EvacuationChanged
	// LearnedWorkers is the number of workers whose speed is learned.
	LearnedWorkers int
	// SeparatedPairs lists the job types whose tasks prefer different workers, ObservedPairs
	// counts those with evidence.
	SeparatedPairs []SeparatedPair
	ObservedPairs  int
}

// SeparatedPair is a pair of job types with the parts of the workers that each prefers.
type SeparatedPair struct {
	interference.Pair
	JobTypeWorkers, NeighbourWorkers separation.Interval
}

// WorkerSnapshot is the entry's view of one worker.
type WorkerSnapshot struct {
	Name          string
	FailureDomain string
	Service       string
	// State is one of up, evacuated, suspect, leaving and unlinked.
	State       string
	Slots       int
	Free        int
	Outstanding int
	Revision    uint64
	// Speed is the learned speed relative to the mean of the service, and SpeedUncertainty
	// the standard deviation of its logarithm. Both are zero unless a speed is learned.
	Speed, SpeedUncertainty float64
}

// AccountSnapshot is the usage of one client account through this entry.
type AccountSnapshot struct {
	Account      string
	QueuedTasks  int
	RunningTasks int
	// Share is the account's part of the running tasks, DueShare its part by weight among
	// the accounts that have tasks. Both lie between 0 and 1.
	Share    float64
	DueShare float64
}

// Snapshot returns a copy of the state. It changes nothing.
func (c *Core) Snapshot() Snapshot {
	return Snapshot{
		LearnedWorkers: c.learnedWorkers(),
		Revision:       c.policy.Revision, Jobs: len(c.jobs), QueuedTasks: c.queue.tasks,
		RunningTasks: len(c.attempts), Links: len(c.workers.byLink), Draining: c.draining,
		MessageDelay: c.MessageDelay(), Workers: c.workerSnapshots(), Accounts: c.accountSnapshots(), Peers: slices.Clone(c.peers),
		Evacuated:      c.evacuationsInForce(),
		SeparatedPairs: c.separatedPairs(), ObservedPairs: c.separations.observedPairs(),
	}
}

// PendingAcks returns the number of results whose acknowledgement waits for
// other traffic on an open link.
func (c *Core) PendingAcks() int {
	n := 0
	for _, w := range c.workers.list {
		if w.linked() {
			n += len(w.acks.ids)
		}
	}
	return n
}

func (c *Core) workerSnapshots() []WorkerSnapshot {
	out := make([]WorkerSnapshot, 0, len(c.workers.list))
	for _, w := range c.workers.list {
		state := w.state.String()
		switch {
		case !w.linked():
			state = "unlinked"
		case w.evacuated && w.state == workerUp:
			state = "evacuated"
		}
		speed, uncertainty := w.learnedSpeed()
		out = append(out, WorkerSnapshot{
			Speed: speed, SpeedUncertainty: uncertainty,
			Name: w.name, FailureDomain: w.hello.FailureDomain, Service: w.hello.Service, State: state,
			Slots: w.hello.Slots, Free: w.free, Outstanding: len(w.outstanding), Revision: w.revision,
		})
	}
	return out
}

// accountSnapshots lists the accounts of the table, ordered by name.
func (c *Core) accountSnapshots() []AccountSnapshot {
	out := make([]AccountSnapshot, 0, len(c.policy.Accounts))
	for name := range c.policy.Accounts {
		out = append(out, AccountSnapshot{Account: name})
	}
	slices.SortFunc(out, func(a, b AccountSnapshot) int { return cmp.Compare(a.Account, b.Account) })
	index := make(map[string]*AccountSnapshot, len(out))
	for i := range out {
		index[out[i].Account] = &out[i]
	}
	c.addUsage(index)
	c.addShares(out)
	return out
}

func (c *Core) addUsage(index map[string]*AccountSnapshot) {
	for _, s := range c.queue.services {
		for _, q := range s.accounts {
			if a, ok := index[q.account]; ok {
				a.QueuedTasks += q.tasks
			}
		}
	}
	for _, j := range c.jobs {
		if a, ok := index[j.spec.Account]; ok {
			a.RunningTasks += j.running
		}
	}
}

func (c *Core) addShares(accounts []AccountSnapshot) {
	running, weights := 0, 0.0
	for _, a := range accounts {
		running += a.RunningTasks
		if a.RunningTasks+a.QueuedTasks > 0 {
			weights += c.policy.Accounts[a.Account].Weight
		}
	}
	for i := range accounts {
		a := &accounts[i]
		if a.RunningTasks+a.QueuedTasks == 0 {
			continue
		}
		if running > 0 {
			a.Share = float64(a.RunningTasks) / float64(running)
		}
		if weights > 0 {
			a.DueShare = c.policy.Accounts[a.Account].Weight / weights
		}
	}
}
