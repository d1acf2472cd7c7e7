package processtest

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/poplarlever/poplarlever/internal/core/lease"
)

// Guards against a soak that excuses a second run of a task although the lease of the first
// has not ended on its worker's clock, and against one that takes an end that its stand-in
// sees late for a second run.
func TestSoakTellsLateEndsFromOverlaps(t *testing.T) {
	const (
		leased = 300 * time.Millisecond
		task   = "0123456789abcdef.0.0.0"
	)
	for _, k := range []struct {
		name string
		// rate is the speed of the first worker's clock, spec that of the task.
		rate float64
		spec string
		// The first worker is looked at after lookedAt, unless it is 0, and the task starts
		// elsewhere after secondAt.
		lookedAt, secondAt time.Duration
		failure, count     string
	}{
		{"in the lease", 1, `{"ms":5000}`, 0, 200 * time.Millisecond, "lease not over", ""},
		{"at the end of the lease", 1, `{"ms":5000}`, 0, leased, "lease not over", ""},
		{"in the lease of a slow clock", 0.9, `{"ms":5000}`, 0, 310 * time.Millisecond, "lease not over", ""},
		{"after the lease, not seen", 1, `{"ms":5000}`, 0, 310 * time.Millisecond, "", "lapsed late"},
		{"after the lease, seen", 1, `{"ms":5000}`, 305 * time.Millisecond, 310 * time.Millisecond, "", ""},
		{"after its end, not seen", 1, `{"ms":100}`, 0, 200 * time.Millisecond, "", "ended late"},
		{"after its end, seen", 1, `{"ms":100}`, 150 * time.Millisecond, 200 * time.Millisecond, "", ""},
		{"looked at beyond the second start", 1, `{"ms":5000}`, 400 * time.Millisecond, 200 * time.Millisecond, "end not proved", ""},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			events, err := os.Create(filepath.Join(t.TempDir(), "events.log"))
			c.Assert(err, qt.IsNil)
			defer events.Close()
			s := &soak{c: c, events: events, overCh: make(chan struct{}), runs: make(map[string]bool), done: make(map[string]bool),
				refused: make(map[string]bool), counts: make(map[string]int), cancelled: make(map[string]time.Time)}
			began := time.Now()
			for _, name := range []string{"first", "second"} {
				w := &soakWorker{s: s, name: name}
				l := &life{w: w, id: name, started: began, rate: 1}
				w.life = l
				s.workers = append(s.workers, w)
				l.prepare()
			}
			first, second := s.workers[0].life, s.workers[1].life
			first.rate = k.rate
			call := func(l *life, run uint32) workerCall {
				return workerCall{Task: task, Run: run, Spec: k.spec, instance: lease.Instance{ID: l.id}}
			}
			c.Assert(first.startRun(call(first, 1), began, leased).Status, qt.Equals, lease.OK)
			if k.lookedAt > 0 {
				first.core.Running(first.clockAt(began.Add(k.lookedAt)))
			}
			c.Assert(second.startRun(call(second, 2), began.Add(k.secondAt), time.Second).Status, qt.Equals, lease.OK)
			if k.failure == "" {
				c.Assert(s.failures, qt.HasLen, 0)
			} else {
				c.Assert(s.failures, qt.HasLen, 1)
				c.Assert(s.failures[0], qt.Contains, k.failure)
			}
			for _, name := range []string{"lapsed late", "ended late"} {
				c.Assert(s.counts[name] == 1, qt.Equals, name == k.count, qt.Commentf("%s", name))
			}
		})
	}
}
