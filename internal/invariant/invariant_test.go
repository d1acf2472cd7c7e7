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
