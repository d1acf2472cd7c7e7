package processtest

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// jobFile writes a job to a temporary JSON file and returns its name.
func jobFile(c *qt.C, job *pb.SubmitRequest) string {
	text, err := protojson.Marshal(job)
	c.Assert(err, qt.IsNil)
	file := filepath.Join(c.TempDir(), "job.json")
	c.Assert(os.WriteFile(file, text, 0o600), qt.IsNil)
	return file
}

func runSubmit(c *qt.C, args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	cmd := exec.Command(binary, append([]string{"submit"}, args...)...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), out.String(), errOut.String()
}

// Guards against exit codes that do not tell whether a job ran, and against
// submitting a job to a second entry after it may have run at the first.
func TestSubmitCommand(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, 2)
	entry, unreachable := f.entries[0].address, freeAddresses(c, 1)[0]
	unknown := newJob("x")
	unknown.Service = "no-such-service"
	for _, tc := range []struct {
		name   string
		args   []string
		code   int
		output string
	}{
		{"complete", []string{"--entry", entry, "--json", jobFile(c, newJob("complete"))}, 0, "OUTCOME_COMPLETE"},
		{"second entry", []string{"--entry", unreachable, "--entry", entry, jobFile(c, newJob("second"))}, 0, "OUTCOME_COMPLETE"},
		{"failed", []string{"--entry", entry, jobFile(c, newJob("fail"))}, 1, "endpoint_error"},
		{"no file", nil, 2, ""},
		{"missing file", []string{"/nonexistent/job.json"}, 2, ""},
		{"refused", []string{"--entry", entry, jobFile(c, unknown)}, 3, "unknown_service"},
		{"unreachable", []string{"--entry", unreachable, jobFile(c, newJob("x"))}, 3, "VERDICT_NOT_RUN"},
		{"unknown", []string{"--entry", entry, "--entry", entry, jobFile(c, newJob("reset"))}, 4, "endpoint_failed"},
	} {
		code, stdout, stderr := runSubmit(c, tc.args...)
		c.Check(code, qt.Equals, tc.code, qt.Commentf("%s: %s", tc.name, stderr))
		c.Check(strings.Contains(stdout, tc.output), qt.IsTrue, qt.Commentf("%s: %s", tc.name, stdout))
	}
	checkOutcomes(c, nil, f.starts(c))

	keyed := newJob("keyed")
	_, _, stderr := runSubmit(c, "--entry", entry, "--key", jobFile(c, keyed))
	keyed.IdempotencyKey = strings.TrimSpace(strings.TrimPrefix(stderr, "key:"))
	code, _, _ := runSubmit(c, "--entry", entry, jobFile(c, keyed))
	c.Check(code, qt.Equals, 0)
	c.Check(f.starts(c)["keyed"], qt.Equals, 1)
}

// Guards against queued tasks that still run after Ctrl-C.
func TestSubmitCancelsOnInterrupt(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, 1)
	many := make([]string, 40)
	for i := range many {
		many[i] = "1s " + strings.Repeat("x", i)
	}
	var out bytes.Buffer
	cmd := exec.Command(binary, "submit", "--entry", f.entries[0].address, jobFile(c, newJob(many...)))
	cmd.Stdout = &out
	c.Assert(cmd.Start(), qt.IsNil)
	waitFor(c, "the first task", func() bool { return len(f.starts(c)) > 0 })
	c.Assert(cmd.Process.Signal(syscall.SIGINT), qt.IsNil)
	_ = cmd.Wait()
	c.Check(cmd.ProcessState.ExitCode(), qt.Equals, 1, qt.Commentf("%s", out.String()))
	c.Check(strings.Contains(out.String(), "cancelled"), qt.IsTrue)
	c.Check(len(f.starts(c)) < len(many), qt.IsTrue)
}
