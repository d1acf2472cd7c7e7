package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/poplarlever/poplarlever/internal/clock"
)

// Connection is one client connection. It is safe for concurrent use.
type Connection struct {
	// InFlight is the number of requests in progress.
	InFlight atomic.Int32
	conn     net.Conn
	// guard and tracked are nil unless the server bounds what its peers make it hold.
	guard   *Guard
	tracked *trackedConn
	// bodyOpened is set once a handler has opened the body of the latest request.
	bodyOpened atomic.Bool
	// pauses is nil unless the server watches for pauses. At least pausesBefore of them had
	// ended when the connection was opened.
	pauses       *clock.Pauses
	pausesBefore uint64
}

// set returns the connections of the server, or nil.
func (c *Connection) set() *connectionSet {
	if c.tracked == nil {
		return nil
	}
	return c.tracked.set
}

// Guard returns what bounds the connection's requests, or nil.
func (c *Connection) Guard() *Guard { return c.guard }

// abort closes the connection at once, unless other requests may be in progress on it.
func (c *Connection) abort() bool {
	if c.tracked == nil || c.tracked.http2.Load() {
		return false
	}
	_ = c.tracked.Close()
	return true
}

// Closed reports whether the client is known to have closed or reset the connection. A
// request may still be unread then. It does not block and consumes nothing.
func (c *Connection) Closed() bool {
	conn := c.conn
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if t, ok := conn.(*trackedConn); ok {
		conn = t.TCPConn
	}
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	state, err := peek(s)
	return err != nil || state == closedByPeer
}

// unreadState says what a connection holds that has not been read.
type unreadState uint8

const (
	nothingUnread unreadState = iota
	dataUnread
	// closedByPeer means that the end of the connection, or a reset, comes next.
	closedByPeer
)

// peek returns what comes next on a connection. It does not block and consumes nothing. The
// error says that the connection was closed on this side.
func peek(conn syscall.Conn) (unreadState, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nothingUnread, err
	}
	state := nothingUnread
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = dataUnread
		case n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
			state = closedByPeer
		}
	})
	return state, err
}

type connectionKey struct{}

// withConnection adds a connection that was just accepted to its context. Serve calls it on
// the goroutine that accepts connections.
func (s *Server) withConnection(ctx context.Context, conn net.Conn) context.Context {
	c := &Connection{conn: conn, tracked: trackedOf(conn)}
	if s.accepting != nil {
		c.pauses, c.pausesBefore = s.accepting.pauses, s.pausesBefore()
	}
	if c.tracked != nil {
		c.guard = c.tracked.set.guard
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// ConnectionOf returns the connection that a request's context belongs to. For a
// context that does not come from a Server it returns a new Connection.
func ConnectionOf(ctx context.Context) *Connection {
	if c, ok := ctx.Value(connectionKey{}).(*Connection); ok {
		return c
	}
	return &Connection{}
}
