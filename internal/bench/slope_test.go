package bench

import (
	"encoding/json"
	"io"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
)

// Guards against a wrong confidence interval: on a line with known noise the slope
// and the bounds follow from the textbook formula.
func TestFit(t *testing.T) {
	s := &Series{}
	for _, p := range []Point{{1, 2.1}, {2, 3.9}, {3, 6.1}, {4, 7.9}, {5, 10}} {
		s.add(p.X, p.Y)
	}
	s.fit()
	near := qt.CmpEquals(cmp.Comparer(approximately))
	qt.Assert(t, s.Slope, near, 1.98)
	qt.Assert(t, s.Intercept, near, 0.06)
	qt.Assert(t, s.SlopeHigh-s.SlopeLow, near, 2*3.18245*0.0346410)
	qt.Assert(t, s.InterceptHigh-s.InterceptLow, near, 2*3.18245*0.1148913)
}

// approximately reports whether two results of the same formula agree to rounding.
func approximately(a, b float64) bool { return math.Abs(a-b) <= 1e-5 }

// Guards against an interval of zero width around a wrong line, and against a
// division by zero, when all points lie on one line.
func TestFitPointsOnLine(t *testing.T) {
	s := &Series{}
	for i := range 4 {
		s.add(float64(i), 3+2*float64(i))
	}
	s.fit()
	near := qt.CmpEquals(cmp.Comparer(approximately))
	qt.Assert(t, []float64{s.Intercept, s.SlopeLow, s.Slope, s.SlopeHigh}, near, []float64{3, 2, 2, 2})
}

// Guards against a fit that cannot be encoded as JSON: when all values are equal,
// R2 would be NaN.
func TestFitConstantMarshals(t *testing.T) {
	s := Series{}
	for _, x := range []float64{1, 2, 3} {
		s.add(x, 12)
	}
	s.fit()
	_, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.R2, qt.Equals, 1.0)
}

// Guards against per-task figures from a fleet that loses or repeats tasks: each
// ended job is answered, and the queue keeps its length.
func TestCoreFleetRunsEachTaskOnce(t *testing.T) {
	for _, queued := range []int{0, 50} {
		f, err := newCoreFleet(coreSize{workers: 3, accounts: 2, queued: queued, jobTasks: 4}, 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.runTasks(400), qt.IsNil)
		qt.Check(t, f.endedTasks >= 400, qt.IsTrue)
		qt.Check(t, len(f.running) > 0 && len(f.running) <= 3*coreSlots, qt.IsTrue)
		unanswered := int(f.lastJobID) - f.answered
		qt.Check(t, f.entry.Jobs(), qt.Equals, unanswered)
		qt.Check(t, f.answered >= 400/4/2, qt.IsTrue, qt.Commentf("%d answered", f.answered))
		qt.Check(t, f.unfinished <= f.targetUnfinished, qt.IsTrue)
	}
}

// Guards against memory that is attributed to neither role.
func TestRoleOfFunction(t *testing.T) {
	for name, want := range map[string]int{
		"github.com/poplarlever/poplarlever/internal/entryd.(*loop).run":   roleEntry,
		"github.com/poplarlever/poplarlever/internal/agentd.(*linker).run": roleAgent,
		"net/http.(*http2serverConn).readFrames":                           roleEntry,
		"net/http.(*http2clientConnReadLoop).run":                          roleAgent,
		"runtime.main": roleOther,
	} {
		qt.Check(t, roleOfFunction(name), qt.Equals, want, qt.Commentf("%s", name))
	}
}

// Guards against an unknown scenario that runs, and against a listed name without
// the prefix.
func TestSlopeNames(t *testing.T) {
	_, err := RunSlope(SlopePrefix+"nothing", 1, io.Discard)
	qt.Assert(t, err, qt.ErrorMatches, "unknown scenario .*")
	for _, name := range Slopes() {
		qt.Check(t, IsSlope(name), qt.IsTrue)
	}
}
