package store_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/store"
)

// Guards against an HTTP client that maps a fault to the wrong kind of error, in
// particular a lost answer to a failed write.
func TestErrorsOverHTTP(t *testing.T) {
	ctx := t.Context()
	s := fake.New(fake.DefaultRates)
	server := httptest.NewServer(s.Handler())
	c := store.NewClient(strings.TrimPrefix(server.URL, "http://"))
	_, err := c.Get(ctx, "k")
	qt.Assert(t, store.IsNotFound(err), qt.IsTrue)
	v1, err := c.CompareAndSwap(ctx, "k", 0, []byte("a"), 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.CompareAndSwap(ctx, "k", 0, []byte("b"), 0)
	qt.Assert(t, store.IsConflict(err), qt.IsTrue)
	_, err = c.CompareAndSwap(ctx, "k", v1, make([]byte, store.MaxValue+1), 0)
	qt.Assert(t, err, qt.IsNotNil)

	s.SetFaults(fake.Faults{LoseAnswers: 1})
	_, err = c.CompareAndSwap(ctx, "k", v1, []byte("c"), 0)
	qt.Assert(t, store.IsOutcomeUnknown(err), qt.IsTrue)
	e, err := c.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(e.Value), qt.Equals, "c")

	s.SetFaults(fake.Faults{OldData: true})
	_, err = c.CompareAndSwap(ctx, "k", e.Version, []byte("d"), 0)
	qt.Assert(t, err, qt.IsNil)
	old, err := c.Get(ctx, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(old.Value), qt.Equals, "c")

	s.SetFaults(fake.Faults{Down: true})
	_, err = c.CompareAndSwap(ctx, "k", 9, []byte("e"), 0)
	qt.Assert(t, store.IsUnavailable(err), qt.IsTrue)
	server.Close()
	_, err = c.CompareAndSwap(ctx, "k", 9, []byte("e"), 0)
	qt.Assert(t, store.IsUnavailable(err), qt.IsTrue)
}

// Guards against a watch that misses a change made between two calls.
func TestWatchOverHTTP(t *testing.T) {
	s := fake.New(fake.DefaultRates)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := store.NewClient(strings.TrimPrefix(server.URL, "http://"))
	v, err := c.CompareAndSwap(t.Context(), "a/1", 0, []byte("x"), 0)
	qt.Assert(t, err, qt.IsNil)
	got := make(chan store.Changes, 1)
	go func() {
		changes, _ := c.Watch(t.Context(), "a/", v)
		got <- changes
	}()
	qt.Assert(t, c.Delete(t.Context(), "a/1", v), qt.IsNil)
	changes := <-got
	qt.Assert(t, changes.Deleted, qt.HasLen, 1)
	qt.Assert(t, changes.Deleted[0].Key, qt.Equals, "a/1")
	qt.Assert(t, changes.Deleted[0].Version, qt.Equals, changes.Version)
	qt.Assert(t, changes.Version, qt.Equals, v+1)
}

// Guards against a lease that does not expire when its holder is paused, or that
// expires although its holder keeps it alive.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.DefaultRates)
		id, err := s.Grant(t.Context(), 10*time.Second)
		qt.Assert(t, err, qt.IsNil)
		_, err = s.CompareAndSwap(t.Context(), "k", 0, nil, id)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(6 * time.Second)
		qt.Assert(t, s.KeepAlive(t.Context(), id), qt.IsNil)
		time.Sleep(6 * time.Second)
		_, err = s.Get(t.Context(), "k")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(6 * time.Second)
		_, err = s.Get(t.Context(), "k")
		qt.Assert(t, store.IsNotFound(err), qt.IsTrue)
		qt.Assert(t, store.IsNotFound(s.KeepAlive(t.Context(), id)), qt.IsTrue)
	})
}

// Guards against a fake that allows higher call rates than the platform does.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.Rates{Writes: 2, Reads: 3})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = s.Watch(ctx, "", 0) }()
		synctest.Wait()
		time.Sleep(time.Second)
		for i := range 3 {
			_, err := s.List(ctx, "")
			qt.Assert(t, store.IsUnavailable(err), qt.Equals, i == 2)
			_, err = s.Grant(ctx, time.Minute)
			qt.Assert(t, store.IsUnavailable(err), qt.Equals, i == 2)
		}
		time.Sleep(time.Second)
		_, err := s.List(ctx, "")
		qt.Assert(t, err, qt.IsNil)
		cancel()
		s.LapseLeases()
		time.Sleep(2 * time.Minute)
	})
}
