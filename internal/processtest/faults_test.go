package processtest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against tasks that start twice and wrong verdicts when processes die or
// are frozen.
func TestKilledAndFrozenProcesses(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3, 4)
	l := startLoad(3, f.entries[0].address, f.entries[1].address, f.entries[2].address)
	l.waitComplete(c, 20)
	f.agents[0].signal(c, syscall.SIGKILL)
	l.waitComplete(c, 20)
	f.agents[1].signal(c, syscall.SIGSTOP)
	l.waitComplete(c, 20)
	f.endpoints[2].signal(c, syscall.SIGKILL)
	f.entries[2].signal(c, syscall.SIGKILL)
	l.waitComplete(c, 20)
	f.agents[1].signal(c, syscall.SIGCONT)
	f.entries[1].signal(c, syscall.SIGSTOP)
	l.waitComplete(c, 20)
	f.entries[1].signal(c, syscall.SIGCONT)
	l.waitComplete(c, 20)
	checkOutcomes(c, l.stop(), f.starts(c))
}

// Guards against a planned stop that breaks requests in progress.
func TestPlannedStopCompletesRequests(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 2, 3)
	l := startLoad(4, f.entries[0].address, f.entries[1].address)
	l.waitComplete(c, 20)
	f.agents[0].signal(c, syscall.SIGTERM)
	c.Check(f.agents[0].exitCode(c), qt.Equals, 0)
	l.waitComplete(c, 20)
	f.entries[0].signal(c, syscall.SIGTERM)
	c.Check(f.entries[0].exitCode(c), qt.Equals, 0)
	l.waitComplete(c, 20)
	outcomes := l.stop()
	checkOutcomes(c, outcomes, f.starts(c))
	for _, o := range outcomes {
		if o.err != nil {
			// The stopped entry refuses connections; any other error means that a
			// request in progress was broken.
			c.Check(errors.Is(o.err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", o.err))
		}
		if o.answer.GetFailure() != nil {
			c.Check(o.answer.GetFailure().GetReason(), qt.Equals, "draining", qt.Commentf("%v", o.answer))
		}
	}
}

// Guards against a planned stop that a second signal does not end at once, that
// exits with 0 although it broke off jobs, or that leaves callers without an answer.
func TestSecondSignalEndsStopAtOnce(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, 1)
	entry := f.entries[0]
	running, queued := make(chan *pb.SubmitResponse, 1), make(chan *pb.SubmitResponse, 1)
	submit := func(answers chan<- *pb.SubmitResponse, payloads ...string) {
		resp, err := newClient(entry.address).Submit(context.Background(), connect.NewRequest(newJob(payloads...)))
		c.Check(err, qt.IsNil)
		answers <- resp.Msg
	}
	go submit(running, "15s a", "15s b", "15s c", "15s d")
	for _, p := range []string{"15s a", "15s b", "15s c", "15s d"} {
		f.waitStarted(c, p)
	}
	accepted := newJob("queued")
	stream, err := newClient(entry.address).SubmitStream(context.Background(), connect.NewRequest(accepted))
	c.Assert(err, qt.IsNil)
	c.Assert(stream.Receive(), qt.IsTrue)
	go func() {
		var last *pb.SubmitResponse
		for stream.Receive() {
			last = stream.Msg().GetAnswer()
		}
		queued <- last
	}()
	entry.signal(c, syscall.SIGTERM)
	entry.waitEvent(c, "process_stopping")
	entry.signal(c, syscall.SIGTERM)
	c.Assert(entry.exitCode(c), qt.Equals, 1)
	c.Assert((<-running).GetFailure().GetVerdict(), qt.Equals, pb.Verdict_VERDICT_MAY_HAVE_RUN)
	c.Assert((<-queued).GetFailure().GetVerdict(), qt.Equals, pb.Verdict_VERDICT_NOT_RUN)
	c.Assert(f.starts(c)["queued"], qt.Equals, 0)
}

// Guards against a second run of a request with an idempotency key when the entry
// that issued the key or forwards the request dies or is frozen while the request
// is submitted again through other entries.
func TestKeyedRequestsUnderFaults(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3, 3)
	issued, err := newClient(f.entries[0].address).IssueKeys(context.Background(), connect.NewRequest(&pb.IssueKeysRequest{Account: "atlas", Count: 61}))
	c.Assert(err, qt.IsNil)
	warmUp := newJob("warm-up")
	warmUp.IdempotencyKey = issued.Msg.GetKeys()[60]
	for _, entry := range f.entries {
		waitFor(c, "a forwarded request", func() bool {
			resp, err := newClient(entry.address).Submit(context.Background(), connect.NewRequest(warmUp))
			return err == nil && resp.Msg.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE
		})
	}
	var group sync.WaitGroup
	for i, key := range issued.Msg.GetKeys()[:60] {
		for _, entry := range f.entries {
			group.Go(func() {
				req := newJob(fmt.Sprint("100ms order ", i))
				req.IdempotencyKey = key
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				_, _ = newClient(entry.address).Submit(ctx, connect.NewRequest(req))
			})
		}
	}
	f.waitStarted(c, "100ms order 3")
	f.entries[1].signal(c, syscall.SIGSTOP)
	f.entries[0].signal(c, syscall.SIGKILL)
	f.entries[1].signal(c, syscall.SIGCONT)
	group.Wait()
	checkOutcomes(c, nil, f.starts(c))
}
