package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against each entry using an account's whole limit.
func TestLimitIsSplitOverEntries(t *testing.T) {
	peers := func(names ...string) []msg.Peer {
		list := make([]msg.Peer, len(names))
		for i, n := range names {
			list[i].Name = n
		}
		return list
	}
	for _, test := range []struct {
		name  string
		peers []msg.Peer
		limit int
		want  int
	}{
		{"alone", nil, 7, 7},
		{"list with itself", peers("a", "e", "z"), 7, 2},
		{"list without itself", peers("a", "z"), 7, 2},
		{"first by name takes the remainder", peers("x", "z"), 7, 3},
		{"limit below the number of entries", peers("a", "b", "c"), 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 8)
			p := policy(8)
			p.Accounts["a"] = entry.AccountPolicy{MaxRunning: test.limit}
			f.step(entry.SetPeers{Peers: test.peers})
			f.step(entry.SetPolicy{Policy: p})
			f.out = nil
			f.submit(8, time.Minute)
			f.c.Assert(len(take[msg.Dispatch](f)), qt.Equals, test.want)
		})
	}
}

// Guards against agents that do not learn of new entries.
func TestAgentsLearnTheEntries(t *testing.T) {
	f := newFixture(t, 1)
	f.out = nil
	list := []msg.Peer{{Name: "e", Address: "10.0.0.1:7000"}, {Name: "z", Address: "10.0.0.2:7000"}}
	f.step(entry.SetPeers{Peers: list})
	f.advance(tick)
	welcomes := take[msg.Welcome](f)
	f.c.Assert(welcomes, qt.HasLen, 1)
	f.c.Assert(welcomes[0].Peers, qt.DeepEquals, list)
	f.step(entry.SetPeers{Peers: list})
	f.advanceWithHeartbeats(2 * time.Second)
	f.c.Assert(take[msg.Welcome](f), qt.HasLen, 0, qt.Commentf("the same list"))
}

// Guards against one list for every agent at each change while dozens of entries start
// within a second and learn of each other one after the other, and against an agent that
// misses the last change or the entry itself.
func TestPeerListsAreRateLimited(t *testing.T) {
	f := newFixture(t, 1)
	f.out = nil
	self := msg.Peer{Name: "e", Address: "10.0.0.1:7000", FailureDomain: "d"}
	var peers []msg.Peer
	for i := range 35 {
		peers = append(peers, msg.Peer{Name: fmt.Sprint("p", i), Address: fmt.Sprintf("10.0.1.%d:7000", i)})
		f.step(entry.SetPeers{Self: self, Peers: slices.Clone(peers)})
		f.advance(tick)
	}
	f.advanceWithHeartbeats(2 * time.Second)
	welcomes := take[msg.Welcome](f)
	f.c.Assert(len(welcomes) <= 3, qt.IsTrue, qt.Commentf("%d lists", len(welcomes)))
	f.c.Assert(welcomes[len(welcomes)-1].Peers, qt.DeepEquals, append(peers, self))
}
