package forecast_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/forecast"
)

// service plays one queue in order of arrival before 100 cores, with jobs of four cores
// and one run time that arrive at an even pace.
type service struct {
	flow    forecast.Flow
	now     time.Time
	runTime time.Duration
	ends    []time.Time
	// queued holds the arrival times of the jobs that wait.
	queued []time.Time
	waits  []time.Duration
	due    float64
}

const (
	cores    = 100
	jobCores = 4
)

func newService(runTime time.Duration) *service {
	return &service{now: time.Unix(1000, 0), runTime: runTime}
}

// advance plays a number of run times at a load relative to the capacity. Each arrival is
// passed to admit, which may drop it.
func (s *service) advance(runs int, load float64, admit func(ahead float64) bool) {
	const steps = 100
	step := s.runTime / steps
	for range runs * steps {
		s.now = s.now.Add(step)
		for len(s.ends) > 0 && !s.ends[0].After(s.now) {
			s.ends = s.ends[1:]
		}
		for s.due += load * cores / jobCores / steps; s.due >= 1; s.due-- {
			s.flow.Arrived(s.now, jobCores, s.runTime)
			if admit(float64(len(s.queued) * jobCores)) {
				s.queued = append(s.queued, s.now)
			}
		}
		placed := 0.0
		for len(s.queued) > 0 && len(s.ends) < cores/jobCores {
			s.waits = append(s.waits, s.now.Sub(s.queued[0]))
			s.queued, s.ends = s.queued[1:], append(s.ends, s.now.Add(s.runTime))
			placed += jobCores
		}
		s.flow.Pass(s.now, placed, len(s.queued) > 0)
	}
}

func all(float64) bool { return true }

// Plays a burst at 1.8 times the capacity, with run times of 20 ms, 200 ms and 2 s: the
// waits that are forecast have to be those that come, so that jobs can be refused on
// arrival and no other is.
func TestForecastInABurst(t *testing.T) {
	for _, runTime := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint(runTime), func(t *testing.T) {
			c := qt.New(t)
			s := newService(runTime)
			s.advance(10, 0.7, all)
			c.Check(s.flow.Wait(jobCores), qt.Equals, time.Duration(0))
			limit, refused := runTime/2, 0
			s.waits = nil
			s.advance(40, 1.8, func(ahead float64) bool {
				if s.flow.Wait(ahead) <= limit {
					return true
				}
				refused++
				return false
			})
			offered := 40 * 1.8 * cores / jobCores
			c.Check(float64(refused)/offered < 0.5, qt.IsTrue, qt.Commentf("%d of %v refused", refused, offered))
			tooLate := 0
			for _, w := range s.waits {
				if w > limit*3/2 {
					tooLate++
				}
			}
			c.Check(float64(tooLate)/float64(len(s.waits)) < 0.05, qt.IsTrue, qt.Commentf("%d of %d waited too long", tooLate, len(s.waits)))
			// A late job has no room before the burst is over.
			c.Check(s.flow.WaitBehind(s.now, jobCores), qt.Equals, forecast.Never)
			s.advance(20, 0.7, all)
			c.Check(s.flow.Wait(jobCores), qt.Equals, time.Duration(0))
		})
	}
}

// Plays the time after a burst, at 0.7 of the capacity with a backlog: a late job finds
// room in the time that is forecast.
func TestLateJobFindsRoomAfterABurst(t *testing.T) {
	c := qt.New(t)
	s := newService(200 * time.Millisecond)
	s.advance(10, 0.7, all)
	s.advance(10, 1.5, all)
	s.advance(6, 0.7, all)
	backlog := float64(len(s.queued) * jobCores)
	forecasted := s.flow.WaitBehind(s.now, backlog)
	start := s.now
	for len(s.queued) > 0 {
		s.advance(1, 0.7, all)
	}
	c.Check(forecasted.Seconds()/s.now.Sub(start).Seconds() > 0.5, qt.IsTrue, qt.Commentf("%v instead of %v", forecasted, s.now.Sub(start)))
	c.Check(forecasted.Seconds()/s.now.Sub(start).Seconds() < 2, qt.IsTrue, qt.Commentf("%v instead of %v", forecasted, s.now.Sub(start)))
}

// Guards against a reserve that does not grow with the size of jobs and with the load, or
// that is undefined before the first job.
func TestReserve(t *testing.T) {
	c := qt.New(t)
	var f forecast.Flow
	c.Check(f.Reserve(100), qt.Equals, 0.0)
	now := time.Unix(1000, 0)
	c.Check(f.Wait(10), qt.Equals, time.Duration(0))
	for range 1000 {
		f.Arrived(now, 1, time.Second)
	}
	c.Check(f.Reserve(100), qt.Equals, 5.0)
	for range 1000 {
		f.Arrived(now, 4, time.Second)
	}
	c.Check(int(f.Reserve(100)+0.5), qt.Equals, 10)
	c.Check(f.Reserve(-1), qt.Equals, 0.0)
}
