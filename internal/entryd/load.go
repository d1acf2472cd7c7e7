package entryd

import (
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// loadInterval is the time that one load line covers.
const loadInterval = time.Second

// load gathers what an entry did in an interval and how late it did it, for one log line.
// Counters of the whole life do not show an overload that lasts a few seconds. It is used
// only on the loop's goroutine.
type load struct {
	since time.Time
	// jobs, completed, refused and failed count jobs; refused includes those that were
	// answered NotRun later.
	jobs, completed, refused, failed int
	// dispatches and results count tasks, noRoom the dispatches that an agent had no room
	// for, reports the messages that only report room.
	dispatches, results, noRoom, reports int
	// message is the time that messages from agents were under way, admission the time
	// from reading a job to its admission.
	message, admission delays
}

// delays summarizes waiting times.
type delays struct {
	sum, longest time.Duration
	count        int
}

func (d *delays) add(wait time.Duration) {
	d.sum += wait
	d.longest = max(d.longest, wait)
	d.count++
}

func (d *delays) mean() time.Duration { return d.sum / time.Duration(max(1, d.count)) }

// submitted records the admission of a job.
func (l *load) submitted(now time.Time, job entry.Job) {
	l.jobs++
	l.admission.add(now.Sub(job.ReceivedAt))
}

// received records a message from an agent that was under way for the given time.
func (l *load) received(delay time.Duration, message msg.FromAgent) {
	l.message.add(delay)
	switch m := message.(type) {
	case msg.Result:
		l.results++
	case msg.Refused:
		if m.Reason == verdict.NoSlot {
			l.noRoom++
		}
	case msg.Heartbeat, msg.SlotsFree:
		l.reports++
	}
}

// output records an output of the core.
func (l *load) output(out entry.Output) {
	switch out := out.(type) {
	case entry.Send:
		if _, ok := out.Message.(msg.Dispatch); ok {
			l.dispatches++
		}
	case entry.Answered:
		switch {
		case out.Answer.Outcome == entry.Complete:
			l.completed++
		case out.Answer.Verdict == verdict.NotRun:
			l.refused++
		default:
			l.failed++
		}
	}
}

// logLoad writes the line of an interval that is over, if jobs came or ended in it.
func (l *loop) logLoad(now time.Time) {
	if l.load.since.IsZero() {
		l.load.since = now
	}
	if now.Sub(l.load.since) < loadInterval {
		return
	}
	c := l.load
	l.load = load{since: now}
	if c.jobs+c.completed+c.refused+c.failed == 0 {
		return
	}
	s := l.core.Snapshot()
	logevent.EntryLoad.Log(l.log, zap.Int64("interval_ms", now.Sub(c.since).Milliseconds()),
		zap.Int("jobs", c.jobs), zap.Int("completed", c.completed), zap.Int("refused", c.refused), zap.Int("failed", c.failed),
		zap.Int("dispatches", c.dispatches), zap.Int("results", c.results), zap.Int("no_room", c.noRoom), zap.Int("reports", c.reports),
		zap.Int("queued_tasks", s.QueuedTasks), zap.Int("running_tasks", s.RunningTasks),
		zap.Int64("message_delay_ms", c.message.mean().Milliseconds()), zap.Int64("longest_message_delay_ms", c.message.longest.Milliseconds()),
		zap.Int64("admission_delay_ms", c.admission.mean().Milliseconds()), zap.Int64("longest_admission_delay_ms", c.admission.longest.Milliseconds()))
}
