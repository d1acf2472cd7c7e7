package entry_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// Guards against a route that its own host does not reach, because the host was configured
// or sent with capitals, a port, a final dot or brackets.
func TestHostsInEverySpelling(t *testing.T) {
	for _, test := range []struct {
		configured, sent string
		found            bool
	}{
		{"nony24.example", "nony24.example", true},
		{"Nony24.Example", "nony24.example", true},
		{"nony24.example", "NONY24.example:8161", true},
		{"nony24.example.", "nony24.example", true},
		{"nony24.example", "nony24.example.:8161", true},
		{"nony24.example:8161", "nony24.example:8161", true},
		{"nony24.example:8161", "nony24.example:8162", false},
		{"nony24.example:8161", "nony24.example", false},
		{"nony_24", "nony_24", true},
		{"10.128.0.9", "10.128.0.9:80", true},
		{"[::1]", "[::1]:80", true},
		{"::1", "[::1]", true},
		{"nony24.example", "ony24.example", false},
		{"nony24.example", "", false},
	} {
		r := entry.NewRouter([]entry.Route{{Host: test.configured, PathPrefix: "/q/", JobType: "j"}})
		_, found := r.Find(test.sent, "/q/1")
		qt.Check(t, found, qt.Equals, test.found, qt.Commentf("%q sent to %q", test.sent, test.configured))
	}
}

// Guards against another route than the one with the longest prefix, and against the port
// of a request that hides the routes of its host.
func TestLongestPrefixWins(t *testing.T) {
	c := qt.New(t)
	r := entry.NewRouter([]entry.Route{
		{Host: "a", PathPrefix: "/", JobType: "all"}, {Host: "A", PathPrefix: "/q/", JobType: "q"}, {Host: "a", PathPrefix: "/q/long/", JobType: "long"},
		{Host: "a.", PathPrefix: "/q/", JobType: "second"}, {Host: "a:80", PathPrefix: "/q/", JobType: "port"}, {Host: "b", PathPrefix: "/b/", JobType: "b"},
	})
	for request, want := range map[string]string{
		"a /x": "all", "a /q/x": "q", "a /q/long": "q", "a /q/long/": "long", "a /q/long/x": "long", "a:80 /q/long/x": "port", "a:80 /x": "all", "a:81 /q/x": "q",
		"b /b/x": "b", "b /x": "", "b /b": "", "c /b/x": "", "a ": "",
	} {
		host, path, _ := strings.Cut(request, " ")
		route, found := r.Find(host, path)
		c.Check(route.JobType, qt.Equals, want, qt.Commentf("%s", request))
		c.Check(found, qt.Equals, want != "")
	}
	_, found := entry.NewRouter(nil).Find("a", "/x")
	c.Check(found, qt.IsFalse)
}

// Guards against a lookup that differs from the comparison with every route.
func TestRouterAgreesWithComparison(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){0,4}`)
	qt.Assert(t, flag.Set("rapid.seed", "49"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		var routes []entry.Route
		for i := range rapid.IntRange(0, 40).Draw(t, "routes") {
			routes = append(routes, entry.Route{Host: "h", PathPrefix: path.Draw(t, "prefix"), JobType: fmt.Sprint(i)})
		}
		r := entry.NewRouter(routes)
		for range 20 {
			request := path.Draw(t, "path")
			var want entry.Route
			for _, route := range routes {
				if strings.HasPrefix(request, route.PathPrefix) && (want.JobType == "" || len(route.PathPrefix) > len(want.PathPrefix)) {
					want = route
				}
			}
			if got, found := r.Find("h", request); got != want || found != (want.JobType != "") {
				t.Fatalf("%q has %+v and not %+v", request, got, want)
			}
		}
	})
}
