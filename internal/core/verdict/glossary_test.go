package verdict_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

var reasonRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [a-z_, ]+ \\| .+ \\|$")

// Guards against a reason that is missing from the glossary, and against a
// glossary that lists reasons which no longer exist.
func TestGlossaryListsEveryReason(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/GLOSSARY.md")
	c.Assert(err, qt.IsNil)
	var listed, defined []string
	for _, m := range reasonRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	for _, r := range verdict.Reasons() {
		defined = append(defined, r.String())
	}
	for _, r := range verdict.RetryReasons() {
		defined = append(defined, r.String())
	}
	c.Check(listed, qt.DeepEquals, defined)
}

var ruleRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [^|]+ \\|$")

// Guards against a placement rule that is missing from the glossary or listed after its
// removal.
func TestGlossaryListsEveryPlacementRule(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/GLOSSARY.md")
	c.Assert(err, qt.IsNil)
	_, section, found := strings.Cut(string(page), "## Placement rules")
	c.Assert(found, qt.IsTrue)
	section, _, _ = strings.Cut(section, "\n## ")
	var listed, defined []string
	for _, m := range ruleRow.FindAllStringSubmatch(section, -1) {
		listed = append(listed, m[1])
	}
	for _, r := range verdict.PlacementRules() {
		defined = append(defined, r.String())
	}
	c.Check(listed, qt.DeepEquals, defined)
}
