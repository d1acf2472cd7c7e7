package agentd

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
)

// stubWorker records its address, counts starts and answers no call.
type stubWorker struct {
	address string
	starts  int
}

func (w *stubWorker) SetAddress(address string) { w.address = address }
func (w *stubWorker) Start(_ context.Context, s lease.Start) lease.Answer {
	w.starts++
	return lease.Answer{Call: s.Call, Status: lease.NoAnswer}
}
func (w *stubWorker) Stop(_ context.Context, s lease.Stop) lease.Answer {
	return lease.Answer{Call: s.Call, Status: lease.NoAnswer}
}
func (w *stubWorker) Hold(_ context.Context, h lease.Hold) lease.Answer {
	return lease.Answer{Call: h.Call, Status: lease.NoAnswer}
}

func announcementOf(startedAtMs int64, number uint64, leaving bool) WorkerAnnouncement {
	return WorkerAnnouncement{
		Instance: lease.Instance{ID: "i", StartedAtMs: startedAtMs}, Address: "10.0.0.9:80", Service: "s",
		Slots: 8, Size: msg.Size{Cores: 16}, Labels: []string{"a"}, Number: number, Leaving: leaving,
	}
}

// keepers returns the record keepers of two successive agent processes of one worker.
func keepers() (*recordKeeper, *recordKeeper) {
	s := fakestore.New(fakestore.Rates{Reads: 1000, Writes: 1000})
	return newRecordKeeper(s, "w", "s", zap.NewNop()), newRecordKeeper(s, "w", "s", zap.NewNop())
}

// Guards against a successor that does not find the worker or finds another state of it.
func TestSuccessorReadsRecord(t *testing.T) {
	c := qt.New(t)
	first, second := keepers()
	_, found := second.read(t.Context())
	c.Check(found, qt.IsFalse)
	first.announced(announcementOf(5, 1, false))
	c.Assert(first.write(t.Context()), qt.IsNil)
	a, found := second.read(t.Context())
	c.Check(found, qt.IsTrue)
	c.Check(a, qt.DeepEquals, announcementOf(5, 1, false))
}

// Guards against a worker that has left, or has said that it is leaving, and is in use
// again after a restart: its record is not used, and an earlier agent process that was
// paused or an older announcement does not replace it.
func TestLeavingWorkerIsNotRecalled(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(*recordKeeper)
	}{
		{"draining", func(k *recordKeeper) { k.announced(announcementOf(5, 3, true)) }},
		{"left", func(k *recordKeeper) { k.left("i") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			paused, k := keepers()
			paused.announced(announcementOf(5, 1, false))
			k.announced(announcementOf(5, 2, false))
			test.leave(k)
			k.announced(announcementOf(5, 4, false))
			c.Assert(k.write(t.Context()), qt.IsNil)
			c.Assert(paused.write(t.Context()), qt.IsNil)
			_, found := k.read(t.Context())
			c.Check(found, qt.IsFalse)
			k.announced(announcementOf(6, 1, false))
			c.Assert(k.write(t.Context()), qt.IsNil)
			_, found = k.read(t.Context())
			c.Check(found, qt.IsTrue)
		})
	}
}

// Guards against a successor that uses what a worker has changed since its first announcement:
// its kind or its capacity, as after a restart under its ID.
func TestRecordFollowsAnnouncements(t *testing.T) {
	for name, change := range map[string]func(*WorkerAnnouncement){
		"address":  func(a *WorkerAnnouncement) { a.Address = "10.0.0.9:81" },
		"slots":    func(a *WorkerAnnouncement) { a.Slots = 2 },
		"size":     func(a *WorkerAnnouncement) { a.Size.Cores = 4 },
		"labels":   func(a *WorkerAnnouncement) { a.Labels = []string{"b"} },
		"instance": func(a *WorkerAnnouncement) { a.Instance.StartedAtMs = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			paused, k := keepers()
			paused.announced(announcementOf(5, 1, false))
			k.announced(announcementOf(5, 1, false))
			c.Assert(k.write(t.Context()), qt.IsNil)
			changed := announcementOf(5, 2, false)
			change(&changed)
			k.announced(changed)
			c.Assert(k.write(t.Context()), qt.IsNil)
			if name != "instance" {
				c.Assert(paused.write(t.Context()), qt.IsNil)
			}
			a, _ := k.read(t.Context())
			c.Check(a, qt.DeepEquals, changed)
		})
	}
}

// Guards against a record that cannot be read and ends the process or is used.
func TestMalformedRecord(t *testing.T) {
	c := qt.New(t)
	k, _ := keepers()
	_, err := k.store.CompareAndSwap(t.Context(), k.key, 0, []byte(`{"Slots":"x"`), 0)
	c.Assert(err, qt.IsNil)
	_, found := k.read(t.Context())
	c.Check(found, qt.IsFalse)
	k.announced(announcementOf(5, 1, false))
	c.Assert(k.write(t.Context()), qt.IsNil)
	_, found = k.read(t.Context())
	c.Check(found, qt.IsTrue)
}

// Guards against a recalled worker that counts as ready before it has answered as the
// recorded instance: it may have left or restarted meanwhile.
func TestRecalledWorkerHasToAnswer(t *testing.T) {
	c := qt.New(t)
	w := &stubWorker{}
	l := newLoop(agent.New(agent.Config{Worker: "w", Epoch: time.Unix(0, 0)}))
	l.leased = &leasedDriver{loop: l, core: lease.New(lease.Config{}), worker: w}
	now := time.Unix(1000, 0)
	l.leased.applyAnnouncement(now, announcementOf(5, 1, false))
	c.Check(w.address, qt.Equals, "10.0.0.9:80")
	c.Check(l.leased.core.Ready(), qt.IsFalse)
	c.Check(l.core.Room(), qt.Equals, msg.Size{})
	asked := false
	for _, out := range l.leased.core.TakeOutputs() {
		h, ok := out.(lease.Hold)
		asked = asked || ok && h.Instance.ID == "i"
	}
	c.Check(asked, qt.IsTrue)
}

// Guards against a record of a former life that stays for good: the answer to a write was lost,
// so that the next instance, whose time of day was set back, counts as older than a record that
// this process wrote itself.
func TestRecordFollowsAfterLostAnswer(t *testing.T) {
	for _, retried := range []bool{false, true} {
		c := qt.New(t)
		s := fakestore.New(fakestore.Rates{Reads: 1000, Writes: 1000})
		k := newRecordKeeper(s, "w", "s", zap.NewNop())
		s.SetFaults(fakestore.Faults{LoseAnswers: 1})
		k.announced(announcementOf(5, 1, false))
		c.Assert(k.write(t.Context()), qt.IsNotNil)
		if retried {
			c.Assert(k.write(t.Context()), qt.IsNil)
		}
		next := announcementOf(3, 1, false)
		next.Labels = []string{"b"}
		k.announced(next)
		c.Assert(k.write(t.Context()), qt.IsNil)
		a, found := newRecordKeeper(s, "w", "s", zap.NewNop()).read(t.Context())
		c.Check(found, qt.IsTrue)
		c.Check(a, qt.DeepEquals, next, qt.Commentf("first write repeated: %v", retried))
	}
}
