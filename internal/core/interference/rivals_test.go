package interference_test

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"

	"github.com/poplarlever/poplarlever/internal/core/interference"
)

// The estimators below are those that the package was compared with. All of them accept an
// effect that exceeds ruleEffect by ruleCertainty standard errors, after ruleRuns runs.
const ruleEffect, ruleCertainty, ruleRuns = 0.05, 5, 200

type key [2]string

type estimator interface {
	observe(now time.Time, jobType string, runs []interference.Run)
	found() map[key]bool
}

// chosen is the package's own estimator.
type chosen struct{ m *interference.Model }

func (e chosen) observe(now time.Time, jobType string, runs []interference.Run) {
	e.m.Observe(now, "s", jobType, runs)
	e.m.Expire(now)
}

func (e chosen) found() map[key]bool {
	out := map[key]bool{}
	for _, p := range e.m.Separated("s") {
		out[key{p.JobType, p.Neighbour}] = true
	}
	return out
}

// presence compares the runs beside a type with those that are not, without any control.
type presence struct {
	sums map[key]*[2]struct{ n, y, yy float64 }
}

func (e presence) observe(_ time.Time, jobType string, runs []interference.Run) {
	for _, other := range otherTypes(jobType) {
		k := key{jobType, other}
		if e.sums[k] == nil {
			e.sums[k] = new([2]struct{ n, y, yy float64 })
		}
		for i, y := range centred(runs, logRatio) {
			side := 0
			if meanOf(runs[i], other) >= 0.5 {
				side = 1
			}
			s := &e.sums[k][side]
			s.n, s.y, s.yy = s.n+1, s.y+y, s.yy+y*y
		}
	}
}

func (e presence) found() map[key]bool {
	out := map[key]bool{}
	for k, s := range e.sums {
		mean, variance := [2]float64{}, 0.0
		for i, side := range s {
			mean[i] = side.y / side.n
			variance += (side.yy/side.n - mean[i]*mean[i]) / side.n
		}
		if min(s[0].n, s[1].n) >= ruleRuns/2 && mean[1]-mean[0]-ruleCertainty*math.Sqrt(variance) > ruleEffect {
			out[k] = true
		}
	}
	return out
}

// slope regresses on the mean number of tasks of one type at a time. With control, it takes
// the speeds of workers and the load into account.
type slope struct {
	control bool
	sums    map[key]*struct{ n, xx, xl, xy, ll, ly, yy float64 }
	levels  map[string]*[2]float64
}

func (e slope) observe(_ time.Time, jobType string, runs []interference.Run) {
	ys := centred(runs, func(r interference.Run) float64 { return logRatio(r) - e.level(r.Worker)[0] })
	ls := centred(runs, func(r interference.Run) float64 { return r.Load })
	for _, other := range otherTypes(jobType) {
		k := key{jobType, other}
		if e.sums[k] == nil {
			e.sums[k] = new(struct{ n, xx, xl, xy, ll, ly, yy float64 })
		}
		s := e.sums[k]
		for i, x := range centred(runs, func(r interference.Run) float64 { return meanOf(r, other) }) {
			s.n, s.xx, s.xl, s.xy = s.n+1, s.xx+x*x, s.xl+x*ls[i], s.xy+x*ys[i]
			s.ll, s.ly, s.yy = s.ll+ls[i]*ls[i], s.ly+ls[i]*ys[i], s.yy+ys[i]*ys[i]
		}
	}
	for i, r := range runs {
		if w := e.level(r.Worker); e.control {
			w[1]++
			w[0] += ys[i] * max(1/w[1], 0.005)
		}
	}
}

func (e slope) level(worker string) *[2]float64 {
	if e.levels[worker] == nil {
		e.levels[worker] = new([2]float64)
	}
	return e.levels[worker]
}

func (e slope) found() map[key]bool {
	out := map[key]bool{}
	for k, s := range e.sums {
		information, product := s.xx, s.xy
		if e.control && s.ll > 0 {
			information, product = s.xx-s.xl*s.xl/s.ll, s.xy-s.xl*s.ly/s.ll
		}
		if s.n >= ruleRuns && product/information-ruleCertainty*math.Sqrt(s.yy/s.n/information) > ruleEffect {
			out[k] = true
		}
	}
	return out
}

// joint is a least-squares fit of the load and of all types at once. Its state grows with
// the square of the number of types, for each type.
type joint struct {
	slope
	types map[string]*normal
}

type normal struct {
	a     *mat.SymDense
	b     *mat.VecDense
	yy, n float64
}

func (e joint) observe(now time.Time, jobType string, runs []interference.Run) {
	others := otherTypes(jobType)
	k := len(others) + 1
	t := e.types[jobType]
	if t == nil {
		t = &normal{a: mat.NewSymDense(k, nil), b: mat.NewVecDense(k, nil)}
		e.types[jobType] = t
	}
	columns := [][]float64{centred(runs, func(r interference.Run) float64 { return r.Load })}
	for _, other := range others {
		columns = append(columns, centred(runs, func(r interference.Run) float64 { return meanOf(r, other) }))
	}
	ys := centred(runs, func(r interference.Run) float64 { return logRatio(r) - e.level(r.Worker)[0] })
	for i, y := range ys {
		x := mat.NewVecDense(k, nil)
		for c := range columns {
			x.SetVec(c, columns[c][i])
		}
		t.a.SymRankOne(t.a, 1, x)
		t.b.AddScaledVec(t.b, y, x)
		t.n, t.yy = t.n+1, t.yy+y*y
		w := e.level(runs[i].Worker)
		w[1]++
		w[0] += y * max(1/w[1], 0.005)
	}
}

func (e joint) found() map[key]bool {
	out := map[key]bool{}
	for jobType, t := range e.types {
		var inverse, effects mat.Dense
		if t.n < ruleRuns || inverse.Inverse(t.a) != nil {
			continue
		}
		effects.Mul(&inverse, t.b)
		noise := (t.yy - mat.Dot(effects.ColView(0), t.b)) / t.n
		for i, other := range otherTypes(jobType) {
			if effects.At(i+1, 0)-ruleCertainty*math.Sqrt(noise*inverse.At(i+1, i+1)) > ruleEffect {
				out[key{jobType, other}] = true
			}
		}
	}
	return out
}

func estimators() map[string]estimator {
	newSlope := func(control bool) slope {
		return slope{control, map[key]*struct{ n, xx, xl, xy, ll, ly, yy float64 }{}, map[string]*[2]float64{}}
	}
	return map[string]estimator{
		"presence":       presence{map[key]*[2]struct{ n, y, yy float64 }{}},
		"slope":          newSlope(false),
		"slope, control": newSlope(true),
		"joint":          joint{newSlope(true), map[string]*normal{}},
		"chosen":         chosen{interference.New()},
	}
}

func logRatio(r interference.Run) float64 { return math.Log(r.Ratio) }

func meanOf(r interference.Run, jobType string) float64 {
	for _, n := range r.Neighbours {
		if n.JobType == jobType {
			return n.Mean
		}
	}
	return 0
}

func centred(runs []interference.Run, value func(interference.Run) float64) []float64 {
	out, sum := make([]float64, len(runs)), 0.0
	for i, r := range runs {
		out[i] = value(r)
		sum += out[i]
	}
	for i := range out {
		out[i] -= sum / float64(len(out))
	}
	return out
}

func otherTypes(jobType string) []string {
	var out []string
	for _, t := range mixedTypes() {
		if t.name != jobType {
			out = append(out, t.name)
		}
	}
	return out
}
