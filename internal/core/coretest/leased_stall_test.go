package coretest

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

var stallSeeds = flag.Uint64("stall.seeds", 2, "seeds of TestHangingWorkersComeBackIntoUse")

const (
	stallEntries = 3
	stallWorkers = 6
	// minTrialInterval is the shortest time between two starts at a stalled worker.
	minTrialInterval = time.Second
	// maxStall is how long a worker that does not hang may be out of use: a sound one is found
	// stalled now and then, and its first trial task may fail.
	maxStall = 3 * time.Second
)

// stalls lets workers hang and follows what their agents notice.
type stalls struct {
	w *leasedWorld
	// hungSince holds the workers that hang, stalledSince those that are found to be stalled.
	hungSince, stalledSince map[*leasedAgent]time.Time
	// startedAt is when a task last started at a stalled worker.
	startedAt map[*leasedAgent]time.Time
	// starts counts starts by worker.
	starts map[*leasedAgent]int
	// hangs counts those of at least a second, noticed the stalls found within it, spurious
	// those of workers that do not hang, recovered those that were over.
	hangs, noticed, spurious, recovered int
	notice                              time.Duration
}

func newStallWorld(c *qt.C, seed uint64) (*leasedWorld, *stalls) {
	w := newLeasedWorldOf(c, seed, stallEntries, stallWorkers)
	s := &stalls{
		w: w, hungSince: make(map[*leasedAgent]time.Time), stalledSince: make(map[*leasedAgent]time.Time),
		startedAt: make(map[*leasedAgent]time.Time), starts: make(map[*leasedAgent]int),
	}
	w.stalls = s
	for _, a := range w.agents {
		w.startAgent(a)
	}
	return w, s
}

func (s *stalls) agentStarted(a *leasedAgent) {
	delete(s.stalledSince, a)
	delete(s.startedAt, a)
}

func (s *stalls) judged(a *leasedAgent, stalled bool) {
	now := s.w.now
	if !stalled {
		s.agentStarted(a)
		s.recovered++
		return
	}
	s.stalledSince[a] = now
	since, hangs := s.hungSince[a]
	if !hangs {
		s.spurious++
		return
	}
	s.noticed++
	s.notice += now.Sub(since)
}

// started checks that a stalled worker gets no more than trial tasks.
func (s *stalls) started(a *leasedAgent) {
	s.starts[a]++
	since, stalled := s.stalledSince[a]
	if !stalled {
		return
	}
	if last, again := s.startedAt[a]; again {
		since = last
	}
	if d := s.w.now.Sub(since); d < minTrialInterval {
		s.w.c.Errorf("a task starts at %s, which is stalled, %s after the one before", a.name, d)
	}
	s.startedAt[a] = s.w.now
}

// hang lets a worker hang for a time. A worker that restarts meanwhile does not hang.
func (s *stalls) hang(a *leasedAgent, d time.Duration) {
	if _, hangs := s.hungSince[a]; hangs {
		return
	}
	s.hangs++
	s.hungSince[a] = s.w.now
	instance := a.worker
	instance.SetHanging(s.w.now, true)
	s.w.after(d, func() {
		instance.SetHanging(s.w.now, false)
		delete(s.hungSince, a)
	})
}

// disturb lets workers hang, all of them at once now and then, and injects faults if wanted.
func (s *stalls) disturb(until time.Time, faults bool) {
	w := s.w
	if !w.now.Before(until) {
		return
	}
	if faults {
		w.mixedFault(w.randomAgent(), w.randomEntry())
	}
	d := time.Second + time.Duration(w.rng.Int64N(int64(3*time.Second)))
	switch w.rng.IntN(300) {
	case 0, 1, 2, 3, 4, 5, 6, 7, 8, 9:
		s.hang(w.randomAgent(), d)
	case 10:
		for _, a := range w.agents {
			s.hang(a, d/2)
		}
	}
	w.after(time.Duration(w.rng.IntN(60))*time.Millisecond, func() { s.disturb(until, faults) })
}

func (s *stalls) load() {
	w := s.w
	if w.quiesced {
		return
	}
	w.submit(fmt.Sprintf("job-%d", w.jobs), w.randomLiveEntry(), 2)
	w.after(time.Duration(w.rng.IntN(50))*time.Millisecond, s.load)
}

// Guards against two runs of one task, a job without an answer, more than one trial task a
// second at a stalled worker and a worker that stays out of use, when workers hang and go on,
// one or all at once, by themselves or while entries, agents, links and workers fail; and,
// without other faults, against hanging workers that are noticed late and sound ones that are
// taken for stalled.
func TestHangingWorkersComeBackIntoUse(t *testing.T) {
	for seed := range *stallSeeds {
		for _, faults := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, faults %v", seed, faults), func(t *testing.T) {
				t.Parallel()
				w, s := newStallWorld(qt.New(t), seed)
				w.after(time.Second, s.load)
				w.after(6*time.Second, func() { s.disturb(w.now.Add(30*time.Second), faults) })
				w.run(41 * time.Second)
				w.c.Logf("%d hangs, %d noticed after %v on the mean, %d recovered, %d spurious", s.hangs, s.noticed, s.notice/time.Duration(max(1, s.noticed)), s.recovered, s.spurious)
				w.run(6 * time.Second)
				clear(s.starts)
				w.run(3 * time.Second)
				for _, a := range w.agents {
					w.c.Check(s.starts[a] > 3, qt.IsTrue, qt.Commentf("%s is not in use: %d starts", a.name, s.starts[a]))
					since, stalled := s.stalledSince[a]
					w.c.Check(stalled && w.now.Sub(since) > maxStall, qt.IsFalse, qt.Commentf("%s is still stalled", a.name))
				}
				w.c.Check(s.hangs > 5 && s.noticed > 0 && s.recovered > 0, qt.IsTrue)
				if !faults {
					w.c.Check(s.noticed*2 >= s.hangs, qt.IsTrue, qt.Commentf("%d of %d hangs noticed", s.noticed, s.hangs))
					w.c.Check(s.spurious <= 1, qt.IsTrue, qt.Commentf("%d spurious", s.spurious))
					w.c.Check(s.notice <= time.Duration(s.noticed)*time.Second, qt.IsTrue)
				}
				w.quiesced = true
				w.run(10 * time.Second)
				for _, e := range w.entries {
					w.c.Check(e.openJobs, qt.HasLen, 0)
				}
				w.c.Check(w.answers[entry.Complete] > 300, qt.IsTrue, qt.Commentf("%v", w.answers))
				w.c.Logf("%v", w.answers)
			})
		}
	}
}
