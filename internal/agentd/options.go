package agentd

import (
	"crypto/tls"
	"time"

	"github.com/poplarlever/poplarlever/internal/telemetry"
)

// Option changes how an agent runs.
type Option func(*options)

type options struct {
	links      int
	domain     string
	readyDelay time.Duration
	metrics    *telemetry.Metrics
	clientTLS  *tls.Config
	leased     LeasedWorker
	directory  Directory
}

func newOptions(with []Option) options {
	var o options
	for _, set := range with {
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

// WithLinks limits the number of entries that the agent links to. Zero means
// all of them.
func WithLinks(n int) Option { return func(o *options) { o.links = n } }

// WithFailureDomain names the agent's failure domain, in which it prefers entries.
func WithFailureDomain(domain string) Option { return func(o *options) { o.domain = domain } }

// WithReadyDelay keeps a stopping agent working for a while after /readyz has
// begun to answer 503.
func WithReadyDelay(delay time.Duration) Option {
	return func(o *options) { o.readyDelay = delay }
}

// WithLeasedWorker makes the agent run tasks under a lease at a worker, instead
// of at an endpoint with the product's own interface. What the worker says of
// itself is given to Announced and Left.
func WithLeasedWorker(w LeasedWorker) Option { return func(o *options) { o.leased = w } }

// WithMetrics exports metrics on /metrics.
func WithMetrics(m *telemetry.Metrics) Option { return func(o *options) { o.metrics = m } }

// WithClientTLS makes the links to entries use TLS unless cfg is nil.
func WithClientTLS(cfg *tls.Config) Option { return func(o *options) { o.clientTLS = cfg } }
