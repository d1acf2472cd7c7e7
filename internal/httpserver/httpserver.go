// Package httpserver provides the HTTP server of a process, which serves HTTP/1
// and HTTP/2 on one port, with or without TLS, and has health and readiness
// endpoints. It also provides the HTTP clients used between processes.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/urfave/negroni/v3"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
)

// dialTimeout bounds a connection attempt to another process. A network partition
// between regions that drops packets would otherwise block it for minutes.
const dialTimeout = 3 * time.Second

// readHeaderTimeout closes connections that do not send a complete request header. A slow client
// may take as long as a standing body; when connections are needed, one without a request gives
// way much sooner.
const readHeaderTimeout = bodybudget.DefaultTimeout

const (
	// maxHeaderBytes bounds the header of a request. The default of net/http is 1 MiB.
	maxHeaderBytes = 32 << 10
	// http2Frame is the largest frame, which each connection keeps a buffer for.
	http2Frame = 16 << 10
	// http2Window is how much a connection and a stream may send ahead of what handlers have
	// read. It carries 64 MB/s at a round trip of 1 ms.
	http2Window = 64 << 10
)

// Server serves the handlers of one mux on one address. It is safe for concurrent
// use.
type Server struct {
	mux *http.ServeMux
	// all serves every request in place of mux, unless it is nil.
	all         http.Handler
	server      *http.Server
	listener    net.Listener
	connections *connectionSet
	// accepting is nil unless WatchPauses was called.
	accepting *pauseListener
	// internal holds the patterns of HandleInternal.
	internal        map[string]bool
	ready           atomic.Bool
	connectionClose atomic.Bool
}

// Listen opens the address without TLS. It returns the error of net.Listen, for
// example when the port is in use.
func Listen(address string, opts ...Option) (*Server, error) {
	return ListenTLS(address, nil, opts...)
}

// Option configures a Server.
type Option func(*Server)

// WithGuard bounds what the peers of the server can make the process hold.
func WithGuard(g *Guard, use Use) Option {
	return func(s *Server) { s.connections = newConnectionSet(g, use) }
}

// ListenTLS opens the address and serves TLS there unless cfg is nil.
func ListenTLS(address string, cfg *tls.Config, opts ...Option) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{mux: http.NewServeMux(), listener: l}
	for _, apply := range opts {
		apply(s)
	}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", s.serveReady)
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	n := negroni.New(recovery, negroni.HandlerFunc(s.addConnectionClose))
	n.UseHandlerFunc(s.serve)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(cfg != nil)
	protocols.SetUnencryptedHTTP2(cfg == nil)
	s.server = &http.Server{
		Handler: n, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout, TLSConfig: cfg, ConnContext: s.withConnection,
		MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxReadFrameSize: http2Frame, MaxReceiveBufferPerConnection: http2Window, MaxReceiveBufferPerStream: http2Window,
		},
	}
	return s, nil
}

// Address returns the actual listen address, with the port that the system chose
// for port 0.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Guard returns the bounds that the server keeps, or nil.
func (s *Server) Guard() *Guard {
	if s.connections == nil {
		return nil
	}
	return s.connections.guard
}

// Handle registers a handler. It must be called before Serve.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// HandleAll makes a handler serve every request, those of the health and readiness endpoints
// among them, with its path as it was sent: a mux redirects callers from paths with empty
// or dotted segments. It must be called before Serve.
func (s *Server) HandleAll(h http.Handler) { s.all = h }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) { s.boundRequest(w, r, s.serveBounded) }

func (s *Server) serveBounded(w http.ResponseWriter, r *http.Request) {
	if s.all != nil {
		s.all.ServeHTTP(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// SetReady sets whether /readyz answers 200 or 503; it is 503 until the first call.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// EndConnections makes the server close each HTTP/1 connection after its next
// response, so that the client opens its next connection to another process. Idle
// connections stay open, since a request may already be in transit on them.
func (s *Server) EndConnections() { s.connectionClose.Store(true) }

func (s *Server) addConnectionClose(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if s.connectionClose.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	serveEndingOutdated(w, r, next)
}

// Serve handles requests until Shutdown, after which it returns nil.
func (s *Server) Serve() error {
	var err error
	listener := s.listener
	if s.accepting != nil {
		listener = s.accepting
	}
	if s.connections != nil {
		listener = &trackingListener{listener, s.connections, s.pausesBefore}
	}
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(listener, "", "")
	} else {
		err = s.server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections and waits for the requests in progress. When
// ctx ends first it closes all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.connections != nil {
		s.connections.closeIdleInternal()
	}
	if err := s.server.Shutdown(ctx); err != nil {
		return s.server.Close()
	}
	return nil
}

// NewClient returns an HTTP/2 client without TLS for requests to other processes.
func NewClient() *http.Client { return NewTLSClient(nil) }

// NewTLSClient returns an HTTP/2 client for requests to other processes. It uses
// TLS unless cfg is nil.
func NewTLSClient(cfg *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(cfg, dialer.DialContext)
}

const (
	// pingAfterSilence is the time without data after which the server at the other end of a
	// connection is asked for a sign of life.
	pingAfterSilence = 5 * time.Second
	// pingTimeout is how long the answer may take before the connection is closed.
	pingTimeout = 2 * time.Second
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newClient(cfg *tls.Config, dial dialFunc) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(cfg != nil)
	protocols.SetUnencryptedHTTP2(cfg == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols: &protocols, TLSClientConfig: cfg, DialContext: dial, TLSHandshakeTimeout: dialTimeout,
		// A connection that has fallen silent shows no error, and later requests would use it.
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfterSilence, PingTimeout: pingTimeout},
	}}
}
