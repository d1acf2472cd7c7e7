package bench

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/table"
	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

const (
	// exchangeWindow covers several rounds of each periodic call of an entry.
	exchangeWindow = 10 * time.Second
	// targetAccounts is the number of client accounts at the target size.
	targetAccounts = 130
)

// measureEntryExchange measures the exchanges and store requests of idle fleets of
// real entries with a store in this process, all sizes at the same time.
func measureEntryExchange(r *slopeRun) error {
	bytes := r.addSeries("exchange", "entries", "bytes/s of exchanges sent and received by one entry")
	reads := r.addSeries("store-reads", "entries", "reads/s at the store")
	writes := r.addSeries("store-writes", "entries", "writes/s at the store")
	waiting := r.addSeries("store-watches", "entries", "waiting watches")
	var mu sync.Mutex
	var group sync.WaitGroup
	errs := make(chan error, len(entryCounts))
	for _, n := range entryCounts {
		group.Go(func() {
			errs <- r.measureIdleEntries(n, func(e entryRates) {
				mu.Lock()
				defer mu.Unlock()
				bytes.add(float64(n), e.exchange)
				reads.add(float64(n), e.reads)
				writes.add(float64(n), e.writes)
				waiting.add(float64(n), e.waiting)
			})
		})
	}
	group.Wait()
	for range entryCounts {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// entryRates holds values per second, except waiting, which is a number of
// watches.
type entryRates struct{ exchange, reads, writes, waiting float64 }

func (r *slopeRun) measureIdleEntries(n int, record func(entryRates)) error {
	f := newIdleFleet(r.seed)
	defer f.close()
	s := fake.New(fake.DefaultRates)
	if _, err := putAccounts(s, targetAccounts, 1); err != nil {
		return err
	}
	if err := f.addEntries(n, s); err != nil {
		return err
	}
	if err := f.waitForRevision(1); err != nil {
		return err
	}
	time.Sleep(exchangeWindow / 2)
	for range repetitions {
		bytes, counts := f.exchangeBytes(), s.Counts()
		time.Sleep(exchangeWindow)
		after := s.Counts()
		seconds := exchangeWindow.Seconds()
		record(entryRates{
			// Each exchange is sent by one entry and received by another.
			exchange: 2 * float64(f.exchangeBytes()-bytes) / seconds / float64(n),
			reads:    float64(after.Reads-counts.Reads) / seconds,
			writes:   float64(after.Writes-counts.Writes) / seconds,
			waiting:  float64(after.Waiting),
		})
	}
	return nil
}

func (f *idleFleet) exchangeBytes() int64 {
	var sum int64
	for _, e := range f.entries {
		sum += e.meter.total()
	}
	return sum
}

// waitForRevision waits until the revision is in force at each entry and agent.
func (f *idleFleet) waitForRevision(revision uint64) error {
	end := time.Now().Add(propagationTimeout)
	for !f.revisionInForce(revision) {
		if time.Now().After(end) {
			return fmt.Errorf("revision %d is not in force at every entry and agent after %v", revision, propagationTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (f *idleFleet) revisionInForce(revision uint64) bool {
	for _, e := range f.entries {
		if e.platform.Revision() < revision {
			return false
		}
	}
	for _, d := range f.agents {
		if d.Revision() < revision {
			return false
		}
	}
	return true
}

// accountsTable returns a table with the given rows and number of accounts, with
// every cell filled that an account can have.
func accountsTable(accounts, version int, rows ...string) (table.Table, error) {
	csv := "kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256\n"
	csv += "service,route-desk,,,,,,,,,\njob,pricing,route-desk,,,,,1000,,,\n"
	for i := range accounts {
		csv += fmt.Sprintf("account,team-%03d,,%d,400,20000,,,,,%064x\n", i, 1+version%9, i)
	}
	csv += strings.Join(rows, "")
	f, err := table.Decode([]byte(csv))
	return f.Table, err
}

// putAccounts writes a table that differs from the previous version in the weight
// of every account, and returns its revision.
func putAccounts(s store.Store, accounts, version int, rows ...string) (uint64, error) {
	t, err := accountsTable(accounts, version, rows...)
	if err != nil {
		return 0, err
	}
	w := &tablestore.Writer{Store: s, Who: "bench"}
	current, err := w.Read(context.Background())
	if err != nil {
		return 0, err
	}
	result, err := w.Put(context.Background(), current.Document.Revision(), t, "bench")
	return result.Revision, err
}
