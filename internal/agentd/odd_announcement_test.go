package agentd

import (
	"context"
	"math"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/fake/worker"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

const workerAddress = "10.0.0.9:80"

// instanceWorker is a worker that answers at workerAddress alone. As on the wire, calls
// name an instance by its ID, and only the lists in an answer tell when it started.
type instanceWorker struct {
	mu      sync.Mutex
	address string
	worker  *worker.Worker
	// coreCallsLost loses the calls of the lease core, which are numbered. Those that ask
	// whether the worker still is the present instance get through.
	coreCallsLost bool
}

func newInstanceWorker(instance lease.Instance) *instanceWorker {
	w := &instanceWorker{}
	w.restart(instance)
	return w
}

// restart replaces the worker by one of another instance on which nothing runs.
func (w *instanceWorker) restart(instance lease.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worker = worker.New(instance, clock.Now(), 8, func(string) (time.Duration, lease.EndKind) { return time.Minute, lease.Done })
}

// runs reports whether the worker runs the task.
func (w *instanceWorker) runs(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.worker.Running(clock.Now())[task]
	return ok
}

func (w *instanceWorker) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = address
}

// call locks the worker and carries the call out, unless the address is another one.
func (w *instanceWorker) call(number uint64, instance lease.Instance, do func(lease.Instance) lease.Answer) lease.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address != workerAddress || w.coreCallsLost && number != 0 {
		return lease.Answer{Call: number, Status: lease.NoAnswer}
	}
	if instance.ID == w.worker.Instance.ID {
		instance = w.worker.Instance
	}
	return do(instance)
}

func (w *instanceWorker) Start(_ context.Context, s lease.Start) lease.Answer {
	return w.call(s.Call, s.Instance, func(i lease.Instance) lease.Answer {
		s.Instance = i
		return w.worker.Start(clock.Now(), s)
	})
}

func (w *instanceWorker) Stop(_ context.Context, s lease.Stop) lease.Answer {
	return w.call(s.Call, s.Instance, func(i lease.Instance) lease.Answer {
		s.Instance = i
		return w.worker.Stop(clock.Now(), s)
	})
}

func (w *instanceWorker) Hold(_ context.Context, h lease.Hold) lease.Answer {
	return w.call(h.Call, h.Instance, func(i lease.Instance) lease.Answer {
		h.Instance = i
		return w.worker.Hold(clock.Now(), h)
	})
}

// oddFixture is an agent process with one leased worker.
type oddFixture struct {
	c      *qt.C
	daemon *Daemon
	worker *instanceWorker
	number uint64
}

func newOddFixture(t *testing.T, opts ...Option) *oddFixture {
	c := qt.New(t)
	server, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	w := newInstanceWorker(announcementOf(5, 1, false).Instance)
	epoch := clock.Now()
	core := agent.New(agent.Config{Worker: "w", Incarnation: 9, ResultKeep: time.Minute, HeartbeatInterval: time.Second, Epoch: epoch})
	d := New(core, "w", epoch, nil, server, zap.NewNop(), append(opts, WithLeasedWorker(w))...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = d.Run(ctx, 0) }()
	c.Cleanup(func() { cancel(); <-done })
	return &oddFixture{c: c, daemon: d, worker: w}
}

// announce sends the next announcement of the real worker.
func (f *oddFixture) announce() {
	f.number++
	a := announcementOf(5, f.number, false)
	a.Instance = f.worker.worker.Instance
	f.daemon.Announced(a)
}

// onLoop runs do on the goroutine that owns the cores.
func (f *oddFixture) onLoop(do func(now time.Time)) {
	done := make(chan struct{})
	f.daemon.loop.submit(func(now time.Time) { defer close(done); do(now) })
	<-done
}

func (f *oddFixture) hello() (hello msg.Hello) {
	f.onLoop(func(time.Time) { hello = f.daemon.loop.core.Hello() })
	return hello
}

func (f *oddFixture) running() (n int) {
	f.onLoop(func(time.Time) { n = f.daemon.loop.core.Running() })
	return n
}

// inUse reports whether entries may use the worker with the real worker's properties.
func (f *oddFixture) inUse() bool {
	h, real := f.hello(), announcementOf(5, 1, false)
	return !h.Leaving && h.Size == real.Size && h.Service == real.Service && h.Slots == real.Slots
}

// waitUntilInUse repeats the real announcement until the worker is in use.
func (f *oddFixture) waitUntilInUse(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.announce()
		time.Sleep(20 * time.Millisecond)
		if f.inUse() {
			return true
		}
	}
	return false
}

// startTask starts a task of an entry and keeps it running for the duration of the test.
func (f *oddFixture) startTask(name string) {
	const entry = 1
	f.onLoop(func(now time.Time) {
		core := f.daemon.loop.core
		core.Step(now, agent.LinkUp{Entry: entry, Name: "e"})
		core.Step(now, agent.Received{Entry: entry, Message: msg.Dispatch{
			Attempt: msg.AttemptID{Entry: entry, Job: 1, Attempt: 1}, AgentIncarnation: 9, StartBy: time.Hour, RunLimit: time.Hour,
			Service: "s", TaskName: name, Size: msg.Size{Cores: 1}, EchoedClock: time.Hour,
		}})
	})
	for end := time.Now().Add(5 * time.Second); !f.worker.runs(name); time.Sleep(time.Millisecond) {
		f.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the task was not started"))
	}
}

// entryAlive lets the entry send back the agent's present clock.
func (f *oddFixture) entryAlive() {
	f.onLoop(func(now time.Time) {
		core := f.daemon.loop.core
		core.Step(now, agent.Received{Entry: 1, Message: msg.EntryHeartbeat{EchoedClock: core.Clock(now)}})
	})
}

var oddAnnouncements = map[string]func(*WorkerAnnouncement){
	"start time of -1":              func(a *WorkerAnnouncement) { a.Instance.StartedAtMs, a.Size = -1, msg.Size{} },
	"largest start time":            func(a *WorkerAnnouncement) { a.Instance.StartedAtMs = math.MaxInt64 },
	"later start time":              func(a *WorkerAnnouncement) { a.Instance.StartedAtMs = 6 },
	"other worker, later start":     func(a *WorkerAnnouncement) { a.Instance = lease.Instance{ID: "x", StartedAtMs: 6} },
	"other worker, other address":   func(a *WorkerAnnouncement) { a.Instance.ID, a.Address = "x", "10.0.0.10:80" },
	"other address":                 func(a *WorkerAnnouncement) { a.Address = "10.0.0.9:99999" },
	"slots beyond 32 bits":          func(a *WorkerAnnouncement) { a.Slots = 9_000_000_000_000 },
	"many labels":                   func(a *WorkerAnnouncement) { a.Labels = manyLabels() },
	"largest number, no room":       func(a *WorkerAnnouncement) { a.Number, a.Size = math.MaxUint64, msg.Size{} },
	"largest number, other address": func(a *WorkerAnnouncement) { a.Number, a.Address = math.MaxUint64, "10.0.0.9:81" },
	"earlier start, other address":  func(a *WorkerAnnouncement) { a.Instance.StartedAtMs, a.Address = 4, "10.0.0.9:81" },
}

func manyLabels() []string {
	labels := make([]string, 200_000)
	for i := range labels {
		labels[i] = "label"
	}
	return labels
}

// Guards against an announcement of another writer that takes the real worker out of use
// for good, whether it comes before the worker's own announcements or in between.
func TestOddAnnouncementDoesNotLockOutWorker(t *testing.T) {
	for name, change := range oddAnnouncements {
		t.Run(name, func(t *testing.T) {
			odd := announcementOf(5, 1, false)
			change(&odd)
			t.Run("first", func(t *testing.T) {
				t.Parallel()
				f := newOddFixture(t)
				f.daemon.Announced(odd)
				time.Sleep(50 * time.Millisecond)
				f.c.Check(f.waitUntilInUse(6*time.Second), qt.IsTrue, qt.Commentf("%+v", f.hello()))
			})
			t.Run("in between", func(t *testing.T) {
				t.Parallel()
				f := newOddFixture(t)
				f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
				f.daemon.Announced(odd)
				time.Sleep(50 * time.Millisecond)
				f.c.Check(f.waitUntilInUse(6*time.Second), qt.IsTrue, qt.Commentf("%+v", f.hello()))
			})
		})
	}
}

// Guards against an announcement of another writer that makes the agent report the
// worker's tasks as ended, or no longer reach them, while they run: an entry would start
// them elsewhere.
func TestOddAnnouncementLeavesTasksRunning(t *testing.T) {
	for name, change := range oddAnnouncements {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newOddFixture(t)
			f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
			f.startTask("t")
			odd := announcementOf(5, 1000, false)
			change(&odd)
			f.daemon.Announced(odd)
			for range 30 {
				f.entryAlive()
				f.c.Assert(f.running(), qt.Equals, 1)
				f.c.Assert(f.worker.runs("t"), qt.IsTrue)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// Guards against a message that no entry can decode: every entry would close its link to
// the agent, and again whenever the agent links.
func TestOddAnnouncementLeavesHelloDecodable(t *testing.T) {
	for name, change := range oddAnnouncements {
		t.Run(name, func(t *testing.T) {
			f := newOddFixture(t)
			odd := announcementOf(5, 1, false)
			change(&odd)
			f.daemon.Announced(odd)
			time.Sleep(20 * time.Millisecond)
			_, err := linkpb.DecodeFromAgent(linkpb.EncodeFromAgent(f.hello()))
			f.c.Check(err, qt.IsNil)
		})
	}
}

// Guards against a worker that starts anew, with another ID or the same one, and is not
// used again.
func TestRestartedWorkerIsUsed(t *testing.T) {
	for name, instance := range map[string]lease.Instance{
		"other ID": {ID: "j", StartedAtMs: 6}, "same ID": {ID: "i", StartedAtMs: 6}, "earlier time of day": {ID: "j", StartedAtMs: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newOddFixture(t)
			f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
			f.startTask("t")
			f.worker.restart(instance)
			f.announce()
			f.awaitTakeover()
			f.c.Check(f.waitUntilInUse(6*time.Second), qt.IsTrue, qt.Commentf("%+v", f.hello()))
			f.c.Check(f.running(), qt.Equals, 0)
		})
	}
}

// Guards against a worker that leaves and goes on getting tasks because an earlier
// announcement had a number above all that follow.
func TestLeavingIsSeenAfterTooLargeNumber(t *testing.T) {
	f := newOddFixture(t)
	f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
	f.daemon.Announced(announcementOf(5, math.MaxUint64, false))
	f.daemon.Announced(announcementOf(5, f.number+1, true))
	f.c.Check(f.hello().Leaving, qt.IsTrue)
}

// Guards against a late announcement that takes back what a newer one said.
func TestLateAnnouncementChangesNothing(t *testing.T) {
	f := newOddFixture(t)
	f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
	newest := announcementOf(5, 100, false)
	newest.Size.Cores = 8
	f.daemon.Announced(newest)
	f.daemon.Announced(announcementOf(5, 99, false))
	f.c.Check(f.hello().Size, qt.Equals, newest.Size)
	f.daemon.Announced(announcementOf(5, 98, true))
	f.daemon.Announced(announcementOf(5, 101, false))
	f.c.Check(f.hello().Leaving, qt.IsTrue)
}

// Guards against a deregistration of another writer, or of an earlier life of a worker that
// kept its ID, that takes the worker out of use for good although it goes on.
func TestWorkerThatGoesOnIsUsedAfterDeregistration(t *testing.T) {
	f := newOddFixture(t)
	f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
	f.daemon.Left(lease.Instance{ID: "i"})
	f.c.Check(f.hello().Leaving, qt.IsTrue)
	f.c.Check(f.waitUntilInUse(6*time.Second), qt.IsTrue, qt.Commentf("%+v", f.hello()))
}

// Guards against announcements that are refused without a trace.
func TestRefusedAnnouncementsAreCounted(t *testing.T) {
	m, err := telemetry.New(telemetry.Agent)
	qt.Assert(t, err, qt.IsNil)
	f := newOddFixture(t, WithMetrics(m))
	f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
	odd := announcementOf(6, 1, false)
	odd.Instance.ID = "x"
	f.daemon.Announced(odd)
	f.daemon.Refused(odd.Validate())
	counted := func() bool {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return strings.Contains(w.Body.String(), "poplarlever_announcements_refused_total 2")
	}
	for end := time.Now().Add(5 * time.Second); !counted() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	f.c.Check(counted(), qt.IsTrue)
}
