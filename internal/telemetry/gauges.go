package telemetry

import (
	"context"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
)

// Gauges holds the values of a process's gauges at one moment.
type Gauges struct {
	QueuedTasks    int
	RunningTasks   int
	OpenJobs       int
	FreeSlots      int
	Links          int
	Revision       uint64
	StoreReachable bool
	// UnappliedValues is the number of values of the table in force that cannot be applied as
	// they are written.
	UnappliedValues int
	// TableRejected is set while the newest table is not in force.
	TableRejected bool
	// EvacuatedDomains is the number of failure domains whose evacuation is in force.
	EvacuatedDomains int
	// SeparatedPairs and ObservedPairs count pairs of job types.
	SeparatedPairs, ObservedPairs int
	// MessageDelay is how late the entry reads the messages of its agents.
	MessageDelay time.Duration
	// LearnedWorkers is the number of workers whose speed is learned.
	LearnedWorkers int
}

// Observe exports the gauges that read returns at each collection. Read returns
// false when the process is stopping; no gauge is exported then.
func (m *Metrics) Observe(read func(context.Context) (Gauges, bool)) error {
	values := map[Definition]func(Gauges) int64{
		queued:           func(g Gauges) int64 { return int64(g.QueuedTasks) },
		running:          func(g Gauges) int64 { return int64(g.RunningTasks) },
		openJobs:         func(g Gauges) int64 { return int64(g.OpenJobs) },
		freeSlots:        func(g Gauges) int64 { return int64(g.FreeSlots) },
		links:            func(g Gauges) int64 { return int64(g.Links) },
		revision:         func(g Gauges) int64 { return int64(g.Revision) },
		messageDelay:     func(g Gauges) int64 { return g.MessageDelay.Microseconds() },
		unapplied:        func(g Gauges) int64 { return int64(g.UnappliedValues) },
		tableRejected:    func(g Gauges) int64 { return boolToInt64(g.TableRejected) },
		evacuatedDomains: func(g Gauges) int64 { return int64(g.EvacuatedDomains) },
		storeReachable:   func(g Gauges) int64 { return boolToInt64(g.StoreReachable) },
		learnedWorkers:   func(g Gauges) int64 { return int64(g.LearnedWorkers) },
		separatedPairs:   func(g Gauges) int64 { return int64(g.SeparatedPairs) },
		observedPairs:    func(g Gauges) int64 { return int64(g.ObservedPairs) },
	}
	var instruments []metric.Observable
	gauges := make(map[metric.Int64ObservableGauge]func(Gauges) int64)
	for d, value := range values {
		if d.Roles&m.role == 0 {
			continue
		}
		g, err := m.meter.Int64ObservableGauge(d.Name, metric.WithDescription(d.Help))
		if err != nil {
			return err
		}
		gauges[g] = value
		instruments = append(instruments, g)
	}
	_, err := m.meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		now, ok := read(ctx)
		if !ok {
			return nil
		}
		for g, value := range gauges {
			o.ObserveInt64(g, value(now))
		}
		return nil
	}, instruments...)
	return err
}

// ObserveInvariants exports the number of violations of each invariant by name,
// including those with none.
func (m *Metrics) ObserveInvariants(counts func() map[string]int64) error {
	_, err := m.meter.Int64ObservableCounter(invariantViolations.Name, metric.WithDescription(invariantViolations.Help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for name, n := range counts() {
				o.Observe(n, metric.WithAttributes(attribute.String("name", name)))
			}
			return nil
		}))
	return err
}

// Bounds tells what the peers of a process make it hold.
type Bounds interface {
	HeldBytes() int64
	Connections() int64
	Count(bodybudget.Reason) uint64
}

// ObserveBounds exports what the peers of the process make it hold, and how often that was
// bounded.
func (m *Metrics) ObserveBounds(b Bounds) error {
	for d, value := range map[Definition]func() int64{
		requestBytes: b.HeldBytes, peerConnections: b.Connections, openDescriptors: countDescriptors,
	} {
		_, err := m.meter.Int64ObservableGauge(d.Name, metric.WithDescription(d.Help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		if err != nil {
			return err
		}
	}
	_, err := m.meter.Int64ObservableCounter(clientsBounded.Name, metric.WithDescription(clientsBounded.Help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, r := range bodybudget.Reasons() {
				o.Observe(int64(b.Count(r)), metric.WithAttributes(attribute.String("reason", r.String())))
			}
			return nil
		}))
	return err
}

// countDescriptors returns the number of open descriptors, or zero if the system does not tell.
func countDescriptors() int64 {
	entries, _ := os.ReadDir("/proc/self/fd")
	return int64(len(entries))
}

// ObserveLostLines exports the number of log lines that were lost.
func (m *Metrics) ObserveLostLines(count func() uint64) error {
	_, err := m.meter.Int64ObservableCounter(lostLines.Name, metric.WithDescription(lostLines.Help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(count()))
			return nil
		}))
	return err
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
