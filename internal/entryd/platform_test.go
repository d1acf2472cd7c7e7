package entryd

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/table"
	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// cluster is a store and a set of entries that reach each other in memory.
type cluster struct {
	t     *testing.T
	store *fake.Store
	mu    sync.Mutex
	// partitioned is set when entries cannot reach each other.
	partitioned bool
	// evacuations makes the entries that are started follow evacuations.
	evacuations bool
	entries     map[string]*testEntry
	// exchanges counts the requests between entries.
	exchanges atomic.Int64
}

// lookup returns the entry at the address, or nil if it cannot be reached.
func (c *cluster) lookup(address string) *testEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned {
		return nil
	}
	return c.entries[address]
}

// set puts an entry at the address; nil removes it.
func (c *cluster) set(address string, e *testEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[address] = e
}

func (c *cluster) partition() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = true
}

type testEntry struct {
	*Platform
	mu       sync.Mutex
	applied  []uint64
	rejected []uint64
	// told is the latest report of evacuations that was passed on, toldBefore that of when the
	// first policy was applied.
	told, toldBefore    evacuation.Report
	rejectedEvacuations int
	// leave makes the entry leave the list, as a stop does; stop ends it.
	leave, stop context.CancelFunc
}

func (e *testEntry) revisions() (applied, rejected []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applied, e.rejected
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, store: fake.New(fake.DefaultRates), entries: make(map[string]*testEntry)}
}

// start runs an entry until the test ends.
func (c *cluster) start(name string, incarnation uint64, seeds ...string) *testEntry {
	return c.startWith(c.store, name, incarnation, seeds...)
}

func (c *cluster) startWith(s store.Store, name string, incarnation uint64, seeds ...string) *testEntry {
	e := c.prepare(s, name, incarnation, seeds...)
	c.run(e)
	return e
}

// prepare returns an entry that does not run yet.
func (c *cluster) prepare(s store.Store, name string, incarnation uint64, seeds ...string) *testEntry {
	e := &testEntry{}
	address := fmt.Sprintf("%s.%d:7000", name, incarnation)
	e.Platform = NewPlatform(PlatformConfig{
		Store: s, Seeds: seeds, Log: zap.NewNop(), Evacuations: c.evacuations,
		Self: membership.Member{Name: name, Address: address, FailureDomain: "a", Incarnation: incarnation, Started: time.Now()},
		Hooks: PlatformHooks{Rejected: func(r uint64) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.rejected = append(e.rejected, r)
		}, EvacuationRejected: func() { e.rejectedEvacuations++ }},
	})
	e.setEvacuations = func(r evacuation.Report) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.told = r
	}
	e.applyPolicy = func(p entry.Policy) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.applied) == 0 {
			e.toldBefore = e.told
		}
		e.applied = append(e.applied, p.Revision)
	}
	e.exchange = func(ctx context.Context, to string, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
		if to == unresponsiveAddress {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c.exchanges.Add(1)
		peer := c.lookup(to)
		if peer == nil {
			return nil, errorx.ExternalError.New("no such entry")
		}
		return peer.answerExchange(req), nil
	}
	return e
}

// run runs an entry until the test ends.
func (c *cluster) run(e *testEntry) {
	ctx, stop := context.WithCancel(c.t.Context())
	registered, leave := context.WithCancel(ctx)
	e.leave, e.stop = leave, stop
	c.set(e.cfg.Self.Address, e)
	done := make(chan struct{})
	go func() { defer close(done); e.run(ctx, registered) }()
	c.t.Cleanup(func() { stop(); <-done })
}

func (c *cluster) startAll(n int) []*testEntry {
	var all []*testEntry
	for i := range n {
		all = append(all, c.start(fmt.Sprintf("entry-%d", i), 1))
	}
	return all
}

const tableHeader = "kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256\n"

// put writes the next revision to the store and returns its number.
func (c *cluster) put(weight int) uint64 {
	f, err := table.Decode([]byte(tableHeader + fmt.Sprintf("account,atlas,,%d,,,,,,,\n", weight)))
	qt.Assert(c.t, err, qt.IsNil)
	w := &tablestore.Writer{Store: c.store, Who: "test"}
	s, err := w.Read(c.t.Context())
	qt.Assert(c.t, err, qt.IsNil)
	r, err := w.Put(c.t.Context(), s.Document.Revision(), f.Table, "")
	qt.Assert(c.t, err, qt.IsNil)
	return r.Revision
}

func (c *cluster) expectRevision(want uint64, entries ...*testEntry) {
	c.t.Helper()
	for i, e := range entries {
		qt.Check(c.t, e.Revision(), qt.Equals, want, qt.Commentf("entry %d", i))
	}
}

// unresponsiveAddress is the address of a VM without power, which answers nothing.
const unresponsiveAddress = "dark.1:7000"

// Guards against an entry that has no table for a second after a power loss of all VMs,
// because it waits for entries that are not back yet.
func TestStartDoesNotWaitForUnresponsiveEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		want := c.put(1)
		e := c.start("entry-0", 1, unresponsiveAddress)
		time.Sleep(100 * time.Millisecond)
		c.expectRevision(want, e)
	})
}

// inForceLimit is the time within which a revision has to be in force.
const inForceLimit = 3 * time.Second

// Guards against a revision that is not in force at all entries in time.
func TestRevisionReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		all := c.startAll(12)
		time.Sleep(5 * time.Second)
		c.expectRevision(0, all...)
		for i := range 3 {
			want := c.put(i + 1)
			time.Sleep(inForceLimit)
			c.expectRevision(want, all...)
		}
		qt.Assert(t, all[0].Peers(), qt.HasLen, 11)
	})
}

// Guards against entries that cannot reach the store and learn a new revision only from
// the periodic exchange.
func TestNewRevisionIsPushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := c.start("entry-0", 1)
		var cutOff []*testEntry
		for i := range 3 {
			cutOff = append(cutOff, c.startWith(nil, fmt.Sprintf("cut-off-%d", i), 1, "entry-0.1:7000"))
		}
		time.Sleep(5 * time.Second)
		for i := range 5 {
			want := c.put(i + 1)
			time.Sleep(pushDelay)
			c.expectRevision(want, append(cutOff, first)...)
		}
	})
}

// Guards against a revision that does not come into force because the watches of all
// entries miss it and no peer can help.
func TestMissedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.partition()
		all := c.startAll(3)
		time.Sleep(5 * time.Second)
		c.store.SetFaults(fake.Faults{MissEvents: true})
		want := c.put(1)
		time.Sleep(inForceLimit)
		c.expectRevision(want, all...)
	})
}

// Guards against an entry that starts in an outage of the store and waits for it,
// although another entry has the revision.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		want := c.put(1)
		first := c.start("entry-0", 1)
		time.Sleep(time.Second)
		c.store.SetFaults(fake.Faults{Down: true})
		second := c.start("entry-1", 1, "entry-0.1:7000")
		third := c.start("entry-2", 1, "entry-1.1:7000")
		alone := c.start("entry-3", 1)
		time.Sleep(inForceLimit)
		c.expectRevision(want, first, second, third)
		c.expectRevision(0, alone)
		time.Sleep(5 * time.Second)
		qt.Assert(t, first.Peers(), qt.HasLen, 2)
		qt.Assert(t, first.StoreReachable(), qt.IsFalse)
		c.store.SetFaults(fake.Faults{})
		time.Sleep(inForceLimit)
		c.expectRevision(want, alone)
	})
}

// Guards against a return to an older revision when the store answers with old data,
// also after a restart, when the first answer is old.
func TestOldDataNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put(1)
		all := c.startAll(3)
		time.Sleep(5 * time.Second)
		c.store.Remember()
		want := c.put(2)
		time.Sleep(inForceLimit)
		c.expectRevision(want, all...)
		c.store.SetFaults(fake.Faults{OldData: true})
		restarted := c.start("entry-0", 2)
		time.Sleep(10 * time.Second)
		c.expectRevision(want, all[1], all[2], restarted)
		applied, _ := restarted.revisions()
		qt.Assert(t, applied, qt.DeepEquals, []uint64{want})
	})
}

// Guards against an invalid revision that is applied in part, blocks later ones or is
// not reported.
func TestBadRevisionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := c.put(1)
		e := c.start("entry-0", 1)
		time.Sleep(time.Second)
		stored, err := c.store.Get(t.Context(), tablestore.Key)
		qt.Assert(t, err, qt.IsNil)
		bad := `{"csv":"kind,unheard\n","history":[{"revision":7,"write_id":"x"}]}`
		version, err := c.store.CompareAndSwap(t.Context(), tablestore.Key, stored.Version, []byte(bad), 0)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Second)
		c.expectRevision(first, e)
		version, err = c.store.CompareAndSwap(t.Context(), tablestore.Key, version, []byte("{"), 0)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Second)
		_, rejected := e.revisions()
		qt.Assert(t, rejected, qt.DeepEquals, []uint64{7, 0})
		good := `{"csv":"` + tableHeader[:len(tableHeader)-1] + `\n","history":[{"revision":8,"write_id":"y"}]}`
		_, err = c.store.CompareAndSwap(t.Context(), tablestore.Key, version, []byte(good), 0)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(inForceLimit)
		c.expectRevision(8, e)
	})
}

// Guards against an entry that stays unlisted after its lease lapsed while it was
// paused, and against peers that drop it meanwhile.
func TestLapsedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put(1)
		all := c.startAll(3)
		time.Sleep(10 * time.Second)
		c.store.LapseLeases()
		synctest.Wait()
		qt.Assert(t, all[0].Peers(), qt.HasLen, 2)
		time.Sleep(keepAliveInterval*6/5 + maxRegisterDelay + time.Second)
		listing, err := c.store.List(t.Context(), EntriesPrefix)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, listing.Entries, qt.HasLen, 3)
		all[2].stop()
		c.set("entry-2.1:7000", nil)
		time.Sleep(membership.ContactTTL + 5*time.Second)
		qt.Assert(t, all[0].Peers(), qt.HasLen, 1)
	})
}

// Guards against losing the list of entries in an outage of the store, and against a
// burst of calls after it.
func TestOutageAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		all := c.startAll(12)
		c.put(1)
		time.Sleep(10 * time.Second)
		c.partition()
		c.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		qt.Assert(t, all[3].Peers(), qt.HasLen, 11)
		c.store.ResetCounts()
		c.store.SetFaults(fake.Faults{})
		time.Sleep(10 * time.Second)
		counts := c.store.Counts()
		t.Logf("peaks in the second with most calls: %d reads, %d writes", counts.PeakReads, counts.PeakWrites)
		qt.Assert(t, counts.PeakReads <= fake.DefaultRates.Reads/10, qt.IsTrue)
		qt.Assert(t, counts.PeakWrites <= fake.DefaultRates.Writes/10, qt.IsTrue)
		listing, err := c.store.List(t.Context(), EntriesPrefix)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, listing.Entries, qt.HasLen, 12)
		want := c.put(2)
		time.Sleep(inForceLimit)
		c.expectRevision(want, all...)
	})
}

// Guards against entries that use more than a tenth of the store's rates in the steady
// state.
func TestSteadyStateCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startAll(12)
		c.put(1)
		time.Sleep(time.Minute)
		c.store.ResetCounts()
		time.Sleep(10 * time.Minute)
		counts := c.store.Counts()
		t.Logf("calls a second: %.1f reads, %.1f writes; peaks %d and %d, waiting %d",
			float64(counts.Reads)/600, float64(counts.Writes)/600, counts.PeakReads, counts.PeakWrites, counts.Waiting)
		qt.Assert(t, counts.PeakReads < fake.DefaultRates.Reads/10, qt.IsTrue)
		qt.Assert(t, counts.PeakWrites < fake.DefaultRates.Writes/10, qt.IsTrue)
	})
}

// Guards against a slow store that delays what peers could tell.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := c.start("entry-0", 1)
		time.Sleep(time.Second)
		want := c.put(1)
		time.Sleep(time.Second)
		c.store.SetFaults(fake.Faults{Delay: 20 * time.Second})
		second := c.start("entry-1", 1, "entry-0.1:7000")
		time.Sleep(inForceLimit)
		c.expectRevision(want, first, second)
		c.store.SetFaults(fake.Faults{})
	})
}

// Guards against lost answers that leave an entry unlisted or listed twice.
func TestRegisterUnderLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.store.SetFaults(fake.Faults{LoseAnswers: 4})
		c.startAll(2)
		time.Sleep(15 * time.Second)
		listing, err := c.store.List(t.Context(), EntriesPrefix)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, listing.Entries, qt.HasLen, 2)
	})
}

// Guards against two processes with one name that go unreported, and against a report
// for an entry that was only restarted.
func TestDuplicateNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put(1)
		observer := c.start("entry-9", 1)
		old := c.start("entry-0", 1)
		time.Sleep(5 * time.Second)
		old.stop()
		c.set("entry-0.1:7000", nil)
		c.start("entry-0", 2)
		for range 60 {
			time.Sleep(time.Second)
			qt.Assert(t, observer.duplicateNames(), qt.HasLen, 0)
		}
		twin := c.start("entry-0", 3)
		time.Sleep(30 * time.Second)
		qt.Assert(t, observer.duplicateNames(), qt.DeepEquals, []string{"entry-0"})
		qt.Assert(t, twin.duplicateNames(), qt.DeepEquals, []string{"entry-0"})
		qt.Assert(t, observer.Peers(), qt.HasLen, 1)
	})
}

func (e *testEntry) duplicateNames() []string {
	e.Platform.mu.Lock()
	defer e.Platform.mu.Unlock()
	return e.duplicates
}

// One of dozens of entries learns of a revision while the others cannot reach the
// store. Guards against a message from each entry to each other one, and against an
// entry that misses the revision.
func TestRevisionPushLimitsExchanges(t *testing.T) {
	const cutOffs = 34
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		all := c.startAll(1)
		for i := range cutOffs {
			all = append(all, c.startWith(nil, fmt.Sprintf("cut-off-%d", i), 1, "entry-0.1:7000"))
		}
		time.Sleep(10 * time.Second)
		for i := range 5 {
			c.exchanges.Store(0)
			want := c.put(i + 1)
			time.Sleep(time.Second)
			// Each entry pushes to pushFanout others, each of which may then be sent
			// the table.
			most := int64(2 * pushFanout * len(all))
			qt.Check(t, c.exchanges.Load() < most, qt.IsTrue, qt.Commentf("%d exchanges", c.exchanges.Load()))
			time.Sleep(inForceLimit - time.Second)
			c.expectRevision(want, all...)
		}
	})
}

// All entries start at once, after a power loss. Guards against exchanges between all
// pairs of them while callers wait for the first revision.
func TestSimultaneousStartLimitsExchanges(t *testing.T) {
	const entries = 35
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		want := c.put(1)
		c.startAll(entries)
		time.Sleep(5 * time.Second)
		for i := range entries {
			c.set(fmt.Sprintf("entry-%d.1:7000", i), nil)
		}
		c.exchanges.Store(0)
		var again []*testEntry
		for i := range entries {
			again = append(again, c.start(fmt.Sprintf("entry-%d", i), 2))
		}
		time.Sleep(100 * time.Millisecond)
		c.expectRevision(want, again...)
		started := c.exchanges.Load()
		// Each asks bootstrapPeers and then one more, and sends the table to those with
		// an older revision.
		most := int64(2 * (bootstrapPeers + 1) * entries)
		qt.Check(t, started <= most, qt.IsTrue, qt.Commentf("%d exchanges", started))
	})
}
