package command

import (
	"time"

	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/invariant"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/settings"
	"github.com/poplarlever/poplarlever/internal/telemetry"
	"github.com/poplarlever/poplarlever/internal/tlsconfig"
	"github.com/poplarlever/poplarlever/platform"
)

// agentWithServer is an agent together with the HTTP server that its endpoint
// calls.
type agentWithServer struct {
	*agentd.Daemon
	server *httpserver.Server
}

// invariantCounts returns the number of violations of each invariant by name.
func invariantCounts() map[string]int64 {
	counts := make(map[string]int64)
	for _, name := range invariant.Names() {
		counts[name.String()] = int64(invariant.Count(name))
	}
	return counts
}

// logInvariants logs the violations of invariants that the process finds.
func logInvariants(log *zap.Logger) {
	invariant.SetObserver(func(v invariant.Violation) {
		logevent.InvariantBroken.Log(log, zap.Stringer("invariant", v.Name), zap.String("detail", v.Detail))
	})
}

// epoch is the time at which an agent's clock reads zero.
type epoch time.Time

func newEpoch() epoch { return epoch(clock.Now()) }

func entryTLS(s settings.Entry) (tlsconfig.Config, error) { return tlsconfig.Load(s.TLS, s.Source) }

func agentTLS(s settings.Agent) (tlsconfig.Config, error) { return tlsconfig.Load(s.TLS, s.Source) }

func entryServer(s settings.Entry, t tlsconfig.Config) (*httpserver.Server, error) {
	return listen(s.Listen, t, s.Source)
}

func agentServer(s settings.Agent, t tlsconfig.Config) (*httpserver.Server, error) {
	return listen(s.Listen, t, s.Source)
}

// listen opens the address. When that fails, as with a port in use, the error
// names the listen setting.
func listen(address string, t tlsconfig.Config, source settings.Source) (*httpserver.Server, error) {
	server, err := httpserver.ListenTLS(address, t.Server)
	if err != nil {
		return nil, source.Fault("listen", err)
	}
	return server, nil
}

func entryConfig(s settings.Entry, incarnation msg.Incarnation) entry.Config {
	return entry.Config{
		Name: s.Name, FailureDomain: s.FailureDomain, Incarnation: incarnation, Seed: uint64(incarnation),
		StartWindow: s.Timing.StartWindow.Duration, SuspectAfter: s.Timing.SuspectAfter.Duration,
		LostAfter: s.Timing.LostAfter.Duration, HeartbeatInterval: s.Timing.HeartbeatInterval.Duration,
		IdleHeartbeat: s.Timing.IdleHeartbeat.Duration,
		AckDelay:      s.Timing.AckDelay.Duration, RunLimit: s.Timing.RunLimit.Duration,
		MaxQueued: s.Limits.MaxQueued, MaxTasks: s.Limits.MaxTasks, MaxPayload: s.Limits.MaxPayload.N,
		LearnSpeeds: s.Placement.LearnSpeeds, ShedByJobType: s.Admission.ShedByJobType,
	}
}

func agentConfig(s settings.Agent, incarnation msg.Incarnation, clockEpoch epoch) agent.Config {
	return agent.Config{
		Worker: s.Worker, FailureDomain: s.FailureDomain, Incarnation: incarnation, Epoch: time.Time(clockEpoch),
		ReleaseAfter: lease.ReleaseAfter(lease.Config{}), DetectStalls: s.DetectStalls,
		ResultKeep: s.Timing.ResultKeep.Duration, HeartbeatInterval: s.Timing.HeartbeatInterval.Duration,
		IdleHeartbeat: s.Timing.IdleHeartbeat.Duration, EntrySilence: s.Timing.EntrySilence.Duration,
		Evacuations: s.Evacuations,
	}
}

func entryMetrics() (*telemetry.Metrics, error) { return newMetrics(telemetry.Entry) }

func agentMetrics() (*telemetry.Metrics, error) { return newMetrics(telemetry.Agent) }

func newMetrics(role telemetry.Role) (*telemetry.Metrics, error) {
	m, err := telemetry.New(role)
	if err != nil {
		return nil, err
	}
	if err := m.ObserveLostLines(logevent.Dropped); err != nil {
		return nil, err
	}
	return m, m.ObserveInvariants(invariantCounts)
}

func entryDaemon(s settings.Entry, core *entry.Core, incarnation msg.Incarnation, server *httpserver.Server, t tlsconfig.Config, m *telemetry.Metrics, log *zap.Logger) (*entryd.Daemon, error) {
	logInvariants(log)
	options := []entryd.Option{
		entryd.WithFailureDomain(s.FailureDomain), entryd.WithReadyDelay(s.ReadyDelay.Duration),
		entryd.WithMetrics(m), entryd.WithAdvertise(s.Advertise), entryd.WithClientTLS(t.Client),
	}
	if s.Authentication == settings.AuthenticationOff {
		options = append(options, entryd.WithoutAuthentication())
	}
	d := entryd.New(core, s.Name, server, log, options...)
	if s.Store.Address == "" && len(s.Peers) == 0 {
		policy, err := builtInPolicy()
		d.SetPolicy(policy)
		return d, err
	}
	var storeOptions []platform.StoreOption
	if s.Evacuations {
		storeOptions = append(storeOptions, platform.WithEvacuations())
	}
	joinPlatform(d, s.Name, incarnation, platformOptions{
		store: storeClient(s.Store, storeOptions...), peers: s.Peers, advertise: s.Advertise, failureDomain: s.FailureDomain,
		tls: t.Client, evacuations: s.Evacuations, metrics: m,
	}, log)
	return d, attachPlatform(d, s)
}

func agentDaemon(s settings.Agent, core *agent.Core, clockEpoch epoch, server *httpserver.Server, t tlsconfig.Config, m *telemetry.Metrics, log *zap.Logger) *agentd.Daemon {
	logInvariants(log)
	options := []agentd.Option{
		agentd.WithLinks(s.Links), agentd.WithFailureDomain(s.FailureDomain), agentd.WithReadyDelay(s.ReadyDelay.Duration), agentd.WithMetrics(m), agentd.WithClientTLS(t.Client),
	}
	if client := storeClient(s.Store); client != nil {
		options = append(options, agentd.WithDirectory(agentd.StoreDirectory(client, entryd.EntriesPrefix)), agentd.WithWorkerRecord(client, s.Platform.Service))
	}
	if s.Platform.Service == "" {
		return agentd.New(core, s.Worker, time.Time(clockEpoch), s.Entries, server, log, options...)
	}
	worker := platform.NewWorker()
	d := agentd.New(core, s.Worker, time.Time(clockEpoch), s.Entries, server, log, append(options, agentd.WithLeasedWorker(worker))...)
	platform.NewAnnouncements(d, s.Platform.Service).Register(server.Handle)
	return d
}
