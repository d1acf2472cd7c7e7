package msg_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against mistaking a task at the endpoint for one that another agent or
// another program started.
func TestEndpointTaskNames(t *testing.T) {
	id := msg.AttemptID{Entry: math.MaxUint64, Job: 2, Task: 3, Attempt: 4}
	agent, got, ok := msg.ParseEndpointTaskName(msg.EndpointTaskName(9, id))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, agent, qt.Equals, msg.Incarnation(9))
	qt.Assert(t, got, qt.Equals, id)
	for _, name := range []string{"", "cron", "9.1-2-3-4", msg.EndpointTaskName(9, id) + "-5", msg.EndpointTaskName(9, id)[1:], "x" + msg.EndpointTaskName(9, id)} {
		_, _, ok := msg.ParseEndpointTaskName(name)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%q", name))
	}
}
