package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/store"
)

// idleFleet is a set of real daemons without work, connected over loopback without
// relays. Daemons can be added while it runs.
type idleFleet struct {
	seed    uint64
	counter *linkpb.Counter
	entries []*idleEntry
	agents  []*agentd.Daemon
	// agentAddresses holds the agents' addresses for endpoints.
	agentAddresses []string
	links          int64
	ctx            context.Context
	stop           context.CancelFunc
	group          sync.WaitGroup
}

type idleEntry struct {
	daemon *entryd.Daemon
	meter  *byteMeter
	// platform is nil for an entry without a store.
	platform *entryd.Platform
}

func newIdleFleet(seed uint64) *idleFleet {
	f := &idleFleet{seed: seed, counter: &linkpb.Counter{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

func (f *idleFleet) close() {
	f.stop()
	f.group.Wait()
	for _, e := range f.entries {
		_ = e.meter.listener.Close()
	}
}

// addEntries starts entries. They read their table from the store, or have a fixed
// policy when it is nil.
func (f *idleFleet) addEntries(n int, s store.Store) error {
	for range n {
		if err := f.addEntry(s); err != nil {
			return err
		}
	}
	return nil
}

func (f *idleFleet) addEntry(s store.Store) error {
	server, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	cfg := slopeEntryConfig(f.seed, len(f.entries))
	core := entry.New(cfg)
	e := &idleEntry{daemon: entryd.New(core, cfg.Name, server, zap.NewNop())}
	e.daemon.CountMessages(f.counter)
	if e.meter, err = newByteMeter(server.Address()); err != nil {
		return err
	}
	if s == nil {
		core.Step(time.Now(), entry.SetPolicy{Policy: slopePolicy(1)})
	} else {
		e.platform = entryd.NewPlatform(entryd.PlatformConfig{Store: s, Log: zap.NewNop(), Self: membership.Member{
			Name: cfg.Name, Address: e.meter.address(), FailureDomain: slopeFailureDomain(len(f.entries)),
			Incarnation: uint64(cfg.Incarnation), Started: time.Now().UTC(),
		}})
		e.daemon.Join(e.platform)
	}
	f.entries = append(f.entries, e)
	f.group.Go(func() { _ = e.daemon.Run(f.ctx, 0) })
	return nil
}

// addAgents starts agents that link to the addresses and waits for the links.
func (f *idleFleet) addAgents(n int, addresses []string) error {
	if err := f.startAgents(n, addresses); err != nil {
		return err
	}
	f.links += int64(n * len(addresses))
	return f.waitForLinks()
}

func (f *idleFleet) startAgents(n int, addresses []string) error {
	for range n {
		server, err := httpserver.Listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		cfg := slopeAgentConfig(len(f.agents), time.Now())
		d := agentd.New(agent.New(cfg), cfg.Worker, cfg.Epoch, addresses, server, zap.NewNop())
		d.CountMessages(f.counter)
		f.agents = append(f.agents, d)
		f.agentAddresses = append(f.agentAddresses, server.Address())
		f.group.Go(func() { _ = d.Run(f.ctx, 0) })
	}
	return nil
}

func (f *idleFleet) waitForLinks() error {
	end := time.Now().Add(linkTimeout)
	for messageCount(f.counter.FromEntry(), "welcome") < f.links {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d links are up", messageCount(f.counter.FromEntry(), "welcome"), f.links)
		}
		time.Sleep(settleDelay / 10)
	}
	time.Sleep(settleDelay)
	return nil
}

// addresses returns the addresses of the entries.
func (f *idleFleet) addresses() []string {
	var out []string
	for _, e := range f.entries {
		out = append(out, e.daemon.Address())
	}
	return out
}

// meteredAddresses returns the addresses of the entries' byte meters.
func (f *idleFleet) meteredAddresses() []string {
	var out []string
	for _, e := range f.entries {
		out = append(out, e.meter.address())
	}
	return out
}

// slopeFailureDomain distributes processes over the six failure domains of the
// target size.
func slopeFailureDomain(i int) string { return fmt.Sprintf("domain-%d", i%6+1) }

func slopeEntryConfig(seed uint64, i int) entry.Config {
	return entry.Config{
		Name: fmt.Sprintf("entry-%02d", i+1), Incarnation: newIncarnation(), Seed: seed + uint64(i),
		StartWindow: 2 * time.Second, SuspectAfter: 3 * time.Second, LostAfter: 10 * time.Second,
		HeartbeatInterval: time.Second, AckDelay: 100 * time.Millisecond, RunLimit: time.Minute,
		MaxQueued: 1_000_000, MaxTasks: maxJobTasks, MaxPayload: 256 << 10,
	}
}

func slopeAgentConfig(i int, epoch time.Time) agent.Config {
	return agent.Config{
		Worker: fmt.Sprintf("worker-%03d", i+1), FailureDomain: slopeFailureDomain(i), Incarnation: newIncarnation(),
		ResultKeep: time.Minute, HeartbeatInterval: time.Second, Epoch: epoch,
	}
}

// slopePolicy returns a policy with one service and the given number of accounts.
func slopePolicy(accounts int) entry.Policy {
	p := entry.Policy{
		Revision: 1,
		Services: map[string]entry.ServicePolicy{service: {JobTypes: map[string]entry.JobTypePolicy{jobType: {}}}},
		Accounts: make(map[string]entry.AccountPolicy),
	}
	for i := range accounts {
		p.Accounts[accountName(i)] = entry.AccountPolicy{Weight: 1}
	}
	return p
}
