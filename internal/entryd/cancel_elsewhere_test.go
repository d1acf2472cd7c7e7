package entryd

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/membership"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// startPeers starts entries that know each other and take jobs of testJob, which wait for
// a worker.
func startPeers(t *testing.T, n int) []*Daemon {
	c := newCluster(t)
	var entries []*Daemon
	var platforms []*Platform
	for i := range n {
		d, p := startJoined(t, fmt.Sprint("entry-", i), c.store)
		entries, platforms = append(entries, d), append(platforms, p)
	}
	waitFor(t, func() bool {
		for _, p := range platforms {
			if len(p.Peers()) != n-1 {
				return false
			}
		}
		return true
	})
	for _, d := range entries {
		d.SetPolicy(testPolicy(100))
	}
	return entries
}

// submitAt submits a job and returns once the entry has it. Its answer is sent to the channel.
func submitAt(t *testing.T, d *Daemon, name string) <-chan entry.Answer {
	answers := make(chan entry.Answer, 1)
	go func() { answers <- d.FrontDoor().Submit(context.Background(), name, testJob(0)) }()
	waitFor(t, func() bool { return d.Jobs() == 1 })
	return answers
}

// Guards against a job that runs on because its caller, which has moved, cancels it at an
// entry that does not have it.
func TestCancelAtAnotherEntry(t *testing.T) {
	c := qt.New(t)
	entries := startPeers(t, 3)
	answers := submitAt(t, entries[0], "mine")
	c.Check(entries[1].FrontDoor().Cancel("acc", "other"), qt.Equals, verdict.CancelNotFound)
	c.Check(entries[1].FrontDoor().Cancel("acc", "mine"), qt.Equals, verdict.CancelledElsewhere)
	c.Check((<-answers).Reason, qt.Equals, verdict.Cancelled)
	c.Check(entries[0].Jobs(), qt.Equals, 0)
	c.Check(entries[2].FrontDoor().Cancel("acc", "mine"), qt.Equals, verdict.CancelledElsewhere, qt.Commentf("a cancel sent again"))
}

// Guards against callers of the product's own interface whose cancel reaches only one entry,
// and against a job id that cannot be used again after its cancel.
func TestRPCCancelAtAnotherEntry(t *testing.T) {
	c := qt.New(t)
	entries := startPeers(t, 2)
	for _, d := range entries {
		d.tokens.setPolicy(entry.Policy{Revision: 101, Accounts: map[string]entry.AccountPolicy{"acc": {TokenSHA256: HashToken("secret")}}})
	}
	name := jobName{"acc", "mine"}
	c.Assert(entries[0].jobs.names.reserve(name, 7), qt.IsNil)
	client := poplarleverv1connect.NewDispatchClient(httpserver.NewClient(), "http://"+entries[1].Address())
	req := connect.NewRequest(&pb.CancelRequest{Account: "acc", JobId: "mine"})
	_, err := client.Cancel(t.Context(), req)
	c.Check(connect.CodeOf(err), qt.Equals, connect.CodeUnauthenticated)
	c.Check(entries[0].jobs.names.isCancelled(name), qt.IsFalse)
	req.Header().Set("Authorization", "Bearer secret")
	resp, err := client.Cancel(t.Context(), req)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Msg.GetFound(), qt.IsTrue)
	c.Check(entries[0].jobs.names.isCancelled(name), qt.IsTrue)
	entries[0].jobs.names.finish(name, entry.Answer{})
	for _, d := range entries {
		earlier, cancelled := d.jobs.names.reserveUnique(clock.Now(), name, 8)
		c.Check(earlier, qt.IsNil)
		c.Check(cancelled, qt.IsFalse)
	}
}

// Guards against a cancel that reaches another entry before its job reaches the first one,
// which then runs it.
func TestCancelBeforeTheJobAtAnotherEntry(t *testing.T) {
	c := qt.New(t)
	entries := startPeers(t, 2)
	c.Assert(entries[1].FrontDoor().Cancel("acc", "mine"), qt.Equals, verdict.CancelNotFound)
	for _, d := range entries {
		answer := d.FrontDoor().Submit(t.Context(), "mine", testJob(0))
		c.Check(answer.Reason, qt.Equals, verdict.Cancelled)
		c.Check(answer.Verdict, qt.Equals, verdict.NotRun)
	}
}

// newCancelPlatform returns a platform that knows an entry at each address, and counts the
// cancels that it passes on. replies says how the entries answer.
func newCancelPlatform(replies map[string]func(context.Context) (bool, error)) (*Platform, *atomic.Int64) {
	p := NewPlatform(PlatformConfig{Self: membership.Member{Name: "self", Address: "10.0.0.1:1", Incarnation: 1}})
	p.mu.Lock()
	for address := range replies {
		p.members.Contact(time.Now(), membership.Member{Name: address, Address: address, Incarnation: 1, Started: time.Now()})
	}
	for _, m := range p.members.Known(time.Now()) {
		p.peers = append(p.peers, msg.Peer{Name: m.Name, Address: m.Address})
	}
	p.mu.Unlock()
	var calls atomic.Int64
	p.cancelAt = func(ctx context.Context, address string, _ *pb.CancelJobRequest) (bool, error) {
		calls.Add(1)
		return replies[address](ctx)
	}
	return p, &calls
}

// Guards against "no such job" from an entry that could not ask all others, against a cancel
// that waits for a silent entry longer than its limit, and against an entry process that is
// gone, whose jobs are over, and yet leaves cancels uncertain.
func TestCancelWithUnreachedEntries(t *testing.T) {
	no := func(context.Context) (bool, error) { return false, nil }
	yes := func(context.Context) (bool, error) { return true, nil }
	silent := func(ctx context.Context) (bool, error) { <-ctx.Done(); return false, ctx.Err() }
	gone := func(context.Context) (bool, error) {
		return false, connect.NewError(connect.CodeUnavailable, syscall.ECONNREFUSED)
	}
	type reply = func(context.Context) (bool, error)
	for _, test := range []struct {
		name    string
		replies map[string]reply
		want    verdict.CancelOutcome
		lost    int
	}{
		{"all answer", map[string]reply{"a": no, "b": no}, verdict.CancelNotFound, 0},
		{"one is silent", map[string]reply{"a": no, "b": silent}, verdict.CancelUncertain, 1},
		{"one is silent and one had it", map[string]reply{"a": yes, "b": silent}, verdict.CancelledElsewhere, 0},
		{"one is gone", map[string]reply{"a": no, "b": gone}, verdict.CancelNotFound, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p, calls := newCancelPlatform(test.replies)
			p.seeds = []string{"seed"}
			test.replies["seed"] = silent
			if test.name != "one is silent" {
				p.seeds = nil
			}
			d := &Daemon{jobs: newTestRunner(), platform: p, log: zap.NewNop()}
			start := time.Now()
			outcome, lost := d.cancelJob(jobName{"acc", "mine"}, true)
			c.Check(outcome, qt.Equals, test.want)
			c.Check(lost, qt.Equals, test.lost, qt.Commentf("a seed that is no known entry counts"))
			c.Check(time.Since(start) < cancelTimeout+time.Second, qt.IsTrue)
			// The answer does not wait for the other calls once an entry had the job.
			waitFor(t, func() bool { return calls.Load() >= int64(len(p.peerAddresses())) })
			c.Check(calls.Load(), qt.Equals, int64(len(p.peerAddresses())))
		})
	}
}

// Guards against entries that pass a cancel on to each other without end, and against
// messages for a job that this entry has.
func TestCancelIsPassedOnOnce(t *testing.T) {
	c := qt.New(t)
	no := func(context.Context) (bool, error) { return false, nil }
	p, calls := newCancelPlatform(map[string]func(context.Context) (bool, error){"a": no, "b": no})
	r := newTestRunner()
	p.cancelHere = r.cancelNamed
	resp, err := p.CancelJob(t.Context(), connect.NewRequest(&pb.CancelJobRequest{Account: "acc", JobId: "mine", UniqueName: true}))
	c.Assert(err, qt.IsNil)
	c.Check(resp.Msg.GetFound(), qt.IsFalse)
	c.Check(calls.Load(), qt.Equals, int64(0))
	c.Assert(r.names.reserve(jobName{"acc", "here"}, 7), qt.IsNil)
	outcome, _ := (&Daemon{jobs: r, platform: p}).cancelJob(jobName{"acc", "here"}, true)
	c.Check(outcome, qt.Equals, verdict.CancelledHere)
	c.Check(calls.Load(), qt.Equals, int64(0))
}

// Guards against a job that is never taken again, and against names that fill the memory.
func TestKeptCancelsExpire(t *testing.T) {
	c := qt.New(t)
	n, now, name := newJobNames(), clock.Now(), jobName{"acc", "mine"}
	_, inProgress, before := n.cancelUnique(now, name)
	c.Check(inProgress || before, qt.IsFalse)
	_, cancelled := n.reserveUnique(now.Add(keptCancelTime-1), name, 1)
	c.Check(cancelled, qt.IsTrue)
	_, cancelled = n.reserveUnique(now.Add(keptCancelTime), name, 1)
	c.Check(cancelled, qt.IsFalse)
	for i := range 3 * maxKeptCancels {
		n.cancelUnique(now, jobName{"acc", fmt.Sprint(i)})
	}
	c.Check(n.cancels.byName, qt.HasLen, maxKeptCancels)
	_, kept := n.cancels.lookup(now, jobName{"acc", fmt.Sprint(3*maxKeptCancels - 1)})
	c.Check(kept, qt.IsTrue, qt.Commentf("the newest one"))
}

// Guards against a job that runs although its caller has repeated the cancel lately.
func TestRepeatedCancelIsKeptAnew(t *testing.T) {
	c := qt.New(t)
	n, now, name := newJobNames(), clock.Now(), jobName{"acc", "mine"}
	n.cancelUnique(now, name)
	n.cancelUnique(now.Add(keptCancelTime-1), name)
	n.cancelUnique(now.Add(keptCancelTime), jobName{"acc", "other"})
	_, cancelled := n.reserveUnique(now.Add(keptCancelTime+1), name, 1)
	c.Check(cancelled, qt.IsTrue)
}

// Guards against a connection to another entry that fell silent without a reset, over which
// every cancel would be lost: the second call goes over a new connection.
func TestCancelAfterSilence(t *testing.T) {
	c := qt.New(t)
	entries := startPeers(t, 2)
	answers := submitAt(t, entries[0], "mine")
	link := startSilencer(t, entries[0].Address())
	p := entries[1].platform
	_, err := p.cancelAt(t.Context(), link.address, &pb.CancelJobRequest{Account: "acc", JobId: "other"})
	c.Assert(err, qt.IsNil)
	link.silence()
	found, err := p.cancelAt(t.Context(), link.address, &pb.CancelJobRequest{Account: "acc", JobId: "mine"})
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.IsTrue)
	c.Check((<-answers).Reason, qt.Equals, verdict.Cancelled)
}

// Guards against a job that runs on after "no such job": its entry is stopping, so that it has
// left the store's list, and was never in contact with the entry that gets the cancel.
func TestCancelReachesEntryThatLeftTheList(t *testing.T) {
	c := qt.New(t)
	p, calls := newCancelPlatform(nil)
	p.cancelAt = func(_ context.Context, address string, _ *pb.CancelJobRequest) (bool, error) {
		calls.Add(1)
		return address == "10.0.0.2:1", nil
	}
	now := time.Now()
	p.members.SetListed(now, []membership.Member{{Name: "stopping", Address: "10.0.0.2:1", Incarnation: 1, Started: now}})
	p.members.SetListed(now.Add(time.Second), nil)
	outcome, _ := (&Daemon{jobs: newTestRunner(), platform: p}).cancelJob(jobName{"acc", "mine"}, true)
	c.Check(outcome, qt.Equals, verdict.CancelledElsewhere)
	p.members.SetListed(now.Add(time.Second+membership.ContactTTL), nil)
	c.Check(p.peerAddresses(), qt.HasLen, 0)
}
