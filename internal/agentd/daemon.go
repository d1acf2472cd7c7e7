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

// maxConnections is the largest number of connections to one endpoint.
const maxConnections = 64

// Daemon is a running agent.
type Daemon struct {
	loop     *loop
	server   *httpserver.Server
	announce *announcer
	roster   *roster
	worker   string
	epoch    time.Time
	log      *zap.Logger
	counter  *linkpb.Counter

	hurryOnce sync.Once
	hurry     chan struct{}
	opts      options
	identity  *identityCheck

	metricsErr error
}

// New returns an agent that serves its endpoint on the given server and links
// to the entries at the given addresses once Run is called. The epoch is the
// one that the core was made with.
func New(core *agent.Core, worker string, epoch time.Time, entries []string, server *httpserver.Server, log *zap.Logger, with ...Option) *Daemon {
	d := &Daemon{
		loop: newLoop(core), server: server, worker: worker, epoch: epoch, log: log,
		opts: newOptions(with), identity: newIdentityCheck(), hurry: make(chan struct{}),
	}
	d.roster = newRoster(worker, d.opts.domain, entries, d.opts.links)
	d.loop.metrics = d.opts.metrics
	d.loop.endpoint = newEndpointClient(maxConnections)
	d.loop.log = log
	d.announce = &announcer{loop: d.loop, log: log, timeout: announceTimeout}
	if d.opts.leased != nil {
		d.loop.leased = &leasedDriver{loop: d.loop, core: lease.New(lease.Config{}), worker: d.opts.leased}
		d.announce.timeout = leasedAnnounceTimeout
	}
	server.Handle("POST /v1/announce", http.HandlerFunc(d.announce.announce))
	server.Handle("POST /v1/leave", http.HandlerFunc(d.announce.leave))
	if m := d.opts.metrics; m != nil {
		d.metricsErr = m.Observe(d.gauges)
		server.Handle("GET /metrics", m.Handler())
	}
	return d
}

// CountMessages makes the agent count what it writes to its links. Call it
// before Run.
func (d *Daemon) CountMessages(c *linkpb.Counter) { d.counter = c }

// SetEntries replaces the entry addresses of the settings.
func (d *Daemon) SetEntries(addresses []string) { d.roster.configure(addresses) }

// Revision returns the table revision in force.
func (d *Daemon) Revision() uint64 { return d.loop.revision.Load() }

// Run serves until ctx ends, then stops gracefully: no new attempt starts and
// running ones end, for at most stopLimit. It returns ErrDuplicateWorker when
// entries reject the worker's name at start, and ErrCutOff
// when the stop left attempts at the endpoint.
func (d *Daemon) Run(ctx context.Context, stopLimit time.Duration) error {
	if d.metricsErr != nil {
		return d.metricsErr
	}
	runCtx, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	go d.loop.run(runCtx)
	go d.watchEndpoint(runCtx)
	go d.findEntries(runCtx)
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
	// A connection that was opened and not used delays the endpoint's own stop
	// by 5 s.
	d.loop.endpoint.client.CloseIdleConnections()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.server.Shutdown(shutdownCtx); err != nil {
		return err
	}
	logevent.ProcessStopped.Log(d.log)
	return cutOff
}

// dial keeps a link to each chosen entry.
func (d *Daemon) dial(ctx context.Context) {
	d.roster.start = func(ctx context.Context, address string, first bool) {
		k := &linker{
			loop: d.loop, log: d.log, tls: d.opts.clientTLS, address: address, identity: d.identity, counter: d.counter,
			url: d.opts.scheme() + "://" + address, clock: func() time.Duration { return clock.Now().Sub(d.epoch) },
			roster: d.roster, first: first,
		}
		go func() {
			k.run(ctx)
			d.roster.ended(address)
		}()
	}
	d.roster.drain = func(entry msg.Incarnation) { d.loop.step(agent.DrainLink{Entry: entry}) }
	d.roster.run(ctx)
}

func (d *Daemon) watchEndpoint(ctx context.Context) {
	ticker := time.NewTicker(announceTimeout / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.announce.checkSilence()
		case <-ctx.Done():
			return
		}
	}
}
