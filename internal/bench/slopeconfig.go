package bench

import (
	"context"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/table"
	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// configEntries is the number of entries that every agent links to. More links
// at 960 agents would exceed the limit of open files of one process.
const configEntries = 3

// measureConfigPropagation measures how long a new revision takes to reach every
// real agent and entry, its cost on the links, and the size of the table.
func measureConfigPropagation(r *slopeRun) error {
	if err := measureTableSizes(r); err != nil {
		return err
	}
	propagation := r.addSeries("spread", "agents", "seconds until the revision is in force everywhere, every agent at 3 entries")
	bytes := r.addSeries("table-bytes", "agents", "bytes of table messages per agent and revision")
	cpu := r.addSeries("spread-cpu", "agents", "processor seconds per revision, all processes")
	f := newIdleFleet(r.seed)
	defer f.close()
	s := fake.New(fake.DefaultRates)
	version := 1
	if _, err := putAccounts(s, targetAccounts, version); err != nil {
		return err
	}
	if err := f.addEntries(configEntries, s); err != nil {
		return err
	}
	for _, n := range workerCounts {
		if err := f.addAgents(n-len(f.agents), f.addresses()); err != nil {
			return err
		}
		for range repetitions {
			version++
			before, began, used := tableBytes(f), time.Now(), cpuTime()
			revision, err := putAccounts(s, targetAccounts, version)
			if err == nil {
				err = f.waitForRevision(revision)
			}
			if err != nil {
				return err
			}
			propagation.add(float64(n), time.Since(began).Seconds())
			// Include the later copies from the other entries.
			time.Sleep(idleWindow)
			bytes.add(float64(n), float64(tableBytes(f)-before)/float64(n))
			cpu.add(float64(n), (cpuTime() - used).Seconds())
		}
	}
	return nil
}

func tableBytes(f *idleFleet) int64 {
	for _, t := range f.counter.FromEntry() {
		if t.Kind == "table" {
			return t.Bytes
		}
	}
	return 0
}

// measureTableSizes measures the content that agents receive, and the stored value
// after enough changes to fill its history.
func measureTableSizes(r *slopeRun) error {
	content := r.addSeries("content", "accounts", "bytes of the table's content")
	value := r.addSeries("stored-value", "accounts", "bytes of the stored value with a full history")
	for _, accounts := range []int{2, 40, 80, targetAccounts} {
		for version := range repetitions {
			t, err := accountsTable(accounts, version)
			if err != nil {
				return err
			}
			content.add(float64(accounts), float64(len(table.Encode(t))))
		}
		s := fake.New(fake.Rates{Writes: 1 << 20, Reads: 1 << 20})
		for version := range 60 {
			if _, err := putAccounts(s, accounts, version); err != nil {
				return err
			}
			if version < 60-repetitions {
				continue
			}
			e, err := s.Get(context.Background(), tablestore.Key)
			if err != nil {
				return err
			}
			value.add(float64(accounts), float64(len(e.Value)))
		}
	}
	return nil
}
