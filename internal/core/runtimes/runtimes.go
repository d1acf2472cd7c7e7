// Package runtimes learns how the run times of each job type compare with the declared
// ones.
//
// It is made for declared run times that are off by half and more, and by a factor that
// differs between job types, and for job types of which a few jobs run for several times
// as long as the rest. It holds, for each job type, a histogram of the logarithm of (run
// time at a worker of speed 1) / (declared run time). The rule is judged by how far its
// quantiles are from the true ones.
//
// Jobs weigh alike, however many tasks they have, since the error of the declared time is
// common to the tasks of a job. Older jobs weigh less. A job type without observations has
// a distribution around the declared run time. The least recently used job type is evicted
// once there are too many.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package runtimes

import (
	"container/list"
	"math"
	"time"
)

const (
	// bins is the number of bins of a histogram, binWidth the width of one on the scale of
	// natural logarithms, and lowest the lower end of the first: ratios from 1/20 to 50, times
	// the origin of the distribution. The outer bins also hold what is beyond them.
	bins     = 56
	binWidth = 0.125
	lowest   = -3.0
	// window is the number of jobs after which the weight of older ones is halved.
	window = 512
	// priorWeight is the number of jobs that the prior distribution stands for.
	priorWeight = 8
	// priorSpread is the standard deviation of the logarithm in the prior; priorTail is the
	// share of a wider part, with priorTailSpread.
	priorSpread, priorTail, priorTailSpread = 0.45, 0.03, 1.2
	// refreshEvery is the number of observations between two calculations of the kept
	// quantiles of a distribution that has many.
	refreshEvery = 32
	// negligible is the share of the weight below which the part of a distribution above a
	// ratio says nothing about its shape.
	negligible = 1e-4
	// MaxTypes is the largest number of job types with a distribution.
	MaxTypes = 5000
	// maxOrigin bounds the logarithm of an origin, so that no ratio overflows.
	maxOrigin = 40
	// MaxRunTime is the longest valid run time.
	MaxRunTime = 24 * time.Hour
)

// Valid reports whether a run time that a worker reports can be one.
func Valid(took time.Duration) bool { return took > 0 && took <= MaxRunTime }

// Distribution is the distribution of the ratio of run time to declared run time of one
// job type, at a worker of speed 1.
type Distribution struct {
	counts [bins]float32
	total  float64
	// origin is the logarithm of the ratio in the middle of the prior.
	origin float64
	// low, median, high and spread are calculated anew every so many observations.
	low, median, high, spread float64
	stale, observed           int
}

// prior is the distribution of a job type without observations.
var prior = newPrior()

func newPrior() Distribution {
	var d Distribution
	for i := range d.counts {
		from, to := lowest+binWidth*float64(i), lowest+binWidth*float64(i+1)
		mass := (1-priorTail)*normalMass(from, to, priorSpread) + priorTail*normalMass(from, to, priorTailSpread)
		d.counts[i] = float32(priorWeight * mass)
		d.total += float64(d.counts[i])
	}
	d.refresh()
	return d
}

// normalMass returns the probability of an interval under a normal distribution around
// zero.
func normalMass(from, to, spread float64) float64 {
	return (math.Erf(to/spread/math.Sqrt2) - math.Erf(from/spread/math.Sqrt2)) / 2
}

// Prior returns the distribution of a job type without observations.
func Prior() *Distribution { return &prior }

// Observe records the logarithm of a ratio. The tasks of one job share the weight 1.
func (d *Distribution) Observe(logRatio, weight float64) {
	if math.IsNaN(logRatio) || !(weight > 0) || weight > 1 {
		return
	}
	bin := int(min(max(0, (logRatio-d.origin-lowest)/binWidth), bins-1))
	d.counts[bin] += float32(weight)
	d.total += weight
	if d.total > 2*window {
		d.total = 0
		for i := range d.counts {
			d.counts[i] /= 2
			d.total += float64(d.counts[i])
		}
	}
	d.observed++
	if d.stale++; d.stale >= refreshEvery || d.observed <= refreshEvery {
		d.refresh()
		d.moveOrigin(logRatio)
	}
}

// moveOrigin begins anew around a ratio if most runs are beyond the bins: their ratios would
// be taken for those of the outer bin, and ordinary runs for overruns.
func (d *Distribution) moveOrigin(logRatio float64) {
	if at := (math.Log(d.median) - d.origin - lowest) / binWidth; at >= 1 && at <= bins-1 {
		return
	}
	*d = prior
	d.origin = min(max(logRatio, -maxOrigin), maxOrigin)
	d.refresh()
}

// refresh calculates the kept quantiles.
func (d *Distribution) refresh() {
	d.stale = 0
	low, high := d.logQuantile(0.1), d.logQuantile(0.9)
	d.low, d.median, d.high = math.Exp(low), math.Exp(d.logQuantile(0.5)), math.Exp(high)
	// The 10% and 90% quantiles of a normal distribution are 2.56 deviations apart.
	d.spread = (high - low) / 2.563
}

// logQuantile returns the logarithm of the ratio below which this part of the weight is.
func (d *Distribution) logQuantile(q float64) float64 {
	left := min(max(0, q), 1) * d.total
	for i, count := range d.counts {
		n := float64(count)
		if n > 0 && left <= n {
			return d.origin + lowest + binWidth*(float64(i)+left/n)
		}
		left -= n
	}
	return d.origin + lowest + binWidth*bins
}

// Quantile returns the ratio that the given part of the runs does not exceed.
func (d *Distribution) Quantile(q float64) float64 { return math.Exp(d.logQuantile(q)) }

// Median returns the median ratio of the latest calculation.
func (d *Distribution) Median() float64 { return d.median }

// Spread returns the standard deviation of the logarithm of the ratio, from the quantiles
// of the latest calculation, so that a long tail does not widen it.
func (d *Distribution) Spread() float64 { return d.spread }

// Survival returns the share of the runs that exceed a ratio.
func (d *Distribution) Survival(ratio float64) float64 {
	above, _ := d.above(ratio)
	return above / d.total
}

// Remaining returns the expected further run time, as a ratio to the declared one, of a
// task that has already run for the ratio elapsed. Beyond nearly all known runs it is as
// long as what has elapsed.
func (d *Distribution) Remaining(elapsed float64) float64 {
	above, sum := d.above(elapsed)
	if above < negligible*d.total {
		return elapsed
	}
	return max(0, sum/above-elapsed)
}

// above returns the weight of the runs that exceed a ratio, and the sum of their ratios. How
// far the runs of the last bin are beyond it is not known: all of them may exceed the ratio.
func (d *Distribution) above(ratio float64) (weight, sum float64) {
	at := (math.Log(max(ratio, 1e-9)) - d.origin - lowest) / binWidth
	for i := max(0, int(min(at, bins-1))); i < bins; i++ {
		n, from, to := float64(d.counts[i]), float64(i), float64(i)+1
		if at > from {
			from = at
			if i < bins-1 {
				n *= to - at
			}
		}
		weight += n
		sum += n * math.Exp(d.origin+lowest+binWidth*(from+max(from, to))/2)
	}
	return weight, sum
}

// key identifies a job type.
type key struct{ service, jobType string }

// Table holds the distributions of the job types that were used last.
type Table struct {
	types map[key]*list.Element
	// order lists the job types, the one used last first.
	order list.List
	limit int
}

type typeEntry struct {
	key  key
	dist Distribution
}

// NewTable returns a table of at most MaxTypes job types.
func NewTable() *Table { return &Table{types: make(map[key]*list.Element), limit: MaxTypes} }

// Of returns the distribution of a job type and marks it as used. The caller may keep it
// for the time of a job; an evicted one is no longer returned.
func (t *Table) Of(service, jobType string) *Distribution {
	k := key{service, jobType}
	if e, ok := t.types[k]; ok {
		t.order.MoveToFront(e)
		return &e.Value.(*typeEntry).dist
	}
	if len(t.types) >= t.limit {
		oldest := t.order.Back()
		delete(t.types, oldest.Value.(*typeEntry).key)
		t.order.Remove(oldest)
	}
	e := &typeEntry{key: k, dist: prior}
	t.types[k] = t.order.PushFront(e)
	return &e.dist
}

// Known returns the distribution of a job type without marking it as used: the prior if it
// has none.
func (t *Table) Known(service, jobType string) *Distribution {
	if e, ok := t.types[key{service, jobType}]; ok {
		return &e.Value.(*typeEntry).dist
	}
	return &prior
}

// Len returns the number of job types with a distribution.
func (t *Table) Len() int { return len(t.types) }
