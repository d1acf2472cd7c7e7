package agentd

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/subset"
)

// selectorFixture records for which addresses linkers were started.
type selectorFixture struct {
	*entrySelector
	contexts map[string]context.Context
	// priority counts the linkers that were started with priority.
	priority int
}

func newSelectorFixture(t *testing.T, addresses []string, limit int) *selectorFixture {
	f := &selectorFixture{entrySelector: newEntrySelector("w", "", addresses, limit), contexts: make(map[string]context.Context)}
	f.startLinker = func(ctx context.Context, address string, priority bool) {
		c := qt.New(t)
		c.Check(f.contexts[address], qt.IsNil, qt.Commentf("a second linker of %s", address))
		f.contexts[address] = ctx
		if priority {
			f.priority++
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.start(ctx)
	return f
}

// returnLinker simulates the return of the linker of the address.
func (f *selectorFixture) returnLinker(address string) {
	delete(f.contexts, address)
	f.linkerReturned(address)
}

// active returns the sorted addresses whose linkers were not told to stop.
func (f *selectorFixture) active() []string {
	var list []string
	for address, ctx := range f.contexts {
		if ctx.Err() == nil {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// Guards against an agent that never links to entries beyond the configured ones, or
// that keeps dialling entries that were replaced.
func TestSelectorFollowsEntryLists(t *testing.T) {
	c := qt.New(t)
	f := newSelectorFixture(t, []string{"old-1"}, 4)
	c.Assert(f.active(), qt.DeepEquals, []string{"old-1"})
	f.linkUp("old-1", 1)
	f.setReported("old-1", []msg.Peer{{Address: "new-1"}, {Address: "new-2"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"new-1", "new-2", "old-1"})
	f.linkUp("new-1", 2)
	f.setReported("old-1", []msg.Peer{{Address: "new-2"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"new-1", "new-2", "old-1"}, qt.Commentf("a linked entry stays linked"))
	f.linkDown("new-1", 2)
	c.Assert(f.active(), qt.DeepEquals, []string{"new-2", "old-1"})
}

// Guards against links to two addresses of one entry that keep replacing each other,
// since an entry closes its previous link to an agent when it accepts a new one.
func TestSelectorKeepsOneAddressPerEntry(t *testing.T) {
	c := qt.New(t)
	f := newSelectorFixture(t, []string{"10.0.0.1:7000"}, 4)
	f.linkUp("10.0.0.1:7000", 1)
	f.setReported("10.0.0.1:7000", []msg.Peer{{Address: "192.168.0.1:7000"}})
	f.linkUp("192.168.0.1:7000", 1)
	f.linkDown("10.0.0.1:7000", 1)
	c.Assert(f.active(), qt.DeepEquals, []string{"192.168.0.1:7000"})
}

// Guards against a new linker that runs alongside one of the same entry that was told
// to stop: the older one could replace the newer one's link and then end it.
func TestSelectorRunsOneLinkerPerAddress(t *testing.T) {
	c := qt.New(t)
	f := newSelectorFixture(t, []string{"a"}, 4)
	f.linkUp("a", 1)
	f.setReported("a", []msg.Peer{{Address: "a"}, {Address: "b"}})
	f.setReported("a", []msg.Peer{{Address: "a"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"a"})
	f.setReported("a", []msg.Peer{{Address: "a"}, {Address: "b"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"a"}, qt.Commentf("the first linker of b has not returned"))
	f.returnLinker("b")
	c.Assert(f.active(), qt.DeepEquals, []string{"a", "b"})
}

// Guards against an agent that stays without links after every entry that it knew has
// been replaced, although the store lists the new ones.
func TestStoreListReplacesLostEntries(t *testing.T) {
	c := qt.New(t)
	dialled := make(map[string]bool)
	selector := newEntrySelector("w", "", []string{"10.0.0.1:7000"}, 0)
	selector.startLinker = func(_ context.Context, address string, _ bool) { dialled[address] = true }
	selector.start(c.Context())
	selector.setReported("10.0.0.1:7000", []msg.Peer{{Address: "10.0.0.1:7000"}, {Address: "10.0.0.2:7000"}})
	selector.setInStore([]msg.Peer{{Address: "10.0.0.9:7000"}})
	c.Check(dialled, qt.DeepEquals, map[string]bool{"10.0.0.1:7000": true, "10.0.0.2:7000": true, "10.0.0.9:7000": true})
	c.Check(selector.hasLink(), qt.IsFalse)
}

// linkAll links every active linker to its entry.
func (f *selectorFixture) linkAll() {
	for _, address := range f.active() {
		f.linkUp(address, incarnationOf(address))
	}
}

func incarnationOf(address string) msg.Incarnation {
	return msg.Incarnation(xxhash.Sum64String(address))
}

func newPeers(n int) []msg.Peer {
	peers := make([]msg.Peer, n)
	for i := range peers {
		peers[i].Address = fmt.Sprintf("10.0.0.%d:7000", i+1)
	}
	return peers
}

// All agents of a fleet start with the same few addresses. Guards against links to
// these that remain in addition to the chosen ones, and against draining them before
// the chosen ones are up.
func TestLinksThatAreNotChosenEnd(t *testing.T) {
	c := qt.New(t)
	f := newSelectorFixture(t, []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}, 3)
	drained := make(map[msg.Incarnation]bool)
	f.drainLink = func(entry msg.Incarnation) { drained[entry] = true }
	f.linkAll()
	peers := newPeers(20)
	f.setReported("10.0.0.1:7000", peers)
	c.Assert(drained, qt.HasLen, 0, qt.Commentf("the chosen entries are not linked yet"))
	f.linkAll()
	f.setReported("10.0.0.1:7000", peers)
	wanted := subset.Choose("w", "", peers, 3)
	for _, address := range f.active() {
		chosen := slices.ContainsFunc(wanted, func(e msg.Peer) bool { return e.Address == address })
		c.Check(drained[incarnationOf(address)], qt.Equals, !chosen, qt.Commentf("%s", address))
	}
	for _, e := range wanted {
		c.Check(f.active(), qt.Contains, e.Address)
	}
}

// Guards against an agent with too few links while chosen entries are down, and with
// too many after they are back.
func TestUnreachableEntryIsReplaced(t *testing.T) {
	c := qt.New(t)
	f := newSelectorFixture(t, nil, 4)
	drained := make(map[msg.Incarnation]bool)
	f.drainLink = func(entry msg.Incarnation) { drained[entry] = true }
	f.setInStore(newPeers(12))
	chosen := f.active()
	c.Assert(chosen, qt.HasLen, 4)
	for _, address := range chosen[1:] {
		f.linkUp(address, incarnationOf(address))
	}
	now := time.Now()
	f.dialFailed(now, chosen[0])
	c.Assert(f.active(), qt.HasLen, 4)
	f.dialFailed(now.Add(replaceAfter), chosen[0])
	c.Assert(f.active(), qt.HasLen, 5)
	c.Check(f.active(), qt.Contains, chosen[0], qt.Commentf("the unreachable entry is still dialled"))
	f.linkAll()
	f.linkDown("none", 0)
	c.Check(drained, qt.HasLen, 1, qt.Commentf("only the replacement is drained"))
	for _, address := range chosen {
		c.Check(drained[incarnationOf(address)], qt.IsFalse)
	}
}

// Guards against an agent that follows only the newest list. Lists lack the entry that
// sent them, so that its links would change with each list.
func TestListsOfLinkedEntriesAreMerged(t *testing.T) {
	c := qt.New(t)
	f := newSelectorFixture(t, []string{"10.0.0.1:7000"}, 0)
	f.linkAll()
	f.setReported("10.0.0.1:7000", newPeers(3)[1:])
	f.linkAll()
	f.setReported("10.0.0.2:7000", newPeers(3)[:1])
	c.Assert(f.active(), qt.HasLen, 3)
}

// All agents and entries may start within the same second. Guards against an agent
// that dials all its entries at once, and against one that dials none.
func TestOnlyPriorityLinksAreDialledAtOnce(t *testing.T) {
	f := newSelectorFixture(t, nil, 12)
	f.setInStore(newPeers(35))
	qt.Check(t, f.active(), qt.HasLen, 12)
	qt.Check(t, f.priority, qt.Equals, priorityLinks)
}
