package processtest

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// completesJob reports whether the entry completes a job, which requires a linked
// worker.
func completesJob(address, payload string) bool {
	resp, err := newClient(address).Submit(context.Background(), connect.NewRequest(newJob(payload)))
	return err == nil && resp.Msg.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE
}

// Guards against agents that link only to the entries in their settings and miss a
// replacement at another address.
func TestAgentLinksReplacementEntry(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3, 0)
	f.startWorker(c, "worker-0", f.entries[0].address)
	for _, e := range f.entries {
		waitFor(c, "a job through "+e.address, func() bool { return completesJob(e.address, "before "+e.address) })
	}
	c.Assert(f.entries[0].cmd.Process.Kill(), qt.IsNil)
	<-f.entries[0].exited
	replacement := f.startEntry(c, "entry-new", freeAddresses(c, 1)[0], f.entries[1].address)
	waitReady(c, replacement.address)
	waitFor(c, "a job through the new entry", func() bool { return completesJob(replacement.address, "after") })
}
