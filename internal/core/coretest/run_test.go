package coretest_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/core/coretest"
	"github.com/poplarlever/poplarlever/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

const (
	runSeeds = 40
	runSteps = 150
)

// Guards against guarantees that are violated in long random runs with faults of
// all kinds: double starts, false verdicts, partial or missing answers, lost slots.
func TestRandomRuns(t *testing.T) {
	for seed := range uint64(runSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, err := coretest.Run(seed, runSteps)
			qt.Assert(t, err, qt.IsNil)
			t.Logf("%+v", result)
		})
	}
}

// Guards against outputs whose order depends on map iteration or on anything
// else but the inputs.
func TestRunsRepeatExactly(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			first, err := coretest.Run(seed, runSteps)
			qt.Assert(t, err, qt.IsNil)
			second, err := coretest.Run(seed, runSteps)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, second, qt.DeepEquals, first)
		})
	}
}

// panickingLog panics when the arrival of a message is logged.
type panickingLog struct{}

// Write implements io.Writer.
func (panickingLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("<-")) {
		panic("index out of range")
	}
	return len(line), nil
}

// Guards against a run that takes a panic of a core, such as an index out of
// range, for success.
func TestPanicFailsTheRun(t *testing.T) {
	_, err := coretest.Replay(1, coretest.Actions(1, 1), panickingLog{})
	qt.Assert(t, errorx.IsOfType(err, coretest.ErrPanic), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a soak that stops early or counts nothing.
func TestSoakCountsItsRuns(t *testing.T) {
	reports := 0
	sum, failure := coretest.Soak(1, 0, func(coretest.Summary) { reports++ })
	qt.Assert(t, failure, qt.IsNil)
	qt.Check(t, reports, qt.Equals, 1)
	qt.Check(t, sum.Seeds, qt.Equals, 1)
	qt.Check(t, sum.Jobs > 0 && sum.Starts > 0 && sum.Faults > 0, qt.IsTrue, qt.Commentf("%+v", sum))
}
