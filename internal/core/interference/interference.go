// Package interference estimates by how much the tasks of one job type slow down those of
// another on the same worker.
//
// A run is compared with the other runs of its job: the error of the declared run time, a
// long tail and a burst that affects all workers are common to the tasks of a job and
// cancel out. What remains is explained, in this order, by the speed of the worker, by the
// load of the worker, and by the job types beside the task. Only the effect of a job type
// beyond that of the same load of other types counts as interference: if all types
// interfere alike, separating them gains nothing.
//
// The package does no I/O, starts no goroutine and reads no clock. A Model is not safe for
// concurrent use.
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which an observation counts half. A pair that has just become
	// certain and gets no further evidence is forgotten after 2.6 half-lives, one with much
	// evidence later.
	halfLife = 10 * time.Minute
	// minEffect is the smallest certain slowdown of a pair that is separated, as a logarithm.
	// Callers want an answer within 1.6 times the run time, of which 5% for each neighbour is
	// a noticeable part.
	minEffect = 0.05
	// certainty and doubt are the numbers of standard errors by which an effect has to
	// exceed minEffect to be separated, and zero to stay separated; it also stays above
	// minEffect. Thousands of pairs are tested after each job, so that 3 standard errors
	// occur by chance.
	certainty, doubt = 5, 2
	// minRuns is the number of runs compared from which a pair may be separated.
	minRuns = 100
	// resetFactor is what the evidence of the other separated pairs of a job type is
	// multiplied by when a pair is added.
	resetFactor = 0.25
	// outlier is the number of standard deviations at which a residual is cut off.
	outlier = 3
	// initialNoise is the standard deviation of run times that is assumed at first.
	initialNoise = 0.3
	// noiseRuns is the weight of initialNoise and the memory of the noise, in runs.
	noiseRuns, noiseMemory = 20, 2000
	// minSpeedGain is the weight of a run for the speed of a worker once many are known. It
	// averages over 200 runs: a neighbour that stays for long is not taken for slowness.
	minSpeedGain = 0.005
	// forgetInformation is the information, relative to that of one run beside one task,
	// below which a pair is dropped.
	forgetInformation = 0.05
	// expireInterval is the time between two searches for evidence that has faded.
	expireInterval = 10 * time.Second
	// maxRatio bounds ratios of run times, in both directions.
	maxRatio = 1e6
)

// Bounds of the state, which is then below 2 MB.
const (
	maxPairs   = 4096
	maxTypes   = 5000
	maxWorkers = 4096
	// MaxNeighbours and MaxRuns bound what is used of one job. More runs add little.
	MaxNeighbours, MaxRuns = 16, 64
	// maxMean bounds the mean number of tasks of one job type.
	maxMean = 64
)

// Run is the run of a task.
type Run struct {
	Worker string
	// Ratio is the run time divided by an expected one. A factor common to the runs of a job
	// has no effect.
	Ratio float64
	// Load is the mean part of the worker's cores that other tasks used.
	Load float64
	// Neighbours are the job types that ran beside the task.
	Neighbours []Neighbour
}

// Neighbour is a job type with the mean number of its tasks that ran beside another task.
type Neighbour struct {
	JobType string
	Mean    float64
}

// Pair is the effect of a job type on another one.
type Pair struct {
	Service, JobType, Neighbour string
	// Slowdown is the factor of the run time of JobType for each task of Neighbour beside it;
	// Low is a lower bound of it that holds with certainty.
	Slowdown, Low float64
	// Runs is the number of runs compared, of which older ones count less.
	Runs int
	// Separated is set while the pair is to be kept apart.
	Separated bool
}

// Model holds the evidence of all services.
type Model struct {
	services map[string]*service
	pairs    int
	types    int
	workers  int
	invalid  uint64
	checked  time.Time
	// full is when no pair could be dropped for another one, since all are separated.
	full time.Time
}

type service struct {
	types   map[string]*jobType
	workers map[string]*speed
}

// speed is the mean residual at a worker.
type speed struct {
	level float64
	runs  int
	at    time.Time
}

// jobType holds the evidence on the slowdown of a job type.
type jobType struct {
	// at is when the sums were last decayed, seen when the latest job ended.
	at, seen time.Time
	// ll is the sum of squares of the load, ly that of the products of the load with the
	// residual.
	ll, ly float64
	// noise is the mean square of the residual.
	noise, noiseRuns float64
	pairs            map[string]*pair
}

// pair holds the evidence on the effect of one neighbour: sums of products of x: tasks of
// the neighbour, l: load, y: run time without the effects of the other separated pairs, and
// e: effect of this pair that the residual in jobType.ly lacks.
type pair struct {
	at             time.Time
	xx, xl, xy, el float64
	runs           float64
	separated      bool
	effect         float64
}

// New returns a model without evidence.
func New() *Model { return &Model{services: make(map[string]*service)} }

// Invalid returns the number of runs that were left out because of invalid values.
func (m *Model) Invalid() uint64 { return m.invalid }

// Size returns the number of pairs with evidence.
func (m *Model) Size() int { return m.pairs }

// Workers returns the number of workers whose speed is known.
func (m *Model) Workers() int { return m.workers }

func (r Run) valid() bool {
	if !(r.Ratio >= 1/maxRatio && r.Ratio <= maxRatio) || !(r.Load >= 0 && r.Load <= 1) {
		return false
	}
	return !slices.ContainsFunc(r.Neighbours, func(n Neighbour) bool { return !(n.Mean >= 0 && n.Mean <= maxMean) })
}

// Observe takes the runs of one job and returns the pair whose separation has begun or
// ended, if there is one.
func (m *Model) Observe(now time.Time, serviceName, name string, runs []Run) (Pair, bool) {
	runs = runs[:min(len(runs), MaxRuns)]
	valid := make([]Run, 0, len(runs))
	for _, r := range runs {
		if r.valid() {
			valid = append(valid, r)
		} else {
			m.invalid++
		}
	}
	if len(valid) < 2 {
		return Pair{}, false
	}
	s := m.service(serviceName)
	t := m.jobType(now, s, name)
	if t == nil {
		return Pair{}, false
	}
	o := m.compare(now, s, t, valid)
	learnSpeeds(o)
	t.learnNoise(o)
	m.learnPairs(now, t, o)
	return m.judge(t, Pair{Service: serviceName, JobType: name}, o)
}

func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{types: make(map[string]*jobType), workers: make(map[string]*speed)}
		m.services[name] = s
	}
	return s
}

// jobType returns the evidence on a job type, or nil if the bound is reached.
func (m *Model) jobType(now time.Time, s *service, name string) *jobType {
	t := s.types[name]
	if t == nil {
		if m.types >= maxTypes {
			return nil
		}
		m.types++
		t = &jobType{at: now, noise: initialNoise * initialNoise, noiseRuns: noiseRuns, pairs: make(map[string]*pair)}
		s.types[name] = t
	}
	return t
}

// observation holds the runs of a job relative to their mean.
type observation struct {
	workers []*speed
	// loads, residuals and means of neighbours sum up to zero over the runs.
	loads, residuals []float64
	neighbours       []neighbourMeans
}

type neighbourMeans struct {
	jobType string
	means   []float64
}

// compare subtracts the speeds of the workers, the effects of separated pairs, and the mean
// of the job.
func (m *Model) compare(now time.Time, s *service, t *jobType, runs []Run) observation {
	n := len(runs)
	o := observation{
		workers: make([]*speed, n), loads: make([]float64, n), residuals: make([]float64, n),
	}
	index := make(map[string]int)
	for i, r := range runs {
		o.workers[i] = m.speed(now, s, r.Worker)
		o.loads[i] = r.Load
		o.residuals[i] = math.Log(r.Ratio)
		if o.workers[i] != nil {
			o.residuals[i] -= o.workers[i].level
		}
		for _, b := range r.Neighbours[:min(len(r.Neighbours), MaxNeighbours)] {
			k, ok := index[b.JobType]
			if !ok {
				k = len(o.neighbours)
				index[b.JobType] = k
				o.neighbours = append(o.neighbours, neighbourMeans{b.JobType, make([]float64, n)})
			}
			o.neighbours[k].means[i] += b.Mean
			if p := t.pairs[b.JobType]; p != nil && p.separated {
				o.residuals[i] -= p.effect * b.Mean
			}
		}
	}
	centre(o.loads)
	centre(o.residuals)
	for _, b := range o.neighbours {
		centre(b.means)
	}
	limit := outlier * math.Sqrt(t.noise)
	for i := range o.residuals {
		o.residuals[i] = min(max(o.residuals[i], -limit), limit)
	}
	return o
}

func centre(values []float64) {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	for i := range values {
		values[i] -= sum / float64(len(values))
	}
}

// speed returns the state of a worker, or nil if the bound is reached.
func (m *Model) speed(now time.Time, s *service, worker string) *speed {
	w := s.workers[worker]
	if w == nil {
		if m.workers >= maxWorkers {
			return nil
		}
		m.workers++
		w = &speed{}
		s.workers[worker] = w
	}
	w.at = now
	return w
}

// learnSpeeds moves the level of each worker towards the residuals there.
func learnSpeeds(o observation) {
	for i, w := range o.workers {
		if w == nil {
			continue
		}
		w.runs++
		w.level += o.residuals[i] * max(1/float64(w.runs+1), minSpeedGain)
	}
}

// learnNoise updates the mean square of the residuals. They have one degree of freedom less
// than there are runs.
func (t *jobType) learnNoise(o observation) {
	for _, r := range o.residuals {
		t.noiseRuns = min(t.noiseRuns+1, noiseMemory)
		square := r * r * float64(len(o.residuals)) / float64(len(o.residuals)-1)
		t.noise += (square - t.noise) / t.noiseRuns
	}
}

func decayFactor(from, to time.Time) float64 {
	return math.Exp2(-max(0, to.Sub(from).Seconds()) / halfLife.Seconds())
}

func (t *jobType) decay(now time.Time) {
	f := decayFactor(t.at, now)
	t.at = now
	t.ll, t.ly = t.ll*f, t.ly*f
}

func (p *pair) decay(now time.Time) {
	p.scale(decayFactor(p.at, now))
	p.at = now
}

func (p *pair) scale(f float64) {
	p.runs, p.xx, p.xl, p.xy, p.el = p.runs*f, p.xx*f, p.xl*f, p.xy*f, p.el*f
}

// learnPairs adds a job to the evidence.
func (m *Model) learnPairs(now time.Time, t *jobType, o observation) {
	t.decay(now)
	t.seen = now
	for i, l := range o.loads {
		t.ll += l * l
		t.ly += l * o.residuals[i]
	}
	for _, b := range o.neighbours {
		p := t.pairs[b.jobType]
		if p == nil {
			if m.pairs >= maxPairs && !m.evict(now) {
				continue
			}
			p = &pair{at: now}
			t.pairs[b.jobType] = p
			m.pairs++
		}
		p.decay(now)
		for i, x := range b.means {
			l := o.loads[i]
			p.xx += x * x
			p.xl += x * l
			p.xy += x * (o.residuals[i] + p.effect*x)
			p.el += p.effect * x * l
			p.runs++
		}
	}
}

// estimate returns the effect of a neighbour beyond that of the load, and its standard
// error, which is infinite without enough evidence.
func (t *jobType) estimate(p *pair) (effect, standardError float64) {
	information, product := p.xx, p.xy
	if t.ll > 0 {
		information -= p.xl * p.xl / t.ll
		product -= p.xl * (t.ly + p.el) / t.ll
	}
	// Rounding leaves a little where the load explains everything.
	if information <= 1e-6*p.xx {
		return 0, math.Inf(1)
	}
	return product / information, math.Sqrt(t.noise / information)
}

// judge decides on the pairs of a job. Of several that have become certain, only the most
// certain one is separated, since it may explain the others.
func (m *Model) judge(t *jobType, result Pair, o observation) (Pair, bool) {
	var best *pair
	var bestName string
	bestScore := float64(certainty)
	for _, b := range o.neighbours {
		p := t.pairs[b.jobType]
		if p == nil || b.jobType == result.JobType {
			// A type cannot be separated from itself.
			continue
		}
		effect, se := t.estimate(p)
		if p.separated {
			if ended(effect, se) {
				p.separated, p.effect = false, 0
				return t.describe(result, b.jobType), true
			}
			p.effect = effect
			continue
		}
		if score := (effect - minEffect) / se; p.runs >= minRuns && score > bestScore {
			best, bestName, bestScore = p, b.jobType, score
		}
	}
	if best == nil {
		return Pair{}, false
	}
	best.separated = true
	best.effect, _ = t.estimate(best)
	// The evidence on the other pairs contains the effect of this one. That of separated
	// pairs loses weight, since without any they would end at once.
	for name, p := range t.pairs {
		switch {
		case p == best:
		case p.separated:
			p.scale(resetFactor)
		default:
			delete(t.pairs, name)
			m.pairs--
		}
	}
	t.resetLoad(best)
	return t.describe(result, bestName), true
}

// resetLoad takes the effect of a pair that is separated from now on out of the residuals
// that were summed up before.
func (t *jobType) resetLoad(p *pair) {
	e := p.effect * p.xl
	t.ly -= e
	p.el += e
}

func (t *jobType) describe(result Pair, neighbour string) Pair {
	p := t.pairs[neighbour]
	effect, se := t.estimate(p)
	result.Neighbour, result.Runs, result.Separated = neighbour, int(p.runs), p.separated
	result.Slowdown, result.Low = math.Exp(effect), math.Exp(effect-doubt*se)
	return result
}

// Expire ends the separation of pairs whose evidence has faded, and drops what is not in
// use any more.
func (m *Model) Expire(now time.Time) []Pair {
	if now.Sub(m.checked) < expireInterval {
		return nil
	}
	m.checked = now
	var expired []Pair
	for _, serviceName := range slices.Sorted(maps.Keys(m.services)) {
		s := m.services[serviceName]
		for _, typeName := range slices.Sorted(maps.Keys(s.types)) {
			t := s.types[typeName]
			expired = append(expired, m.expirePairs(now, t, Pair{Service: serviceName, JobType: typeName})...)
			if len(t.pairs) == 0 && now.Sub(t.seen) >= 4*halfLife {
				delete(s.types, typeName)
				m.types--
			}
		}
		for name, w := range s.workers {
			if now.Sub(w.at) >= 4*halfLife {
				delete(s.workers, name)
				m.workers--
			}
		}
		if len(s.types) == 0 && len(s.workers) == 0 {
			delete(m.services, serviceName)
		}
	}
	return expired
}

// expirePairs is Expire for the pairs of one job type.
func (m *Model) expirePairs(now time.Time, t *jobType, result Pair) []Pair {
	var expired []Pair
	for _, name := range slices.Sorted(maps.Keys(t.pairs)) {
		p := t.pairs[name]
		if p.separated && p.faded(now, t) {
			p.separated, p.effect = false, 0
			expired = append(expired, t.describe(result, name))
		}
		if !p.separated && p.information(now) < forgetInformation {
			delete(t.pairs, name)
			m.pairs--
		}
	}
	return expired
}

// faded reports whether the pair's effect is no longer certain.
func (p *pair) faded(now time.Time, t *jobType) bool {
	p.decay(now)
	t.decay(now)
	effect, se := t.estimate(p)
	return ended(effect, se)
}

// ended reports whether an effect is too small or too uncertain for a pair to stay separated.
func ended(effect, standardError float64) bool {
	return effect < minEffect || effect < doubt*standardError
}

// information returns the sum of squares of a pair at the given time.
func (p *pair) information(now time.Time) float64 { return p.xx * decayFactor(p.at, now) }

// evict drops the quarter of the pairs with the least evidence that are not separated, and
// reports whether it has dropped any. After a search in vain the next one waits.
func (m *Model) evict(now time.Time) bool {
	if now.Sub(m.full) < expireInterval {
		return false
	}
	type candidate struct {
		t           *jobType
		name        string
		key         string
		information float64
	}
	var all []candidate
	for serviceName, s := range m.services {
		for typeName, t := range s.types {
			for name, p := range t.pairs {
				if !p.separated {
					all = append(all, candidate{t, name, serviceName + "\x00" + typeName + "\x00" + name, p.information(now)})
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.information, b.information), cmp.Compare(a.key, b.key))
	})
	for _, c := range all[:min(len(all), maxPairs/4)] {
		delete(c.t.pairs, c.name)
		m.pairs--
	}
	if len(all) == 0 {
		m.full = now
	}
	return len(all) > 0
}

// ForgetWorker drops the speed of a worker, which is another instance from now on.
func (m *Model) ForgetWorker(serviceName, worker string) {
	if s := m.services[serviceName]; s != nil && s.workers[worker] != nil {
		delete(s.workers, worker)
		m.workers--
	}
}

// Separated returns the pairs of a service that are to be kept apart, in a fixed order.
func (m *Model) Separated(serviceName string) []Pair {
	s := m.services[serviceName]
	if s == nil {
		return nil
	}
	var pairs []Pair
	for _, typeName := range slices.Sorted(maps.Keys(s.types)) {
		t := s.types[typeName]
		for _, name := range slices.Sorted(maps.Keys(t.pairs)) {
			if t.pairs[name].separated {
				pairs = append(pairs, t.describe(Pair{Service: serviceName, JobType: typeName}, name))
			}
		}
	}
	return pairs
}

// Services returns the services with evidence, in a fixed order.
func (m *Model) Services() []string { return slices.Sorted(maps.Keys(m.services)) }
