package entry

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/interference"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/separation"
)

// This file applies packages interference and separation: which job types slow each other
// down is learned from the results of jobs, and their tasks prefer different workers.

const (
	// colocationEvery is the part of the jobs, one of this many, for which agents say what ran
	// beside the tasks. A pair is found after a few thousand tasks, so that more would cost
	// bytes and bring little.
	colocationEvery = 4
	// separationScore is what a worker's score loses for tasks that prefer others. It is the
	// free part of its cores by which workers count as about equally good, and smaller than
	// remotePenalty, so that it alone sends no task to another failure domain.
	separationScore = 0.2
	// divideInterval is the time after which the workers are divided anew by demand.
	divideInterval = time.Minute
	// demandHalfLife is the time after which demand counts half.
	demandHalfLife = 10 * time.Minute
	// maxRunTime bounds run times that are compared.
	maxRunTime = 24 * time.Hour
	// rejectedInterval is the shortest time between two reports of rejected summaries.
	rejectedInterval = 10 * time.Second
)

// separations holds what the entry knows of interference. It is nil without the setting.
type separations struct {
	model *interference.Model
	// services holds the services with results.
	services  map[string]*separatedService
	dividedAt time.Time
	// ranksStale is set when the workers have changed since their ranks were set.
	ranksStale bool
	rejected   ColocationRejected
	reportedAt time.Time
}

type separatedService struct {
	// names holds the job types of the table. Two with the same TypeID have an empty name.
	names map[colocation.TypeID]string
	// demand is the use of cores by job type, in core-seconds.
	demand    map[string]float64
	demandAt  time.Time
	intervals map[string]separation.Interval
}

func newSeparations(enabled bool) *separations {
	if !enabled {
		return nil
	}
	return &separations{model: interference.New(), services: make(map[string]*separatedService)}
}

// colocationEvery returns the value of msg.Welcome.ColocationEvery.
func (s *separations) colocationEvery() uint32 {
	if s == nil {
		return 0
	}
	return colocationEvery
}

// applyPolicy sets the names of job types and drops services that are not in the table.
func (s *separations) applyPolicy(p Policy) {
	if s == nil {
		return
	}
	for name := range s.services {
		if _, ok := p.Services[name]; !ok {
			delete(s.services, name)
		}
	}
	for name, service := range p.Services {
		names := make(map[colocation.TypeID]string, len(service.JobTypes))
		for jobType := range service.JobTypes {
			id := colocation.TypeIDOf(jobType)
			if _, taken := names[id]; taken {
				jobType = ""
			}
			names[id] = jobType
		}
		if s.services[name] == nil {
			s.services[name] = &separatedService{demand: make(map[string]float64)}
		}
		s.services[name].names = names
	}
}

// workersChanged notes that the ranks of workers have to be set anew.
func (s *separations) workersChanged() {
	if s != nil {
		s.ranksStale = true
	}
}

// forgetWorker drops what is known of a worker's speed. It is another instance.
func (s *separations) forgetWorker(w *worker) {
	if s != nil {
		s.model.ForgetWorker(w.hello.Service, w.name)
	}
}

// observedRuns holds the runs of a job's tasks. Each undeclared one is of a task without a
// declared run time.
type observedRuns struct {
	ended, undeclared int
	runs              []interference.Run
}

// comparable reports whether the ratios of the runs have the same unit.
func (o *observedRuns) comparable() bool {
	return len(o.runs) >= 2 && (o.undeclared == 0 || o.undeclared == len(o.runs))
}

// soundDuring reports whether the worker is sound and has not been stalled during an attempt.
func (w *worker) soundDuring(a *attempt) bool {
	return !w.slowdown.slow() && !w.health.Quarantined() && !w.stalled && !w.reportedStalled && !a.sentAt.Before(w.stalledUntil)
}

// recordColocation records a task's run and, once all tasks of its job have ended, compares
// them. Until then those that interference slows down are missing. Of a large job the first
// tasks are compared: they are chosen whatever their run time. slowness is that of the worker's
// learned speed, 1 if it is not learned.
func (c *Core) recordColocation(now time.Time, a *attempt, w *worker, r msg.Result, slowness float64) {
	s, j, task := c.separations, a.job, a.task
	if s == nil || r.Kind != msg.ResultOK || !w.hello.Leased() {
		return
	}
	service := s.services[j.spec.Service]
	if service == nil {
		return
	}
	t := j.spec.Tasks[task]
	valid := r.RunTime > 0 && r.RunTime <= maxRunTime
	if valid {
		service.addDemand(now, j.spec.JobType, t.DeclaredSize.Cores*r.RunTime.Seconds())
	}
	if r.Beside.Malformed || r.Beside.Known && !valid {
		s.rejected.Worker = w.name
		s.rejected.Count++
	}
	if len(j.spec.Steps) > 1 || j.step(task).Affinity != "" {
		return
	}
	j.observed.ended++
	if task < interference.MaxRuns && r.Beside.Known && valid && w.soundDuring(a) {
		j.observed.runs = append(j.observed.runs, service.run(w, t, r, slowness))
		if t.DeclaredRunTime <= 0 {
			j.observed.undeclared++
		}
	}
	if j.observed.ended < len(j.tasks) || !j.observed.comparable() {
		return
	}
	if pair, changed := s.model.Observe(now, j.spec.Service, j.spec.JobType, j.observed.runs); changed {
		c.separationChanged(now, pair)
	}
	j.observed.runs = nil
}

// run converts a result. The declared run time cancels out if it is the same for all tasks, and
// the ratio of the job type's run times to it always does.
func (s *separatedService) run(w *worker, t Task, r msg.Result, slowness float64) interference.Run {
	run := interference.Run{Worker: w.name, Ratio: r.RunTime.Seconds() / slowness, Load: r.Beside.Load}
	if t.DeclaredRunTime > 0 {
		run.Ratio /= t.DeclaredRunTime.Seconds()
	}
	for _, n := range r.Beside.Neighbours {
		if name := s.names[n.Type]; name != "" {
			run.Neighbours = append(run.Neighbours, interference.Neighbour{JobType: name, Mean: n.Mean})
		}
	}
	return run
}

func (s *separatedService) addDemand(now time.Time, jobType string, coreSeconds float64) {
	if s.demandAt.IsZero() {
		s.demandAt = now
	}
	if coreSeconds >= 0 && !math.IsInf(coreSeconds, 0) {
		s.demand[jobType] += coreSeconds
	}
}

// decayDemand lets old demand count less.
func (s *separatedService) decayDemand(now time.Time) {
	f := math.Exp2(-max(0, now.Sub(s.demandAt).Seconds()) / demandHalfLife.Seconds())
	s.demandAt = now
	for name := range s.demand {
		if s.demand[name] *= f; s.demand[name] < 1e-3 {
			delete(s.demand, name)
		}
	}
}

// separationChanged reports the change of a pair and divides the workers anew.
func (c *Core) separationChanged(now time.Time, p interference.Pair) {
	c.emit(JobTypesSeparated(p))
	c.divide(now, p.Service)
}

// divide sets the workers that the job types of a service prefer.
func (c *Core) divide(now time.Time, name string) {
	service := c.separations.services[name]
	if service == nil {
		return
	}
	service.decayDemand(now)
	var conflicts []separation.Conflict
	for _, p := range c.separations.model.Separated(name) {
		conflicts = append(conflicts, separation.Conflict{A: p.JobType, B: p.Neighbour, Effect: p.Slowdown})
	}
	service.intervals = separation.Divide(conflicts, service.demand)
}

// checkSeparations ends separations whose evidence has faded and follows the demand.
func (c *Core) checkSeparations(now time.Time) {
	s := c.separations
	if s == nil {
		return
	}
	for _, p := range s.model.Expire(now) {
		c.separationChanged(now, p)
	}
	if now.Sub(s.dividedAt) >= divideInterval {
		s.dividedAt = now
		for name := range s.services {
			c.divide(now, name)
		}
	}
	if s.rejected.Count > 0 && now.Sub(s.reportedAt) >= rejectedInterval {
		c.emit(s.rejected)
		s.rejected, s.reportedAt = ColocationRejected{}, now
	}
}

// preferredWorkers returns the part of the workers that the job's tasks prefer, and whether
// they prefer any.
func (c *Core) preferredWorkers(j *job) (separation.Interval, bool) {
	if c.separations == nil {
		return separation.Interval{}, false
	}
	service := c.separations.services[j.spec.Service]
	if service == nil || len(service.intervals) == 0 {
		return separation.Interval{}, false
	}
	interval, ok := service.intervals[j.spec.JobType]
	if ok && c.separations.ranksStale {
		c.rankWorkers()
	}
	return interval, ok
}

// rankWorkers sets the ranks of the leased workers of each service.
func (c *Core) rankWorkers() {
	c.separations.ranksStale = false
	names := make(map[string][]string)
	for _, w := range c.workers.list {
		if w.hello.Leased() {
			names[w.hello.Service] = append(names[w.hello.Service], w.name)
		}
	}
	for _, list := range names {
		for name, rank := range separation.Order(list) {
			c.workers.byName[name].separationRank = rank
		}
	}
}

// observedPairs returns the number of pairs with evidence.
func (s *separations) observedPairs() int {
	if s == nil {
		return 0
	}
	return s.model.Size()
}

// separatedPairs lists the pairs for operators.
func (c *Core) separatedPairs() []SeparatedPair {
	if c.separations == nil {
		return nil
	}
	var pairs []SeparatedPair
	for _, name := range c.separations.model.Services() {
		service := c.separations.services[name]
		if service == nil {
			continue
		}
		for _, p := range c.separations.model.Separated(name) {
			pairs = append(pairs, SeparatedPair{
				Pair: p, JobTypeWorkers: service.intervals[p.JobType], NeighbourWorkers: service.intervals[p.Neighbour],
			})
		}
	}
	return pairs
}
