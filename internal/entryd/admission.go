package entryd

import (
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
)

// guard stands before the callers' service. It bounds bodies and requests in
// progress, and gives every request that the service never sees an error with
// the verdict NotRun.
type guard struct {
	next     http.Handler
	limits   Limits
	counts   *Counts
	log      *zap.Logger
	errors   *connect.ErrorWriter
	inFlight atomic.Int64
	bodies   atomic.Int64
}

func newGuard(next http.Handler, limits Limits, counts *Counts, log *zap.Logger) *guard {
	return &guard{next: next, limits: limits, counts: counts, log: log, errors: connect.NewErrorWriter()}
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > g.limits.MaxBody {
		g.reject(w, r, connect.CodeResourceExhausted, g.tooLarge())
		return
	}
	connection := httpserver.ConnectionOf(r.Context())
	defer connection.InFlight.Add(-1)
	defer g.inFlight.Add(-1)
	perConnection, all := connection.InFlight.Add(1), g.inFlight.Add(1)
	if perConnection > g.limits.InFlightPerConnection || all > g.limits.InFlight {
		g.reject(w, r, connect.CodeResourceExhausted, tooMany())
		return
	}
	g.serve(w, r)
}

// serve passes the request on. What the Connect library answers without
// calling the service is replaced by an error that carries a verdict.
func (g *guard) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{ResponseWriter: w, control: http.NewResponseController(w), writeTimeout: g.limits.WriteTimeout}
	_ = c.control.SetReadDeadline(time.Now().Add(g.limits.BodyTimeout))
	_ = c.control.SetWriteDeadline(time.Time{})
	r = r.WithContext(withCall(r.Context(), c))
	body := &limitedBody{ReadCloser: http.MaxBytesReader(w, r.Body, g.limits.MaxBody), call: c, guard: g}
	defer body.release()
	if compressed(r) {
		// A small body may become a message of the largest size.
		body.reserve(g.limits.MaxBody)
	}
	r.Body = body
	g.next.ServeHTTP(c, r)
	if c.reached {
		return
	}
	clear(w.Header())
	_ = c.control.SetWriteDeadline(time.Now().Add(g.limits.WriteTimeout))
	code, message := c.rejection()
	if c.bodiesExceeded {
		g.reject(w, r, connect.CodeResourceExhausted, tooMany())
		return
	}
	if c.bodyTooLarge || code == connect.CodeResourceExhausted {
		g.reject(w, r, connect.CodeResourceExhausted, g.tooLarge())
		return
	}
	g.reject(w, r, code, refuse(verdict.MalformedJob, "%s", message))
}

func tooMany() entry.Answer {
	return refuse(verdict.TooManyRequests, "too many requests are in progress")
}

func (g *guard) tooLarge() entry.Answer {
	return refuse(verdict.PayloadTooLarge, "the request is larger than %d bytes", g.limits.MaxBody)
}

func (g *guard) reject(w http.ResponseWriter, r *http.Request, code connect.Code, a entry.Answer) {
	g.counts.add(a.Reason)
	logevent.RequestRejected.Log(g.log, zap.Stringer("reason", a.Reason), zap.String("message", a.Message), zap.String("peer", r.RemoteAddr))
	_ = g.errors.Write(w, r, rpcError(code, a))
}
