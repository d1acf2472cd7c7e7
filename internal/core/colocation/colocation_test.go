package colocation

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a neighbour that ran for a part of the time and counts as a whole one.
func TestNeighboursCountByTheirTime(t *testing.T) {
	c := qt.New(t)
	tracker := New(epoch)
	early := tracker.Start(at(0), "b", 8)
	task := tracker.Start(at(100), "a", 4)
	tracker.End(at(150), early, 32)
	late := tracker.Start(at(175), "b", 8)
	sibling := tracker.Start(at(150), "a", 4)
	s := tracker.End(at(200), task, 32)
	c.Check(s.Known, qt.IsTrue)
	means := map[TypeID]float64{}
	for _, n := range s.Neighbours {
		means[n.Type] = n.Mean
	}
	c.Check(math.Abs(means[TypeIDOf("b")]-0.75) < 1e-9, qt.IsTrue, qt.Commentf("%v", means))
	c.Check(math.Abs(means[TypeIDOf("a")]-0.25) < 1e-9, qt.IsTrue, qt.Commentf("%v", means))
	c.Check(math.Abs(s.Load-(0.75*8+0.25*4)/32) < 1e-9, qt.IsTrue, qt.Commentf("%v", s.Load))
	tracker.End(at(200), late, 32)
	tracker.End(at(200), sibling, 32)
	c.Check(tracker.cores, qt.Equals, 0.0)
}

// Guards against a summary of a task whose neighbours before the tracker are unknown.
func TestAdoptedTaskHasNoSummary(t *testing.T) {
	c := qt.New(t)
	tracker := New(epoch)
	old := tracker.Adopt(at(0), "a", 1)
	task := tracker.Start(at(0), "b", 1)
	c.Check(tracker.End(at(10), old, 8).Known, qt.IsFalse)
	c.Check(tracker.End(at(20), task, 8).Neighbours, qt.DeepEquals, []Neighbour{{TypeIDOf("a"), 0.5}})
}

// Guards against means that go wrong while slots pass from one job type to another, and
// against a tracker that grows with the number of job types.
func TestMeansAgreeWithAListOfTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type run struct {
			jobType    string
			start, end int
			mark       *Mark
		}
		tracker, runs := New(epoch), []*run{}
		types := rapid.IntRange(1, 3*maxTypes).Draw(t, "types")
		for now := 1; now <= 200; now++ {
			open := []*run{}
			for _, r := range runs {
				if r.end == 0 {
					open = append(open, r)
				}
			}
			if len(open) < maxTypes && rapid.Bool().Draw(t, "start") {
				r := &run{jobType: fmt.Sprint("t", rapid.IntRange(1, types).Draw(t, "type")), start: now}
				r.mark = tracker.Start(at(now), r.jobType, 1)
				runs = append(runs, r)
			} else if len(open) > 0 {
				r := open[rapid.IntRange(0, len(open)-1).Draw(t, "end")]
				r.end = now
				s := tracker.End(at(now), r.mark, 100)
				if now == r.start {
					continue
				}
				want := map[TypeID]float64{}
				load := 0.0
				for _, o := range runs {
					end := o.end
					if end == 0 {
						end = now
					}
					if beside := float64(min(end, r.end)-max(o.start, r.start)) / float64(r.end-r.start); o != r && beside > 0 {
						want[TypeIDOf(o.jobType)] += beside
						load += beside / 100
					}
				}
				if math.Abs(s.Load-load) > 1e-6 {
					t.Fatalf("load %v, want %v", s.Load, load)
				}
				for _, n := range s.Neighbours {
					// A slot that passed on loses the time of its earlier type.
					if n.Mean > want[n.Type]+1e-6 || types <= maxTypes && math.Abs(n.Mean-want[n.Type]) > 1e-6 {
						t.Fatalf("mean of %v is %v, want %v", n.Type, n.Mean, want[n.Type])
					}
				}
			}
		}
		if len(tracker.slots) > maxTypes || len(tracker.index) > maxTypes {
			t.Fatalf("%d slots", len(tracker.slots))
		}
	})
}

// Guards against runs that are left out as invalid because a large worker runs very many small
// tasks.
func TestVeryManyTasks(t *testing.T) {
	tracker := New(time.Unix(1000, 0))
	for range 90 {
		tracker.Start(time.Unix(1000, 0), "small", 1)
	}
	m := tracker.Start(time.Unix(1000, 0), "a", 4)
	s := tracker.End(time.Unix(1001, 0), m, 96)
	qt.Check(t, s.Neighbours, qt.DeepEquals, []Neighbour{{Type: TypeIDOf("small"), Mean: MaxMean}})
}
