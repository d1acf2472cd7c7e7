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

// rosterFixture records which addresses are dialled.
type rosterFixture struct {
	*roster
	contexts map[string]context.Context
	// first counts the linkers that were to dial without a pause.
	first int
}

func newRosterFixture(t *testing.T, addresses []string, limit int) *rosterFixture {
	f := &rosterFixture{roster: newRoster("w", "", addresses, limit), contexts: make(map[string]context.Context)}
	f.start = func(ctx context.Context, address string, first bool) {
		c := qt.New(t)
		c.Check(f.contexts[address], qt.IsNil, qt.Commentf("a second linker of %s", address))
		f.contexts[address] = ctx
		if first {
			f.first++
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.run(ctx)
	return f
}

// end lets the linker of the address return.
func (f *rosterFixture) end(address string) {
	delete(f.contexts, address)
	f.ended(address)
}

// active returns the addresses that a linker works on.
func (f *rosterFixture) active() []string {
	var list []string
	for address, ctx := range f.contexts {
		if ctx.Err() == nil {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// Guards against an agent that never learns of entries beyond its settings, or
// goes on dialling entries that were replaced.
func TestRosterFollowsTheEntries(t *testing.T) {
	c := qt.New(t)
	f := newRosterFixture(t, []string{"old-1"}, 4)
	c.Assert(f.active(), qt.DeepEquals, []string{"old-1"})
	f.up("old-1", 1)
	f.learn("old-1", []msg.Peer{{Address: "new-1"}, {Address: "new-2"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"new-1", "new-2", "old-1"})
	f.up("new-1", 2)
	f.learn("old-1", []msg.Peer{{Address: "new-2"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"new-1", "new-2", "old-1"}, qt.Commentf("a link that is up stays"))
	f.down("new-1", 2)
	c.Assert(f.active(), qt.DeepEquals, []string{"new-2", "old-1"})
}

// Guards against two addresses of one entry taking turns, since each new link
// ends the entry's former one.
func TestRosterKeepsOneAddressOfAnEntry(t *testing.T) {
	c := qt.New(t)
	f := newRosterFixture(t, []string{"10.0.0.1:7000"}, 4)
	f.up("10.0.0.1:7000", 1)
	f.learn("10.0.0.1:7000", []msg.Peer{{Address: "192.168.0.1:7000"}})
	f.up("192.168.0.1:7000", 1)
	f.down("10.0.0.1:7000", 1)
	c.Assert(f.active(), qt.DeepEquals, []string{"192.168.0.1:7000"})
}

// Guards against a new linker of an entry that runs beside one which was told
// to stop: the older one could take the place of the newer one's link and then
// end it.
func TestRosterRunsOneLinkerPerAddress(t *testing.T) {
	c := qt.New(t)
	f := newRosterFixture(t, []string{"a"}, 4)
	f.up("a", 1)
	f.learn("a", []msg.Peer{{Address: "a"}, {Address: "b"}})
	f.learn("a", []msg.Peer{{Address: "a"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"a"})
	f.learn("a", []msg.Peer{{Address: "a"}, {Address: "b"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"a"}, qt.Commentf("the first linker of b has not returned"))
	f.end("b")
	c.Assert(f.active(), qt.DeepEquals, []string{"a", "b"})
}

// Guards against an agent that stays without a link after every entry that it knew
// has been replaced, although the store lists the new ones.
func TestDirectoryLeadsToReplacedEntries(t *testing.T) {
	c := qt.New(t)
	dialled := make(map[string]bool)
	r := newRoster("w", "", []string{"10.0.0.1:7000"}, 0)
	r.start = func(_ context.Context, address string, _ bool) { dialled[address] = true }
	r.run(c.Context())
	r.learn("10.0.0.1:7000", []msg.Peer{{Address: "10.0.0.1:7000"}, {Address: "10.0.0.2:7000"}})
	r.discover([]msg.Peer{{Address: "10.0.0.9:7000"}})
	c.Check(dialled, qt.DeepEquals, map[string]bool{"10.0.0.1:7000": true, "10.0.0.2:7000": true, "10.0.0.9:7000": true})
	c.Check(r.linked(), qt.IsFalse)
}

// linkAll lets each linker that is at work link to its entry.
func (f *rosterFixture) linkAll() {
	for _, address := range f.active() {
		f.up(address, incarnationOf(address))
	}
}

func incarnationOf(address string) msg.Incarnation {
	return msg.Incarnation(xxhash.Sum64String(address))
}

func addressed(n int) []msg.Peer {
	peers := make([]msg.Peer, n)
	for i := range peers {
		peers[i].Address = fmt.Sprintf("10.0.0.%d:7000", i+1)
	}
	return peers
}

// Pattern: all agents of a fleet start with the same few addresses. Guards against
// links to those that stay beside the chosen ones, and against their end before the
// chosen ones are there.
func TestLinksThatAreNotChosenEnd(t *testing.T) {
	c := qt.New(t)
	f := newRosterFixture(t, []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}, 3)
	drained := make(map[msg.Incarnation]bool)
	f.drain = func(entry msg.Incarnation) { drained[entry] = true }
	f.linkAll()
	peers := addressed(20)
	f.learn("10.0.0.1:7000", peers)
	c.Assert(drained, qt.HasLen, 0, qt.Commentf("the chosen ones are not linked"))
	f.linkAll()
	f.learn("10.0.0.1:7000", peers)
	wanted := subset.Choose("w", "", peers, 3)
	for _, address := range f.active() {
		chosen := slices.ContainsFunc(wanted, func(e msg.Peer) bool { return e.Address == address })
		c.Check(drained[incarnationOf(address)], qt.Equals, !chosen, qt.Commentf("%s", address))
	}
	for _, e := range wanted {
		c.Check(f.active(), qt.Contains, e.Address)
	}
}

// Guards against an agent with too few links while chosen entries are down, and
// against surplus links after they are back.
func TestUnreachableEntryIsReplaced(t *testing.T) {
	c := qt.New(t)
	f := newRosterFixture(t, nil, 4)
	drained := make(map[msg.Incarnation]bool)
	f.drain = func(entry msg.Incarnation) { drained[entry] = true }
	f.discover(addressed(12))
	chosen := f.active()
	c.Assert(chosen, qt.HasLen, 4)
	for _, address := range chosen[1:] {
		f.up(address, incarnationOf(address))
	}
	now := time.Now()
	f.failed(now, chosen[0])
	c.Assert(f.active(), qt.HasLen, 4)
	f.failed(now.Add(replaceAfter), chosen[0])
	c.Assert(f.active(), qt.HasLen, 5)
	c.Check(f.active(), qt.Contains, chosen[0], qt.Commentf("it is dialled further"))
	f.linkAll()
	f.down("none", 0)
	c.Check(drained, qt.HasLen, 1, qt.Commentf("the one in its place"))
	for _, address := range chosen {
		c.Check(drained[incarnationOf(address)], qt.IsFalse)
	}
}

// Guards against lists that lack the entry which sent them: an agent that goes by
// the newest one would change its links with each list.
func TestListsOfLinkedEntriesAddUp(t *testing.T) {
	c := qt.New(t)
	f := newRosterFixture(t, []string{"10.0.0.1:7000"}, 0)
	f.linkAll()
	f.learn("10.0.0.1:7000", addressed(3)[1:])
	f.linkAll()
	f.learn("10.0.0.2:7000", addressed(3)[:1])
	c.Assert(f.active(), qt.HasLen, 3)
}

// Pattern: all agents and entries start within the same second. Guards against an
// agent that dials all its entries at once, and against one that dials none.
func TestFewLinksAreDialledAtOnce(t *testing.T) {
	f := newRosterFixture(t, nil, 12)
	f.discover(addressed(35))
	qt.Check(t, f.active(), qt.HasLen, 12)
	qt.Check(t, f.first, qt.Equals, firstLinks)
}
