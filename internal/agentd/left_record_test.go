package agentd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
)

// Guards against a record that says for good that a worker has left: the deregistration came
// from another sender, and the worker is in use again once it has announced itself on.
func TestRecordFollowsWorkerThatGoesOn(t *testing.T) {
	c := qt.New(t)
	s := fakestore.New(fakestore.Rates{Reads: 1000, Writes: 1000})
	k := newRecordKeeper(s, "w", "s", zap.NewNop())
	l := newLoop(agent.New(agent.Config{Worker: "w", Epoch: time.Unix(0, 0)}))
	d := &leasedDriver{loop: l, core: lease.New(lease.Config{}), worker: &stubWorker{}, record: k}
	l.leased = d
	now := time.Unix(1000, 0)
	d.applyAnnouncement(now, announcementOf(5, 1, false))
	d.instanceAnswered()
	c.Assert(d.left(now, lease.Instance{ID: "i"}), qt.IsTrue)
	k.left("i")
	c.Assert(k.write(t.Context()), qt.IsNil)
	now = now.Add(numberTrust)
	d.applyAnnouncement(now, announcementOf(5, 3, false))
	c.Assert(d.present.announced.Leaving, qt.IsFalse)
	c.Assert(k.write(t.Context()), qt.IsNil)
	_, found := k.read(t.Context())
	c.Check(found, qt.IsTrue)
}
