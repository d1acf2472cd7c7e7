package agentd

import (
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// ErrCutOff means that the agent stopped with unfinished attempts at the endpoint.
var ErrCutOff = errorx.NewNamespace("agentd").NewType("cut_off")

// drainPoll is how often a stopping agent checks for unfinished attempts.
const drainPoll = 20 * time.Millisecond

// Hurry makes a graceful stop end at once, without waiting for unfinished attempts. It
// may be called several times.
func (d *Daemon) Hurry() { d.stopNowOnce.Do(func() { close(d.stopNow) }) }

// drain accepts no new attempts after the ready delay and waits until the running ones
// have ended and the entries have acknowledged their results. It returns ErrCutOff if
// the limit passes or Hurry is called before that.
func (d *Daemon) drain(limit time.Duration) error {
	logevent.ProcessStopping.Log(d.log)
	d.server.SetReady(false)
	end := time.After(limit)
	select {
	case <-time.After(min(d.opts.readyDelay, limit)):
	case <-d.stopNow:
	}
	d.loop.submitInput(agent.Stop{})
	for {
		left := d.unfinished()
		if left == 0 {
			return nil
		}
		select {
		case <-time.After(drainPoll):
			continue
		case <-end:
		case <-d.stopNow:
		}
		logevent.AttemptsCutOff.Log(d.log, zap.Int("attempts", left))
		return ErrCutOff.New("the stop cut off %d attempts", left)
	}
}

// unfinished returns the number of attempts that are running or whose results are not
// acknowledged yet, zero if the loop has stopped.
func (d *Daemon) unfinished() int {
	result := make(chan int, 1)
	if !d.loop.submit(func(time.Time) { result <- d.loop.core.Running() + d.loop.core.Unacknowledged() }) {
		return 0
	}
	select {
	case n := <-result:
		return n
	case <-d.loop.stopped:
		return 0
	}
}
