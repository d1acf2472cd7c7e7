package entryd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// After a power loss, callers come back before the store has returned the table. Guards
// against refusing them, after which they stay away for a second, and against waiting
// longer than firstPolicyTimeout when no table comes.
func TestRouteWaitsForFirstPolicy(t *testing.T) {
	for _, test := range []struct {
		name   string
		policy bool
		known  bool
		waited time.Duration
	}{
		{"the configuration comes", true, true, 150 * time.Millisecond},
		{"none comes", false, false, firstPolicyTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Daemon{loop: newLoop(entry.New(entry.Config{})), startTime: time.Now(), policyKnown: make(chan struct{})}
				began := time.Now()
				if test.policy {
					time.AfterFunc(test.waited, func() {
						d.SetPolicy(entry.Policy{Revision: 1, Routes: []entry.Route{{Host: "h", PathPrefix: "/"}}})
					})
				}
				_, known, found := d.FrontDoor().Route(context.Background(), "h", "/x")
				qt.Check(t, known, qt.Equals, test.known)
				qt.Check(t, found, qt.Equals, test.known)
				qt.Check(t, time.Since(began), qt.Equals, test.waited)
				time.Sleep(firstPolicyTimeout)
				began = time.Now()
				_, known, _ = d.FrontDoor().Route(context.Background(), "h", "/x")
				qt.Check(t, known, qt.Equals, test.known)
				qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
			})
		})
	}
}
