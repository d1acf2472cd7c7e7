package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Guards against payload limits of the table that are not applied.
func TestPayloadLimitsOfTheTable(t *testing.T) {
	for _, test := range []struct {
		name             string
		service, jobType int
		payload          int
		want             entry.Outcome
	}{
		{"within all limits", 50, 40, 40, 0},
		{"above the job type's", 50, 40, 41, entry.Refused},
		{"above the service's", 30, 0, 31, entry.Refused},
		{"above the entry's", 1000, 1000, 101, entry.Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 0)
			p := policy(8)
			p.Services["s"] = entry.ServicePolicy{
				MaxPayload: test.service,
				JobTypes:   map[string]entry.JobTypePolicy{"j": {MaxPayload: test.jobType}},
			}
			f.step(entry.SetPolicy{Policy: p})
			f.out = nil
			f.step(entry.Submit{Job: entry.Job{
				ID: 1, Service: "s", JobType: "j", Account: "a", Deadline: f.now.Add(time.Minute),
				Tasks: []entry.Task{{Payload: make([]byte, test.payload)}},
			}})
			answers := f.answers()
			if test.want == 0 {
				f.c.Assert(answers, qt.HasLen, 0)
				return
			}
			f.c.Assert(answers, qt.HasLen, 1)
			f.c.Assert(answers[0].Answer.Reason, qt.Equals, verdict.PayloadTooLarge)
			f.c.Assert(answers[0].Answer.Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

// Guards against a default deadline of the table that is not applied, and
// against one that replaces the caller's own.
func TestDefaultDeadlineOfTheTable(t *testing.T) {
	for _, test := range []struct {
		name      string
		byDefault bool
		service   time.Duration
		jobType   time.Duration
		expired   bool // after two seconds
	}{
		{"job type's before the service's", true, time.Minute, time.Second, true},
		{"service's", true, time.Second, 0, true},
		{"entry's", true, 0, 0, false},
		{"caller's own", false, time.Second, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 0)
			p := policy(8)
			p.Services["s"] = entry.ServicePolicy{
				DefaultDeadline: test.service,
				JobTypes:        map[string]entry.JobTypePolicy{"j": {DefaultDeadline: test.jobType}},
			}
			f.step(entry.SetPolicy{Policy: p})
			f.step(entry.Submit{Job: entry.Job{
				ID: 1, Service: "s", JobType: "j", Account: "a", Tasks: make([]entry.Task, 1),
				Deadline: f.now.Add(time.Minute), DeadlineByDefault: test.byDefault,
			}})
			f.out = nil
			f.advance(2 * time.Second)
			f.c.Assert(len(f.answers()) == 1, qt.Equals, test.expired)
		})
	}
}

// Plays callers that have nowhere else to go while all entries of a failure domain are
// stopped in turn: a stopping entry refuses only jobs that cannot be expected to end
// before it stops.
func TestStoppingEntryTakesJobsThatCanEnd(t *testing.T) {
	const grace = 2 * time.Second
	for _, test := range []struct {
		name    string
		runTime time.Duration
		before  time.Duration
		refused bool
	}{
		{"short task, early", 60 * time.Millisecond, 2 * time.Second, false},
		{"short task, late", 60 * time.Millisecond, 500 * time.Millisecond, false},
		{"short task, too late", 60 * time.Millisecond, 100 * time.Millisecond, true},
		{"long task, early", 900 * time.Millisecond, 2 * time.Second, false},
		{"long task, late", 900 * time.Millisecond, 500 * time.Millisecond, true},
		{"unknown run time", 0, 2 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.step(entry.BeginDrain{Until: f.now.Add(grace)})
			f.now = f.now.Add(grace - test.before)
			f.out = nil
			f.step(entry.Submit{Job: entry.Job{
				ID: 1, Service: "s", JobType: "j", Account: "a", Deadline: f.now.Add(time.Minute),
				Tasks: []entry.Task{{DeclaredRunTime: test.runTime}},
			}})
			answers := f.answers()
			f.c.Assert(len(answers) == 1, qt.Equals, test.refused)
			if test.refused {
				f.c.Check(answers[0].Answer.Reason, qt.Equals, verdict.Draining)
				f.c.Check(answers[0].Answer.Verdict, qt.Equals, verdict.NotRun)
			}
		})
	}
}
