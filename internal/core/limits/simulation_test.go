package limits_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/limits"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

var times = limits.Times{ConfirmationTTL: 5 * time.Second, MaxTaskTime: 7 * time.Second}

const entries = 4

// process is one entry incarnation with the tasks of one account.
type process struct {
	name        string
	incarnation msg.Incarnation
	client      *limits.Client
	alive       bool
	paused      bool
	allowed     int
	// taskEnds holds the end time of each running task.
	taskEnds []time.Time
	// delayedWrite is a write that reaches the store later, or never.
	delayedWrite *proposal
}

// proposal is a write and the limit that applied when it was proposed.
type proposal struct {
	limits.Write
	limit int
}

// system models a store and the entries that use it, in simulated time.
type system struct {
	t               *rapid.T
	now             time.Time
	version         uint64
	stored          limits.Value
	limit           int
	processes       []*process
	lastIncarnation msg.Incarnation
	started         map[string]int
	lapsed          map[string]bool
	times           limits.Times
}

func newSystem(t *rapid.T, durations limits.Times) *system {
	s := &system{
		t: t, now: time.Unix(1000, 0), limit: 3, times: durations,
		started: make(map[string]int), lapsed: make(map[string]bool),
	}
	for i := range entries {
		s.startProcess(fmt.Sprint(i))
	}
	return s
}

func (s *system) startProcess(name string) {
	s.lastIncarnation++
	s.processes = append(s.processes, &process{name: name, incarnation: s.lastIncarnation, alive: true, client: limits.NewClient(name, s.lastIncarnation, s.times)})
}

// newest returns the latest incarnation of an entry name.
func (s *system) newest(i int) *process {
	var found *process
	for _, p := range s.processes {
		if p.name == fmt.Sprint(i) {
			found = p
		}
	}
	return found
}

func (s *system) running() int {
	n := 0
	for _, p := range s.processes {
		n += len(p.taskEnds)
	}
	return n
}

// advance moves the time forward and ends tasks, also those of dead processes, since
// tasks run at the workers.
func (s *system) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, p := range s.processes {
		kept := p.taskEnds[:0]
		for _, end := range p.taskEnds {
			if end.After(s.now) {
				kept = append(kept, end)
			}
		}
		p.taskEnds = kept
	}
}

func (p *process) need(limit int) limits.Need {
	return limits.Need{Limit: limit, Used: len(p.taskEnds) + p.client.Inherited("a"), Waiting: 5}
}

// startTasks starts as many tasks as the entry may run. Each ends after taskTime.
func (s *system) startTasks(p *process, taskTime time.Duration) {
	if !p.alive || p.paused {
		return
	}
	p.client.Tick(s.now)
	p.allowed = p.client.Allotted(s.now, "a", p.need(s.limit))
	for len(p.taskEnds) < p.allowed {
		p.taskEnds = append(p.taskEnds, s.now.Add(taskTime))
		s.started[p.name]++
		if n := s.running(); n > s.limit {
			s.t.Fatalf("%d tasks run with a limit of %d at %v after a start at entry %s", n, s.limit, s.now, p.name)
		}
	}
}

func (s *system) write(w proposal) {
	if w.ExpectedVersion != s.version {
		return
	}
	before := s.stored.Sum("a")
	s.version++
	s.stored = w.Value.Clone()
	if sum := s.stored.Sum("a"); sum > max(before, w.limit) {
		s.t.Fatalf("the sum of allotments goes from %d to %d with a limit of %d", before, sum, w.limit)
	}
}

// storeRound reads the store and writes the proposed value, if any. The answer selects
// whether the write is delayed and whether its result arrives.
func (s *system) storeRound(p *process, answer string) {
	if !p.alive || p.paused || answer == "down" {
		return
	}
	p.client.Observe(s.now, s.version, s.stored)
	w, ok := p.client.Propose(s.now, map[string]limits.Need{"a": p.need(s.limit)}, func(name string) bool { return s.lapsed[name] })
	if !ok {
		return
	}
	proposed := proposal{w, s.limit}
	p.delayedWrite = nil
	if answer == "late" {
		p.delayedWrite = &proposed
		return
	}
	s.write(proposed)
	if answer == "ok" {
		p.client.Observe(s.now, s.version, s.stored)
	}
}

// exchange makes p request a confirmation from q.
func (s *system) exchange(p, q *process) {
	if p != q && p.alive && q.alive && !p.paused && !q.paused && q.client.Confirms(p.name, p.incarnation) {
		p.client.RecordConfirmation(q.name, s.now)
	}
}

// runWithoutFaults runs all entries for the given number of rounds without faults.
func (s *system) runWithoutFaults(rounds int) {
	for range rounds {
		for i := range entries {
			p := s.newest(i)
			for j := range entries {
				s.exchange(p, s.newest(j))
			}
			s.storeRound(p, "ok")
			s.startTasks(p, 500*time.Millisecond)
		}
		s.advance(500 * time.Millisecond)
	}
}

func (s *system) step() {
	t := s.t
	p := s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
	switch rapid.SampledFrom([]string{"call", "call", "call", "work", "work", "exchange", "exchange", "time", "pause", "die", "boot", "lapse", "limit", "late"}).Draw(t, "what") {
	case "call":
		s.storeRound(p, rapid.SampledFrom([]string{"ok", "ok", "lost", "late", "down"}).Draw(t, "answer"))
	case "work":
		s.startTasks(p, times.MaxTaskTime)
	case "exchange":
		for j := range entries {
			if rapid.IntRange(0, 3).Draw(t, "reached") > 0 {
				s.exchange(p, s.newest(j))
			}
		}
	case "time":
		s.advance(time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond)
	case "pause":
		p.paused = !p.paused
	case "die":
		p.alive = false
	case "boot":
		// The earlier process may still be alive, as it is after a pause.
		if len(s.processes) < 12 {
			s.startProcess(p.name)
		}
	case "lapse":
		s.lapsed[p.name] = !s.lapsed[p.name]
	case "limit":
		s.limit = rapid.IntRange(1, 6).Draw(t, "limit")
	case "late":
		if p.delayedWrite != nil {
			s.write(*p.delayedWrite)
			p.delayedWrite = nil
		}
	}
}

func run(t *rapid.T, durations limits.Times) *system {
	s := newSystem(t, durations)
	s.runWithoutFaults(6)
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		s.step()
	}
	return s
}

func setRapidFlags(t *testing.T, checks string) {
	for name, v := range map[string]string{"rapid.seed": "20250117", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against running more tasks than an account's limit when store answers are lost
// or late, entries pause, die, are replaced or are reclaimed, and limits change.
func TestLimitHolds(t *testing.T) {
	setRapidFlags(t, "1000")
	rapid.Check(t, func(t *rapid.T) { run(t, times) })
}

// Guards against entries that never get a share of a limit smaller than the number of
// entries.
func TestSmallLimitReachesAllEntries(t *testing.T) {
	setRapidFlags(t, "1")
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, times)
		s.limit = 1
		s.runWithoutFaults(60)
		for i := range entries {
			if s.started[fmt.Sprint(i)] == 0 {
				t.Fatalf("entry %d started no task in 30 s: %v", i, s.started)
			}
		}
	})
}
