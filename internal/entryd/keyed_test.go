package entryd_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/entryd"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

func issueKeys(c *qt.C, address string, count uint32) []string {
	resp, err := client(address).IssueKeys(context.Background(), connect.NewRequest(&pb.IssueKeysRequest{Account: "acc", Count: count}))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Msg.GetFailure(), qt.IsNil)
	return resp.Msg.GetKeys()
}

func keyedJob(key string, payloads ...string) *pb.SubmitRequest {
	req := newJob(payloads...)
	req.IdempotencyKey = key
	return req
}

// Guards against a second run when one keyed request is submitted through several
// entries at the same time, or again later with other content.
func TestKeyedRequestRunsOnceThroughEveryEntry(t *testing.T) {
	c := qt.New(t)
	s := startSystem(c, 3, 8, false)
	keys := issueKeys(c, s.entries[0].Address(), 20)
	var group sync.WaitGroup
	for i, key := range keys {
		for _, d := range s.entries {
			for range 2 {
				group.Go(func() {
					answer := submit(c, d.Address(), keyedJob(key, fmt.Sprint("order", i)))
					c.Check(payloads(answer), qt.DeepEquals, []string{fmt.Sprint("order", i)})
				})
			}
		}
	}
	group.Wait()
	for i := range keys {
		c.Check(s.started(fmt.Sprint("order", i)), qt.Equals, 1)
	}
	conflict := submit(c, s.entries[1].Address(), keyedJob(keys[0], "another order")).GetFailure()
	c.Check(conflict.GetReason(), qt.Equals, "key_conflict")
	c.Check(conflict.GetVerdict(), qt.Equals, pb.Verdict_VERDICT_NOT_RUN)
	c.Check(s.started("another order"), qt.Equals, 0)
}

// Guards against a second run after the entry that issued the key has ended, and
// against forwarding to an address that is not a known entry.
func TestKeyOfUnreachableIssuerMayHaveRun(t *testing.T) {
	c := qt.New(t)
	s := startSystem(c, 2, 8, false)
	gone := newEntry(c, "gone", entryd.WithoutAuthentication(), entryd.WithAdvertise(s.entries[1].Address()))
	stranger := newEntry(c, "stranger", entryd.WithoutAuthentication())
	for name, key := range map[string]string{
		// The address now belongs to another incarnation.
		"restarted issuer": issueKeys(c, gone.Address(), 1)[0],
		"unknown address":  issueKeys(c, stranger.Address(), 1)[0],
	} {
		for _, d := range s.entries {
			failure := submit(c, d.Address(), keyedJob(key, "order")).GetFailure()
			c.Check(failure.GetReason(), qt.Equals, "key_unavailable", qt.Commentf(name))
			c.Check(failure.GetVerdict(), qt.Equals, pb.Verdict_VERDICT_MAY_HAVE_RUN)
		}
	}
	c.Assert(s.started("order"), qt.Equals, 0)
}

// Guards against a resubmission that runs again after its first caller has gone, and
// against a refusal that uses up the key.
func TestKeyedRequestOutlivesItsFirstCaller(t *testing.T) {
	c := qt.New(t)
	s := startSystem(c, 2, 8, true)
	issuer, other := s.entries[0].Address(), s.entries[1].Address()
	key := issueKeys(c, issuer, 1)[0]
	refused := keyedJob(key, "order")
	refused.Service = "unknown"
	c.Assert(submit(c, other, refused).GetFailure().GetReason(), qt.Equals, "unknown_service")

	ctx, drop := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := client(other).Submit(ctx, connect.NewRequest(keyedJob(key, "order")))
		first <- err
	}()
	waitFor(t, "the order's start", func() bool { return s.started("order") == 1 })
	drop()
	c.Assert(<-first, qt.IsNotNil)
	again := make(chan *pb.SubmitResponse, 1)
	go func() { again <- submit(c, other, keyedJob(key, "order")) }()
	close(s.gate)
	answer := <-again
	// The first caller's cancellation came after the task had started.
	c.Assert(answer.GetFailure().GetVerdict(), qt.Not(qt.Equals), pb.Verdict_VERDICT_NOT_RUN)
	c.Assert(s.started("order"), qt.Equals, 1)
}
