package telemetry_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/telemetry"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

func scrape(m *telemetry.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func newMetrics(c *qt.C, role telemetry.Role) *telemetry.Metrics {
	m, err := telemetry.New(role)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Observe(func(context.Context) (telemetry.Gauges, bool) {
		return telemetry.Gauges{QueuedTasks: 7, Revision: 3}, true
	}), qt.IsNil)
	c.Assert(m.ObserveInvariants(func() map[string]int64 { return map[string]int64{"one_start": 0} }), qt.IsNil)
	c.Assert(m.ObserveLostLines(func() uint64 { return 0 }), qt.IsNil)
	c.Assert(m.ObserveBounds(httpserver.NewGuard(httpserver.Resources{})), qt.IsNil)
	return m
}

// Guards against metrics whose name, kind, unit, label or description differs
// between docs/METRICS.md and the code.
func TestPageListsEveryMetric(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	var listed, defined []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			listed = append(listed, line)
		}
	}
	for _, d := range telemetry.Catalogue() {
		defined = append(defined, fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", d.Name, d.Kind, d.Unit, d.Label, d.RoleNames(), d.Help))
	}
	c.Check(listed, qt.DeepEquals, defined)
}

// Guards against a metric that the exporter renames or that is exported by the
// wrong role.
func TestEveryMetricIsExported(t *testing.T) {
	c := qt.New(t)
	for _, role := range []telemetry.Role{telemetry.Entry, telemetry.Agent} {
		m := newMetrics(c, role)
		m.Answered(telemetry.OutcomeComplete, 0, time.Second)
		page := scrape(m)
		for _, d := range telemetry.Catalogue() {
			want := fmt.Sprintf("# TYPE %s %s\n", d.Name, d.Kind)
			c.Check(strings.Contains(page, want), qt.Equals, d.Roles&role != 0, qt.Commentf("role %d: %s", role, want))
		}
	}
}

// Guards against a reason that is not exported until it first occurs, which
// hides the first event from rates.
func TestReasonsStartAtZero(t *testing.T) {
	c := qt.New(t)
	m := newMetrics(c, telemetry.Entry)
	page := scrape(m)
	for _, r := range verdict.Reasons() {
		name := "failures"
		if r.IsRefusal() {
			name = "refusals"
		}
		c.Check(page, qt.Contains, fmt.Sprintf("poplarlever_%s_total{reason=%q} 0\n", name, r))
	}
	for _, r := range verdict.RetryReasons() {
		c.Check(page, qt.Contains, fmt.Sprintf("poplarlever_retries_total{reason=%q} 0\n", r))
	}
	m.Answered(telemetry.OutcomeRefused, verdict.QueueFull, 0)
	m.Retried(verdict.NoSlot)
	m.Sent(&pb.EntryMessage{Message: &pb.EntryMessage_Ack{Ack: &pb.Ack{}}})
	page = scrape(m)
	c.Check(page, qt.Contains, `poplarlever_refusals_total{reason="queue_full"} 1`)
	c.Check(page, qt.Contains, `poplarlever_jobs_total{outcome="refused"} 1`)
	c.Check(page, qt.Contains, `poplarlever_retries_total{reason="no_slot"} 1`)
	c.Check(page, qt.Contains, `poplarlever_link_messages_total{direction="sent",kind="ack"} 1`)
	c.Check(page, qt.Contains, `poplarlever_queued_tasks 7`)
	c.Check(page, qt.Contains, `poplarlever_invariant_violations_total{name="one_start"} 0`)
}
