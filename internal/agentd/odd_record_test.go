package agentd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/store"
)

// Guards against a record of another writer in the store that takes the real worker out
// of use after each restart of the agent, because it seems newer than the worker.
func TestOddRecordDoesNotLockOutWorker(t *testing.T) {
	for name, value := range map[string]string{
		"largest start time": `{"Instance":{"ID":"i","StartedAtMs":9223372036854775807},"Address":"10.0.0.9:80","Service":"s","Slots":8,"Number":1}`,
		"start time of -1":   `{"Instance":{"ID":"i","StartedAtMs":-1},"Address":"10.0.0.9:80","Service":"s","Slots":8,"Number":1}`,
		"other address":      `{"Instance":{"ID":"i","StartedAtMs":5},"Address":"10.0.0.9:99999","Service":"s","Slots":8,"Number":18446744073709551615}`,
		"other worker":       `{"Instance":{"ID":"x","StartedAtMs":7},"Address":"10.0.0.10:80","Service":"s","Slots":8}`,
		"leaving for good":   `{"Instance":{"ID":"i","StartedAtMs":9223372036854775807},"Address":"10.0.0.9:80","Service":"s","Leaving":true}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, k := keepers()
			_, err := k.store.CompareAndSwap(t.Context(), k.key, 0, []byte(value), 0)
			qt.Assert(t, err, qt.IsNil)
			f := newOddFixture(t, WithWorkerRecord(k.store, "s"))
			time.Sleep(50 * time.Millisecond)
			f.c.Assert(f.waitUntilInUse(6*time.Second), qt.IsTrue, qt.Commentf("%+v", f.hello()))
			f.c.Check(recorded(f.c, k.store, announcementOf(5, 1, false)), qt.IsTrue, qt.Commentf("the successor reads another record"))
		})
	}
}

// recorded reports whether the store comes to hold a record of the announced instance.
func recorded(c *qt.C, s store.Store, a WorkerAnnouncement) bool {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got, found := newRecordKeeper(s, "w", "s", zap.NewNop()).read(c.Context()); found && got.sameRecord(a) {
			return true
		}
	}
	return false
}

// Guards against tasks of another service at a worker, because a record of another writer
// names it.
func TestRecordOfOtherServiceIsNotUsed(t *testing.T) {
	_, k := keepers()
	_, err := k.store.CompareAndSwap(t.Context(), k.key, 0, []byte(`{"Instance":{"ID":"i","StartedAtMs":5},"Address":"10.0.0.9:80","Service":"other","Slots":8,"Size":{"Cores":16}}`), 0)
	qt.Assert(t, err, qt.IsNil)
	f := newOddFixture(t, WithWorkerRecord(k.store, "s"))
	time.Sleep(300 * time.Millisecond)
	h := f.hello()
	f.c.Check(h.Leaving || h.Service == "s", qt.IsTrue, qt.Commentf("%+v", h))
}

// Guards against a record that makes the decoder panic or that is used although no agent
// of the worker can have written it.
func FuzzWorkerRecord(f *testing.F) {
	for _, text := range []string{
		`{"Instance":{"ID":"i","StartedAtMs":5},"Address":"10.0.0.9:80","Service":"s","Slots":8,"Size":{"Cores":16},"Labels":["a"],"Number":1}`,
		`{"Instance":{"ID":"i","StartedAtMs":5},"Address":"10.0.0.9:99999","Service":"s"}`, `{"Instance":{"StartedAtMs":-1}}`,
		`{"Slots":1e400}`, `{"Size":{"Cores":-1}}`, `[[[[`, `null`, `{}`, "\xff",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		_, k := keepers()
		a, err := k.decode(value)
		if err == nil && (a.Validate() != nil || a.Service != "s") {
			t.Fatalf("used %+v", a)
		}
		if err != nil && a.Address != "" {
			t.Fatalf("refused, but returned %+v", a)
		}
	})
}
