package settings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/settings"
)

// Guards against an invalid file that passes, or whose message lacks the file,
// the line or the key.
func TestInvalidFilesReportOneLine(t *testing.T) {
	c := qt.New(t)
	for file, want := range map[string]string{
		"unknown-key.toml":  `:5: limits.max_queue: unknown key`,
		"wrong-unit.toml":   `:2: stop_limit: "30 parsecs" is not a duration; write a number and a unit (ms, s, m, h), such as "100ms"`,
		"bad-address.toml":  `:2: entries: "127.0.0.1" is not an address; write an IP address and a port, such as "127.0.0.1:7000"`,
		"missing-name.toml": `:1: name: missing`,
		"out-of-range.toml": `:4: limits.max_tasks: 1001 is out of range, allowed is 1 to 1000`,
	} {
		path := filepath.Join("testdata", file)
		_, err := settings.Check(path)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", file))
		c.Check(fmt.Sprint(err), qt.Equals, path+want)
	}
}

// Guards against ambiguous or unsafe values that are accepted silently: numbers
// without a unit, values of the wrong type, addresses beyond loopback without TLS.
func TestAmbiguousValuesAreRejected(t *testing.T) {
	c := qt.New(t)
	for content, want := range map[string]string{
		"name = \"e\"\nstop_limit = 30":              `.*:2: stop_limit: "30" is not a duration.*`,
		"name = \"e\"\nstop_limit = \"30\"":          `.*:2: stop_limit: "30" is not a duration.*`,
		"name = \"e\"\n[limits]\nmax_payload = 4096": `.*:3: limits.max_payload: "4096" is not a size.*`,
		"name = 7":                   `.*:1: name: .*`,
		"name = \"e\"\nname = \"f\"": `.*:2: .*`,
		"name = \"e\"\nlisten = \"10.0.0.1:7000\"":                       `.*:1: failure_domain: missing`,
		"name = \"e\"\nfailure_domain=\"a\"\nlisten = \"10.0.0.1:7000\"": `.*: tls.mode: "off" needs loopback addresses, and 10.0.0.1:7000 is none`,
		"name = \"e\"\n[tls]\nmode = \"on\"":                             `.*: tls.certificate: missing, and tls.mode is "on"`,
		"name = \"e\"\n[timing]\nlost_after = \"2s\"":                    `.*:3: timing.lost_after: 2s has to be longer than timing.suspect_after \(3s\)`,
		"name = \"a b\"":            `.*:1: name: "a b" is not a name.*`,
		"worker = \"w\"\nlinks = 0": `.*:2: links: 0 is out of range.*`,
	} {
		path := filepath.Join(c.TempDir(), "settings.toml")
		c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		_, err := settings.Check(path)
		c.Check(err, qt.ErrorMatches, want, qt.Commentf("%s", content))
		c.Check(strings.Contains(fmt.Sprint(err), "\n"), qt.IsFalse)
	}
}

// Guards against an agent that does not start because the users' platform gives its service
// a name that operators of the product could not.
func TestServiceOfThePlatformMayHaveAnyName(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"huvo11a", "Route Desk", "épicerie/\"7\"", strings.Repeat("s", 300)} {
		encoded, err := json.Marshal(name)
		c.Assert(err, qt.IsNil)
		path := filepath.Join(c.TempDir(), "settings.toml")
		c.Assert(os.WriteFile(path, []byte("worker = \"w\"\n[platform]\nservice = "+string(encoded)+"\n"), 0o600), qt.IsNil)
		s, err := settings.LoadAgent(path, func(*settings.Agent) []settings.Override { return nil })
		c.Assert(err, qt.IsNil)
		c.Check(s.Platform.Service, qt.Equals, name)
	}
}

// Guards against printed defaults that do not pass the check or lack a key.
func TestPrintedDefaultsPass(t *testing.T) {
	c := qt.New(t)
	for role, content := range map[string]string{"entry": settings.EntryDefaults(), "agent": settings.AgentDefaults()} {
		path := filepath.Join(c.TempDir(), "settings.toml")
		c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		got, err := settings.Check(path)
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, role)
	}
}

// Guards against a flag that does not override the file, and against a message
// that names the file for a flag's value.
func TestFlagsOverrideTheFile(t *testing.T) {
	c := qt.New(t)
	set := func(value string) func(*settings.Entry) []settings.Override {
		return func(s *settings.Entry) []settings.Override {
			return []settings.Override{{Key: "name", Flag: "name", Set: func() { s.Name = value }}}
		}
	}
	s, err := settings.LoadEntry("testdata/missing-name.toml", set("entry-7"))
	c.Assert(err, qt.IsNil)
	c.Check(s.Name, qt.Equals, "entry-7")
	_, err = settings.LoadEntry("testdata/missing-name.toml", set("no name"))
	c.Check(err, qt.ErrorMatches, `--name: name: "no name" is not a name.*`)
}

// Guards against keys, defaults or descriptions that differ between
// docs/SETTINGS.md and the code.
func TestPageListsEveryKey(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	var listed, defined []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			listed = append(listed, line)
		}
	}
	entry, agent := settings.NewEntry(), settings.NewAgent()
	for _, f := range append(entry.Fields(), agent.Fields()...) {
		defined = append(defined, fmt.Sprintf("| `%s` | `%s` | %s |", f.Key, f.Default(), f.Doc))
	}
	c.Check(listed, qt.DeepEquals, defined)
}
