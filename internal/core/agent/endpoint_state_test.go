package agent

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Guards against what one instance of a worker has announced that is used for the next, which
// has not: its labels, room and slots, or that it leaves; and against an agent that forgets the
// lease, which it goes on holding.
func TestNothingAnnouncedIsKeptAfterRestart(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Worker: "w", Incarnation: 1, Epoch: now})
	core.endpoint = endpointState{
		present: true, left: true, service: "s", slots: 8, connections: 8, size: msg.Size{Cores: 4}, labels: []string{"a"},
		leased: true, ready: true, settled: true, join: 1, number: 3, describedAt: time.Second, describedBy: 2, foreignTasks: 1,
		abandoned: map[msg.AttemptID]int{{}: 1},
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[endpointState]()) {
		c.Assert(reflect.ValueOf(core.endpoint).FieldByIndex(field.Index).IsZero(), qt.IsFalse, qt.Commentf("%s has no value here", field.Name))
	}
	core.Step(now, EndpointRestarted{Join: 2})
	want := endpointState{service: "s", leased: true, ready: true, settled: true, join: 2}
	c.Check(reflect.DeepEqual(core.endpoint, want), qt.IsTrue, qt.Commentf("%+v", core.endpoint))
	core.Step(now, EndpointRestarted{Join: 1})
	c.Check(core.endpoint.join, qt.Equals, uint64(2))
}
