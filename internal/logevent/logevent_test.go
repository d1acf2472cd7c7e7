package logevent_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/logevent"
)

var row = regexp.MustCompile(`(?m)^\| (\d+) \| ` + "`([a-z_]+)`" + ` \| ([a-z]+) \| (.+) \| (.+) \|$`)

// Guards against events that are missing from docs/LOG-EVENTS.md or listed with
// another number, name or level, and against removed events that are still listed.
func TestPageListsEveryEvent(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/LOG-EVENTS.md")
	c.Assert(err, qt.IsNil)
	listed := make(map[string]bool)
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		listed[fmt.Sprintf("%s %s %s", m[1], m[2], m[3])] = true
	}
	defined := make(map[string]bool)
	for _, e := range logevent.Catalogue() {
		defined[fmt.Sprintf("%d %s %s", e.Number, e.Name, e.Level)] = true
	}
	c.Check(listed, qt.DeepEquals, defined)
}

// Guards against two events with the same number or name.
func TestEventsAreUnique(t *testing.T) {
	c := qt.New(t)
	numbers, names := make(map[int]bool), make(map[string]bool)
	for _, e := range logevent.Catalogue() {
		c.Check(numbers[e.Number] || names[e.Name], qt.IsFalse, qt.Commentf("%d %s", e.Number, e.Name))
		numbers[e.Number], names[e.Name] = true, true
	}
}
