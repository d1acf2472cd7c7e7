package entryd

import (
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// admissionHandler wraps the Dispatch service. It bounds bodies and requests in
// progress, and answers every request that does not reach the service with an error
// that has the verdict NotRun.
type admissionHandler struct {
	next        http.Handler
	limits      Limits
	counts      *Counts
	log         *zap.Logger
	errorWriter *connect.ErrorWriter
	inFlight    atomic.Int64
	bodyBytes   atomic.Int64
}

func newAdmissionHandler(next http.Handler, limits Limits, counts *Counts, log *zap.Logger) *admissionHandler {
	return &admissionHandler{next: next, limits: limits, counts: counts, log: log, errorWriter: connect.NewErrorWriter()}
}

// ServeHTTP implements http.Handler.
func (g *admissionHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	bounded := httpserver.OpenBody(w, r, g.limits.MaxBody, bufferFactor)
	defer bounded.Close()
	if reason := bounded.Reason(); reason != 0 {
		httpserver.CloseAfter(w, r)
		a := tooManyRequests()
		if reason == bodybudget.TooLarge {
			a = g.payloadTooLarge()
		}
		g.reject(w, r, connect.CodeResourceExhausted, a)
		return
	}
	connection := httpserver.ConnectionOf(r.Context())
	defer connection.InFlight.Add(-1)
	defer g.inFlight.Add(-1)
	perConnection, all := connection.InFlight.Add(1), g.inFlight.Add(1)
	if perConnection > g.limits.InFlightPerConnection || all > g.limits.InFlight {
		g.reject(w, r, connect.CodeResourceExhausted, tooManyRequests())
		return
	}
	g.serve(w, r, bounded)
}

// bufferFactor is the memory of each byte of a body: the Connect library reads it into a buffer
// that doubles.
const bufferFactor = 2

// serve calls the service. If the Connect library answers without calling it, an error
// that has a verdict replaces that answer.
func (g *admissionHandler) serve(w http.ResponseWriter, r *http.Request, bounded *httpserver.Body) {
	c := &responseWriter{ResponseWriter: w, controller: http.NewResponseController(w), writeTimeout: g.limits.WriteTimeout, body: bounded}
	body := &limitedBody{Body: bounded, writer: c, admission: g}
	body.extendDeadline(time.Now())
	_ = c.controller.SetWriteDeadline(time.Time{})
	r = r.WithContext(withResponseWriter(r.Context(), c))
	defer body.release()
	if compressed(r) {
		// A small body may expand to a message of the largest size.
		body.reserve(g.limits.MaxBody)
	}
	r.Body = body
	g.next.ServeHTTP(c, r)
	if c.handlerReached {
		return
	}
	clear(w.Header())
	_ = c.controller.SetWriteDeadline(time.Now().Add(g.limits.WriteTimeout))
	code, message := c.rejection()
	if !body.ended {
		httpserver.CloseAfter(w, r)
	}
	if c.bodiesExceeded {
		g.reject(w, r, connect.CodeResourceExhausted, tooManyRequests())
		return
	}
	if c.bodyTooLarge || code == connect.CodeResourceExhausted {
		g.reject(w, r, connect.CodeResourceExhausted, g.payloadTooLarge())
		return
	}
	g.reject(w, r, code, refuse(verdict.MalformedJob, "%s", message))
}

func tooManyRequests() entry.Answer {
	return refuse(verdict.TooManyRequests, "too many requests are in progress")
}

func (g *admissionHandler) payloadTooLarge() entry.Answer {
	return refuse(verdict.PayloadTooLarge, "the request is larger than %d bytes", g.limits.MaxBody)
}

func (g *admissionHandler) reject(w http.ResponseWriter, r *http.Request, code connect.Code, a entry.Answer) {
	g.counts.add(a.Reason)
	logevent.RequestRejected.Log(g.log, zap.Stringer("reason", a.Reason), zap.String("message", a.Message), zap.String("peer", r.RemoteAddr))
	_ = g.errorWriter.Write(w, r, rpcError(code, a))
}
