package entry

import (
	"slices"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Explanation says what the entry would do with a job that came now.
type Explanation struct {
	Revision uint64
	Service  string
	JobType  string
	Priority int
	// Refusal is the answer of a job that would not be admitted. MaxRetryAfter is the longest
	// RetryAfter that its caller could get; the one in Refusal is the shortest.
	Refusal       *Answer
	MaxRetryAfter time.Duration
	// Rule is the rule by which the first task would wait, or zero if it would start.
	Rule verdict.PlacementRule
	// Worker is where the first task would start. Of equally good workers one is chosen at
	// random; this is the first by name.
	Worker string
	// Workers lists the workers of the service, ordered by name.
	Workers []WorkerExplanation
}

// WorkerExplanation says why the first task of a job would start at a worker or not.
type WorkerExplanation struct {
	Name, FailureDomain string
	// Rule excludes the worker; zero if the task could start there.
	Rule verdict.PlacementRule
	// Total decides between workers. Score has its parts at a leased worker; at another one
	// the total is the number of free slots, granted ones before spare ones.
	Total float64
	Score Score
}

// Explain returns what Submit would do with the job now. It starts nothing and changes no
// decision.
func (c *Core) Explain(now time.Time, spec Job) Explanation {
	if now.Before(c.now) {
		now = c.now
	}
	spec.Tasks = slices.Clone(spec.Tasks)
	c.prepare(now, &spec)
	e := Explanation{Revision: c.policy.Revision, Service: spec.Service, JobType: spec.JobType}
	if answer, refused := c.admit(now, spec); refused {
		e.refuse(answer, answer.RetryAfter)
		return e
	}
	j := c.newJob(now, spec)
	c.previewEstimate(j)
	e.Priority = j.policy.Priority
	for i := range spec.Tasks {
		if j.stepReady(spec.Tasks[i].Step) {
			j.queuedTasks = append(j.queuedTasks, i)
		}
	}
	// What is decided after the forecast knows of the job is decided by a copy of it.
	arrived := *c.queue.service(spec.Service)
	arrived.arrived(now, j)
	wait := arrived.roomWait(now)
	switch {
	case c.allEvacuated(spec.Service):
		e.refuse(evacuatedAnswer(Refused, minEvacuationRetry), maxEvacuationRetry)
	case c.knownDeadly(spec):
		e.refuse(deadlyAnswer(), 0)
	case c.hopeless(now, j):
		e.refuse(hopelessAnswer(wait), 2*wait)
	case c.wouldShed(now, &arrived, j):
		e.refuse(shedAnswer(wait), 2*wait)
	}
	if len(j.queuedTasks) > 0 {
		c.explainPlacement(now, j, &e)
	}
	return e
}

func (e *Explanation) refuse(a Answer, maxRetryAfter time.Duration) {
	e.Refusal, e.MaxRetryAfter = &a, maxRetryAfter
}

// explainPlacement explains where the first task would start.
func (c *Core) explainPlacement(now time.Time, j *job, e *Explanation) {
	s := c.queue.service(j.spec.Service)
	p := c.newPass(now, j.spec.Service)
	p.reserve(s)
	var best *WorkerExplanation
	for _, w := range c.workers.list {
		if w.hello.Service == j.spec.Service {
			e.Workers = append(e.Workers, c.explainWorker(now, &p, w, j))
		}
	}
	for i := range e.Workers {
		if w := &e.Workers[i]; w.Rule == 0 && (best == nil || w.Total > best.Total) {
			best = w
		}
	}
	if e.Rule = c.explainWait(&p, s, j); e.Rule == 0 && best == nil {
		e.Rule = verdict.NoRoom
	}
	if e.Rule == 0 {
		e.Worker = best.Name
	}
}

// explainWait returns the rule by which the job's first task would wait whatever the
// workers, or zero. Tasks that wait come first at workers with slots. At leased workers a
// task that still finds room is not held up by those that do not.
func (c *Core) explainWait(p *pass, s *serviceQueue, j *job) verdict.PlacementRule {
	switch {
	case !c.usage.MayStart(j.spec.Account):
		return verdict.AccountLimit
	case !j.sized() && s.next() != nil:
		return verdict.BehindOthers
	case len(p.workers) == 0:
		return 0
	}
	return c.waitRule(p, j, j.spec.Tasks[j.queuedTasks[0]].DeclaredSize)
}

func (c *Core) explainWorker(now time.Time, p *pass, w *worker, j *job) WorkerExplanation {
	e := WorkerExplanation{Name: w.name, FailureDomain: w.hello.FailureDomain, Rule: w.rule(now, p.leaveOutSlow)}
	if !w.hello.Leased() {
		e.Total = float64(w.rank())
		return e
	}
	task := j.queuedTasks[0]
	if e.Rule == 0 {
		e.Rule = c.taskRule(p, w, j, task, j.step(task))
	}
	preferred, separated := c.preferredWorkers(j)
	target := c.target(p, j, task)
	e.Score = c.score(p, w, j, j.step(task), &target, separated && !preferred.Contains(w.separationRank))
	e.Total = e.Score.total()
	return e
}
