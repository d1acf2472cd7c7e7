package entryd

import (
	"crypto/tls"
	"slices"
	"sync/atomic"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

// Limits bound the resources that callers can use.
type Limits struct {
	// MaxBody is the largest request body after decompression, in bytes.
	MaxBody int64
	// MaxBodies is the total size of the bodies of requests in progress.
	MaxBodies int64
	// InFlight and InFlightPerConnection bound the requests in progress.
	InFlight              int64
	InFlightPerConnection int32
	// BodyTimeout bounds the time in which nothing of a request's body arrives.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time that a caller may take to read one message.
	WriteTimeout time.Duration
	// JobTimeout applies to a job that sets no deadline.
	JobTimeout time.Duration
}

// DefaultLimits returns the limits that apply without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		MaxBody: 4 << 20, MaxBodies: 256 << 20, InFlight: 8192, InFlightPerConnection: 200,
		BodyTimeout: bodybudget.DefaultTimeout, WriteTimeout: 30 * time.Second, JobTimeout: 60 * time.Second,
	}
}

// KeyLimits bound the keyed requests that the entry remembers.
type KeyLimits struct {
	Lifetime       time.Duration
	MaxKeys        int
	KeepAnswers    time.Duration
	MaxAnswers     int
	MaxAnswerBytes int
}

// DefaultKeyLimits returns the limits that apply without WithKeyLimits.
func DefaultKeyLimits() KeyLimits {
	return KeyLimits{
		Lifetime: time.Hour, MaxKeys: 1 << 23, KeepAnswers: 10 * time.Minute,
		MaxAnswers: 10_000, MaxAnswerBytes: 4 << 20,
	}
}

// finalAnswerTimeout is how long callers may take to read their last answers when the
// entry stops.
const finalAnswerTimeout = 5 * time.Second

// Peers reports which addresses belong to entries of the same system. It must be safe
// for concurrent use.
type Peers interface {
	Known(address string) bool
}

// StaticPeers is a fixed list of entry addresses.
type StaticPeers []string

// Known implements Peers.
func (p StaticPeers) Known(address string) bool { return slices.Contains(p, address) }

// platformPeers is the list of entries that the platform keeps up to date.
type platformPeers struct{ list atomic.Pointer[[]msg.Peer] }

func (p *platformPeers) set(peers []msg.Peer) { p.list.Store(&peers) }

// Known implements Peers.
func (p *platformPeers) Known(address string) bool {
	list := p.list.Load()
	return list != nil && slices.ContainsFunc(*list, func(m msg.Peer) bool { return m.Address == address })
}

// options holds the values that Options set.
type options struct {
	authenticator Authenticator
	limits        Limits
	keyLimits     KeyLimits
	peers         Peers
	advertise     string
	failureDomain string
	readyDelay    time.Duration
	metrics       *telemetry.Metrics
	clientTLS     *tls.Config
}

// Option configures a Daemon.
type Option func(*options)

// WithAuthenticator sets the check of callers' tokens.
func WithAuthenticator(a Authenticator) Option { return func(o *options) { o.authenticator = a } }

// WithoutAuthentication accepts every caller for every client account.
func WithoutAuthentication() Option { return WithAuthenticator(allowAll{}) }

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(o *options) { o.limits = l } }

// WithKeyLimits replaces DefaultKeyLimits.
func WithKeyLimits(l KeyLimits) Option { return func(o *options) { o.keyLimits = l } }

// WithPeers sets the entries that keyed requests may be forwarded to.
func WithPeers(p Peers) Option { return func(o *options) { o.peers = p } }

// WithAdvertise sets the address at which other entries reach this one. The default is
// the listener's address.
func WithAdvertise(address string) Option { return func(o *options) { o.advertise = address } }

func newOptions(address string, opts []Option) options {
	o := options{
		limits: DefaultLimits(), keyLimits: DefaultKeyLimits(),
	}
	for _, apply := range opts {
		apply(&o)
	}
	if o.advertise == "" {
		o.advertise = address
	}
	return o
}

// WithFailureDomain sets the entry's failure domain.
func WithFailureDomain(name string) Option {
	return func(o *options) { o.failureDomain = name }
}

// WithReadyDelay sets how long a stopping entry accepts jobs after /readyz has begun to
// answer 503, so that the load balancer sends callers elsewhere.
func WithReadyDelay(delay time.Duration) Option {
	return func(o *options) { o.readyDelay = delay }
}

// WithMetrics exports metrics on /metrics.
func WithMetrics(m *telemetry.Metrics) Option {
	return func(o *options) { o.metrics = m }
}

// WithClientTLS makes calls to other entries use TLS.
func WithClientTLS(cfg *tls.Config) Option { return func(o *options) { o.clientTLS = cfg } }
