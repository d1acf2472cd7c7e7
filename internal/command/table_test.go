package command

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
)

// tableRunner runs table commands against one store.
type tableRunner struct {
	t     *testing.T
	store string
	dir   string
}

// run runs a table command and returns its output and exit code.
func (r *tableRunner) run(args ...string) (string, int) {
	root := Root()
	var out bytes.Buffer
	root.Writer, root.ErrWriter = &out, &out
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(r.t.Context(), append([]string{"poplarlever", "table", "--store", r.store, "--who", "aya"}, args...))
	var exit cli.ExitCoder
	switch {
	case err == nil:
		return out.String(), 0
	case errors.As(err, &exit):
		return out.String() + err.Error(), exit.ExitCode()
	}
	return out.String() + err.Error(), ExitFailed
}

// file writes the content, with pairs of old and new text replaced, to a file and
// returns its name.
func (r *tableRunner) file(content string, pairs ...string) string {
	name := filepath.Join(r.dir, "table.csv")
	err := os.WriteFile(name, []byte(strings.NewReplacer(pairs...).Replace(content)), 0o600)
	qt.Assert(r.t, err, qt.IsNil)
	return name
}

// Guards against wrong exit codes of the table commands, above all ExitDone for a
// write that did not take effect.
func TestTableCommands(t *testing.T) {
	s := fakestore.New(fakestore.DefaultRates)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	r := &tableRunner{t: t, store: strings.TrimPrefix(server.URL, "http://"), dir: t.TempDir()}
	expect := func(code int, contains string, args ...string) string {
		t.Helper()
		out, got := r.run(args...)
		qt.Assert(t, got, qt.Equals, code, qt.Commentf("%v: %s", args, out))
		qt.Assert(t, strings.Contains(out, contains), qt.IsTrue, qt.Commentf("%v: %s", args, out))
		return out
	}
	expect(0, "revision 1 written", "put", r.file(devTable))
	copied := expect(0, "# poplarlever table revision 1\n", "get")
	expect(0, `account atlas: weight: "1" -> "2"`, "diff", r.file(copied, "atlas,,1", "atlas,,2"))
	expect(0, "revision 2 written", "put", r.file(copied, "atlas,,1", "atlas,,2"))
	expect(0, "revision 3 written", "put", r.file(copied, "hamasaki,,1", "hamasaki,,5"))
	expect(ExitRefused, `yours "3", the other operator's "2"`, "put", r.file(copied, "atlas,,1", "atlas,,3"))
	expect(ExitRefused, `"theirs": "2"`, "--json", "put", r.file(copied, "atlas,,1", "atlas,,3"))
	expect(ExitUsage, `account atlas: column weight: value "x"`, "put", r.file(copied, "atlas,,1", "atlas,,x"))
	expect(ExitUsage, "does not name the revision", "put", r.file(devTable))
	expect(ExitUsage, "name one CSV file", "put")
	expect(ExitFailed, "revision 77 is not in the history", "rollback", "77")
	s.SetFaults(fakestore.Faults{LoseAnswers: 1})
	expect(0, "revision 4 written", "rollback", "1")
	expect(0, "rollback to revision 1", "history")
	expect(0, "atlas,,2", "get", "--revision", "3")
	expect(0, "max_payload_bytes", "columns")
	s.SetFaults(fakestore.Faults{Down: true})
	expect(ExitFailed, "store.unavailable", "put", r.file(copied))
}
