package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/stall"
)

// This file applies package stall to a leased worker. Entries learn of a stall from the next
// report, stop their tasks there and send none but the trial tasks that the agent asks one of
// them for.

// stallState is the state of the worker's progress.
type stallState struct {
	detector  stall.Detector
	lastCheck time.Time
	// running is reused by every check.
	running []stall.Running
}

// resetStall forgets the progress of an earlier instance of the worker.
func (c *Core) resetStall() { c.stall.detector = stall.Detector{} }

// maxTickGap is the time between ticks from which this process may have noticed ends late.
const maxTickGap = 100 * time.Millisecond

// checkStall looks for a stall, and tells every entry of one.
func (c *Core) checkStall(now time.Time) {
	if !c.cfg.DetectStalls || !c.endpoint.leased {
		return
	}
	gap := now.Sub(c.stall.lastCheck)
	c.stall.lastCheck = now
	if gap >= maxTickGap || !c.endpoint.ready {
		c.stall.detector.Excuse(gap)
	}
	c.stall.running = c.stall.running[:0]
	for id, a := range c.attempts {
		if a.state == stateRunning && !a.stopping {
			c.stall.running = append(c.stall.running, stall.Running{Owner: uint64(id.Entry), Job: id.Job, JobType: a.jobType, Started: a.startedAt})
		}
	}
	if c.stall.detector.Check(now, c.stall.running) {
		c.emit(WorkerStalled{Stalled: true, Attempts: len(c.stall.running)})
		c.reportToAll(now)
	}
}

// recordProgress records the end of an attempt. One that was stopped or never reached the
// worker is no progress.
func (c *Core) recordProgress(now time.Time, a *attempt) {
	if !c.cfg.DetectStalls || !c.endpoint.leased || a.result.Kind != msg.ResultOK && a.result.Kind != msg.ResultEndpointError {
		return
	}
	if c.stall.detector.Ended(now, a.jobType, a.startedAt, a.result.RunTime) {
		c.emit(WorkerStalled{})
		c.reportToAll(now)
	}
}

// reportToAll sends a report to every entry.
func (c *Core) reportToAll(now time.Time) {
	for _, e := range c.entries.linked {
		c.send(now, e, msg.Heartbeat{Report: c.report(e), Revision: c.revision})
	}
}

// stalled reports whether the worker takes no task because it is stalled. A trial task that is
// due is taken from any entry.
func (c *Core) stalled(now time.Time) bool {
	return c.stall.detector.Stalled() && !c.stall.detector.TrialDue(now)
}

// roomFor returns the room that is reported to an entry. While the worker is stalled, one
// entry at a time sees room, once a trial task is due.
func (c *Core) roomFor(e *entryState) msg.Size {
	if !c.stall.detector.Stalled() {
		return c.Room()
	}
	if !c.stall.detector.TrialDue(c.now) || !c.asksForTrial(e) {
		return msg.Size{}
	}
	return c.Room()
}

// trialTurn is how long an entry is asked for a trial task before the next one is.
const trialTurn = 200 * time.Millisecond

// asksForTrial reports whether it is the entry's turn to send a trial task.
func (c *Core) asksForTrial(e *entryState) bool {
	linked := c.entries.linked
	turn := int(c.Clock(c.now)/trialTurn) % max(1, len(linked))
	return turn < len(linked) && linked[turn] == e
}
