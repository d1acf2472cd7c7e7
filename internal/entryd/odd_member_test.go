package entryd

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/membership"
)

// oddMembers holds values of another writer among the entries, by the ends of their keys.
var oddMembers = map[string]struct{ key, value string }{
	"empty":                 {"x/1", ``},
	"null":                  {"x/1", `null`},
	"no fields":             {"x/1", `{}`},
	"no address":            {"x/0000000000000001", `{"name":"x","incarnation":1,"started":"2000-01-01T00:00:00Z"}`},
	"port out of range":     {"x/0000000000000001", `{"name":"x","address":"10.0.0.1:99999","incarnation":1,"started":"2000-01-01T00:00:00Z"}`},
	"not a host":            {"x/0000000000000001", `{"name":"x","address":"10.0.0.1:80/x?","incarnation":1,"started":"2000-01-01T00:00:00Z"}`},
	"number too large":      {"x/1", `{"name":"x","address":"10.0.0.1:80","incarnation":1e400}`},
	"deep nesting":          {"x/1", strings.Repeat(`[`, 100_000)},
	"closed deep nesting":   {"x/1", `{"x":` + strings.Repeat(`[`, 100_000) + strings.Repeat(`]`, 100_000) + `}`},
	"other type":            {"x/1", `{"name":7,"address":[]}`},
	"name of an entry":      {"x/1", `{"name":"entry-0","address":"10.0.0.1:80"}`},
	"entry without a start": {"entry-0/0000000000000007", `{"name":"entry-0","address":"10.0.0.1:80","incarnation":7}`},
	"entry from 1990":       {"entry-0/0000000000000007", `{"name":"entry-0","address":"10.0.0.1:80","incarnation":7,"started":"1990-01-01T00:00:00Z"}`},
	"entry from 9999":       {"entry-0/0000000000000007", `{"name":"entry-0","address":"10.0.0.1:80","incarnation":7,"started":"9999-01-01T00:00:00Z"}`},
}

// Guards against one odd value among the entries that ends an entry as a duplicate at each
// start, hides an entry from the others or makes them miss revisions.
func TestOddMemberLeavesTheOthers(t *testing.T) {
	for name, odd := range oddMembers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				_, err := c.store.CompareAndSwap(t.Context(), EntriesPrefix+odd.key, 0, []byte(odd.value), 0)
				qt.Assert(t, err, qt.IsNil)
				all := c.startAll(3)
				time.Sleep(50 * time.Second)
				for _, e := range all {
					qt.Check(t, e.olderDuplicate, qt.HasLen, 0, qt.Commentf("%s ends", e.cfg.Self.Name))
				}
				var at []string
				for _, p := range all[1].Peers() {
					at = append(at, p.Address)
				}
				if name != "entry from 1990" {
					qt.Check(t, at, qt.DeepEquals, []string{"entry-0.1:7000", "entry-2.1:7000"})
				}
				qt.Check(t, at, qt.Contains, "entry-0.1:7000")
				want := c.put(1)
				time.Sleep(inForceLimit)
				c.expectRevision(want, all...)
			})
		})
	}
}

// Guards against odd values among the entries that agents dial, or that hide the others.
func TestDirectorySkipsOddMembers(t *testing.T) {
	for name, odd := range oddMembers {
		if name == "entry from 1990" {
			// It is well formed; agents find that it does not answer.
			continue
		}
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			_, err := c.store.CompareAndSwap(t.Context(), EntriesPrefix+odd.key, 0, []byte(odd.value), 0)
			qt.Assert(t, err, qt.IsNil)
			for i := range 2 {
				m := membership.Member{Name: fmt.Sprint("e-", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: 1, Started: time.Now()}
				value, err := json.Marshal(m)
				qt.Assert(t, err, qt.IsNil)
				_, err = c.store.CompareAndSwap(t.Context(), memberKey(m), 0, value, 0)
				qt.Assert(t, err, qt.IsNil)
			}
			peers, err := agentd.StoreDirectory(c.store, EntriesPrefix)(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, peers, qt.HasLen, 2)
		})
	}
}

// Guards against two processes of one name that both go on: the younger one ends once the
// older one has answered it.
func TestLiveOlderProcessEndsTheYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		older := c.start("entry-0", 1)
		time.Sleep(time.Minute)
		for i := range 20 {
			c.start(fmt.Sprint("other-", i), 1)
		}
		twin := c.start("entry-0", 3)
		time.Sleep(30 * time.Second)
		qt.Check(t, twin.olderDuplicate, qt.HasLen, 1)
		qt.Check(t, older.olderDuplicate, qt.HasLen, 0)
	})
}
