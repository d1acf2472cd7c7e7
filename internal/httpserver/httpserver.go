// Package httpserver runs the HTTP server of a process: HTTP/1 and HTTP/2 on
// one port, with or without TLS, and with health and readiness pages.
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
)

// dialTimeout bounds a connection attempt to another process. A region split
// that drops packets would otherwise hold it for minutes.
const dialTimeout = 3 * time.Second

// readHeaderTimeout ends connections that send no whole request header.
const readHeaderTimeout = 5 * time.Second

// Server serves one mux. It is safe for concurrent use.
type Server struct {
	mux      *http.ServeMux
	server   *http.Server
	listener net.Listener
	ready    atomic.Bool
	closing  atomic.Bool
}

// Listen opens the address. It returns the error of net.Listen, for example
// when the port is in use.
func Listen(address string) (*Server, error) { return ListenTLS(address, nil) }

// ListenTLS opens the address and serves TLS there unless cfg is nil.
func ListenTLS(address string, cfg *tls.Config) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{mux: http.NewServeMux(), listener: l}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", s.serveReady)
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	n := negroni.New(recovery, negroni.HandlerFunc(s.closeConnection))
	n.UseHandler(s.mux)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(cfg != nil)
	protocols.SetUnencryptedHTTP2(cfg == nil)
	s.server = &http.Server{Handler: n, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout, TLSConfig: cfg, ConnContext: withConnection}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Handle adds a handler; call it before Serve.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// SetReady switches the answer of /readyz.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// EndConnections makes each connection of HTTP/1 end with its next answer, so
// that its client opens the next one elsewhere. Idle connections stay open: a
// request may be on its way on them.
func (s *Server) EndConnections() { s.closing.Store(true) }

func (s *Server) closeConnection(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if s.closing.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	next(w, r)
}

// Serve answers requests until Shutdown or Close.
func (s *Server) Serve() error {
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown waits for requests in progress until ctx ends, then closes.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return s.server.Close()
	}
	return nil
}

// NewClient returns a client that speaks HTTP/2 without TLS to our processes.
func NewClient() *http.Client { return NewTLSClient(nil) }

// NewTLSClient returns a client that speaks HTTP/2 to our processes, with TLS
// unless cfg is nil.
func NewTLSClient(cfg *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return newClient(cfg, dialer.DialContext)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newClient(cfg *tls.Config, dial dialFunc) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(cfg != nil)
	protocols.SetUnencryptedHTTP2(cfg == nil)
	return &http.Client{Transport: &http.Transport{
		Protocols: &protocols, TLSClientConfig: cfg, DialContext: dial, TLSHandshakeTimeout: dialTimeout,
	}}
}
