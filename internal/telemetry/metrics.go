package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/otlptranslator"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Outcomes of jobs, as label values.
const (
	OutcomeComplete = "complete"
	OutcomeFailed   = "failed"
	OutcomeRefused  = "refused"
)

// answerBuckets are the upper bounds of the answer time buckets, in seconds.
var answerBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60}

// Metrics is the set of metrics of one process.
type Metrics struct {
	role     Role
	meter    metric.Meter
	provider *sdk.MeterProvider
	handler  http.Handler
	err      error

	jobs, refusals, failures, retries *labelledCounter
	callerErrors                      *labelledCounter
	dispatched, started, ended        *labelledCounter
	workerConflicts, entryConflicts   *labelledCounter
	workerHealth                      *labelledCounter
	runTimesDiscarded                 *labelledCounter
	announceRefusals                  *labelledCounter
	evacuationsRejected               *labelledCounter
	workerCrashes, jobTypesConfined   *labelledCounter
	workerStalls                      *labelledCounter
	pairChanges, colocationRejected   *labelledCounter
	endedLate, pauses, cancels        *labelledCounter
	sent, received                    messageCounters
	answerTime                        metric.Float64Histogram
}

// New returns the metrics of a process with the given role. Counters whose label
// values are known in advance are exported at zero from the start, so that the
// first event shows in rates.
func New(role Role) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo(),
		// Names in the catalogue already contain units and suffixes.
		exporter.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithoutSuffixes))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	m := &Metrics{
		role: role, provider: provider, meter: provider.Meter("poplarlever"),
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	m.createCounters()
	m.createMessageCounters()
	m.answerTime = m.histogram(answerTime)
	return m, m.err
}

// Handler returns the handler of the metrics page.
func (m *Metrics) Handler() http.Handler { return m.handler }

func (m *Metrics) createCounters() {
	m.jobs = m.newCounter(jobs, "outcome", OutcomeComplete, OutcomeFailed, OutcomeRefused)
	m.refusals, m.failures = m.newCounter(refusals, "reason"), m.newCounter(failures, "reason")
	m.callerErrors = m.newCounter(callerErrors, "reason")
	for _, r := range verdict.Reasons() {
		m.callerErrors.add(r.String(), 0)
		if r.IsRefusal() {
			m.refusals.add(r.String(), 0)
		} else {
			m.failures.add(r.String(), 0)
		}
	}
	m.retries = m.newCounter(retries, "reason")
	for _, r := range verdict.RetryReasons() {
		m.retries.add(r.String(), 0)
	}
	m.dispatched, m.started = m.newCounter(dispatched, "", ""), m.newCounter(started, "", "")
	m.workerConflicts, m.entryConflicts = m.newCounter(workerConflicts, "", ""), m.newCounter(entryConflicts, "", "")
	m.announceRefusals = m.newCounter(announceRefusals, "", "")
	m.evacuationsRejected = m.newCounter(evacuationsRejected, "", "")
	m.workerCrashes, m.jobTypesConfined = m.newCounter(workerCrashes, "", ""), m.newCounter(jobTypesConfined, "", "")
	m.runTimesDiscarded = m.newCounter(runTimesDiscarded, "", "")
	m.workerStalls = m.newCounter(workerStalls, "", "")
	m.pairChanges, m.colocationRejected = m.newCounter(pairChanges, "change", separationBegun, separationEnded), m.newCounter(colocationRejected, "", "")
	m.workerHealth = m.newCounter(workerHealth, "health")
	for _, h := range verdict.WorkerHealths() {
		m.workerHealth.add(h.String(), 0)
	}
	m.cancels = m.newCounter(cancels, "outcome")
	for _, o := range verdict.CancelOutcomes() {
		m.cancels.add(o.String(), 0)
	}
	m.pauses = m.newCounter(pauses, "kind", pauseSuspended, pauseNoProcessor)
	m.ended, m.endedLate = m.newCounter(ended, "kind"), m.newCounter(endedLate, "kind")
	for _, name := range resultKinds {
		m.ended.add(name, 0)
		m.endedLate.add(name, 0)
	}
}

// Answered counts an answered job and, unless it was refused, records its answer
// time.
func (m *Metrics) Answered(outcome string, reason verdict.Reason, took time.Duration) {
	m.jobs.add(outcome, 1)
	switch outcome {
	case OutcomeRefused:
		m.refusals.add(reason.String(), 1)
		return
	case OutcomeFailed:
		m.failures.add(reason.String(), 1)
	}
	if m.answerTime != nil {
		m.answerTime.Record(context.Background(), took.Seconds())
	}
}

// CallerError counts a request that was refused or failed.
func (m *Metrics) CallerError(reason verdict.Reason) { m.callerErrors.add(reason.String(), 1) }

// Retried counts an attempt that an agent refused, or that did not start or ended
// without completing its task, so that the entry queues the task again.
func (m *Metrics) Retried(reason verdict.RetryReason) { m.retries.add(reason.String(), 1) }

// WorkerJudged counts a change in how the entry uses a worker.
func (m *Metrics) WorkerJudged(h verdict.WorkerHealth) { m.workerHealth.add(h.String(), 1) }

// Cancelled counts a cancel by the name of a job.
func (m *Metrics) Cancelled(o verdict.CancelOutcome) { m.cancels.add(o.String(), 1) }

// AnnouncementRefused counts an announcement that was malformed or named another worker
// than the one that answers.
func (m *Metrics) AnnouncementRefused() { m.announceRefusals.add("", 1) }

// EvacuationRejected counts a request to evacuate a failure domain that cannot be used.
func (m *Metrics) EvacuationRejected() { m.evacuationsRejected.add("", 1) }

// WorkerCrashed counts a crash of a leased worker while tasks ran there.
func (m *Metrics) WorkerCrashed() { m.workerCrashes.add("", 1) }

// WorkerStalled counts a stall of the leased worker.
func (m *Metrics) WorkerStalled() { m.workerStalls.add("", 1) }

// Values of the label of pauses.
const (
	pauseSuspended   = "suspended"
	pauseNoProcessor = "no_processor"
)

// Paused counts a pause of the process, as one of a suspended VM if that was the larger part
// of it.
func (m *Metrics) Paused(p clock.Pause) {
	kind := pauseNoProcessor
	if 2*p.Suspended > p.For {
		kind = pauseSuspended
	}
	m.pauses.add(kind, 1)
}

// RunTimeDiscarded counts a reported run time that cannot be one.
func (m *Metrics) RunTimeDiscarded() { m.runTimesDiscarded.add("", 1) }

// JobTypeConfined counts a job type whose tasks are confined to a part of the workers.
func (m *Metrics) JobTypeConfined() { m.jobTypesConfined.add("", 1) }

// Labels of job type separations.
const (
	separationBegun = "begun"
	separationEnded = "ended"
)

// PairSeparated counts the begin or the end of a separation of two job types.
func (m *Metrics) PairSeparated(separated bool) {
	change := separationEnded
	if separated {
		change = separationBegun
	}
	m.pairChanges.add(change, 1)
}

// ColocationRejected counts results with invalid values about what ran beside their tasks.
func (m *Metrics) ColocationRejected(results int) { m.colocationRejected.add("", int64(results)) }

// TaskDispatched counts an attempt sent to an agent.
func (m *Metrics) TaskDispatched() { m.dispatched.add("", 1) }

// TaskStarted counts a task passed to the endpoint.
func (m *Metrics) TaskStarted() { m.started.add("", 1) }

// WorkerConflict counts a link rejected because a later agent has taken the
// worker's name.
func (m *Metrics) WorkerConflict() { m.workerConflicts.add("", 1) }

// EntryConflict counts a link closed because a later process has taken the
// entry's name.
func (m *Metrics) EntryConflict() { m.entryConflicts.add("", 1) }

// resultKinds maps the kinds of result to their label values.
var resultKinds = map[msg.ResultKind]string{
	msg.ResultOK: "ok", msg.ResultEndpointError: "endpoint_error",
	msg.ResultEndpointFailed: "endpoint_failed", msg.ResultNotReached: "not_reached",
}

// TaskEnded counts a task that ended. Aborted tasks are not in resultKinds and are not
// counted.
func (m *Metrics) TaskEnded(kind msg.ResultKind) {
	if name, ok := resultKinds[kind]; ok {
		m.ended.add(name, 1)
	}
}

// EndedAfterJob counts a result that came after the end of its job was decided, in the way
// that TaskEnded does.
func (m *Metrics) EndedAfterJob(kind msg.ResultKind) {
	if name, ok := resultKinds[kind]; ok {
		m.endedLate.add(name, 1)
	}
}

// labelledCounter is a counter with at most one label. A nil labelledCounter
// counts nothing; it is used for metrics that the role does not export.
type labelledCounter struct {
	counter metric.Int64Counter
	label   string
}

func (m *Metrics) newCounter(d Definition, label string, values ...string) *labelledCounter {
	if d.Roles&m.role == 0 {
		return nil
	}
	counter, err := m.meter.Int64Counter(d.Name, metric.WithDescription(d.Help))
	m.recordError(err)
	c := &labelledCounter{counter: counter, label: label}
	for _, v := range values {
		c.add(v, 0)
	}
	return c
}

func (c *labelledCounter) add(value string, n int64) {
	switch {
	case c == nil:
	case c.label == "":
		c.counter.Add(context.Background(), n)
	default:
		c.counter.Add(context.Background(), n, metric.WithAttributeSet(attribute.NewSet(attribute.String(c.label, value))))
	}
}

func (m *Metrics) histogram(d Definition) metric.Float64Histogram {
	if d.Roles&m.role == 0 {
		return nil
	}
	h, err := m.meter.Float64Histogram(d.Name, metric.WithDescription(d.Help), metric.WithExplicitBucketBoundaries(answerBuckets...))
	m.recordError(err)
	return h
}

// recordError keeps the first error for New to return.
func (m *Metrics) recordError(err error) {
	if m.err == nil {
		m.err = err
	}
}
