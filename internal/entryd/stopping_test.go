package entryd

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/tablestore"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against entries that are told to stop and serve on by a configuration that the
// operators have replaced, keep work on a failure domain that is to be emptied, and do not
// know entries that have started since: while all of them stop, nobody tells them.
func TestStoppingEntriesFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.evacuations = true
		c.put(1)
		all := c.startAll(3)
		time.Sleep(5 * time.Second)
		for _, e := range all {
			e.leave()
		}
		time.Sleep(time.Second)
		want := c.put(2)
		_, err := c.store.CompareAndSwap(t.Context(), tablestore.EvacuationsPrefix+"a", 0, nil, 0)
		qt.Assert(t, err, qt.IsNil)
		started := c.start("started", 1)
		time.Sleep(inForceLimit)
		c.expectRevision(want, append(all, started)...)
		for _, e := range all {
			e.mu.Lock()
			told := e.told
			e.mu.Unlock()
			qt.Check(t, told.Domains, qt.HasLen, 1)
			qt.Check(t, evacuated(told), qt.DeepEquals, []string{"a"})
			qt.Check(t, knows(e, "started"), qt.IsTrue)
		}
	})
}

func evacuated(r evacuation.Report) []string {
	var names []string
	for _, d := range r.Domains {
		if d.Evacuated {
			names = append(names, d.Name)
		}
	}
	return names
}

func knows(e *testEntry, name string) bool {
	for _, m := range e.Peers() {
		if m.Name == name {
			return true
		}
	}
	return false
}

// Guards against stopping entries without a connection to the store that learn of a change
// from nobody: one that has it does not pass it on while it stops itself.
func TestStoppingEntriesPassChangesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put(1)
		linked := c.start("entry-0", 1)
		cutOff := []*testEntry{c.startWith(nil, "cut-off-0", 1, "entry-0.1:7000"), c.startWith(nil, "cut-off-1", 1, "entry-0.1:7000")}
		time.Sleep(5 * time.Second)
		for _, e := range append(cutOff, linked) {
			e.leave()
		}
		time.Sleep(time.Second)
		want := c.put(2)
		time.Sleep(pushDelay)
		c.expectRevision(want, append(cutOff, linked)...)
	})
}

// Guards against a process that ends its part of the platform with the signal to stop,
// although it serves until its last caller has its answer.
func TestDaemonFollowsUntilItsLastAnswer(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t)
	cluster.put(1)
	d, p, stop := startStoppable(t, time.Minute, "entry-1", cluster.store)
	waitFor(t, func() bool { return p.Revision() > 0 })
	d.SetPolicy(testPolicy(100))
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	answered := make(chan verdict.Reason, 1)
	go func() { answered <- d.FrontDoor().Submit(ctx, "mine", testJob(0)).Reason }()
	waitFor(t, func() bool { return d.Jobs() == 1 })
	stop()
	waitFor(t, func() bool {
		listing, err := cluster.store.List(t.Context(), EntriesPrefix)
		return err == nil && len(listing.Entries) == 0
	})
	want := cluster.put(2)
	waitFor(t, func() bool { return p.Revision() == want })
	c.Check(d.Jobs(), qt.Equals, 1, qt.Commentf("the entry still serves"))
	leave()
	c.Check(<-answered, qt.Equals, verdict.Cancelled)
}

// Guards against a revision that entries without a connection to the store learn only from
// later exchanges, although an entry that starts has it and was told that they have not.
func TestStartingEntryPassesItsRevisionOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		older := c.put(1)
		want := c.put(2)
		addresses := []string{"a:1", "b:1", "c:1"}
		e := c.prepare(c.store, "started", 1, addresses...)
		var mu sync.Mutex
		told := make(map[string]uint64)
		e.exchange = func(_ context.Context, to string, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
			mu.Lock()
			defer mu.Unlock()
			told[to] = max(told[to], older, req.GetTable().GetRevision())
			return &pb.ExchangeResponse{Revision: told[to]}, nil
		}
		c.run(e)
		time.Sleep(peerTimeout + pushDelay)
		mu.Lock()
		defer mu.Unlock()
		for _, address := range addresses {
			qt.Check(t, told[address], qt.Equals, want, qt.Commentf("%s", address))
		}
	})
}
