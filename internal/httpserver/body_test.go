package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
)

const testTimeout = 20 * time.Second

// startBodies starts a server that answers with the number of bytes of each body.
func startBodies(c *qt.C, g *Guard, use Use) *Server {
	s, err := Listen("127.0.0.1:0", WithGuard(g, use))
	c.Assert(err, qt.IsNil)
	s.Handle("POST /", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := OpenBody(w, r, 1<<20, 1)
		defer body.Close()
		n := 0
		err := body.ReadAll(func(content []byte) error { n = len(content); return nil })
		switch reason := body.Reason(); {
		case reason == bodybudget.TooLarge:
			CloseAfter(w, r)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case reason != 0:
			CloseAfter(w, r)
			Unavailable(w)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = fmt.Fprint(w, n)
		}
	}))
	s.HandleInternal("POST /internal", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }))
	go func() { _ = s.Serve() }()
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

func dial(c *qt.C, s *Server, text string) net.Conn {
	conn, err := net.Dial("tcp", s.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn
}

// answer returns the response on a connection and whether the connection ends with it.
func answer(c *qt.C, conn net.Conn) (resp *http.Response, closed bool) {
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, resp.Close
}

const post = "POST / HTTP/1.1\r\nHost: a\r\n"

// Guards against a body over the limit that is read in search of its end, that loses its answer
// to a reset, or that is asked for although it was announced.
func TestBodyOverTheLimit(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"declared", post + "Content-Length: 100000000\r\n\r\n" + strings.Repeat("x", 300<<10)},
		{"declared, nothing sent", post + "Content-Length: 100000000\r\n\r\n"},
		{"declared, slightly", post + "Content-Length: 1048577\r\n\r\n"},
		{"declared, waits", post + "Expect: 100-continue\r\nContent-Length: 100000000\r\n\r\n"},
		{"undeclared", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", 17)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := NewGuard(Resources{Memory: 64 << 20, Descriptors: 1000})
			resp, closed := answer(c, dial(c, startBodies(c, g, Callers), test.text))
			c.Check(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
			c.Check(closed, qt.IsTrue)
			c.Check(g.Count(bodybudget.TooLarge), qt.Equals, uint64(1))
		})
	}
}

// Guards against the same over HTTP/2, and against a connection that ends for all its requests.
func TestBodyOverTheLimitOnHTTP2(t *testing.T) {
	c := qt.New(t)
	s := startBodies(c, NewGuard(Resources{Memory: 64 << 20, Descriptors: 1000}), Callers)
	client := NewClient()
	for _, size := range []int{2 << 20, 100} {
		for _, body := range []io.Reader{bytes.NewReader(make([]byte, size)), io.MultiReader(bytes.NewReader(make([]byte, size)))} {
			resp, err := client.Post("http://"+s.Address()+"/", "text/plain", body)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, map[bool]int{true: http.StatusRequestEntityTooLarge, false: http.StatusOK}[size > 1<<20])
		}
	}
}

func waitUntil(c *qt.C, what string, condition func() bool) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("timed out waiting for %s", what)
}

// Guards against bodies that stand still and keep others from being served, and against one
// that is dropped without the answer that it did not run, or although nothing needs its memory.
func TestStalledBodiesGiveWay(t *testing.T) {
	c := qt.New(t)
	g := NewGuard(Resources{Memory: 48 << 20, Descriptors: 1000})
	s := startBodies(c, g, Callers)
	const size = 1 << 20
	part := post + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size-10)
	var stalled []net.Conn
	for range 8 {
		stalled = append(stalled, dial(c, s, part))
	}
	waitUntil(c, "all bodies", func() bool { return g.HeldBytes() >= 8*(size-32<<10) })
	// Once they stand still, the rest of the memory and theirs is there for others.
	waitUntil(c, "the bodies to be dropped", func() bool {
		dial(c, s, part)
		time.Sleep(10 * time.Millisecond)
		return g.Count(bodybudget.StalledMemory) >= uint64(len(stalled))
	})
	for _, conn := range stalled {
		resp, closed := answer(c, conn)
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Check(resp.Header.Get("Retry-After"), qt.Matches, `[123]`)
		c.Check(closed, qt.IsTrue)
	}
	ordinary, _ := answer(c, dial(c, s, post+"Content-Length: 2\r\n\r\nab"))
	c.Check(ordinary.StatusCode, qt.Equals, http.StatusOK)
	// A large one is served too, once what came before it has stalled.
	waitUntil(c, "a large body", func() bool {
		last := dial(c, s, part)
		_, err := io.WriteString(last, strings.Repeat("x", 10))
		c.Assert(err, qt.IsNil)
		resp, _ := answer(c, last)
		return resp.StatusCode == http.StatusOK
	})
	c.Check(g.HeldBytes() <= g.budget.Bytes(), qt.IsTrue)
}

// Guards against connections that are not closed in the documented order, and against processes
// of the system that are refused because callers have all connections.
func TestConnectionsBeyondTheBound(t *testing.T) {
	c := qt.New(t)
	g := NewGuard(Resources{Descriptors: 1})
	s := startBodies(c, g, Control)
	c.Assert(s.connections.most, qt.Equals, int64(minConnections))
	busy := post + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 5<<10)
	idle := dial(c, s, "")
	for range minConnections - 1 {
		dial(c, s, busy)
	}
	waitUntil(c, "the connections", func() bool { return g.Connections() == minConnections && g.budget.Incomplete() == minConnections-1 })
	// Nothing has stalled yet: one more is refused with an answer, the system's own is served.
	resp, closed := answer(c, dial(c, s, post+"Content-Length: 2\r\n\r\nab"))
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get("Retry-After"), qt.Matches, `[123]`)
	c.Check(closed, qt.IsTrue)
	c.Check(g.Count(bodybudget.NoConnection), qt.Equals, uint64(1))
	resp, _ = answer(c, dial(c, s, "POST /internal HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	c.Check(resp.StatusCode, qt.Equals, http.StatusAccepted)
	// After a second without progress bodies give way, before idle connections do.
	waitUntil(c, "a served request", func() bool {
		// More refused ones at once would be closed without an answer.
		time.Sleep(50 * time.Millisecond)
		resp, _ := answer(c, dial(c, s, post+"Content-Length: 2\r\nConnection: close\r\n\r\nab"))
		return resp.StatusCode == http.StatusOK
	})
	c.Check(g.Count(bodybudget.StalledConnection) > 0, qt.IsTrue)
	c.Check(g.Count(bodybudget.IdleConnection), qt.Equals, uint64(0))
	_, err := io.WriteString(idle, post+"Content-Length: 2\r\n\r\nab")
	c.Assert(err, qt.IsNil)
	resp, _ = answer(c, idle)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against a slow body that is cut off although nothing needs its memory.
func TestSlowBodyIsServed(t *testing.T) {
	c := qt.New(t)
	g := NewGuard(Resources{Memory: 64 << 20, Descriptors: 1000})
	s := startBodies(c, g, Callers)
	conn := dial(c, s, post+"Content-Length: 100\r\n\r\n")
	for range 100 {
		g.budget.Sweep(time.Now())
		_, err := io.WriteString(conn, "x")
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	resp, closed := answer(c, conn)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Check(closed, qt.IsFalse)
	c.Check(g.HeldBytes(), qt.Equals, int64(0))
}

// Guards against connections that are held by a body that no handler reads and that does not end.
func TestUnreadBodyEnds(t *testing.T) {
	c := qt.New(t)
	s := startBodies(c, NewGuard(Resources{Memory: 64 << 20, Descriptors: 1000}), Callers)
	resp, closed := answer(c, dial(c, s, "PUT /unknown HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nab"))
	c.Check(resp.StatusCode, qt.Equals, http.StatusMethodNotAllowed)
	c.Check(closed, qt.IsTrue)
	resp, closed = answer(c, dial(c, s, "PUT /unknown HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"))
	c.Check(resp.StatusCode, qt.Equals, http.StatusMethodNotAllowed)
	c.Check(closed, qt.IsFalse)
}
