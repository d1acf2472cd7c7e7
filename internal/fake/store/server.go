package store

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Server serves a fake store over HTTP.
type Server struct {
	*Store
	listener net.Listener
}

// Listen opens the address for a new, empty store.
func Listen(address string, rates Rates) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{Store: New(rates), listener: l}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(s.listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
