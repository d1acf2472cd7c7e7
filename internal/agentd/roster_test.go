package agentd

import (
	"context"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// entryList returns entries that are spread over the given number of failure
// domains.
func entryList(entries, domains int) []msg.Peer {
	list := make([]msg.Peer, entries)
	for i := range list {
		list[i] = msg.Peer{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return list
}

// Guards against workers that all choose the same entries, and against a new
// entry that moves most links.
func TestPickedEntriesSpreadAndStay(t *testing.T) {
	c := qt.New(t)
	entries := entryList(12, 1)
	load, moved := make(map[string]int), 0
	for i := range 960 {
		worker := fmt.Sprintf("worker-%d", i+1)
		before := make(map[string]bool)
		for _, a := range pickEntries(worker, entries[:11], 4) {
			before[a.Address] = true
		}
		for _, a := range pickEntries(worker, entries, 4) {
			load[a.Address]++
			if !before[a.Address] {
				moved++
			}
		}
	}
	for _, a := range entries {
		// The mean is 960 x 4 / 12 = 320.
		links := load[a.Address]
		c.Check(links > 240 && links < 400, qt.IsTrue, qt.Commentf("%s has %d links", a.Address, links))
	}
	c.Check(moved, qt.Equals, load[entries[11].Address])
}

// Guards against the loss of one failure domain taking all links of a worker.
func TestPickedEntriesUseManyFailureDomains(t *testing.T) {
	for i := range 100 {
		perDomain := make(map[string]int)
		for _, e := range pickEntries(fmt.Sprintf("worker-%d", i), entryList(12, 6), 4) {
			perDomain[e.FailureDomain]++
		}
		qt.Assert(t, perDomain, qt.HasLen, 4)
	}
	qt.Assert(t, pickEntries("w", append(entryList(5, 1), msg.Peer{Address: "a", FailureDomain: "other"}), 4), qt.HasLen, 4)
}

// rosterFixture records which addresses are dialled.
type rosterFixture struct {
	*roster
	contexts map[string]context.Context
}

func newRosterFixture(t *testing.T, addresses []string, limit int) *rosterFixture {
	f := &rosterFixture{roster: newRoster("w", addresses, limit), contexts: make(map[string]context.Context)}
	f.start = func(ctx context.Context, address string) {
		c := qt.New(t)
		c.Check(f.contexts[address], qt.IsNil, qt.Commentf("a second linker of %s", address))
		f.contexts[address] = ctx
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
	f.learn([]msg.Peer{{Address: "new-1"}, {Address: "new-2"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"new-1", "new-2", "old-1"})
	f.up("new-1", 2)
	f.learn([]msg.Peer{{Address: "new-2"}})
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
	f.learn([]msg.Peer{{Address: "192.168.0.1:7000"}})
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
	f.learn([]msg.Peer{{Address: "a"}, {Address: "b"}})
	f.learn([]msg.Peer{{Address: "a"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"a"})
	f.learn([]msg.Peer{{Address: "a"}, {Address: "b"}})
	c.Assert(f.active(), qt.DeepEquals, []string{"a"}, qt.Commentf("the first linker of b has not returned"))
	f.end("b")
	c.Assert(f.active(), qt.DeepEquals, []string{"a", "b"})
}

// Guards against an agent that stays without a link after every entry that it knew
// has been replaced, although the store lists the new ones.
func TestDirectoryLeadsToReplacedEntries(t *testing.T) {
	c := qt.New(t)
	dialled := make(map[string]bool)
	r := newRoster("w", []string{"10.0.0.1:7000"}, 0)
	r.start = func(_ context.Context, address string) { dialled[address] = true }
	r.run(c.Context())
	r.learn([]msg.Peer{{Address: "10.0.0.1:7000"}, {Address: "10.0.0.2:7000"}})
	r.discover([]msg.Peer{{Address: "10.0.0.9:7000"}})
	c.Check(dialled, qt.DeepEquals, map[string]bool{"10.0.0.1:7000": true, "10.0.0.2:7000": true, "10.0.0.9:7000": true})
	c.Check(r.linked(), qt.IsFalse)
}
