package invariant_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/invariant"
)

// Guards against violations that are not counted, fatal violations that do not
// panic, and duplicate names, whose counts would be merged in the metrics.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	seen := make(map[string]bool)
	for _, n := range invariant.Names() {
		c.Check(seen[n.String()], qt.IsFalse)
		seen[n.String()] = true
		invariant.Check(true, n, "holds")
		c.Check(invariant.Count(n), qt.Equals, uint64(0))
		invariant.Check(false, n, "is %d", 1)
		c.Check(invariant.Count(n), qt.Equals, uint64(1))
	}
	c.Check(seen["unspecified"], qt.IsFalse)
	invariant.SetFatal(true)
	defer invariant.SetFatal(false)
	c.Check(func() { invariant.Check(false, invariant.OneAttempt, "is %d", 2) }, qt.PanicMatches, "invariant one_attempt violated: is 2")
}

// Guards against a violation that only a counter shows, and against a fault that recurs and
// floods the log.
func TestObserverSeesTheFirstViolations(t *testing.T) {
	c := qt.New(t)
	var seen []invariant.Violation
	invariant.SetObserver(func(v invariant.Violation) { seen = append(seen, v) })
	defer invariant.SetObserver(func(invariant.Violation) {})
	before := invariant.Count(invariant.NothingAfterEnd)
	for i := before; i < 16; i++ {
		invariant.Check(false, invariant.NothingAfterEnd, "is %d", i+1)
	}
	var ordinals []string
	for _, v := range seen {
		c.Check(v.Name, qt.Equals, invariant.NothingAfterEnd)
		ordinals = append(ordinals, v.Detail)
	}
	c.Check(ordinals, qt.DeepEquals, []string{"is 2", "is 4", "is 8", "is 16"})
}
