package command

import (
	"crypto/tls"
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/settings"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/telemetry"
	"github.com/poplarlever/poplarlever/platform"
)

// platformOptions configure how an entry obtains its table and the other entries.
type platformOptions struct {
	// store is the platform's key-value store; nil means none.
	store store.Store
	// peers are addresses of entries to ask when the store is down.
	peers []string
	// advertise is the address for other processes; empty means the listen address.
	advertise     string
	failureDomain string
	// tls is the client configuration for calls to other entries; nil means no TLS.
	tls *tls.Config
	// evacuations makes the entry follow the evacuations of failure domains.
	evacuations bool
	metrics     *telemetry.Metrics
}

// storeClient returns a client of the configured store, or nil without an address. The options
// apply to a store of the platform.
func storeClient(s settings.Store, options ...platform.StoreOption) store.Store {
	switch {
	case s.Address == "":
		return nil
	case s.Protocol == settings.ProtocolPlatform:
		return platform.NewStore(s.Address, options...)
	}
	return store.NewClient(s.Address)
}

// attachPlatform opens the configured addresses for the clients and the load
// balancer of the users' platform.
func attachPlatform(d *entryd.Daemon, s settings.Entry) error {
	for key, address := range map[string]string{"platform.callers": s.Platform.Callers, "platform.readiness": s.Platform.Readiness} {
		if address == "" {
			continue
		}
		server, err := httpserver.Listen(address)
		if err != nil {
			return s.Source.Fault(key, err)
		}
		if key == "platform.callers" {
			server.HandleAll(platform.NewJobs(d.FrontDoor()))
		}
		d.Attach(server)
	}
	return nil
}

// joinPlatform connects the entry to its sources of tables and of other entries.
func joinPlatform(d *entryd.Daemon, name string, incarnation msg.Incarnation, o platformOptions, log *zap.Logger) {
	cfg := entryd.PlatformConfig{
		Seeds: o.peers, TLS: o.tls, Log: log,
		Self: membership.Member{
			Name: name, Address: o.advertise, FailureDomain: o.failureDomain,
			Incarnation: uint64(incarnation), Started: time.Now().UTC(),
		},
	}
	if o.advertise == "" {
		cfg.Self.Address = d.Address()
	}
	cfg.Store, cfg.Evacuations = o.store, o.evacuations
	if o.metrics != nil {
		cfg.Hooks.EvacuationRejected = o.metrics.EvacuationRejected
	}
	d.Join(entryd.NewPlatform(cfg))
}
