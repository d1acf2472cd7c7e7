package entry

import (
	"slices"

	"github.com/poplarlever/poplarlever/internal/core/msg"
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
	if p.tooLarge(j) || p.freeCores-size.Cores < c.reservedCores(p, j) || j.late && j.queuedCores() > p.lateCores {
		return nil
	}
	var best *worker
	bestScore, ties := 0.0, 0
	p.examined += len(p.workers)
	target := c.target(j, task)
	for _, w := range p.workers {
		if !w.fits(size) || !w.allowed(j, task, step) || !w.mayTake(p, j, task, step) || !c.crashRulesAllow(w, j, task, step) {
			continue
		}
		score := w.score(j, task, step) - w.cellScore(j) - c.endPenalty(w, p, &target, j)
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

// allowed reports whether the step's constraints let the task run at the worker.
func (w *worker) allowed(j *job, task int, step Step) bool {
	if !w.hasRequiredLabel(step) {
		return false
	}
	return step.MaxPerWorker == 0 || j.runningAt(w, j.spec.Tasks[task].Step) < step.MaxPerWorker
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

// score prefers workers near the data, then fast ones with a large part of their
// cores free.
func (w *worker) score(j *job, task int, step Step) float64 {
	score := -w.slowdownPenalty()
	if w.remote {
		score -= remotePenalty
	}
	if w.hello.Size.Cores > 0 {
		score += w.room.Cores / w.hello.Size.Cores
	}
	if step.Affinity != "" && w.hasLabel(step.Affinity) {
		score += affinityScore
	}
	return score - failingPenalty*w.health.FailingShare()
}
