package entry

import (
	"slices"

	"github.com/poplarlever/poplarlever/internal/core/estimate"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// This file chooses the leased worker for a task: the one with the best score among those
// that have room, are allowed by the task's step and may get a task.

// fits reports whether a leased worker is believed to have room for the task.
func (w *worker) fits(size msg.Size) bool { return size.FitsIn(w.room) }

// setRoom applies the room in a report, less that of dispatches which the agent had not
// seen when it sent the report.
func (w *worker) setRoom(r msg.Slots) {
	w.room = r.Room
	if w.trialUnderWay(r) {
		w.room = msg.Size{}
		return
	}
	for _, a := range w.outstanding {
		if w.owns(a) && a.seq > max(w.baseSeq, r.Covers) {
			w.room = w.room.Minus(a.size)
		}
	}
}

// pickLeased returns the leased worker for a task, or nil.
func (c *Core) pickLeased(p *pass, j *job, task int) *worker {
	size, step := j.spec.Tasks[task].DeclaredSize, j.step(task)
	if c.waitRule(p, j, size) != 0 {
		return nil
	}
	var best *worker
	bestScore, ties := 0.0, 0
	p.examined += len(p.workers)
	preferred, separated := c.preferredWorkers(j)
	target := c.target(p, j, task)
	for _, w := range p.workers {
		if c.taskRule(p, w, j, task, step) != 0 {
			continue
		}
		score := c.score(p, w, j, step, &target, separated && !preferred.Contains(w.separationRank)).total()
		switch {
		case best == nil || score > bestScore:
			best, bestScore, ties = w, score, 1
		case score == bestScore:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = w
			}
		}
	}
	if best == nil {
		p.lowerMaxFree()
	}
	return best
}

// waitRule returns the rule by which the job's next task waits whatever the workers, or zero.
func (c *Core) waitRule(p *pass, j *job, size msg.Size) verdict.PlacementRule {
	switch {
	case p.tooLarge(j):
		return verdict.NoRoom
	case p.freeCores-size.Cores < c.reservedCores(p, j), j.late && j.queuedCores() > p.lateCores:
		return verdict.ReservedRoom
	}
	return 0
}

// taskRule returns the rule by which the task does not start at a worker that may get tasks,
// or zero.
func (c *Core) taskRule(p *pass, w *worker, j *job, task int, step Step) verdict.PlacementRule {
	switch {
	case w.stalled && !w.fits(j.spec.Tasks[task].DeclaredSize):
		// The agent reports room only while a trial task is due.
		return verdict.NoProgress
	case !w.fits(j.spec.Tasks[task].DeclaredSize):
		return verdict.NoRoom
	case !w.hasRequiredLabel(step):
		return verdict.MissingLabel
	case step.MaxPerWorker != 0 && j.runningAt(w, j.spec.Tasks[task].Step) >= step.MaxPerWorker:
		return verdict.StepLimit
	case !w.mayTake(p, j, task, step):
		return verdict.FailedThere
	case !c.crashRulesAllow(w, j, task, step):
		return verdict.CrashRules
	}
	return 0
}

func (w *worker) hasRequiredLabel(step Step) bool {
	return step.Requires == "" || w.hasLabel(step.Requires)
}

func (w *worker) hasLabel(label string) bool { return slices.Contains(w.hello.Labels, label) }

const (
	// affinityScore outweighs any difference in room.
	affinityScore = 2
	// remotePenalty is the part of a worker's cores that has to be free beyond that of one
	// in the entry's own failure domain, since the network path is slower and the platform
	// charges for it.
	remotePenalty = 0.25
)

// Score holds what a worker is worth for a task. The worker with the largest sum of Room and
// Affinity less the others gets it.
type Score struct {
	// Room is the free part of the worker's cores, Affinity is set near the task's data.
	Room, Affinity float64
	// Slowdown, Remote, Failing, Cell, ExpectedEnd and Separation are subtracted. ExpectedEnd
	// is negative for the trial task of a slow worker.
	Slowdown, Remote, Failing, Cell, ExpectedEnd, Separation float64
}

func (s Score) total() float64 {
	return -s.Slowdown - s.Remote + s.Room + s.Affinity - s.Failing - s.Cell - s.ExpectedEnd - s.Separation
}

// score prefers workers near the data, then those where the task ends in time or that are
// fast, with a large part of their cores free.
func (c *Core) score(p *pass, w *worker, j *job, step Step, t *estimate.Target, separated bool) Score {
	s := Score{
		Slowdown: w.slowdownPenalty(), Failing: failingPenalty * w.health.FailingShare(), Cell: w.cellScore(j),
		ExpectedEnd: c.endPenalty(w, p, t, j),
	}
	if w.remote {
		s.Remote = remotePenalty
	}
	if w.hello.Size.Cores > 0 {
		s.Room = w.room.Cores / w.hello.Size.Cores
	}
	if step.Affinity != "" && w.hasLabel(step.Affinity) {
		s.Affinity = affinityScore
	}
	if separated {
		s.Separation = separationScore
	}
	return s
}
