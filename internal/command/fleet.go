package command

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/fake/endpoint"
	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/httpserver"
)

const (
	devEntries = 3
	// devWorkers is the number of workers of each service.
	devWorkers     = 11
	devSlots       = 8
	devConnections = 64
	// devStopLimit bounds the graceful stop of each component.
	devStopLimit = 2 * time.Second
	// devReadyTimeout bounds the wait until all workers are up.
	devReadyTimeout = 10 * time.Second
	// readyPollInterval is the pause between two status requests to the entries.
	readyPollInterval = 10 * time.Millisecond
)

var devServices = []string{"route-desk", "order-desk"}

// fleet is a whole system whose components run in this process.
type fleet struct {
	store     string
	addresses []string
	platform  *componentGroup
	entries   *componentGroup
	agents    *componentGroup
	endpoints *componentGroup
}

// componentGroup is a set of components that are stopped together.
type componentGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// newComponentGroup returns a group that is not cancelled with ctx, so that the
// fleet controls the order in which groups stop.
func newComponentGroup(ctx context.Context) *componentGroup {
	g := &componentGroup{}
	g.ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return g
}

func (g *componentGroup) run(component func(context.Context) error) {
	g.group.Go(func() { _ = component(g.ctx) })
}

func (g *componentGroup) stop() {
	g.cancel()
	g.group.Wait()
}

// stop stops the entries first, since they wait for the agents' results and
// acknowledge them, then the agents, the endpoints and the store. Callers have to
// be done before.
func (f *fleet) stop() {
	f.entries.stop()
	f.agents.stop()
	f.endpoints.stop()
	f.platform.stop()
}

// startFleet starts a store, entries and workers for each service on loopback and
// waits until every entry sees every worker up. The caller has to stop the fleet
// even after an error.
func startFleet(ctx context.Context, taskTime time.Duration, log *zap.Logger) (*fleet, error) {
	f := &fleet{platform: newComponentGroup(ctx), entries: newComponentGroup(ctx), agents: newComponentGroup(ctx), endpoints: newComponentGroup(ctx)}
	if err := f.startStore(ctx); err != nil {
		return f, err
	}
	for i := range devEntries {
		d, err := buildEntry(devEntrySettings(fmt.Sprintf("entry-%d", i+1), f.store), log)
		if err != nil {
			return f, err
		}
		f.addresses = append(f.addresses, d.Address())
		f.entries.run(func(ctx context.Context) error { return d.Run(ctx, devStopLimit) })
	}
	for _, service := range devServices {
		for i := range devWorkers {
			if err := f.startWorker(service, fmt.Sprintf("%s-%d", service, i+1), taskTime, log); err != nil {
				return f, err
			}
		}
	}
	return f, f.waitReady(ctx)
}

// startStore starts a stand-in store and writes devTable to it.
func (f *fleet) startStore(ctx context.Context) error {
	s, err := fakestore.Listen("127.0.0.1:0", fakestore.DefaultRates)
	if err != nil {
		return err
	}
	f.store = s.Address()
	f.platform.run(s.Run)
	return writeDevTable(ctx, f.store)
}

func (f *fleet) startWorker(service, name string, taskTime time.Duration, log *zap.Logger) error {
	a, err := buildAgent(devAgentSettings(name, f.addresses), log)
	if err != nil {
		return err
	}
	e, err := endpoint.Listen(endpoint.Config{
		Address: "127.0.0.1:0", Agent: a.server.Address(), Service: service, Slots: devSlots, Connections: devConnections,
		TaskTime: func([]byte) time.Duration { return taskTime },
	})
	if err != nil {
		return err
	}
	f.agents.run(func(ctx context.Context) error { return a.Run(ctx, devStopLimit) })
	f.endpoints.run(e.Run)
	return nil
}

// waitReady waits until every entry sees every worker up.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	client := httpserver.NewClient()
	defer client.CloseIdleConnections()
	for !f.ready(ctx, client) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not every worker is linked to every entry: %w", ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// ready reports whether every entry sees every worker up.
func (f *fleet) ready(ctx context.Context, client *http.Client) bool {
	for _, r := range queryEntries(ctx, client, "http", f.addresses) {
		up := 0
		for _, w := range r.status.GetWorkers() {
			if w.GetState() == "up" {
				up++
			}
		}
		if up < devWorkers*len(devServices) {
			return false
		}
	}
	return true
}
