package command

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
)

// Guards against a command that fails when it is repeated or its answer was lost, names no
// domain, or takes a request with an odd value for none.
func TestEvacuateCommands(t *testing.T) {
	c := qt.New(t)
	s := fakestore.New(fakestore.DefaultRates)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	run := func(code int, contains string, args ...string) {
		t.Helper()
		var out, errs bytes.Buffer
		got := Main(t.Context(), append([]string{"poplarlever", "evacuate", "--store", strings.TrimPrefix(server.URL, "http://"), "--who", "aya"}, args...), &out, &errs)
		c.Check(got, qt.Equals, code, qt.Commentf("%v: %s%s", args, out.String(), errs.String()))
		c.Check(strings.Contains(out.String()+errs.String(), contains), qt.IsTrue, qt.Commentf("%v: %s%s", args, out.String(), errs.String()))
	}
	run(0, "", "list")
	run(0, "z1 is being evacuated", "begin", "z1")
	run(0, "z1 was evacuated already", "begin", "z1")
	_, err := s.CompareAndSwap(t.Context(), "poplarlever/evacuations/z2", 0, []byte("[7"), 0)
	c.Assert(err, qt.IsNil)
	run(0, "z1\tversion 1\t", "list")
	run(0, "z2\tversion 2\t-", "list")
	run(0, `"who": "aya"`, "--json", "list")
	run(0, "z2 is returned to service", "end", "z2")
	run(0, "z2 was not evacuated", "end", "z2")
	for _, args := range [][]string{{"begin"}, {"begin", "z1", "z2"}, {"end", strings.Repeat("z", 201)}, {"begin", ""}} {
		run(ExitUsage, "name one failure domain", args...)
	}
	s.SetFaults(fakestore.Faults{LoseAnswers: 1})
	run(0, "z3 is being evacuated", "begin", "z3")
	s.SetFaults(fakestore.Faults{LoseAnswers: 1})
	run(0, "z3 is returned to service", "end", "z3")
	s.SetFaults(fakestore.Faults{Down: true})
	run(ExitFailed, "", "begin", "z4")
}
