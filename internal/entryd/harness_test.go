package entryd_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/fake/endpoint"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// waitTimeout bounds every wait of a test. No test measures time by it.
const waitTimeout = 20 * time.Second

// system is a set of entries with one worker.
type system struct {
	entries []*entryd.Daemon

	mu     sync.Mutex
	starts map[string]int
	// gate, if not nil, blocks every task until it is closed.
	gate chan struct{}
}

// lastIncarnation is the incarnation of the newest entry; each entry has its own.
var lastIncarnation atomic.Uint64

// newEntry starts an entry on loopback and stops it when the test ends.
func newEntry(c *qt.C, name string, opts ...entryd.Option) *entryd.Daemon {
	server, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	core := entry.New(entry.Config{
		Name: name, Incarnation: msg.Incarnation(lastIncarnation.Add(1)), Seed: 1, StartWindow: 2 * time.Second, SuspectAfter: 3 * time.Second,
		LostAfter: 10 * time.Second, HeartbeatInterval: time.Second, AckDelay: 50 * time.Millisecond,
		RunLimit: time.Minute, MaxQueued: 5000, MaxTasks: 1000, MaxPayload: 1 << 10,
	})
	core.Step(time.Now(), entry.SetPolicy{Policy: entry.Policy{
		Revision: 1,
		Services: map[string]entry.ServicePolicy{"svc": {JobTypes: map[string]entry.JobTypePolicy{"job": {}}}},
		Accounts: map[string]entry.AccountPolicy{"acc": {Weight: 1}, "other": {Weight: 1}},
	}})
	d := entryd.New(core, name, server, zap.NewNop(), opts...)
	runUntilCleanup(c, func(ctx context.Context) { _ = d.Run(ctx, time.Second) })
	return d
}

func runUntilCleanup(c *qt.C, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); run(ctx) }()
	c.Cleanup(func() { cancel(); <-done })
}

// startSystem starts entries that accept every caller, and one worker. If gated is set,
// its tasks wait for gate.
func startSystem(c *qt.C, entries, slots int, gated bool, opts ...entryd.Option) *system {
	s := &system{starts: make(map[string]int)}
	if gated {
		s.gate = make(chan struct{})
	}
	s.startWorker(c, slots, func() []string {
		for i := range entries {
			s.entries = append(s.entries, newEntry(c, fmt.Sprint("entry-", i), append([]entryd.Option{
				entryd.WithoutAuthentication(), entryd.WithPeers(s)}, opts...)...))
		}
		addresses := make([]string, entries)
		for i, d := range s.entries {
			addresses[i] = d.Address()
		}
		return addresses
	}())
	return s
}

// Known implements entryd.Peers: every entry of the system is a peer.
func (s *system) Known(address string) bool {
	for _, d := range s.entries {
		if d.Address() == address {
			return true
		}
	}
	return false
}

func (s *system) startWorker(c *qt.C, slots int, entries []string) {
	server, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	epoch := time.Now()
	core := agent.New(agent.Config{Worker: "w", Incarnation: 9, ResultKeep: time.Minute, HeartbeatInterval: time.Second, Epoch: epoch})
	d := agentd.New(core, "w", epoch, entries, server, zap.NewNop())
	e, err := endpoint.Listen(endpoint.Config{
		Address: "127.0.0.1:0", Agent: server.Address(), Service: "svc", Slots: slots, Connections: 64, TaskTime: s.task,
	})
	c.Assert(err, qt.IsNil)
	runUntilCleanup(c, func(ctx context.Context) { _ = d.Run(ctx, 0) })
	runUntilCleanup(c, func(ctx context.Context) { _ = e.Run(ctx) })
}

func (s *system) task(payload []byte) time.Duration {
	s.mu.Lock()
	s.starts[string(payload)]++
	s.mu.Unlock()
	if s.gate != nil {
		<-s.gate
	}
	return 0
}

// started returns how often a task with the payload has started.
func (s *system) started(payload string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[payload]
}

func client(address string, opts ...connect.ClientOption) poplarleverv1connect.DispatchClient {
	return poplarleverv1connect.NewDispatchClient(httpserver.NewClient(), "http://"+address, opts...)
}

func newJob(payloads ...string) *pb.SubmitRequest {
	req := &pb.SubmitRequest{Service: "svc", JobType: "job", Account: "acc"}
	for _, p := range payloads {
		req.Tasks = append(req.Tasks, &pb.Task{Payload: []byte(p)})
	}
	return req
}

func submit(c *qt.C, address string, req *pb.SubmitRequest) *pb.SubmitResponse {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := client(address).Submit(ctx, connect.NewRequest(req))
	c.Assert(err, qt.IsNil)
	return resp.Msg
}

func payloads(answer *pb.SubmitResponse) []string {
	var all []string
	for _, r := range answer.GetResults() {
		all = append(all, string(r.GetPayload()))
	}
	return all
}

// waitFor waits until the condition holds.
func waitFor(c testing.TB, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("timed out waiting for %s", what)
}

func httpPost(c *qt.C, url, contentType, body string) *http.Response {
	resp, err := http.Post(url, contentType, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	return resp
}
