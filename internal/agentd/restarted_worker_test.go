package agentd

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/httpserver"
)

// awaitTakeover waits until the agent has taken over the worker's present instance.
func (f *oddFixture) awaitTakeover() {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		taken := false
		f.onLoop(func(time.Time) {
			d := f.daemon.loop.leased
			taken = d.present.instance == f.worker.worker.Instance && d.core.Ready()
		})
		if taken {
			return
		}
		f.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the restart was not found"))
	}
}

// Guards against a worker that gets tasks by what an earlier instance was: an answer tells of the
// restart under its ID before the worker has announced itself, perhaps as another kind. The earlier
// instance's properties must not reach entries, before or after a restart of the agent, while
// its attempts are resolved.
func TestRestartedWorkerWaitsForItsAnnouncement(t *testing.T) {
	s := fakestore.New(fakestore.Rates{Reads: 1000, Writes: 1000})
	f := newOddFixture(t, WithWorkerRecord(s, "s"))
	f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
	f.startTask("t")
	f.worker.restart(lease.Instance{ID: "i", StartedAtMs: 7})
	f.awaitTakeover()
	h := f.hello()
	f.c.Check(h.Leaving, qt.IsTrue, qt.Commentf("the worker is in use: %+v", h))
	f.c.Check(h.Size, qt.Equals, msg.Size{})
	f.c.Check(h.Slots+len(h.Labels), qt.Equals, 0)
	f.c.Check(h.Settled, qt.IsTrue)
	f.daemon.Left(lease.Instance{ID: "i"})
	for end := time.Now().Add(5 * time.Second); f.running() > 0; time.Sleep(time.Millisecond) {
		f.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the attempt is not resolved"))
	}
	a := announcementOf(7, 1, false)
	a.Labels, a.Size = []string{"b"}, msg.Size{Cores: 4}
	f.daemon.Announced(a)
	h = f.hello()
	f.c.Check(h.Leaving, qt.IsFalse)
	f.c.Check(h.Labels, qt.DeepEquals, a.Labels)
	f.c.Check(h.Size, qt.Equals, a.Size)
	k := newRecordKeeper(s, "w", "s", zap.NewNop())
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if recorded, _ := k.read(t.Context()); recorded.Instance == a.Instance {
			f.c.Check(recorded, qt.DeepEquals, a)
			return
		}
		f.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the announcement is not recorded"))
	}
}

// Guards against an announcement of the new instance that is dropped because an answer told of
// the restart first: the worker would not be used until the next one.
func TestAnnouncementUnderCheckIsUsedAfterRestart(t *testing.T) {
	l := newLoop(agent.New(agent.Config{Worker: "w", Epoch: time.Unix(0, 0)}))
	d := &leasedDriver{loop: l, core: lease.New(lease.Config{}), worker: &stubWorker{}}
	now := time.Unix(1000, 0)
	d.applyAnnouncement(now, announcementOf(5, 1, false))
	d.instanceAnswered()
	next := announcementOf(7, 1, false)
	next.Labels = []string{"b"}
	d.applyAnnouncement(now, next)
	d.restarted(now, next.Instance)
	qt.Check(t, l.core.Hello().Labels, qt.DeepEquals, next.Labels)
}

// Guards against an entry that gives up the tasks of an earlier agent process, or waits for them
// until their callers' deadline: it has to learn that they are under a lease although the worker
// has not been heard of.
func TestAgentOfUnknownWorkerHasLease(t *testing.T) {
	c := qt.New(t)
	server, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	core := agent.New(agent.Config{Worker: "w", Incarnation: 9, ReleaseAfter: time.Second, Epoch: time.Unix(0, 0)})
	New(core, "w", time.Unix(0, 0), nil, server, zap.NewNop(), WithLeasedWorker(&stubWorker{}))
	c.Check(core.Hello().Leased(), qt.IsTrue)
}

// Guards against what the driver believes of one instance of the worker that is applied to the
// next: that it leaves, when it deregistered, which announcement is being checked.
func TestDriverKeepsNothingOfAnInstance(t *testing.T) {
	c := qt.New(t)
	now, a := time.Unix(1000, 0), announcementOf(5, 1, true)
	other := announcementOf(9, 1, false)
	d := &leasedDriver{loop: newLoop(agent.New(agent.Config{Worker: "w", Epoch: time.Unix(0, 0)})), core: lease.New(lease.Config{}), worker: &stubWorker{}}
	d.present = instanceState{
		instance: a.Instance, address: a.Address, announced: &a, announcedAt: now, answered: true, leftAt: now, candidate: &other, candidateSince: now,
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[instanceState]()) {
		c.Assert(reflect.ValueOf(d.present).FieldByIndex(field.Index).IsZero(), qt.IsFalse, qt.Commentf("%s has no value here", field.Name))
	}
	next := lease.Instance{ID: "i", StartedAtMs: 7}
	d.restarted(now, next)
	c.Check(d.present, qt.Equals, instanceState{instance: next, address: a.Address, answered: true})
	c.Check(d.left(now, lease.Instance{ID: "i"}), qt.IsFalse)
}

// Guards against a late deregistration of an earlier life that takes the worker out of use, or
// its record for good.
func TestDeregistrationOfEarlierLifeIsIgnored(t *testing.T) {
	s := fakestore.New(fakestore.Rates{Reads: 1000, Writes: 1000})
	f := newOddFixture(t, WithWorkerRecord(s, "s"))
	f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue)
	f.daemon.Left(lease.Instance{ID: "i", StartedAtMs: 4})
	f.c.Check(f.hello().Leaving, qt.IsFalse)
	f.daemon.record.mu.Lock()
	f.c.Check(f.daemon.record.wanted.Leaving, qt.IsFalse)
	f.daemon.record.mu.Unlock()
	f.daemon.Left(lease.Instance{ID: "i", StartedAtMs: 5})
	f.c.Check(f.hello().Leaving, qt.IsTrue)
}

// Guards against a start that this process sends after it stood still: the worker may have
// restarted under its ID meanwhile.
func TestStartIsNotSentTooLate(t *testing.T) {
	w, now := &stubWorker{}, time.Unix(1000, 0)
	for _, late := range []time.Duration{-time.Millisecond, time.Millisecond} {
		answer := sendStart(t.Context(), w, now, lease.Start{Call: 3, SendBy: now.Add(-late)})
		qt.Check(t, answer.Call, qt.Equals, uint64(3))
		qt.Check(t, answer.Status == lease.NotSent, qt.Equals, late > 0)
	}
	qt.Check(t, w.starts, qt.Equals, 1)
}
