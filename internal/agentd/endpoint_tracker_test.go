package agentd

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
)

// Guards against a leave request that arrives after the endpoint has joined again
// and ends the newer join or its silence detection.
func TestLateLeaveKeepsTheNewerJoin(t *testing.T) {
	c := qt.New(t)
	l := newLoop(agent.New(agent.Config{Worker: "worker-1", Incarnation: 1, Epoch: time.Unix(0, 0)}))
	l.endpoint = newEndpointClient(1)
	tracker := &endpointTracker{loop: l, log: zap.NewNop()}
	send := func(handler http.HandlerFunc, body string) (leaving, gone bool) {
		w := httptest.NewRecorder()
		handler(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		c.Assert(w.Code, qt.Equals, http.StatusNoContent, qt.Commentf("%s", w.Body))
		for len(l.inputs) > 0 {
			(<-l.inputs)(time.Unix(1, 0))
		}
		return l.core.Hello().Leaving, tracker.gone
	}
	check := func(handler http.HandlerFunc, body string, want bool) {
		leaving, gone := send(handler, body)
		c.Check(leaving, qt.Equals, want, qt.Commentf("%s", body))
		c.Check(gone, qt.Equals, want, qt.Commentf("%s", body))
	}
	const prefix = `{"service":"route-desk","url":"http://127.0.0.1:1/task","slots":8,`
	check(tracker.handleAnnounce, prefix+`"join":1,"number":1}`, false)
	check(tracker.handleLeave, `{"join":1}`, true)
	check(tracker.handleAnnounce, prefix+`"join":1,"number":2,"leaving":true}`, true)
	check(tracker.handleAnnounce, prefix+`"join":2,"number":1}`, false)
	check(tracker.handleLeave, `{"join":1}`, false)
	check(tracker.handleLeave, `{"join":2}`, true)
}
