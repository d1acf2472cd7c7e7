package agentd

import (
	"crypto/tls"
	"time"

	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

// Option configures a Daemon.
type Option func(*options)

type options struct {
	links      int
	domain     string
	readyDelay time.Duration
	metrics    *telemetry.Metrics
	clientTLS  *tls.Config
	leased     LeasedWorker
	directory  Directory
	// recordStore is nil unless the worker's announcement is kept in the store, and
	// recordService the service that the worker belongs to.
	recordStore   store.Store
	recordService string
}

func newOptions(opts []Option) options {
	var o options
	for _, set := range opts {
		set(&o)
	}
	return o
}

func (o options) scheme() string {
	if o.clientTLS != nil {
		return "https"
	}
	return "http"
}

// WithLinks limits the number of entries that the agent links to. Zero means no
// limit.
func WithLinks(n int) Option { return func(o *options) { o.links = n } }

// WithFailureDomain sets the agent's failure domain. The agent prefers entries in the
// same domain.
func WithFailureDomain(domain string) Option { return func(o *options) { o.domain = domain } }

// WithReadyDelay makes a stopping agent keep accepting tasks for the given time after
// /readyz has begun to return 503.
func WithReadyDelay(delay time.Duration) Option {
	return func(o *options) { o.readyDelay = delay }
}

// WithLeasedWorker makes the agent run tasks under a lease at w instead of at an
// endpoint with the product's own interface. The caller passes the worker's
// announcements to Announced and Left.
func WithLeasedWorker(w LeasedWorker) Option { return func(o *options) { o.leased = w } }

// WithWorkerRecord makes the agent keep the latest announcement of its leased worker in
// the store, so that its successor can call the worker at once. A record of another
// service than the given one is not used.
func WithWorkerRecord(s store.Store, service string) Option {
	return func(o *options) { o.recordStore, o.recordService = s, service }
}

// WithMetrics makes the agent record metrics in m and export them on /metrics.
func WithMetrics(m *telemetry.Metrics) Option { return func(o *options) { o.metrics = m } }

// WithClientTLS makes the links to entries use TLS unless cfg is nil.
func WithClientTLS(cfg *tls.Config) Option { return func(o *options) { o.clientTLS = cfg } }
