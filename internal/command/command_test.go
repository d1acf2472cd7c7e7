package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/poplarlever/poplarlever/internal/httpserver"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against a large job that loses or mixes up results, against payloads
// and keys in log lines, and against a job that is not counted.
func TestFleetAnswersThousandTasks(t *testing.T) {
	c := qt.New(t)
	const secret, key = "secret-payload", "secret-key"
	recorded, logs := observer.New(zapcore.DebugLevel)
	fleet, err := startFleet(c.Context(), time.Millisecond, zap.New(recorded))
	defer fleet.stop()
	c.Assert(err, qt.IsNil)

	job := &pb.SubmitRequest{Service: "route-desk", JobType: "pricing", Account: "atlas"}
	for i := range 1000 {
		job.Tasks = append(job.Tasks, &pb.Task{Payload: fmt.Appendf(nil, "%s-%d", secret, i)})
	}
	var out bytes.Buffer
	c.Assert(submitFile(c.Context(), &out, fleet.addresses[0], writeJob(c, job)), qt.IsNil)
	var answer pb.SubmitResponse
	c.Assert(protojson.Unmarshal(out.Bytes(), &answer), qt.IsNil)
	c.Assert(answer.GetResults(), qt.HasLen, 1000)
	for i, r := range answer.GetResults() {
		c.Check(string(r.GetPayload()), qt.Equals, fmt.Sprintf("%s-%d", secret, i))
	}
	c.Check(scrapePage(c, fleet.addresses[0]), qt.Contains, `poplarlever_jobs_total{outcome="complete"} 1`)

	job.Service, job.IdempotencyKey, job.Tasks = "no-such-service", key, job.Tasks[:1]
	err = submitFile(c.Context(), &out, fleet.addresses[1], writeJob(c, job))
	c.Check(exitCode(err), qt.Equals, ExitRefused)

	fleet.stop()
	c.Check(logs.Len() > 0, qt.IsTrue)
	for _, line := range logs.All() {
		text := fmt.Sprint(line.Message, line.ContextMap())
		c.Check(strings.Contains(text, secret) || strings.Contains(text, key), qt.IsFalse, qt.Commentf("%s", text))
	}
}

func writeJob(c *qt.C, job *pb.SubmitRequest) string {
	content, err := protojson.Marshal(job)
	c.Assert(err, qt.IsNil)
	return writeFile(c, "job.json", string(content))
}

func writeFile(c *qt.C, name, content string) string {
	path := filepath.Join(c.TempDir(), name)
	c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

func scrapePage(c *qt.C, address string) string {
	client := httpserver.NewClient()
	defer client.CloseIdleConnections()
	return fetch(c, client, "http://"+address+"/metrics")
}

func fetch(c *qt.C, client *http.Client, url string) string {
	resp, err := client.Get(url)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var page bytes.Buffer
	_, err = page.ReadFrom(resp.Body)
	c.Assert(err, qt.IsNil)
	return page.String()
}

// run runs a command line and returns its exit code, standard output and standard
// error.
func run(c *qt.C, args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Main(c.Context(), append([]string{"poplarlever"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against bad usage that does not exit with ExitUsage, or that prints more
// than one line.
func TestBadUsageExitCode(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{
		"no-such-command", "entry --no-such-flag", "entry", "entry --settings /no/such/file",
		"entry --name e --listen 10.0.0.1:7000", "agent --worker w --links 0", "settings defaults", "settings check",
		"settings check ../settings/testdata/unknown-key.toml", "submit /no/such/file", "dev --log-level loud",
	} {
		code, _, stderr := run(c, strings.Fields(line)...)
		c.Check(code, qt.Equals, ExitUsage, qt.Commentf("%s", line))
		c.Check(strings.Count(stderr, "\n"), qt.Equals, 1, qt.Commentf("%s: %s", line, stderr))
	}
}

// Guards against an error for a port in use that does not name file, line and key.
func TestPortInUseNamesTheSetting(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	file := writeFile(c, "entry.toml", fmt.Sprintf("name = \"entry-1\"\nlisten = %q\n", l.Addr()))
	code, _, stderr := run(c, "entry", "--settings", file)
	c.Check(code, qt.Equals, ExitUsage)
	c.Check(stderr, qt.Matches, `poplarlever: .*entry.toml:2: listen: .*address already in use\n`)
}

// Guards against an outcome that is mapped to the wrong exit code.
func TestExitCodeOfEachOutcome(t *testing.T) {
	c := qt.New(t)
	answer := func(o pb.Outcome, v pb.Verdict) *pb.SubmitResponse {
		return &pb.SubmitResponse{Outcome: o, Failure: &pb.Failure{Verdict: v}}
	}
	c.Check(outcomeError(answer(pb.Outcome_OUTCOME_COMPLETE, 0)), qt.IsNil)
	c.Check(exitCode(outcomeError(answer(pb.Outcome_OUTCOME_FAILED, pb.Verdict_VERDICT_RAN))), qt.Equals, ExitFailed)
	c.Check(exitCode(outcomeError(answer(pb.Outcome_OUTCOME_FAILED, pb.Verdict_VERDICT_MAY_HAVE_RUN))), qt.Equals, ExitUnknown)
	c.Check(exitCode(outcomeError(answer(pb.Outcome_OUTCOME_REFUSED, pb.Verdict_VERDICT_NOT_RUN))), qt.Equals, ExitRefused)
}

// Guards against an example job that is malformed or not in the built-in table.
func TestExamplesComplete(t *testing.T) {
	c := qt.New(t)
	fleet, err := startFleet(c.Context(), time.Millisecond, zap.NewNop())
	defer fleet.stop()
	c.Assert(err, qt.IsNil)
	files, err := filepath.Glob("../../examples/*.json")
	c.Assert(err, qt.IsNil)
	c.Check(len(files) >= 7, qt.IsTrue)
	for _, file := range files {
		c.Check(submitFile(c.Context(), &bytes.Buffer{}, fleet.addresses[0], file), qt.IsNil, qt.Commentf("%s", file))
	}
}

// Guards against a status that hides an unreachable entry or lists a worker of
// several entries more than once.
func TestStatusOfSeveralEntries(t *testing.T) {
	c := qt.New(t)
	fleet, err := startFleet(c.Context(), time.Millisecond, zap.NewNop())
	defer fleet.stop()
	c.Assert(err, qt.IsNil)
	code, stdout, _ := run(c, "status", "--json", "--entry", fleet.addresses[0], "--entry", fleet.addresses[1])
	c.Check(code, qt.Equals, ExitDone)
	var parsed struct {
		Entries []struct {
			Status struct {
				Workers []struct{ Name, Revision string }
			}
		}
	}
	c.Assert(json.Unmarshal([]byte(stdout), &parsed), qt.IsNil)
	c.Assert(parsed.Entries, qt.HasLen, 2)
	c.Check(parsed.Entries[1].Status.Workers, qt.HasLen, devWorkers*len(devServices))
	code, stdout, stderr := run(c, "status", "--entry", fleet.addresses[0], "--entry", "127.0.0.1:1")
	c.Check(code, qt.Equals, ExitFailed)
	c.Check(stderr, qt.Contains, "entry 127.0.0.1:1")
	c.Check(stdout, qt.Contains, "no answer")
	c.Check(strings.Count(stdout, "route-desk-3 "), qt.Equals, 1)
}

// Guards against a command whose help contains no example command line.
func TestEveryCommandShowsAnExample(t *testing.T) {
	c := qt.New(t)
	for _, cmd := range Root().Commands {
		if !cmd.Hidden {
			c.Check(cmd.Description, qt.Contains, "  poplarlever "+cmd.Name, qt.Commentf("%s", cmd.Name))
		}
	}
	c.Check(Main(context.Background(), []string{"poplarlever", "version", "--json"}, &bytes.Buffer{}, &bytes.Buffer{}), qt.Equals, ExitDone)
}
