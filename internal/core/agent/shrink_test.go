package agent_test

import (
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

func (f *fixture) resize(size msg.Size) {
	f.number++
	f.step(agent.EndpointAnnounced{Service: "s", Slots: 8, Connections: 64, Size: size, Join: 1, Number: 1 + f.number, Leased: true})
}

// Guards against an agent that ends because its worker shrank while tasks ran: a task that
// needs none of what is overdrawn still starts.
func TestTaskThatNeedsNothingOverdrawnStarts(t *testing.T) {
	f := newLeasedFixture(t)
	f.resize(msg.Size{Cores: 32, MemoryBytes: 1 << 30})
	f.occupy(1, 20)
	f.resize(msg.Size{Cores: 8, MemoryBytes: 1 << 30})
	d := f.dispatchOf(attempt(entry, 2))
	d.Size, d.TaskName = msg.Size{MemoryBytes: 1 << 20}, "memory"
	f.core.TakeOutputs()
	f.receive(d)
	f.c.Assert(f.core.Running(), qt.Equals, 2)
	f.occupy(3, 1)
	f.c.Assert(f.core.Running(), qt.Equals, 2)
}

// Guards against starts that bring a worker over a capacity that shrinks and grows while
// tasks run, against free room below zero, and against counting a task that is being
// stopped as gone.
func TestShrinkingWorkerIsNotOverfilled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newLeasedFixture(t)
		size := msg.Size{Cores: 32}
		sizes := map[uint64]msg.Size{}
		used := func() (sum msg.Size) {
			for _, s := range sizes {
				sum = sum.Plus(s)
			}
			return sum
		}
		for job := range uint64(rapid.IntRange(1, 60).Draw(rt, "steps")) {
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				size = msg.Size{
					Cores:       float64(rapid.IntRange(0, 32).Draw(rt, "cores")),
					MemoryBytes: rapid.Uint64Range(0, 64).Draw(rt, "memory"), Accelerators: rapid.Uint32Range(0, 4).Draw(rt, "accelerators"),
				}
				f.resize(size)
			case 1, 2:
				d := f.dispatchOf(attempt(entry, job))
				d.TaskName = "t"
				d.Size = msg.Size{
					Cores:       float64(rapid.IntRange(0, 8).Draw(rt, "task cores")),
					MemoryBytes: rapid.Uint64Range(0, 16).Draw(rt, "task memory"), Accelerators: rapid.Uint32Range(0, 1).Draw(rt, "task accelerators"),
				}
				before, running := used(), f.core.Running()
				f.receive(d)
				fits := before.Plus(d.Size).Of(d.Size).FitsIn(size)
				if started := f.core.Running() > running; started != fits {
					rt.Fatalf("a task of %v starts: %v; %v of %v are used", d.Size, started, before, size)
				} else if started {
					sizes[job] = d.Size
				}
			case 3:
				if len(sizes) == 0 {
					break
				}
				// A stop frees nothing before the task has ended.
				ended := slices.Min(slices.Collect(maps.Keys(sizes)))
				f.receive(msg.Revoke{Attempts: []msg.AttemptRef{{Attempt: attempt(entry, ended)}}, Stop: true})
				if rapid.Bool().Draw(rt, "ends") {
					f.end(attempt(entry, ended), msg.ResultAborted)
					delete(sizes, ended)
				}
			}
			if room, want := f.core.Room(), size.Minus(used()); room != want {
				rt.Fatalf("the room is %v, not %v", room, want)
			}
			f.core.TakeOutputs()
		}
	})
}
