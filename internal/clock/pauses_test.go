package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a pause that is missed because a goroutine other than the one that reports
// pauses continues first, and against one that counts twice.
func TestFirstToAskFindsThePause(t *testing.T) {
	vm := &fakeVM{boottime: time.Hour}
	p := NewPauses(newReader(vm.readSteady, vm.readBoottime).read)
	qt.Check(t, p.Take(), qt.HasLen, 0)
	vm.pass(minPause - time.Millisecond)
	qt.Check(t, p.Count(), qt.Equals, uint64(0))
	vm.suspend(minPause)
	qt.Check(t, p.Count(), qt.Equals, uint64(1))
	vm.pass(time.Millisecond)
	qt.Check(t, p.Count(), qt.Equals, uint64(1))
	vm.pass(4 * time.Second)
	qt.Check(t, p.Take(), qt.DeepEquals, []Pause{{For: minPause, Suspended: minPause}, {For: 4 * time.Second}})
	qt.Check(t, p.Count(), qt.Equals, uint64(2))
	qt.Check(t, p.Take(), qt.HasLen, 0)
}
