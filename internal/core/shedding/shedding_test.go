package shedding_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/forecast"
	"github.com/poplarlever/poplarlever/internal/core/shedding"
)

// load is the offered load of one job type.
type load struct {
	name     string
	priority int
	perS     float64
	tasks    int
	run      time.Duration
}

// loads take three quarters of a service with room for 680 tasks.
var loads = []load{
	{"urgent", 0, 220, 8, 60 * time.Millisecond},
	{"middle", 1, 650, 2, 200 * time.Millisecond},
	{"long", 2, 40, 4, 900 * time.Millisecond},
}

// slack is how much longer than its run time a job may take.
func (l load) slack() time.Duration { return 6*l.run/10 + 60*time.Millisecond }

// waitingJob is a job with tasks in the queue.
type waitingJob struct {
	load    load
	arrived time.Time
	tasks   int
}

func (j waitingJob) latestStart() time.Time { return j.arrived.Add(j.load.slack() * 6 / 10) }

// serve plays a queue in the order of the latest starts in front of room for a number of
// tasks, and returns the share of the jobs of each type that are in time from 5 s to 10 s. rate
// returns by how much a type offers more than usual.
func serve(shed bool, room int, rate func(l load, at time.Duration) float64) map[string]float64 {
	const step = time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	var flow forecast.Flow
	var shedder shedding.Shedder
	var queue []*waitingJob
	ends := make(map[int64]int)
	asked, inTime := make(map[string]float64), make(map[string]float64)
	for at := time.Duration(0); at < 10*time.Second; at += step {
		now := start.Add(at)
		room += ends[at.Milliseconds()]
		counted := at >= 5*time.Second
		for _, l := range loads {
			if rng.Float64() >= l.perS*rate(l, at)*step.Seconds() {
				continue
			}
			if counted {
				asked[l.name]++
			}
			backlog := 0
			for _, j := range queue {
				backlog += j.tasks
			}
			job := shedding.Job{Type: l.name, Priority: l.priority, Work: float64(l.tasks) * l.run.Seconds(), MaxWait: l.slack() * 6 / 10}
			flow.Arrived(now, float64(l.tasks), l.run)
			if shed && !shedder.Admit(now, job, flow.Wait(float64(backlog))) {
				continue
			}
			queue = append(queue, &waitingJob{l, now, l.tasks})
		}
		queue = slices.DeleteFunc(queue, func(j *waitingJob) bool { return j.tasks == j.load.tasks && j.latestStart().Before(now) })
		slices.SortStableFunc(queue, func(a, b *waitingJob) int { return a.latestStart().Compare(b.latestStart()) })
		placed := 0
		for len(queue) > 0 && room > 0 {
			j := queue[0]
			room--
			placed++
			ends[(at+j.load.run).Milliseconds()]++
			if j.tasks--; j.tasks == 0 {
				queue = queue[1:]
				if counted && now.Sub(j.arrived) <= j.load.slack() {
					inTime[j.load.name]++
				}
			}
		}
		flow.Pass(now, float64(placed), len(queue) > 0)
		if len(queue) > 0 {
			shedder.Waiting(now)
		}
	}
	for name := range asked {
		inTime[name] /= asked[name]
	}
	return inTime
}

func burstOf(name string, x float64) func(load, time.Duration) float64 {
	return func(l load, at time.Duration) float64 {
		if l.name == name && at >= 3*time.Second {
			return x
		}
		return 1
	}
}

// Guards against a burst of the least urgent type that costs the callers of the other types
// what they had.
func TestBurstTakesNothingFromOtherTypes(t *testing.T) {
	c := qt.New(t)
	before := serve(false, 680, burstOf("long", 3.5))
	after := serve(true, 680, burstOf("long", 3.5))
	c.Logf("in time without the rule %v, with it %v", before, after)
	c.Check(before["urgent"] < 0.9 && before["middle"] < 0.9, qt.IsTrue)
	c.Check(after["urgent"] > 0.97 && after["middle"] > 0.95, qt.IsTrue)
	c.Check(after["long"] > 0.4, qt.IsTrue)
}

// Guards against a loss of workers that costs all types alike, and against a least urgent type
// that is shut out.
func TestLeastUrgentGivesWayWhenWorkersAreLost(t *testing.T) {
	c := qt.New(t)
	after := serve(true, 430, burstOf("", 1))
	c.Logf("in time %v", after)
	c.Check(after["urgent"] > 0.95, qt.IsTrue)
	c.Check(after["urgent"] > after["long"], qt.IsTrue)
	c.Check(after["long"] > 0.25*0.8, qt.IsTrue)
}

// Guards against jobs that are shed although there is room.
func TestNothingIsShedWithoutBacklog(t *testing.T) {
	c := qt.New(t)
	var s shedding.Shedder
	for i := range 10000 {
		now := time.Unix(1000, 0).Add(time.Duration(i) * time.Millisecond)
		c.Assert(s.Admit(now, shedding.Job{Type: "a", Priority: i % 3, Work: float64(i), MaxWait: time.Second}, 0), qt.IsTrue)
	}
	c.Check(s.Shed(), qt.Equals, uint64(0))
}

// Guards against odd declarations that stop the rule or shed other jobs, and against records
// that grow with the number of types.
func TestOddJobsAndManyTypes(t *testing.T) {
	c := qt.New(t)
	var s shedding.Shedder
	now := time.Unix(1000, 0)
	for _, work := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		c.Check(s.Admit(now, shedding.Job{Type: "odd", Work: work, MaxWait: time.Second}, time.Hour), qt.IsTrue)
	}
	for i := range 20000 {
		now = now.Add(time.Millisecond)
		s.Admit(now, shedding.Job{Type: string(rune(i)), Priority: 1, Work: 1, MaxWait: time.Second}, time.Hour)
	}
	c.Check(s.Types() <= 5000, qt.IsTrue)
}

// stream offers jobs of a type at an even rate from a time on, and returns how many are shed.
func stream(s *shedding.Shedder, from time.Time, d, every time.Duration, j shedding.Job, backlog time.Duration) int {
	before := s.Shed()
	for at := time.Duration(0); at < d; at += every {
		if now := from.Add(at); backlog > 0 {
			s.Waiting(now)
			s.Admit(now, j, backlog)
		} else {
			s.Admit(now, j, 0)
		}
	}
	return int(s.Shed() - before)
}

var (
	urgentJob = shedding.Job{Type: "urgent", Priority: 0, Work: 1, MaxWait: 60 * time.Millisecond}
	longJob   = shedding.Job{Type: "long", Priority: 2, Work: 4, MaxWait: 400 * time.Millisecond}
)

const every = 10 * time.Millisecond

// Guards against a type that comes back after an hour without a job and counts as excess for
// minutes: what it offers now is usual once it has been so for the averaging time.
func TestTypeThatComesBackIsUsual(t *testing.T) {
	var s shedding.Shedder
	now := time.Unix(1000, 0)
	stream(&s, now, 10*time.Second, every, longJob, 0)
	now = now.Add(time.Hour)
	stream(&s, now, 10*time.Second, every, urgentJob, 0)
	stream(&s, now, 60*time.Second, every, longJob, 0)
	now = now.Add(60 * time.Second)
	stream(&s, now, time.Second, every, urgentJob, 0)
	// At this backlog excess gives way, and what is usual does not.
	qt.Check(t, stream(&s, now, 5*time.Second, every, longJob, 15*time.Millisecond), qt.Equals, 0)
}

// Guards against a type whose single job with an absurd declaration makes all that follow usual
// for minutes, or costs the type its protected part.
func TestAbsurdWorkOfOneJob(t *testing.T) {
	for _, work := range []float64{1e6, 1e30, 1e300} {
		for _, first := range []bool{true, false} {
			c := qt.New(t)
			var s shedding.Shedder
			odd := longJob
			odd.Work = work
			now := time.Unix(1000, 0)
			if first {
				s.Admit(now, odd, 0)
			}
			stream(&s, now, 30*time.Second, every, longJob, 0)
			now = now.Add(30 * time.Second)
			if !first {
				s.Admit(now, odd, 0)
			}
			stream(&s, now, 170*time.Second, every, longJob, 0)
			stream(&s, now, 170*time.Second, every, urgentJob, 0)
			now = now.Add(170 * time.Second)
			shed := stream(&s, now, 2*time.Second, every/5, longJob, time.Second)
			c.Check(shed > 800 && shed < 990, qt.IsTrue, qt.Commentf("work %g, first %v: %d of 1000 in a burst", work, first, shed))
		}
	}
}

// Guards against a priority that no job type has any more, or a type with the shortest
// objective that has had one job long ago, and that go on to decide about all others.
func TestTypesOfThePastDecideNothing(t *testing.T) {
	var s shedding.Shedder
	now := time.Unix(1000, 0)
	s.Admit(now, shedding.Job{Type: "past", Priority: -1, Work: 1, MaxWait: time.Nanosecond}, 0)
	changed := urgentJob
	changed.Priority = -2
	s.Admit(now, changed, 0)
	now = now.Add(2 * time.Minute)
	stream(&s, now, time.Minute, every, urgentJob, 0)
	stream(&s, now, time.Minute, every, longJob, 0)
	now = now.Add(time.Minute)
	qt.Check(t, stream(&s, now, time.Second, every, urgentJob, time.Second), qt.Equals, 0, qt.Commentf("the most urgent type"))
	now = now.Add(10 * time.Second)
	qt.Check(t, stream(&s, now, time.Second, every, longJob, 5*time.Millisecond), qt.Equals, 0, qt.Commentf("a backlog that is short for the types in use"))
}

// Guards against jobs that never give way because they declare no run time, or an infinite
// size.
func TestUndeclaredWorkGivesWay(t *testing.T) {
	for _, work := range []float64{0, math.Inf(1)} {
		var s shedding.Shedder
		now := time.Unix(1000, 0)
		stream(&s, now, 30*time.Second, every, urgentJob, 0)
		stream(&s, now, 30*time.Second, every, longJob, 0)
		odd := longJob
		odd.Work = work
		shed := stream(&s, now.Add(30*time.Second), 2*time.Second, every/5, odd, time.Second)
		qt.Check(t, shed > 500, qt.IsTrue, qt.Commentf("work %g: %d of 1000", work, shed))
	}
}
