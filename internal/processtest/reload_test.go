package processtest

import (
	"context"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against a process that ends on SIGHUP: it reloads its settings while it
// serves, also while it stops, and a planned stop goes on to its end.
func TestProcessSurvivesReloadSignal(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, 1)
	for _, p := range []*process{f.entries[0], f.agents[0]} {
		p.signal(c, syscall.SIGHUP)
		p.waitEvent(c, "settings_reloaded")
	}
	answers := make(chan *pb.SubmitResponse, 1)
	go func() {
		resp, err := newClient(f.entries[0].address).Submit(context.Background(), connect.NewRequest(newJob("2s a")))
		c.Check(err, qt.IsNil)
		answers <- resp.Msg
	}()
	f.waitStarted(c, "2s a")
	for _, p := range []*process{f.entries[0], f.agents[0]} {
		p.signal(c, syscall.SIGTERM)
		p.waitEvent(c, "process_stopping")
		p.signal(c, syscall.SIGHUP)
		p.waitEvent(c, "settings_reloaded")
	}
	c.Check((<-answers).GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_COMPLETE)
	c.Check(f.agents[0].exitCode(c), qt.Equals, 0)
	c.Check(f.entries[0].exitCode(c), qt.Equals, 0)
}
