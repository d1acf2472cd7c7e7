package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/fake/endpoint"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
)

const (
	service             = "route-desk"
	jobType             = "pricing"
	endpointConnections = 64
	// linkTimeout bounds the wait until all links are up.
	linkTimeout = 10 * time.Second
	// settleDelay is time for hellos and announcements to arrive.
	settleDelay = 200 * time.Millisecond
)

// fleet is a set of entries and workers in this process, connected by relays.
type fleet struct {
	options  Options
	config   *traceConfig
	clock    *preciseClock
	recorder *recorder
	counter  *linkpb.Counter
	entries  []*entryNode
	workers  []atomic.Pointer[workerNode]
	revision uint64
	group    sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
}

type entryNode struct {
	daemon      *entryd.Daemon
	callerRelay *relay
	cancel      context.CancelFunc
	down        atomic.Bool
}

type workerNode struct {
	index  int
	ctx    context.Context
	cancel context.CancelFunc
	// linkRelays holds the relay to each entry.
	linkRelays []*relay
	daemon     *agentd.Daemon
	endpoint   *endpoint.Endpoint
	// slowdown multiplies run times; failing makes every task end in an error.
	slowdown atomic.Int64
	failing  atomic.Bool
}

func startFleet(o Options, config *traceConfig) (*fleet, error) {
	f := &fleet{
		options: o, config: config, clock: newPreciseClock(), recorder: newRecorder(),
		counter: &linkpb.Counter{}, workers: make([]atomic.Pointer[workerNode], o.Workers), revision: 1,
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range o.Entries {
		if err := f.startEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range o.Workers {
		if err := f.startAgent(i); err != nil {
			return nil, err
		}
	}
	if err := f.waitForLinks(int64(o.Entries * o.Workers)); err != nil {
		return nil, err
	}
	return f, nil
}

// close stops all daemons and endpoints and waits for them.
func (f *fleet) close() {
	for i := range f.workers {
		f.worker(i).endpoint.Kill()
	}
	f.stop()
	f.group.Wait()
	f.clock.close()
}

func newIncarnation() msg.Incarnation { return msg.Incarnation(rand.Uint64() | 1) }

func (f *fleet) startEntry(i int) error {
	server, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	incarnation := newIncarnation()
	core := entry.New(entry.Config{
		Name: name, Incarnation: incarnation, Seed: f.options.Seed + uint64(i),
		StartWindow: 2 * time.Second, SuspectAfter: 3 * time.Second, LostAfter: 10 * time.Second,
		HeartbeatInterval: time.Second, AckDelay: 100 * time.Millisecond, RunLimit: time.Minute,
		MaxQueued: 100_000, MaxTasks: maxJobTasks, MaxPayload: 256 << 10,
	})
	core.Step(time.Now(), entry.SetAllotments{Allotted: f.allotments(i)})
	core.Step(time.Now(), entry.SetPolicy{Policy: f.policy()})
	e := &entryNode{daemon: entryd.New(core, name, server, zap.NewNop(), entryd.WithoutAuthentication())}
	e.daemon.CountMessages(f.counter)
	if e.callerRelay, err = newRelay(server.Address(), callerDelay, f.clock); err != nil {
		return err
	}
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(f.ctx)
	f.entries = append(f.entries, e)
	f.group.Go(func() { _ = e.daemon.Run(ctx, 0) })
	return nil
}

// worker returns the current instance of worker i; replaceWorker changes it.
func (f *fleet) worker(i int) *workerNode { return f.workers[i].Load() }

func accountName(i int) string { return fmt.Sprintf("account-%d", i+1) }

func (f *fleet) policy() entry.Policy {
	p := entry.Policy{
		Revision: f.revision,
		Services: map[string]entry.ServicePolicy{service: {JobTypes: map[string]entry.JobTypePolicy{jobType: {MaxTasks: maxJobTasks}}}},
		Accounts: make(map[string]entry.AccountPolicy),
	}
	for i, weight := range f.config.weights {
		p.Accounts[accountName(i)] = entry.AccountPolicy{Weight: weight, MaxRunning: f.config.maxRunning[i]}
	}
	return p
}

// allotments returns entry i's part of each account's limit. Without a store the
// entries cannot divide the limits by need, so each gets an even part, and the
// first entries one more each when there is a remainder.
func (f *fleet) allotments(i int) map[string]int {
	allotted := make(map[string]int)
	for account, limit := range f.config.maxRunning {
		share := limit / f.options.Entries
		if i < limit%f.options.Entries {
			share++
		}
		allotted[accountName(account)] = share
	}
	return allotted
}

// replaceWorker starts an agent and its endpoint in place of a killed worker and
// waits for its links.
func (f *fleet) replaceWorker(i int) error {
	want := messageCount(f.counter.FromEntry(), "welcome") + int64(len(f.entries))
	if err := f.startAgent(i); err != nil {
		return err
	}
	return f.waitForLinks(want)
}

// startAgent starts the agent and the endpoint of worker i, with a relay to each
// entry.
func (f *fleet) startAgent(i int) error {
	w := &workerNode{index: i}
	w.slowdown.Store(1)
	addresses := make([]string, len(f.entries))
	for n, e := range f.entries {
		link, err := newRelay(e.daemon.Address(), domainDelay, f.clock)
		if err != nil {
			return err
		}
		w.linkRelays = append(w.linkRelays, link)
		addresses[n] = link.address()
	}
	server, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("worker-%d", i+1)
	epoch := time.Now()
	var grants float64
	if f.options.Policy == "held-prompt" {
		grants = promptGrantsPerDispatch
	}
	core := agent.New(agent.Config{
		GrantsPerDispatch: grants,
		Worker:            name, FailureDomain: fmt.Sprintf("domain-%d", i%3+1), Incarnation: newIncarnation(),
		ResultKeep: time.Minute, HeartbeatInterval: time.Second, Epoch: epoch,
	})
	w.daemon = agentd.New(core, name, epoch, addresses, server, zap.NewNop())
	w.daemon.CountMessages(f.counter)
	w.endpoint, err = endpoint.Listen(endpoint.Config{
		Address: "127.0.0.1:0", Agent: server.Address(), Service: service,
		Slots: f.options.Slots, Connections: endpointConnections,
		Run: func(ctx context.Context, body []byte) error { return f.runTask(ctx, w, body) },
	})
	if err != nil {
		return err
	}
	w.ctx, w.cancel = context.WithCancel(f.ctx)
	f.workers[i].Store(w)
	f.group.Go(func() { _ = w.daemon.Run(w.ctx, 0) })
	f.group.Go(func() { _ = w.endpoint.Run(w.ctx) })
	return nil
}

var (
	errPoison    = errors.New("the task always fails")
	errBlackhole = errors.New("the worker fails every task")
	errPayload   = errors.New("malformed payload")
)

// runTask runs one task at the fake endpoint.
func (f *fleet) runTask(ctx context.Context, w *workerNode, body []byte) error {
	p, ok := decodePayload(body)
	if !ok {
		return errPayload
	}
	s := f.recorder.recordStart(p.id, w.index)
	if w.failing.Load() {
		f.recorder.recordEnd(s)
		return errBlackhole
	}
	timer := time.NewTimer(p.runTime * time.Duration(w.slowdown.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.recorder.recordEnd(s)
	if p.fail {
		return errPoison
	}
	return nil
}

// waitForLinks waits until the entries have sent that many welcome messages, one
// for each link since the start of the fleet.
func (f *fleet) waitForLinks(want int64) error {
	for end := time.Now().Add(linkTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if messageCount(f.counter.FromEntry(), "welcome") >= want {
			time.Sleep(settleDelay)
			return nil
		}
	}
	return fmt.Errorf("fewer than %d links are up after %v", want, linkTimeout)
}

func messageCount(tallies []linkpb.Tally, kind string) int64 {
	for _, t := range tallies {
		if t.Kind == kind {
			return t.Messages
		}
	}
	return 0
}

// killEntry closes all network paths to an entry and stops it, as a crash does.
func (f *fleet) killEntry(i int) {
	e := f.entries[i]
	e.down.Store(true)
	e.callerRelay.close()
	for n := range f.workers {
		f.worker(n).linkRelays[i].close()
	}
	e.cancel()
}

// killWorker closes the links of a worker and stops its agent and endpoint.
func (f *fleet) killWorker(i int) {
	w := f.worker(i)
	f.recorder.recordKill(i)
	for _, link := range w.linkRelays {
		link.close()
	}
	w.endpoint.Kill()
	w.cancel()
}

// leaveWorker makes the worker's endpoint announce that it leaves.
func (f *fleet) leaveWorker(i int) {
	f.recorder.recordLeave(i)
	f.worker(i).endpoint.Leave()
}

// pauseAgent stalls all traffic between an agent and the entries for the given
// time.
func (f *fleet) pauseAgent(i int, pause time.Duration) {
	links := f.worker(i).linkRelays
	for _, link := range links {
		link.stall()
	}
	time.Sleep(pause)
	for _, link := range links {
		link.resume()
	}
}

// revisionPollInterval is the interval at which agents are asked for their
// revision.
const revisionPollInterval = time.Millisecond

// propagatePolicy puts a new revision in force at every entry and returns the
// time until every agent follows it, at most limit.
func (f *fleet) propagatePolicy(limit time.Duration) time.Duration {
	f.revision++
	began := time.Now()
	for _, e := range f.entries {
		e.daemon.SetPolicy(f.policy())
	}
	for time.Since(began) < limit && !f.allAgentsAt(f.revision) {
		time.Sleep(revisionPollInterval)
	}
	return time.Since(began)
}

func (f *fleet) allAgentsAt(revision uint64) bool {
	for i := range f.workers {
		if f.worker(i).daemon.Revision() < revision {
			return false
		}
	}
	return true
}
