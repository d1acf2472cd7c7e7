package interference_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/interference"
)

// load is a generated load with a known truth. Tasks progress at a rate that depends on the
// speed of their worker, on its load and on the tasks beside them at each moment.
type load struct {
	types   []loadType
	workers int
	entries int
	// rate is the number of jobs per second.
	rate float64
	// effects are the slowdowns, as logarithms, of a type for each task of another beside it.
	effects map[[2]string]float64
	// full is the slowdown of every task by the load of its worker, as a logarithm.
	full func(load float64) float64
	// slow is the number of workers that take eight times as long from a third to two thirds
	// of the time. Type 1 prefers them.
	slow int
	// unsteady makes them slow for four of every eight seconds, so that their speed cannot be
	// known.
	unsteady bool
	// uneven is the standard deviation of what matters for a worker besides its free share:
	// failure domains, labels, and that the view of an entry is old.
	uneven float64
	// bursts makes types 1 and 2 arrive only in the same two of every ten seconds.
	bursts bool
	// place adjusts the score of a worker for a type at an entry; nil means no preference.
	place func(now time.Time, entry int, jobType string, w *simWorker) float64
	// observe gets the runs of each job that ends.
	observe func(now time.Time, entry int, jobType string, runs []interference.Run)
}

type loadType struct {
	name        string
	weight      float64
	tasks       int
	cores, work float64
}

const workerCores = 64

// simWorker is a worker of the load.
type simWorker struct {
	name    string
	speed   float64
	used    float64
	tracker *colocation.Tracker
	tasks   []*simTask
	counts  []int
	index   int
	updated float64
	version int
}

type simTask struct {
	job       *simJob
	remaining float64
	rate      float64
	stretch   float64
	start     float64
	mark      *colocation.Mark
}

type simJob struct {
	entry int
	kind  *loadType
	index int
	open  int
	runs  []interference.Run
}

type simEvent struct {
	at      float64
	worker  *simWorker
	version int
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simResult summarises a run of a load.
type simResult struct {
	// slowdown is the mean factor by which interference stretched run times, worst that of
	// the type that suffered most.
	slowdown, worst float64
	// unplaced is the number of tasks that found no room, started the number of the others.
	unplaced, started int
	// largest is the mean of the largest free part of a worker.
	largest float64
}

var loadStart = time.Unix(1_700_000_000, 0)

func timeAt(seconds float64) time.Time {
	return loadStart.Add(time.Duration(seconds * float64(time.Second)))
}

// run generates the load for a number of seconds.
func (l load) run(seed uint64, seconds float64) simResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	workers := make([]*simWorker, l.workers)
	for i := range workers {
		workers[i] = &simWorker{
			name: fmt.Sprintf("worker-%02d", i), speed: 0.55 + 0.75*rng.Float64(),
			tracker: colocation.New(loadStart), counts: make([]int, len(l.types)), index: i,
		}
	}
	names := map[colocation.TypeID]string{}
	total := 0.0
	for _, t := range l.types {
		names[colocation.TypeIDOf(t.name)] = t.name
		total += t.weight
	}
	var events simEvents
	var result simResult
	stretched, ideal := make([]float64, len(l.types)), make([]float64, len(l.types))
	effects := make([][]float64, len(l.types))
	for i, a := range l.types {
		for _, b := range l.types {
			effects[i] = append(effects[i], l.effects[[2]string{a.name, b.name}])
		}
	}
	slowNow := func(i int, now float64) bool {
		if l.unsteady {
			return i < l.slow && math.Mod(now, 8) < 4
		}
		return i < l.slow && now > seconds/3 && now < 2*seconds/3
	}
	reschedule := func(w *simWorker, now float64) {
		next := math.Inf(1)
		for _, t := range w.tasks {
			stretch := 0.0
			for kind, n := range w.counts {
				if kind == t.job.index {
					n--
				}
				stretch += effects[t.job.index][kind] * float64(n)
			}
			slowdown := stretch
			if l.full != nil {
				slowdown += l.full((w.used - t.job.kind.cores) / workerCores)
			}
			if slowNow(w.index, now) {
				slowdown += math.Log(8)
			}
			t.rate = w.speed * math.Exp(-slowdown)
			t.stretch = math.Exp(stretch)
			next = min(next, now+t.remaining/t.rate)
		}
		w.version++
		if len(w.tasks) > 0 {
			heap.Push(&events, simEvent{next, w, w.version})
		}
	}
	advance := func(w *simWorker, now float64) {
		for _, t := range w.tasks {
			t.remaining -= (now - w.updated) * t.rate
			stretched[t.job.index] += now - w.updated
			ideal[t.job.index] += (now - w.updated) / t.stretch
		}
		w.updated = now
	}
	end := func(w *simWorker, now float64) {
		advance(w, now)
		kept := w.tasks[:0]
		for _, t := range w.tasks {
			if t.remaining > 1e-9 {
				kept = append(kept, t)
				continue
			}
			w.used -= t.job.kind.cores
			w.counts[t.job.index]--
			s := w.tracker.End(timeAt(now), t.mark, workerCores)
			// Messages carry sixteenths of a task and 255ths of the load.
			r := interference.Run{Worker: w.name, Ratio: now - t.start, Load: math.Round(s.Load*255) / 255}
			for _, n := range s.Neighbours {
				r.Neighbours = append(r.Neighbours, interference.Neighbour{JobType: names[n.Type], Mean: math.Round(n.Mean*16) / 16})
			}
			t.job.runs = append(t.job.runs, r)
			if t.job.open--; t.job.open == 0 && l.observe != nil && len(t.job.runs) > 1 {
				l.observe(timeAt(now), t.job.entry, t.job.kind.name, t.job.runs)
			}
		}
		w.tasks = kept
		reschedule(w, now)
	}
	arrive := func(now float64) {
		x := rng.Float64() * total
		kind := 0
		for x -= l.types[kind].weight; x > 0; x -= l.types[kind].weight {
			kind++
		}
		if l.bursts && (kind == 1 || kind == 2) {
			if math.Mod(now, 10) >= 2 {
				return
			}
		}
		t := &l.types[kind]
		// The error of the declared time and the tail are common to the job.
		work := t.work * math.Exp(0.4*rng.NormFloat64())
		if rng.Float64() < 0.03 {
			work *= 7
		}
		j := &simJob{entry: rng.IntN(l.entries), kind: t, index: kind}
		for range t.tasks {
			var best *simWorker
			score := 0.0
			for i, w := range workers {
				if w.used+t.cores > workerCores {
					continue
				}
				s := 1 - w.used/workerCores + l.uneven*rng.NormFloat64()
				if l.place != nil {
					s += l.place(timeAt(now), j.entry, t.name, w)
				}
				if l.slow > 0 && kind == 1 && i < l.slow {
					s += 0.2
				}
				if best == nil || s > score {
					best, score = w, s
				}
			}
			if best == nil {
				result.unplaced++
				continue
			}
			result.started++
			advance(best, now)
			task := &simTask{job: j, remaining: work * math.Exp(0.15*rng.NormFloat64()), start: now}
			task.mark = best.tracker.Start(timeAt(now), t.name, t.cores)
			best.tasks = append(best.tasks, task)
			best.used += t.cores
			best.counts[kind]++
			j.open++
			reschedule(best, now)
		}
		free := 0.0
		for _, w := range workers {
			free = max(free, 1-w.used/workerCores)
		}
		result.largest += free
	}
	next, jobs := 0.0, 0
	for next < seconds {
		for len(events) > 0 && events[0].at <= next {
			e := heap.Pop(&events).(simEvent)
			if e.version == e.worker.version {
				end(e.worker, e.at)
			}
		}
		arrive(next)
		jobs++
		rate := l.rate
		if l.bursts && math.Mod(next, 10) < 2 {
			rate *= 1.5
		}
		next += rng.ExpFloat64() / rate
	}
	result.largest /= float64(jobs)
	sumStretched, sumIdeal := 0.0, 0.0
	for i := range ideal {
		sumStretched += stretched[i]
		sumIdeal += ideal[i]
		result.worst = max(result.worst, stretched[i]/ideal[i])
	}
	result.slowdown = sumStretched / sumIdeal
	return result
}

// mixedTypes returns job types of different sizes, run times and numbers of tasks.
func mixedTypes() []loadType {
	return []loadType{
		{"urgent", 3, 8, 4, 0.055}, {"middle", 6, 2, 6, 0.18}, {"report", 2, 4, 6, 0.3}, {"long", 0.6, 4, 6, 0.8},
		{"index", 1.5, 4, 5, 0.25}, {"price", 3, 4, 3, 0.1}, {"check", 3, 2, 4, 0.12}, {"merge", 0.7, 3, 18, 0.4},
	}
}
