package tablestore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/table"
	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// accountTable returns a table with an account row for each of cells, which holds
// the row's name, service and weight.
func accountTable(t testing.TB, cells ...string) table.Table {
	content := "kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256\n"
	for _, c := range cells {
		content += "account," + c + ",,,,,,,\n"
	}
	f, err := table.Decode([]byte(content))
	qt.Assert(t, err, qt.IsNil)
	return f.Table
}

// Guards against an edit that is lost or reverted by a concurrent edit, and
// against a conflict that writes something.
func TestPutMergesAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.DefaultRates)
		w := &tablestore.Writer{Store: s, Who: "aya"}
		r, err := w.Put(t.Context(), 0, accountTable(t, "atlas,,1", "hamasaki,,1"), "first")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Revision, qt.Equals, uint64(1))
		_, err = w.Put(t.Context(), 1, accountTable(t, "atlas,,2", "hamasaki,,1"), "")
		qt.Assert(t, err, qt.IsNil)
		r, err = w.Put(t.Context(), 1, accountTable(t, "atlas,,1", "hamasaki,,3"), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Revision, qt.Equals, uint64(3))
		_, err = w.Put(t.Context(), 1, accountTable(t, "atlas,,9", "hamasaki,,1"), "")
		var conflict *tablestore.ConflictError
		qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
		qt.Assert(t, conflict.Conflicts, qt.DeepEquals, []table.Conflict{{Row: "account atlas", Column: "weight", Base: "1", Mine: "9", Theirs: "2"}})
		snapshot, err := w.Read(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, snapshot.Table.Equal(accountTable(t, "atlas,,2", "hamasaki,,3")), qt.IsTrue)
		r, err = w.Rollback(t.Context(), 2)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Revision, qt.Equals, uint64(4))
		snapshot, _ = w.Read(t.Context())
		qt.Assert(t, snapshot.Table.Equal(accountTable(t, "atlas,,2", "hamasaki,,1")), qt.IsTrue)
		qt.Assert(t, snapshot.Document.History[0].Who, qt.Equals, "aya")
		_, err = w.Put(t.Context(), 99, accountTable(t), "")
		qt.Assert(t, err, qt.IsNotNil)
	})
}

// Guards against a write that is repeated, or reported as failed, after its
// answer was lost.
func TestLostAnswerIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.DefaultRates)
		s.SetFaults(fake.Faults{LoseAnswers: 1})
		w := &tablestore.Writer{Store: s, Who: "aya"}
		r, err := w.Put(t.Context(), 0, accountTable(t, "atlas,,1"), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Revision, qt.Equals, uint64(1))
		qt.Assert(t, r.Written, qt.IsTrue)
		qt.Assert(t, s.Counts().Writes, qt.Equals, 1)
	})
}

// Guards against reporting "not written" when the store becomes unavailable
// after the write took effect, and "unknown" when it was unavailable from the
// start.
func TestOutcomeOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.DefaultRates)
		s.SetFaults(fake.Faults{Down: true})
		w := &tablestore.Writer{Store: s, Who: "aya"}
		_, err := w.Put(t.Context(), 0, accountTable(t, "atlas,,1"), "")
		qt.Assert(t, store.IsUnavailable(err), qt.IsTrue)
		s.SetFaults(fake.Faults{LoseAnswers: 1})
		w.Store = &downAfterWrite{Store: s}
		_, err = w.Put(t.Context(), 0, accountTable(t, "atlas,,1"), "")
		qt.Assert(t, store.IsOutcomeUnknown(err), qt.IsTrue)
	})
}

// downAfterWrite makes the store unavailable after the first write.
type downAfterWrite struct{ *fake.Store }

func (s *downAfterWrite) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease store.LeaseID) (uint64, error) {
	v, err := s.Store.CompareAndSwap(ctx, key, expected, value, lease)
	s.SetFaults(fake.Faults{Down: true})
	return v, err
}

// lateStore withholds the first write and reports its outcome as unknown. It
// calls late before the second write, and late may carry out the first one.
type lateStore struct {
	*fake.Store
	first func()
	late  func(first func())
}

func (s *lateStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease store.LeaseID) (uint64, error) {
	if s.first == nil {
		s.first = func() { _, _ = s.Store.CompareAndSwap(ctx, key, expected, value, lease) }
		return 0, store.ErrOutcomeUnknown.New("the answer was lost")
	}
	if s.late != nil {
		s.late(s.first)
		s.late = nil
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// Guards against a second revision when a write reaches the store only after
// its retry has begun.
func TestDelayedWriteIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{Store: fake.New(fake.DefaultRates), late: func(first func()) { first() }}
		w := &tablestore.Writer{Store: s, Who: "aya"}
		r, err := w.Put(t.Context(), 0, accountTable(t, "atlas,,1"), "")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Revision, qt.Equals, uint64(1))
		snapshot, err := w.Read(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, snapshot.Document.History, qt.HasLen, 1)
	})
}

// Guards against reporting "unknown" for a lost write that can no longer take
// effect because another operator has written the same cell since.
func TestLostWriteIsRuledOutByAnotherWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{Store: fake.New(fake.DefaultRates)}
		other := &tablestore.Writer{Store: s.Store, Who: "imad"}
		s.late = func(first func()) {
			_, err := other.Put(t.Context(), 0, accountTable(t, "atlas,,2"), "")
			qt.Assert(t, err, qt.IsNil)
			first()
		}
		w := &tablestore.Writer{Store: s, Who: "aya"}
		_, err := w.Put(t.Context(), 0, accountTable(t, "atlas,,1"), "")
		var conflict *tablestore.ConflictError
		qt.Assert(t, errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// Guards against a history that exceeds the store's largest value.
func TestHistoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.Rates{Writes: 1000, Reads: 10000})
		w := &tablestore.Writer{Store: s, Who: "aya"}
		content := func(weight int) table.Table {
			var cells []string
			for i := range 40 {
				cells = append(cells, fmt.Sprintf("account-%d,,%d", i, weight))
			}
			return accountTable(t, cells...)
		}
		for i := range 80 {
			_, err := w.Put(t.Context(), uint64(i), content(i+1), "")
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(10 * time.Millisecond)
		}
		snapshot, err := w.Read(t.Context())
		qt.Assert(t, err, qt.IsNil)
		e, err := s.Get(t.Context(), tablestore.Key)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(e.Value) < 150_000, qt.IsTrue)
		kept := len(snapshot.Document.History)
		qt.Assert(t, kept >= 16 && kept < 80, qt.IsTrue, qt.Commentf("%d revisions", kept))
		old, err := snapshot.Document.At(snapshot.Table, 70)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, old.Equal(content(70)), qt.IsTrue)
		_, err = snapshot.Document.At(snapshot.Table, 2)
		qt.Assert(t, err, qt.IsNotNil)
	})
}

type writeOp struct{ weight string }

type writeResult struct {
	revision uint64
	unknown  bool
}

// registerModel is a register that holds the last written weight and numbers
// its writes. A write of unknown outcome may get any number or none.
var registerModel = porcupine.Model{
	Init: func() any { return [2]string{"0", ""} },
	Step: func(state, input, output any) (bool, any) {
		s := state.([2]string)
		if op, write := input.(writeOp); write {
			revision, _ := parseRevision(s[0])
			next := [2]string{fmt.Sprint(revision + 1), op.weight}
			r := output.(writeResult)
			return r.unknown || r.revision == revision+1, next
		}
		return output.([2]string) == s, s
	},
}

func parseRevision(s string) (uint64, error) {
	var n uint64
	_, err := fmt.Sscan(s, &n)
	return n, err
}

// Guards against concurrent writes with lost answers that are not linearizable:
// a write that is applied twice, a lost write, a stale read.
func TestRacingWritesAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			s := fake.New(fake.DefaultRates)
			history := &operationLog{start: time.Now()}
			var group sync.WaitGroup
			for client := range 4 {
				group.Go(func() { readAndWrite(t, s, history, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
			}
			group.Wait()
			result, _ := porcupine.CheckOperationsVerbose(registerModel, history.ops, 0)
			qt.Check(t, result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
		})
	}
}

type operationLog struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (r *operationLog) add(client int, input, output any, call, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client, Input: input, Output: output,
		Call: call.Sub(r.start).Nanoseconds(), Return: end.Sub(r.start).Nanoseconds(),
	})
}

// readAndWrite reads and writes one account's weight at random while the store
// loses answers and delays calls.
func readAndWrite(t *testing.T, s *fake.Store, history *operationLog, client int, rng *rand.Rand) {
	w := &tablestore.Writer{Store: s, Who: fmt.Sprint(client)}
	for i := range 8 {
		time.Sleep(time.Duration(rng.IntN(30)+1) * time.Millisecond)
		call := time.Now()
		if rng.IntN(3) == 0 {
			snapshot, err := w.Read(t.Context())
			qt.Check(t, err, qt.IsNil)
			history.add(client, nil, [2]string{fmt.Sprint(snapshot.Document.Revision()), weight(snapshot.Table)}, call, time.Now())
			continue
		}
		s.SetFaults(fake.Faults{LoseAnswers: rng.IntN(2), Delay: time.Duration(rng.IntN(4)) * time.Millisecond})
		value := fmt.Sprint(client*100 + i + 1)
		result, err := overwrite(t, w, value)
		end := time.Now()
		if store.IsOutcomeUnknown(err) {
			end = history.start.Add(time.Hour)
		} else if err != nil {
			continue
		}
		history.add(client, writeOp{value}, writeResult{result.Revision, err != nil}, call, end)
	}
}

// overwrite edits the newest revision and starts over after a conflict, as an
// operator does.
func overwrite(t *testing.T, w *tablestore.Writer, value string) (tablestore.Result, error) {
	for {
		snapshot, err := w.Read(t.Context())
		if err != nil {
			return tablestore.Result{}, err
		}
		result, err := w.Put(t.Context(), snapshot.Document.Revision(), accountTable(t, "atlas,,"+value), "")
		var conflict *tablestore.ConflictError
		if !errors.As(err, &conflict) {
			return result, err
		}
	}
}

func weight(t table.Table) string {
	cells, _ := t.Cells(table.Key{Kind: table.Account, Name: "atlas"})
	return cells[table.ColumnWeight]
}
