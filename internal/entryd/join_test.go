package entryd

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
)

// startJoined starts a daemon on loopback that has joined a new platform, and returns
// both.
func startJoined(t *testing.T, name string, s store.Store, seeds ...string) (*Daemon, *Platform) {
	d, p, _ := startStoppable(t, time.Second, name, s, seeds...)
	return d, p
}

// startStoppable is like startJoined. stop tells the daemon to stop within stopLimit.
func startStoppable(t *testing.T, stopLimit time.Duration, name string, s store.Store, seeds ...string) (d *Daemon, p *Platform, stop func()) {
	server, err := httpserver.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	d = New(entry.New(entry.Config{
		Name: name, Incarnation: 1, HeartbeatInterval: time.Second, LostAfter: time.Minute, SuspectAfter: time.Minute,
		MaxQueued: 10, MaxTasks: 10, MaxPayload: 10,
	}), name, server, zap.NewNop())
	p = NewPlatform(PlatformConfig{
		Store: s, Seeds: seeds, Log: zap.NewNop(),
		Self: membership.Member{Name: name, Address: d.Address(), Incarnation: 1, Started: time.Now()},
	})
	d.Join(p)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx, stopLimit) }()
	t.Cleanup(func() {
		stop()
		qt.Check(t, <-done, qt.IsNil)
	})
	return d, p, stop
}

// readyStatus returns the status of the readiness page.
func readyStatus(t *testing.T, d *Daemon) int {
	resp, err := http.Get("http://" + d.Address() + "/readyz")
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitTimeout keeps a failing test from hanging.
const waitTimeout = time.Minute

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}

// Guards against an entry that is ready without a table, and against peers that do not
// pass the table on over the network.
func TestJoinOverHTTP(t *testing.T) {
	c := newCluster(t)
	first, p1 := startJoined(t, "entry-1", c.store)
	second, p2 := startJoined(t, "entry-2", nil, first.Address())
	qt.Assert(t, readyStatus(t, first), qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, readyStatus(t, second), qt.Equals, http.StatusServiceUnavailable)
	want := c.put(1)
	waitFor(t, func() bool { return p1.Revision() == want && p2.Revision() == want })
	qt.Assert(t, readyStatus(t, first), qt.Equals, http.StatusOK)
	qt.Assert(t, readyStatus(t, second), qt.Equals, http.StatusOK)
	waitFor(t, func() bool { return len(p1.Peers()) == 1 && len(p2.Peers()) == 1 })
	qt.Assert(t, p1.Peers()[0].Address, qt.Equals, second.Address())
}
