package forecast_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/forecast"
)

// Guards against one job with a declared run time of years that makes the forecast of its
// service slow for hundreds of jobs: while tasks wait, the rate of room stayed unknown for a
// second, and hopeless jobs were taken.
func TestOneEstimateDoesNotSlowTheForecast(t *testing.T) {
	for _, odd := range []time.Duration{24 * time.Hour, 10 * 365 * 24 * time.Hour} {
		var f forecast.Flow
		now := time.Unix(1000, 0)
		arrive := func(jobs int, runTime time.Duration) {
			for range jobs {
				now = now.Add(10 * time.Millisecond)
				f.Arrived(now, 4, runTime)
			}
		}
		arrive(200, 100*time.Millisecond)
		arrive(1, odd)
		arrive(50, 100*time.Millisecond)
		for range 20 {
			f.Pass(now, 4, true)
			now = now.Add(10 * time.Millisecond)
		}
		qt.Check(t, f.Wait(1000) > 0, qt.IsTrue, qt.Commentf("after an estimate of %v", odd))
	}
}
