package entryd

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// Daemon runs an entry core and serves its callers, operators and agents.
type Daemon struct {
	loop      *loop
	server    *httpserver.Server
	log       *zap.Logger
	name      string
	keyed     *keyedRequests
	admission *admissionHandler
	counts    Counts
	opts      options
	peers     *platformPeers
	tokens    Tokens
	// platform is nil for an entry that gets its policy only from SetPolicy.
	platform *Platform
	// readinessMu guards stopping. A stopping entry never becomes ready again.
	readinessMu sync.Mutex
	stopping    bool
	links       *linkService
	jobs        *runner
	// router has the routes of the latest policy; nil without a policy.
	router atomic.Pointer[entry.Router]
	// policyKnown is closed once a policy is in force.
	policyKnown chan struct{}
	policyOnce  sync.Once
	// adapterServers are the servers added with Attach.
	adapterServers []*httpserver.Server

	startTime  time.Time
	metricsErr error

	abortDrainOnce sync.Once
	abortDrain     chan struct{}
}

// New returns an entry that serves on the given server once Run is called. Without
// WithAuthenticator or WithoutAuthentication it authenticates callers by the token
// hashes of the policy, and refuses everyone until it has one.
func New(core *entry.Core, name string, server *httpserver.Server, log *zap.Logger, opts ...Option) *Daemon {
	o := newOptions(server.Address(), opts)
	d := &Daemon{loop: newLoop(core), server: server, log: log, name: name, opts: o, startTime: time.Now(), peers: &platformPeers{}, abortDrain: make(chan struct{}), policyKnown: make(chan struct{})}
	if o.authenticator == nil {
		o.authenticator = &d.tokens
	}
	if o.peers == nil {
		o.peers = d.peers
	}
	d.loop.log = log
	d.loop.metrics, d.counts.metrics = o.metrics, o.metrics
	d.watchPauses(d.loop.pauses)
	d.loop.afterPause = func() { go d.endOutdatedConnections() }
	jobs := &runner{loop: d.loop, names: newJobNames(), jobTimeout: o.limits.JobTimeout}
	d.jobs = jobs
	d.keyed = newKeyedRequests(o, jobs, log)
	d.admission = d.newDispatchHandler(o, jobs)
	server.Handle(dispatchPath, d.admission)
	d.links = &linkService{loop: d.loop, log: log, owners: newWorkerOwners()}
	linkPath, linkHandler := poplarleverv1connect.NewLinkHandler(d.links, withoutCompression, fromProcesses(server))
	server.HandleInternal(linkPath, httpserver.BoundStreams(linkHandler, server.Guard().MaxFrame()))
	operatorPath, operatorHandler := poplarleverv1connect.NewOperatorHandler(&operatorService{daemon: d}, fromProcesses(server))
	server.HandleInternal(operatorPath, httpserver.BoundMessages(operatorHandler, server.Guard().MaxFrame()))
	if m := o.metrics; m != nil {
		d.metricsErr = m.Observe(d.readGauges)
		server.Handle("GET /metrics", httpserver.BoundConcurrency(m.Handler(), maxScrapes))
	}
	return d
}

// servers returns the entry's own server and those of the adapters.
func (d *Daemon) servers() []*httpserver.Server {
	return slices.Concat([]*httpserver.Server{d.server}, d.adapterServers)
}

// watchPauses makes the loop and the servers use the given counter of pauses. Call it before
// Run.
func (d *Daemon) watchPauses(p *clock.Pauses) {
	d.loop.pauses = p
	for _, s := range d.servers() {
		s.WatchPauses(p)
	}
}

// endOutdatedConnections makes callers open new connections after a pause: jobs that arrive on
// earlier ones are refused.
func (d *Daemon) endOutdatedConnections() {
	for _, s := range d.servers() {
		s.EndOutdated()
	}
}

// CountMessages makes c count the messages that the entry sends on its links. Call it
// before Run.
func (d *Daemon) CountMessages(c *linkpb.Counter) { d.links.counter = c }

// SetPolicy puts a table revision in force.
func (d *Daemon) SetPolicy(p entry.Policy) {
	d.tokens.setPolicy(p)
	d.router.Store(entry.NewRouter(p.Routes))
	d.loop.step(entry.SetPolicy{Policy: p})
	d.policyOnce.Do(func() { close(d.policyKnown) })
}

// Counts returns the counters of refusals and failures.
func (d *Daemon) Counts() *Counts { return &d.counts }

// Address returns the address that the entry listens on.
func (d *Daemon) Address() string { return d.server.Address() }

// Run serves until ctx ends, then drains for at most stopLimit. The error is ErrCutOff
// when the stop ended jobs in progress. Run also stops, with ErrDuplicateEntry, if it
// finds soon after the start that an older live process has the entry's name.
func (d *Daemon) Run(ctx context.Context, stopLimit time.Duration) error {
	if d.metricsErr != nil {
		return d.metricsErr
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go d.loop.run(loopCtx)
	go d.expireKeys(loopCtx)
	go logevent.RunGuard(loopCtx, d.log, d.server.Guard())
	var duplicate error
	serveErr := make(chan error, 1+len(d.adapterServers))
	go func() { serveErr <- d.server.Serve() }()
	d.serveAdapters(serveErr)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waitPlatform := d.runPlatform(loopCtx, ctx)
	logevent.ProcessStarted.Log(d.log, zap.String("role", "entry"), zap.String("entry", d.name), zap.String("address", d.server.Address()))
	select {
	case err := <-serveErr:
		return err
	case older := <-d.olderDuplicate():
		duplicate = ErrDuplicateEntry.New("an older live process at %s has the same entry name", older.Address)
		cancel()
	case <-ctx.Done():
	}
	drainErr := d.drain(stopLimit)
	stopLoop()
	<-d.loop.stopped
	if err := d.shutdownAdapters(); err != nil {
		return err
	}
	// Unregistering from a store that does not answer must not delay the last answers.
	waitPlatform()
	if err := d.closeServer(); err != nil {
		return err
	}
	logevent.ProcessStopped.Log(d.log)
	if duplicate != nil {
		return duplicate
	}
	return drainErr
}

// maxScrapes is the largest number of requests for metrics in progress.
const maxScrapes = 4

// expireInterval is how often expired keys and answers are dropped.
const expireInterval = time.Second

func (d *Daemon) expireKeys(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.keyed.expire(now)
		case <-ctx.Done():
			return
		}
	}
}

// Jobs returns the number of jobs without an answer, or zero after the stop.
func (d *Daemon) Jobs() int {
	jobs := 0
	_ = d.loop.call(context.Background(), func(time.Time) { jobs = d.loop.core.Jobs() })
	return jobs
}
