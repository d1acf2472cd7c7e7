package agentd

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/linkpb"
)

// Guards against an agent that gives up while it replaces a dead one, that gives up
// after an entry has accepted it, or that never gives up.
func TestAgentGivesUpOnlyAfterLastingRejection(t *testing.T) {
	c := qt.New(t)
	check, now := newIdentityCheck(), time.Unix(0, 0)
	reject := func(after time.Duration) {
		check.rejected(linkpb.RejectedDuplicateWorker, "127.0.0.1:7000", now.Add(after))
	}
	reject(0)
	reject(duplicateAfter - 1)
	c.Assert(check.failed, qt.HasLen, 0)
	reject(duplicateAfter)
	c.Assert(check.failed, qt.HasLen, 1)
	c.Check(errorx.IsOfType(<-check.failed, ErrDuplicateWorker), qt.IsTrue)
	check.accepted()
	reject(2 * duplicateAfter)
	c.Check(check.failed, qt.HasLen, 0)
}
