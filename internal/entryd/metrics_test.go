package entryd_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

// Guards against requests that are rejected before they become a job and are missing
// from the metrics.
func TestRejectedRequestsAreCounted(t *testing.T) {
	c := qt.New(t)
	m, err := telemetry.New(telemetry.Entry)
	c.Assert(err, qt.IsNil)
	d := newEntry(c, "entry", entryd.WithoutAuthentication(), entryd.WithMetrics(m))
	resp, err := http.Post("http://"+d.Address()+"/poplarlever.v1.Dispatch/Submit", "application/json", strings.NewReader("{garbage"))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	resp, err = http.Get("http://" + d.Address() + "/metrics")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(page), qt.Contains, `poplarlever_caller_errors_total{reason="malformed_job"} 1`)
}
