package crashlog_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/crashlog"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

var start = time.Unix(1000, 0)

func crashOf(instance int64, tasks ...msg.CrashedTask) msg.WorkerCrash {
	return msg.WorkerCrash{Instance: instance, Tasks: tasks}
}

// Guards against a task that is started again and again although workers crash under it,
// against giving up one that shared a single crash, and against counting a crash twice or
// one under which the task may not have started.
func TestTaskIsGivenUpAfterTwoCrashes(t *testing.T) {
	c := qt.New(t)
	var l crashlog.Log
	task := msg.CrashedTask{Name: "a", JobType: "quote", RunTime: time.Millisecond}
	c.Check(l.Suspect("a"), qt.IsFalse)
	l.Crashed(start, "w1", crashOf(1, task))
	l.Crashed(start, "w1", crashOf(1, task))
	c.Check(l.Suspect("a"), qt.IsTrue)
	c.Check(l.GiveUp("a"), qt.IsFalse)
	l.Crashed(start, "w1", crashOf(2, task))
	c.Check(l.GiveUp("a"), qt.IsTrue)
	l.Expire(start.Add(time.Minute))
	c.Check(l.Suspect("a"), qt.IsFalse)

	task.Name, task.Unconfirmed = "b", true
	for i, want := range []bool{false, false, true} {
		l.Crashed(start.Add(time.Hour), "w1", crashOf(int64(10+i), task))
		c.Check(l.GiveUp("b"), qt.Equals, want, qt.Commentf("crash %d", i+1))
	}
}
