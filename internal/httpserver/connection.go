package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// Connection is one client connection. It is safe for concurrent use.
type Connection struct {
	// InFlight is the number of requests in progress.
	InFlight atomic.Int32
	conn     net.Conn
}

// Closed reports whether the client is known to have closed or reset the connection. A
// request may still be unread then. It does not block and consumes nothing.
func (c *Connection) Closed() bool {
	conn := c.conn
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	return closed || err != nil
}

type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &Connection{conn: conn})
}

// ConnectionOf returns the connection that a request's context belongs to. For a
// context that does not come from a Server it returns a new Connection.
func ConnectionOf(ctx context.Context) *Connection {
	if c, ok := ctx.Value(connectionKey{}).(*Connection); ok {
		return c
	}
	return &Connection{}
}
