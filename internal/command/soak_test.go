package command

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a replay that differs from the previous one or prints no trace.
func TestSoakReplaysToTheSameTrace(t *testing.T) {
	c := qt.New(t)
	run := func() string {
		var out, errs bytes.Buffer
		c.Assert(Main(c.Context(), []string{"poplarlever", "soak", "--replay", "7"}, &out, &errs), qt.Equals, ExitDone)
		return out.String()
	}
	first := run()
	c.Check(first, qt.Contains, "entry-0 submits job 1")
	c.Check(first, qt.Matches, `(?s).*\ntrace [0-9a-f]{16}\n`)
	c.Check(run() == first, qt.IsTrue)
}

// Guards against progress lines in the JSON output.
func TestSoakPrintsOneObject(t *testing.T) {
	c := qt.New(t)
	var out, errs bytes.Buffer
	args := []string{"poplarlever", "soak", "--seed", "3", "--duration", "0s", "--json"}
	c.Assert(Main(c.Context(), args, &out, &errs), qt.Equals, ExitDone)
	var report soakReport
	c.Assert(json.Unmarshal(out.Bytes(), &report), qt.IsNil)
	c.Check(report.Seeds, qt.Equals, 1)
	c.Check(report.Failed, qt.IsNil)
}
