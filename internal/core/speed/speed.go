// Package speed learns how fast the workers of a service are, and finds those that have
// become slower than they were.
//
// It is made for workers whose speeds differ permanently by a factor of two and more, of
// which a few turn several times as slow for some seconds. Declared run times are off by a
// factor that is common to all tasks of a job, so the tasks of one job at several workers
// are compared with each other: each worker with the job's other workers, as far as their
// speeds are known.
//
// The rule keeps a speed and its variance for each worker, updated as in a Kalman filter,
// in which a value that is far off moves the speed no more than one at the edge of the
// ordinary (bounded influence). A worker whose run times have changed against its own speed
// is found with a CUSUM test: the log likelihood ratio of "slower by a factor" and "as
// learned", summed over jobs. One job counts for the less the more often run times are far
// off at sound workers, and never decides alone. A speed is not updated while the test is in
// doubt. The rule is judged by the error of the speeds after some jobs, by the healthy
// workers judged degraded, and by the jobs after which a degraded worker is found.
//
// Only ratios of speeds can be learned. The mean of the logarithms over the workers with
// evidence is kept at zero, and a worker without evidence counts as the mean.
//
// The package does no I/O and reads no clock. A Service is not safe for concurrent use.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorVariance is that of the logarithm of an unknown speed.
	priorVariance = 0.12
	// drift is the growth of the variance with each job, so that a speed never stops
	// following its worker. It leaves the latest job a weight of about one in fifty.
	drift = 2e-5
	// influence is the number of standard deviations up to which a value counts in full.
	influence = 1.5
	// initialNoise is the first estimate of the standard deviation of the logarithm of the
	// run times of one job at workers of speed 1; minNoise and maxNoise bound it.
	initialNoise, minNoise, maxNoise = 0.2, 0.08, 0.6
	// noiseGain is the weight of one value in the noise. noiseTail is the share of normally
	// distributed values that are further off than noiseDeviations.
	noiseGain, noiseTail, noiseDeviations = 0.02, 0.2, 1.2816
	// learnedVariance is the variance below which a speed counts as learned: a deviation of
	// a tenth.
	learnedVariance = 0.01
	// testedVariance is the variance below which a worker is tested against its own speed.
	testedVariance = 0.0225
	// maxLog bounds the logarithm of a speed: a factor of 8 each way.
	maxLog = 2.08
	// gaugeGain is the weight of one job in the zero of the scale once many are known. The
	// zero follows slowly, so that speeds stay as they are when a worker leaves.
	gaugeGain = 1.0 / 256
	// degradedVariance is added to the variance of a degraded worker where others are
	// compared with it.
	degradedVariance = 4
)

const (
	// slowerLog is the logarithm of the factor that the test for a slower worker looks for.
	// Values above half of it, a factor of 1.6, count for a change: tasks that take half as
	// long again because of what runs beside them do not.
	slowerLog = 0.94
	// slowerUnknownLog is that factor for a worker whose speed is not learned yet, which may
	// be one of the slowest.
	slowerUnknownLog = 1.8
	// minEvidence and MaxEvidence bound what one job adds to the sum or takes from it. Within
	// them the bound is evidenceShare times the logarithm of how rarely a sound worker's run
	// times are that far off: the more often they are, the less one proves.
	minEvidence, MaxEvidence, evidenceShare = 2.5, 5.0, 0.85
	// threshold is the sum from which a worker is degraded: two jobs that each count in full
	// where run times are rarely far off, and three or four where they often are.
	threshold = 9.0
	// initialOutliers is the first estimate of the share of the values that are far off, and
	// outlierPrior the number of values that it stands for. outlierGain is the weight of one
	// value later on.
	initialOutliers, outlierPrior, outlierGain = 0.01, 200, 1.0 / 4096
	// doubt is the sum from which a known speed is not updated. One that is hardly known is:
	// until then a worker may look slow because the others of its first jobs are fast.
	doubt = 2.0
	// recoveredLog is the logarithm of the run times against the learned speed below which
	// a run shows that a degraded worker has recovered. For one whose speed is hardly known,
	// it is half of slowerUnknownLog.
	recoveredLog = 0.34
	// relearnAfter is how long a worker may be degraded before its new speed is learned in
	// place of the old one, and relearnRuns the number of jobs that have shown it.
	relearnAfter, relearnRuns = 30 * time.Second, 3
)

// Worker is what a service knows of one worker.
type Worker struct {
	name string
	// raw is the logarithm of the speed before the zero of the scale is subtracted.
	raw, variance float64
	jobs          int
	// slower and faster are the sums of evidence that the worker has become slower or
	// faster.
	slower, faster float64
	// degraded is set from degradedAt on while the worker is slower than its own speed;
	// confirmed counts the jobs since then that showed so. excess is the mean of the
	// logarithms of the run times against those expected, over those of them, compared in
	// number, that teach speeds.
	degraded            bool
	degradedAt          time.Time
	confirmed, compared int
	excess              float64
	learned             bool
	// forgotten is set once the record is discarded.
	forgotten bool
	// slowness is that of the speed, logSlowness its logarithm.
	slowness, logSlowness float64
	// The fields below hold the values of the job that is being compared.
	stamp           uint64
	sum, n, weight  float64
	doubt           float64
	counted, recent bool
}

// Name returns the worker's name.
func (w *Worker) Name() string { return w.name }

// Slowness returns the run time of a task at the worker divided by that at a worker of
// speed 1. It is 1 for nil.
func (w *Worker) Slowness() float64 {
	if w == nil {
		return 1
	}
	return w.slowness
}

// LogSlowness returns the logarithm of Slowness.
func (w *Worker) LogSlowness() float64 {
	if w == nil {
		return 0
	}
	return w.logSlowness
}

// Speed returns the speed relative to the mean of the service.
func (w *Worker) Speed() float64 { return 1 / w.Slowness() }

// Uncertainty returns the standard deviation of the logarithm of the speed.
func (w *Worker) Uncertainty() float64 {
	if w == nil {
		return 0
	}
	return math.Sqrt(w.variance)
}

// MaxSlowness returns the slowness at the upper end of the uncertainty.
func (w *Worker) MaxSlowness() float64 { return w.Slowness() * math.Exp(w.Uncertainty()) }

// Learned reports whether the speed is known to about a tenth.
func (w *Worker) Learned() bool { return w != nil && w.learned }

// Degraded reports whether the worker is slower than its own speed.
func (w *Worker) Degraded() bool { return w != nil && w.degraded }

// DegradedAt returns when the worker became degraded.
func (w *Worker) DegradedAt() time.Time {
	if w == nil {
		return time.Time{}
	}
	return w.degradedAt
}

// Evidence returns the logarithm of how much more likely the latest runs are at a worker
// that has become slower than at one as learned; it is not negative.
func (w *Worker) Evidence() float64 {
	if w == nil {
		return 0
	}
	return w.slower
}

// Service holds the workers of one service.
type Service struct {
	workers map[string]*Worker
	// zero is the zero of the scale of logarithms; sum and known are those of the workers
	// with evidence. degraded counts the degraded workers.
	zero, sum float64
	known     int
	degraded  int
	jobs      int
	noise     float64
	// outliers is the share of the values that are far off, and compared their number.
	outliers float64
	compared int
	// bound is the largest evidence of one job.
	bound   float64
	stamp   uint64
	groups  []*Worker
	points  []point
	changes []Change
}

// point is a value to compare with, and its precision: one divided by its variance.
type point struct{ value, precision float64 }

// New returns a service without workers.
func New() *Service {
	s := &Service{workers: make(map[string]*Worker), noise: initialNoise, outliers: initialOutliers}
	s.setBound()
	return s
}

// Worker returns the record of a worker, creating it if there is none.
func (s *Service) Worker(name string) *Worker {
	w, ok := s.workers[name]
	if !ok {
		w = &Worker{name: name, variance: priorVariance, slowness: 1}
		s.workers[name] = w
	}
	return w
}

// Find returns the record of a worker, or nil.
func (s *Service) Find(name string) *Worker { return s.workers[name] }

// Forget discards the record of a worker. Runs that name it count no more.
func (s *Service) Forget(name string) {
	if w, ok := s.workers[name]; ok {
		delete(s.workers, name)
		w.forgotten = true
		s.setDegraded(w, false)
		if w.jobs > 0 {
			s.known--
			s.sum -= w.raw
		}
	}
}

func (s *Service) setDegraded(w *Worker, degraded bool) {
	if w.degraded == degraded {
		return
	}
	if w.degraded = degraded; degraded {
		s.degraded++
	} else {
		s.degraded--
	}
}

// MostDegraded reports whether more than half of the workers are degraded. The cause is then
// probably not the workers.
func (s *Service) MostDegraded() bool { return 2*s.degraded > len(s.workers) }

// Len returns the number of workers with a record.
func (s *Service) Len() int { return len(s.workers) }

// Noise returns the standard deviation of the logarithm of the run times of one job, at
// workers of one speed.
func (s *Service) Noise() float64 { return s.noise }

// Run is the run of a task that has ended.
type Run struct {
	Worker  *Worker
	Started time.Time
	// LogRatio is the logarithm of run time divided by declared run time.
	LogRatio float64
	// Doubt is by how much LogRatio may be too high because the end was noticed late.
	Doubt float64
	// Counted is set for a run that counted as evidence before it ended.
	Counted bool
}

// Prior is the distribution of the logarithm of the ratio for the job's type, at a worker
// of speed 1.
type Prior struct{ Mean, Deviation float64 }

// ChangeKind says what has changed about a worker.
type ChangeKind uint8

const (
	// Learned means that the worker's speed is known for the first time.
	Learned ChangeKind = iota + 1
	// Degraded means that the worker has become slower than its own speed.
	Degraded
	// Recovered means that a degraded worker is as fast as before.
	Recovered
	// Relearning means that the speed of a worker which stays degraded is learned anew.
	Relearning
)

// Change is a change of what is known about a worker. Ratio is the latest run time divided
// by the one expected, at a worker that became degraded.
type Change struct {
	Worker *Worker
	Kind   ChangeKind
	Ratio  float64
}

// Observe compares the runs of a job, all of whose tasks have ended, and returns what has
// changed. The result is valid until the next call.
func (s *Service) Observe(now time.Time, runs []Run, prior Prior) []Change {
	s.changes = s.changes[:0]
	s.group(runs)
	prior.Deviation = max(prior.Deviation, s.noise)
	s.points = append(s.points[:0], point{prior.Mean, 1 / (prior.Deviation * prior.Deviation)})
	for _, w := range s.groups {
		if w.jobs == 0 {
			w.raw = s.zero
		}
		w.sum = w.sum/w.n + w.raw - s.zero
		v := s.noise*s.noise/w.n + w.variance
		if w.degraded {
			v += degradedVariance
		}
		w.weight = 1 / v
		s.points = append(s.points, point{w.sum, w.weight})
	}
	if len(s.groups) < 2 {
		for _, w := range s.groups {
			s.alone(now, w, prior)
		}
		return s.changes
	}
	// Values far from the median count less, so that one task at a degraded worker does
	// not make the others look fast.
	middle := median(s.points)
	s.jobs++
	var weights, sum float64
	for _, p := range s.points {
		weights += p.weight(middle)
		sum += p.weight(middle) * p.value
	}
	for _, w := range s.groups {
		own := point{w.sum, w.weight}.weight(middle)
		rest := max(weights-own, 1e-9)
		s.update(now, w, w.sum-(sum-own*w.sum)/rest, 1/rest)
	}
	s.moveZero()
	return s.changes
}

// group gathers the runs of a job by worker.
func (s *Service) group(runs []Run) {
	s.stamp++
	s.groups = s.groups[:0]
	for _, r := range runs {
		w := r.Worker
		if w == nil || w.forgotten {
			continue
		}
		if w.stamp != s.stamp {
			w.stamp, w.sum, w.n, w.doubt, w.counted, w.recent = s.stamp, 0, 0, 0, false, true
			s.groups = append(s.groups, w)
		}
		w.sum += r.LogRatio
		w.doubt += r.Doubt
		w.n++
		w.counted = w.counted || r.Counted
		w.recent = w.recent && r.Started.After(w.degradedAt)
	}
}

// weight returns the weight of a value, less the further it is from the middle.
func (p point) weight(middle float64) float64 {
	off := math.Abs(p.value-middle) * math.Sqrt(p.precision)
	if off <= influence {
		return p.precision
	}
	return p.precision * influence / off
}

// median returns the weighted median. It sorts the points.
func median(points []point) float64 {
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.value, b.value) })
	half := 0.0
	for _, p := range points {
		half += p.precision / 2
	}
	for _, p := range points {
		if half -= p.precision; half <= 0 {
			return p.value
		}
	}
	return points[len(points)-1].value
}

// Alone applies a run that cannot be compared with others, since it depends on more than its
// worker, and returns what has changed.
func (s *Service) Alone(now time.Time, run Run, prior Prior) []Change {
	s.changes = s.changes[:0]
	s.group([]Run{run})
	prior.Deviation = max(prior.Deviation, s.noise)
	for _, w := range s.groups {
		w.sum += w.raw - s.zero
		s.alone(now, w, prior)
	}
	return s.changes
}

// alone applies the runs at a job's only worker. They teach no speed, as the error of the
// declared time does not cancel out. Ordinary ones are evidence against a change: otherwise
// the few overdue ones would add up until the worker counts as degraded. One job proves half
// as much as in a comparison, since it may itself be the cause.
func (s *Service) alone(now time.Time, w *Worker, prior Prior) {
	excess := w.sum - prior.Mean
	if w.degraded {
		if s.stillSlow(w, excess) {
			s.confirm(now, w, 0, false)
		}
		return
	}
	variance := prior.Deviation*prior.Deviation + s.noise*s.noise/w.n + w.variance
	by := min(s.evidence(excess-w.doubt/w.n, w.change(), variance), s.bound/2)
	if w.counted {
		by = min(by, 0)
	}
	s.add(now, w, by, math.Exp(excess))
}

// update applies by how much a worker's run times were above those of the job elsewhere,
// with the variance of the latter.
func (s *Service) update(now time.Time, w *Worker, excess, variance float64) {
	if w.degraded {
		if s.stillSlow(w, excess) {
			s.confirm(now, w, excess, true)
		}
		return
	}
	variance += s.noise * s.noise / w.n
	s.test(now, w, excess, w.variance+variance)
	if w.degraded || w.slower > doubt && w.variance <= testedVariance {
		return
	}
	// The test may have widened the variance of the speed.
	total := w.variance + variance
	deviation := math.Sqrt(total)
	if w.variance < testedVariance {
		s.learnNoise(math.Abs(excess) / deviation * s.noise)
	}
	gain := w.variance / total
	w.variance = (1-gain)*w.variance + drift
	s.move(w, -gain*min(max(excess, -influence*deviation), influence*deviation))
	if !w.learned && w.variance < learnedVariance {
		w.learned = true
		s.changes = append(s.changes, Change{Worker: w, Kind: Learned})
	}
}

// move changes the logarithm of a worker's speed.
func (s *Service) move(w *Worker, by float64) {
	if w.jobs == 0 {
		s.known++
		s.sum += w.raw
	}
	w.jobs++
	before := w.raw
	w.raw = min(max(w.raw+by, s.zero-maxLog), s.zero+maxLog)
	s.sum += w.raw - before
	s.setSlowness(w)
}

func (s *Service) setSlowness(w *Worker) {
	w.logSlowness = s.zero - w.raw
	w.slowness = math.Exp(w.logSlowness)
}

// moveZero moves the zero of the scale towards the mean of the workers with evidence.
func (s *Service) moveZero() {
	if s.known == 0 {
		return
	}
	s.zero += max(gaugeGain, 1/float64(s.jobs)) * (s.sum/float64(s.known) - s.zero)
	for _, w := range s.groups {
		s.setSlowness(w)
	}
}

// learnNoise moves the noise towards the value that a fifth of the deviations exceed by a
// fixed factor, as at a normal distribution. The size of an outlier makes no difference.
func (s *Service) learnNoise(off float64) {
	step := -noiseGain * noiseTail
	if off > noiseDeviations*s.noise {
		step = noiseGain * (1 - noiseTail)
	}
	s.noise = min(max(s.noise*(1+step), minNoise), maxNoise)
}

// change returns the logarithm of the factor that the test looks for.
func (w *Worker) change() float64 {
	if w.variance > testedVariance {
		return slowerUnknownLog
	}
	return slowerLog
}

// test adds the evidence of a job that a worker has become slower or faster.
func (s *Service) test(now time.Time, w *Worker, excess, variance float64) {
	change := w.change()
	w.faster = max(0, w.faster+s.evidence(-excess, change, variance))
	if w.faster >= threshold {
		// It was learned while the worker was slow; only the newest runs count.
		w.faster, w.variance = 0, priorVariance
	}
	slower := s.evidence(excess-w.doubt/w.n, change, variance)
	if w.variance <= testedVariance {
		s.countOutlier(slower >= s.bound)
	}
	if w.counted {
		slower = min(slower, 0)
	}
	s.add(now, w, slower, math.Exp(excess))
}

// evidence returns the log likelihood ratio of a change and no change, bounded.
func (s *Service) evidence(excess, change, variance float64) float64 {
	return min(max(change/variance*(excess-change/2), -s.bound), s.bound)
}

// countOutlier records whether the value of a worker with a known speed was far off.
func (s *Service) countOutlier(far bool) {
	s.compared++
	gain := max(outlierGain, 1/float64(outlierPrior+s.compared))
	s.outliers -= gain * s.outliers
	if far {
		s.outliers += gain
	}
	s.setBound()
}

func (s *Service) setBound() {
	s.bound = min(max(-evidenceShare*math.Log(s.outliers), minEvidence), MaxEvidence)
}

func (s *Service) add(now time.Time, w *Worker, by, ratio float64) {
	w.slower = max(0, w.slower+by)
	if w.slower >= threshold && !w.degraded {
		s.setDegraded(w, true)
		w.degradedAt, w.confirmed, w.compared, w.excess = now, 0, 0, 0
		s.changes = append(s.changes, Change{Worker: w, Kind: Degraded, Ratio: ratio})
	}
}

// stillSlow applies the run of a degraded worker that started after it became so, and reports
// whether it shows that the worker has not recovered.
func (s *Service) stillSlow(w *Worker, excess float64) bool {
	if !w.recent {
		return false
	}
	if excess < recoveredLog || w.variance > testedVariance && excess < slowerUnknownLog/2 {
		s.setDegraded(w, false)
		w.slower, w.faster = 0, 0
		s.changes = append(s.changes, Change{Worker: w, Kind: Recovered})
		return false
	}
	return true
}

// confirm records a job that took longer at a degraded worker. After long enough its
// present run times are its speed, which is then learned anew: from there if they teach
// speeds, or else from the speed before.
func (s *Service) confirm(now time.Time, w *Worker, excess float64, compared bool) {
	w.confirmed++
	if compared {
		w.compared++
		w.excess += (excess - w.excess) / float64(w.compared)
	}
	if w.confirmed < relearnRuns || now.Sub(w.degradedAt) < relearnAfter {
		return
	}
	s.setDegraded(w, false)
	w.learned, w.slower, w.faster, w.variance = false, 0, 0, priorVariance
	s.move(w, -w.excess)
	s.changes = append(s.changes, Change{Worker: w, Kind: Relearning})
}

// Overdue records a run that has not ended although nearly all others of its kind would
// have: the share of those that take as long is given. compared is set if run times of the
// kind teach speeds. It returns what has changed.
func (s *Service) Overdue(now time.Time, w *Worker, share, ratio float64, compared bool) []Change {
	s.changes = s.changes[:0]
	if w.forgotten {
		return nil
	}
	if w.degraded {
		s.confirm(now, w, math.Log(max(ratio, 1)), compared)
		return s.changes
	}
	s.add(now, w, min(-math.Log(max(share, 1e-9)), s.bound), ratio)
	return s.changes
}

// Stalled records that a worker makes no progress. It returns what has changed.
func (s *Service) Stalled(now time.Time, w *Worker, ratio float64) []Change {
	s.changes = s.changes[:0]
	if !w.forgotten {
		s.add(now, w, threshold, ratio)
	}
	return s.changes
}
