package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// linkDialTimeout allows several round trips between regions. It is shorter than
// the 1 s after which the kernel retransmits a SYN, so that the next dial reaches
// a VM that had lost power as soon as it is back.
const linkDialTimeout = 250 * time.Millisecond

// LinkClient is the HTTP client of one link from an agent to an entry. It is safe
// for concurrent use.
type LinkClient struct {
	*http.Client
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// NewLinkClient returns an HTTP/2 client that uses TLS unless cfg is nil.
func NewLinkClient(cfg *tls.Config) *LinkClient {
	c := &LinkClient{}
	dialer := &net.Dialer{Timeout: linkDialTimeout}
	c.Client = newClient(cfg, func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, c.track(conn)
	})
	return c
}

// track records a new connection for Close. After Close it closes the connection
// and returns net.ErrClosed.
func (c *LinkClient) track(conn net.Conn) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return net.ErrClosed
	}
	c.conns = append(c.conns, conn)
	return nil
}

// Close closes the link's connections at once, so that both ends notice. Cancelling
// the context of a request does not always reach the other end, nor does it always
// end a blocked write.
func (c *LinkClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}
