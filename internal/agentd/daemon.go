package agentd

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// maxConnections bounds the connections to one endpoint.
const maxConnections = 64

// maxScrapes is the largest number of requests for metrics in progress.
const maxScrapes = 4

// Daemon is the agent process of one worker: it connects the agent core to the
// endpoint, the entries and the store.
type Daemon struct {
	loop     *loop
	server   *httpserver.Server
	tracker  *endpointTracker
	selector *entrySelector
	worker   string
	epoch    time.Time
	log      *zap.Logger
	counter  *linkpb.Counter
	// record is nil without a leased worker or a store.
	record *recordKeeper

	stopNowOnce sync.Once
	stopNow     chan struct{}
	opts        options
	identity    *identityCheck

	metricsErr error
}

// New returns an agent that serves its endpoint on the given server and links to the
// entries at the given addresses once Run is called. The epoch has to be the one in
// the core's configuration.
func New(core *agent.Core, worker string, epoch time.Time, entries []string, server *httpserver.Server, log *zap.Logger, opts ...Option) *Daemon {
	d := &Daemon{
		loop: newLoop(core), server: server, worker: worker, epoch: epoch, log: log,
		opts: newOptions(opts), identity: newIdentityCheck(), stopNow: make(chan struct{}),
	}
	d.selector = newEntrySelector(worker, d.opts.domain, entries, d.opts.links)
	d.loop.metrics = d.opts.metrics
	d.loop.endpoint = newEndpointClient(maxConnections)
	d.loop.log = log
	d.tracker = &endpointTracker{loop: d.loop, log: log, timeout: announceTimeout}
	if d.opts.leased != nil {
		d.tracker.timeout = leasedAnnounceTimeout
		if d.opts.recordStore != nil {
			d.record = newRecordKeeper(d.opts.recordStore, worker, d.opts.recordService, log)
		}
		d.loop.leased = &leasedDriver{
			loop: d.loop, core: lease.New(lease.Config{}), worker: d.opts.leased, tracker: d.tracker, record: d.record,
		}
		core.Step(epoch, agent.LeaseChanged{})
	}
	server.Handle("POST /v1/announce", http.HandlerFunc(d.tracker.handleAnnounce))
	server.Handle("POST /v1/leave", http.HandlerFunc(d.tracker.handleLeave))
	if m := d.opts.metrics; m != nil {
		d.metricsErr = m.Observe(d.gauges)
		server.Handle("GET /metrics", httpserver.BoundConcurrency(m.Handler(), maxScrapes))
	}
	return d
}

// CountMessages makes the agent count the messages that it writes to its links. Call
// it before Run.
func (d *Daemon) CountMessages(c *linkpb.Counter) { d.counter = c }

// SetEntries replaces the configured entry addresses. It is safe for concurrent use.
func (d *Daemon) SetEntries(addresses []string) { d.selector.setConfigured(addresses) }

// Revision returns the table revision in force.
func (d *Daemon) Revision() uint64 { return d.loop.revision.Load() }

// Run serves until ctx ends, then stops gracefully: it starts no new attempts and
// waits up to stopLimit for running ones. It returns ErrDuplicateWorker if entries
// reject the worker's name at start, and ErrCutOff if attempts were unfinished when
// the stop ended.
func (d *Daemon) Run(ctx context.Context, stopLimit time.Duration) error {
	if d.metricsErr != nil {
		return d.metricsErr
	}
	runCtx, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	go d.loop.run(runCtx)
	go d.watchEndpoint(runCtx)
	go logevent.RunGuard(runCtx, d.log, d.server.Guard())
	go d.maintainLinks(runCtx)
	if d.record != nil {
		go d.record.run(runCtx)
		go d.recallWorker(runCtx)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- d.server.Serve() }()
	d.server.SetReady(true)
	logevent.ProcessStarted.Log(d.log, zap.String("role", "agent"), zap.String("worker", d.worker), zap.String("address", d.server.Address()))
	select {
	case err := <-serveErr:
		return err
	case err := <-d.identity.failed:
		return err
	case <-ctx.Done():
	}
	cutOff := d.drain(stopLimit)
	stopAll()
	<-d.loop.stopped
	// An open connection that was never used delays the shutdown of the endpoint's
	// server by 5 s.
	d.loop.endpoint.client.CloseIdleConnections()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.server.Shutdown(shutdownCtx); err != nil {
		return err
	}
	logevent.ProcessStopped.Log(d.log)
	return cutOff
}

// startLinks starts the entry selector, which runs a linker for each chosen entry
// until ctx ends. It does not block.
func (d *Daemon) startLinks(ctx context.Context) {
	d.selector.startLinker = func(ctx context.Context, address string, priority bool) {
		k := &linker{
			loop: d.loop, log: d.log, tls: d.opts.clientTLS, address: address, identity: d.identity, counter: d.counter,
			url: d.opts.scheme() + "://" + address, clock: func() time.Duration { return clock.Now().Sub(d.epoch) },
			selector: d.selector, priority: priority,
		}
		go func() {
			k.run(ctx)
			d.selector.linkerReturned(address)
		}()
	}
	d.selector.drainLink = func(entry msg.Incarnation) { d.loop.submitInput(agent.DrainLink{Entry: entry}) }
	d.selector.start(ctx)
}

func (d *Daemon) watchEndpoint(ctx context.Context) {
	ticker := time.NewTicker(announceTimeout / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.tracker.checkSilence()
		case <-ctx.Done():
			return
		}
	}
}
