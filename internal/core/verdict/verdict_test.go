package verdict_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Guards against a reason without a name or with the name of another one, which
// metrics and answers could not tell apart.
func TestReasonNamesAreUnique(t *testing.T) {
	c := qt.New(t)
	seen := make(map[string]bool)
	for _, r := range verdict.Reasons() {
		c.Check(seen[r.String()], qt.IsFalse, qt.Commentf("%s", r))
		seen[r.String()] = true
	}
	c.Check(seen["unspecified"], qt.IsFalse)
	for _, r := range verdict.RetryReasons() {
		c.Check(verdict.ParseRetryReason(r.String()), qt.Equals, r)
	}
}
