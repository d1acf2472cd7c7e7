// Package colocation measures which tasks ran beside each task of a worker, and for which
// part of its run time.
//
// The caller reports each start and end with the time. The package does no I/O, starts no
// goroutine and reads no clock. A Tracker is not safe for concurrent use.
package colocation

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxTypes bounds the job types that a tracker holds. When more run at once, the tasks
	// of the others count in the load only.
	maxTypes = 32
	// MaxNeighbours bounds the job types in a summary.
	MaxNeighbours = 8
	// minMean is the smallest mean number of tasks that is reported, MaxMean the largest. More
	// count as that, so that a worker with very many tasks does not outweigh all others.
	minMean, MaxMean = 1.0 / 16, 64
)

// TypeID identifies a job type in messages, where a name would take several times the
// space. Receivers know the names of the service's job types from the table, and leave out
// two that have the same TypeID.
type TypeID uint32

// TypeIDOf returns the TypeID of a job type, its FNV-1a hash.
func TypeIDOf(jobType string) TypeID {
	h := fnv.New32a()
	h.Write([]byte(jobType))
	return TypeID(h.Sum32())
}

// Summary describes what ran beside a task. The zero value means that it is not known.
type Summary struct {
	// Known is set if the task was observed from its start to its end.
	Known bool
	// Malformed is set if a message held values that no agent sends.
	Malformed bool
	// Load is the mean part of the worker's cores that other tasks used, from 0 to 1.
	Load float64
	// Neighbours lists job types, those with most tasks first.
	Neighbours []Neighbour
}

// Neighbour is a job type of which tasks ran beside a task.
type Neighbour struct {
	Type TypeID
	// Mean is the mean number of its tasks over the task's run time: one that ran beside it
	// for half of the time counts half. A mean does not grow with the run time, so that a
	// task does not appear to be slow because of the many tasks that it met.
	Mean float64
}

// Tracker follows the tasks that run at one worker.
type Tracker struct {
	now   time.Time
	slots []slot
	index map[TypeID]int
	// cores are in use now; coreSeconds is their integral over time.
	cores, coreSeconds float64
}

// slot holds the tasks of one job type. An idle slot may be given to another job type,
// which increases its generation.
type slot struct {
	id         TypeID
	generation uint32
	running    int
	// taskSeconds is the integral of running over time.
	taskSeconds float64
	idleSince   time.Time
}

// Mark holds the state of a Tracker at the start of a task.
type Mark struct {
	start       time.Time
	slot        int
	cores       float64
	coreSeconds float64
	slots       []slotMark
	// partial is set if the task started before the tracker.
	partial bool
}

type slotMark struct {
	generation  uint32
	taskSeconds float64
}

// New returns a tracker of a worker at which no task runs.
func New(now time.Time) *Tracker { return &Tracker{now: now, index: make(map[TypeID]int)} }

// advance adds the time since the last change to the integrals.
func (t *Tracker) advance(now time.Time) {
	d := now.Sub(t.now).Seconds()
	if d <= 0 {
		return
	}
	t.now = now
	t.coreSeconds += t.cores * d
	for i := range t.slots {
		t.slots[i].taskSeconds += float64(t.slots[i].running) * d
	}
}

// Start records the start of a task. The result is passed to End.
func (t *Tracker) Start(now time.Time, jobType string, cores float64) *Mark {
	t.advance(now)
	m := &Mark{start: t.now, slot: t.slotOf(TypeIDOf(jobType)), cores: cores, coreSeconds: t.coreSeconds}
	m.slots = make([]slotMark, len(t.slots))
	for i, s := range t.slots {
		m.slots[i] = slotMark{s.generation, s.taskSeconds}
	}
	t.cores += cores
	if m.slot >= 0 {
		t.slots[m.slot].running++
	}
	return m
}

// Adopt records a task that started before the tracker. End returns no summary for it.
func (t *Tracker) Adopt(now time.Time, jobType string, cores float64) *Mark {
	m := t.Start(now, jobType, cores)
	m.partial = true
	return m
}

// slotOf returns the slot of a job type, or -1 if all slots are in use for others.
func (t *Tracker) slotOf(id TypeID) int {
	if i, ok := t.index[id]; ok {
		return i
	}
	if len(t.slots) < maxTypes {
		t.slots = append(t.slots, slot{id: id})
		t.index[id] = len(t.slots) - 1
		return len(t.slots) - 1
	}
	idle := -1
	for i, s := range t.slots {
		if s.running == 0 && (idle < 0 || s.idleSince.Before(t.slots[idle].idleSince)) {
			idle = i
		}
	}
	if idle >= 0 {
		delete(t.index, t.slots[idle].id)
		t.slots[idle] = slot{id: id, generation: t.slots[idle].generation + 1}
		t.index[id] = idle
	}
	return idle
}

// End records the end of a task and returns what ran beside it at a worker with the given
// cores.
func (t *Tracker) End(now time.Time, m *Mark, workerCores float64) Summary {
	t.advance(now)
	summary := t.summary(m, workerCores)
	t.cores = max(0, t.cores-m.cores)
	if m.slot >= 0 {
		s := &t.slots[m.slot]
		if s.running--; s.running == 0 {
			s.idleSince = t.now
		}
	}
	return summary
}

func (t *Tracker) summary(m *Mark, workerCores float64) Summary {
	d := t.now.Sub(m.start).Seconds()
	if m.partial || d <= 0 || !(workerCores > 0) {
		return Summary{}
	}
	others := (t.coreSeconds-m.coreSeconds)/d - m.cores
	s := Summary{Known: true, Load: min(max(0, others/workerCores), 1)}
	for i, slot := range t.slots {
		mean := slot.taskSeconds / d
		if i < len(m.slots) && m.slots[i].generation == slot.generation {
			mean -= m.slots[i].taskSeconds / d
		}
		if i == m.slot {
			mean--
		}
		if mean >= minMean {
			s.Neighbours = append(s.Neighbours, Neighbour{slot.id, min(mean, MaxMean)})
		}
	}
	slices.SortFunc(s.Neighbours, func(a, b Neighbour) int {
		return cmp.Or(cmp.Compare(b.Mean, a.Mean), cmp.Compare(a.Type, b.Type))
	})
	s.Neighbours = s.Neighbours[:min(len(s.Neighbours), MaxNeighbours)]
	return s
}
