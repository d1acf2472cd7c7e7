package command

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against exit codes and output that differ from what docs/OPERATIONS.md promises,
// and against a job that runs because it was explained.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	fleet, err := startFleet(c.Context(), time.Millisecond, zap.NewNop())
	defer fleet.stop()
	c.Assert(err, qt.IsNil)
	c.Assert(submitFile(c.Context(), &bytes.Buffer{}, fleet.addresses[0], writeJob(c, &pb.SubmitRequest{
		Service: "route-desk", JobType: "pricing", Account: "atlas", Tasks: []*pb.Task{{}},
	})), qt.IsNil)
	entry := "--entry=" + fleet.addresses[0]
	run := func(args ...string) (string, int) {
		var out, errOut bytes.Buffer
		code := Main(c.Context(), append([]string{"poplarlever", "explain"}, args...), &out, &errOut)
		return out.String() + errOut.String(), code
	}
	out, code := run(entry, "--service=route-desk", "--job-type=pricing", "--account=atlas", "--tasks=8", "--run-time=50ms")
	c.Check(code, qt.Equals, ExitDone, qt.Commentf("%s", out))
	c.Check(out, qt.Matches, `(?s).*service "route-desk", job type "pricing", priority 0, table revision \d+\nwould start now at .*WORKER +DOMAIN +RULE +SCORE.*`)
	out, code = run(entry, "--json", "--service=nothing", "--account=atlas")
	c.Check(code, qt.Equals, ExitRefused)
	var parsed struct {
		Entries []struct {
			Explanation struct {
				Decision string
				Refusal  struct{ Reason string }
			}
		}
	}
	c.Assert(json.Unmarshal([]byte(out), &parsed), qt.IsNil, qt.Commentf("%s", out))
	c.Check(parsed.Entries[0].Explanation.Decision, qt.Equals, "EXPLAIN_DECISION_REFUSE")
	c.Check(parsed.Entries[0].Explanation.Refusal.Reason, qt.Equals, "unknown_service")
	out, code = run(entry, "--host=nobody.example", "--path=/")
	c.Check(code, qt.Equals, ExitUnknown)
	c.Check(out, qt.Contains, "no route")
	_, code = run(entry, "--tasks=100000")
	c.Check(code, qt.Equals, ExitUsage)
	_, code = run(entry, "no-such-file.json")
	c.Check(code, qt.Equals, ExitUsage)
	c.Check(strings.Contains(scrapePage(c, fleet.addresses[0]), `poplarlever_jobs_total{outcome="complete"} 1`), qt.IsTrue)
}
