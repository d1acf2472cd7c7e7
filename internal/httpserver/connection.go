package httpserver

import (
	"context"
	"net"
	"sync/atomic"
)

// Connection holds the request count of one client connection.
type Connection struct {
	// InFlight is the number of requests in progress.
	InFlight atomic.Int32
}

type connectionKey struct{}

func withConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &Connection{})
}

// ConnectionOf returns the connection that a request's context belongs to. For a
// context that does not come from a Server it returns a new Connection.
func ConnectionOf(ctx context.Context) *Connection {
	if c, ok := ctx.Value(connectionKey{}).(*Connection); ok {
		return c
	}
	return &Connection{}
}
