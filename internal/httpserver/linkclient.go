package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// linkDialTimeout is several round trips between regions. It is shorter than the
// second after which the system repeats an opening packet, so that the next
// attempt finds a VM that was without power as soon as it is back.
const linkDialTimeout = 250 * time.Millisecond

// LinkClient is the client of one link from an agent to an entry. It is safe for
// concurrent use.
type LinkClient struct {
	*http.Client
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// NewLinkClient returns a client that speaks HTTP/2, with TLS unless cfg is nil.
func NewLinkClient(cfg *tls.Config) *LinkClient {
	c := &LinkClient{}
	dialer := &net.Dialer{Timeout: linkDialTimeout}
	c.Client = newClient(cfg, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, c.keep(conn)
	})
	return c
}

func (c *LinkClient) keep(conn net.Conn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return net.ErrClosed
	}
	c.conns = append(c.conns, conn)
	return nil
}

// Close ends the link's connection at once, so that both ends notice. The end of
// a request's context does not always reach the other end, nor a write that
// waits.
func (c *LinkClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}
