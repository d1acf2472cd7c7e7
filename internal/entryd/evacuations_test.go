package entryd

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

func newEvacuationCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.evacuations = true
	c.put(1)
	return c
}

// request writes the key of an evacuation, with a value that says nothing.
func (c *cluster) request(domain string) uint64 {
	c.t.Helper()
	version, err := c.store.CompareAndSwap(c.t.Context(), tablestore.EvacuationsPrefix+domain, 0, []byte("{\xff"), 0)
	qt.Assert(c.t, err, qt.IsNil)
	return version
}

func (c *cluster) withdraw(domain string, version uint64) {
	c.t.Helper()
	qt.Assert(c.t, c.store.Delete(c.t.Context(), tablestore.EvacuationsPrefix+domain, version), qt.IsNil)
}

// inForceAt returns the names of the domains whose evacuation is in force at the entry.
func (e *testEntry) inForceAt() string {
	e.Platform.mu.Lock()
	defer e.Platform.mu.Unlock()
	var names []string
	for _, d := range e.evacuations.InForce() {
		names = append(names, d.Name)
	}
	return strings.Join(names, " ")
}

func (c *cluster) expectEvacuated(want string, entries ...*testEntry) {
	c.t.Helper()
	for i, e := range entries {
		qt.Check(c.t, e.inForceAt(), qt.Equals, want, qt.Commentf("entry %d", i))
	}
}

// Guards against an evacuation, its withdrawal or its repetition that does not reach entries at
// once: those that watch the store, and those that learn of it from others.
func TestEvacuationsReachAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEvacuationCluster(t)
		all := c.startAll(3)
		for i := range 3 {
			all = append(all, c.startWith(nil, fmt.Sprintf("cut-off-%d", i), 1, "entry-0.1:7000"))
		}
		time.Sleep(5 * time.Second)
		c.request("b")
		for range 5 {
			version := c.request("a")
			time.Sleep(pushDelay)
			c.expectEvacuated("a b", all...)
			c.withdraw("a", version)
			time.Sleep(pushDelay)
			c.expectEvacuated("b", all...)
			version = c.request("a")
			c.withdraw("a", version)
			version = c.request("a")
			time.Sleep(pushDelay)
			c.expectEvacuated("a b", all...)
			c.withdraw("a", version)
			time.Sleep(pushDelay)
		}
	})
}

// Guards against an evacuation or a withdrawal that no entry sees because their watches miss
// it, and against old data that ends one.
func TestMissedEvacuationsAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEvacuationCluster(t)
		c.partition()
		all := c.startAll(3)
		time.Sleep(5 * time.Second)
		c.store.SetFaults(fake.Faults{MissEvents: true})
		c.store.Remember()
		version := c.request("a")
		time.Sleep(inForceLimit)
		c.expectEvacuated("a", all...)
		c.store.SetFaults(fake.Faults{MissEvents: true, OldData: true})
		time.Sleep(10 * time.Second)
		c.expectEvacuated("a", all...)
		c.store.SetFaults(fake.Faults{MissEvents: true})
		c.withdraw("a", version)
		time.Sleep(inForceLimit)
		c.expectEvacuated("", all...)
	})
}

// Guards against an entry that starts in an outage of the store and accepts jobs before it
// knows of an evacuation, and against evacuations that end with the store.
func TestEvacuationsInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEvacuationCluster(t)
		first := c.start("entry-0", 1)
		c.request("a")
		time.Sleep(time.Second)
		c.store.SetFaults(fake.Faults{Down: true})
		second := c.start("entry-1", 1, "entry-0.1:7000")
		time.Sleep(time.Minute)
		c.expectEvacuated("a", first, second)
		applied, _ := second.revisions()
		qt.Assert(t, applied, qt.HasLen, 1)
		qt.Check(t, second.toldBefore.Domains, qt.HasLen, 1, qt.Commentf("the policy came before the evacuation"))
	})
}

// Guards against an entry without the store that keeps an evacuation because every other entry
// started after its withdrawal and has never seen it.
func TestWithdrawalIsLearnedFromNewcomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEvacuationCluster(t)
		first := c.start("entry-0", 1)
		cutOff := c.startWith(nil, "cut-off", 1, "entry-0.1:7000", "entry-0.2:7000")
		version := c.request("a")
		time.Sleep(5 * time.Second)
		c.expectEvacuated("a", first, cutOff)
		first.stop()
		c.set("entry-0.1:7000", nil)
		c.withdraw("a", version)
		c.start("entry-0", 2)
		time.Sleep(time.Minute)
		c.expectEvacuated("", cutOff)
	})
}

// Guards against a request that cannot be used and blocks others, or goes unnoticed.
func TestOddEvacuationLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEvacuationCluster(t)
		e := c.start("entry-0", 1)
		time.Sleep(time.Second)
		c.request(strings.Repeat("z", evacuation.MaxName+1))
		c.request("")
		version := c.request("a")
		time.Sleep(10 * time.Second)
		c.expectEvacuated("a", e)
		c.withdraw("a", version)
		time.Sleep(inForceLimit)
		c.expectEvacuated("", e)
		e.stop()
		synctest.Wait()
		qt.Check(t, e.rejectedEvacuations, qt.Equals, 2)
	})
}

// Guards against evacuations that are followed or passed on although they are not enabled.
func TestEvacuationsAreNotFollowedByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEvacuationCluster(t)
		enabled := c.start("entry-0", 1)
		c.evacuations = false
		disabled := c.start("entry-1", 1)
		c.request("a")
		time.Sleep(10 * time.Second)
		c.expectEvacuated("a", enabled)
		c.expectEvacuated("", disabled)
		qt.Check(t, disabled.newRequest(true).GetEvacuations(), qt.IsNil)
	})
}
