package health_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/health"
)

// Plays workers with six tasks of six jobs at a time, whose run times are wrong by 40%, and
// of which the end of any shows that the worker works: few sound ones may look silent, and
// one that hangs must be known in less than five times the run time.
func TestSilence(t *testing.T) {
	for _, runTime := range []time.Duration{6 * time.Millisecond, 60 * time.Millisecond, 900 * time.Millisecond} {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(1, uint64(runTime)))
		silent := 0
		for range 20_000 {
			// A sound worker is judged just before its first end.
			firstEnd := time.Duration(math.MaxInt64)
			tasks := make([]health.Running, 6)
			for i := range tasks {
				tasks[i] = health.Running{Job: uint64(i), Expected: runTime}
				firstEnd = min(firstEnd, time.Duration(float64(runTime)*math.Exp(0.4*rng.NormFloat64())))
			}
			for i := range tasks {
				tasks[i].For = firstEnd
			}
			if health.Silent(tasks) {
				silent++
			}
		}
		c.Check(silent < 2, qt.IsTrue, qt.Commentf("%d of 20000 sound workers look silent", silent))
		hanging := []health.Running{{Job: 1, For: 3 * runTime, Expected: runTime}, {Job: 2, For: 3 * runTime, Expected: runTime}}
		c.Check(health.Silent(hanging), qt.IsTrue)
		hanging[1].Job = 1
		c.Check(health.Silent(hanging), qt.IsFalse, qt.Commentf("two tasks of one job"))
		c.Check(health.Silent([]health.Running{{Job: 1, For: time.Hour}, {Job: 2, For: time.Hour}}), qt.IsFalse, qt.Commentf("unknown run times"))
	}
}
