package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/clock"
)

// pausedClock is a clock that moves only during the pauses of the process.
type pausedClock struct{ elapsed atomic.Int64 }

func (c *pausedClock) read() (now time.Time, suspended time.Duration) {
	return time.Unix(1000, 0).Add(time.Duration(c.elapsed.Load())), 0
}

func (c *pausedClock) pause() { c.elapsed.Add(int64(4 * time.Second)) }

// pausableServer is a server that answers whether a request's connection is outdated.
type pausableServer struct {
	*Server
	clock  pausedClock
	pauses *clock.Pauses
}

func newPausableServer(c *qt.C, opts ...Option) *pausableServer {
	s, err := Listen("127.0.0.1:0", opts...)
	c.Assert(err, qt.IsNil)
	p := &pausableServer{Server: s}
	p.pauses = clock.NewPauses(p.clock.read)
	c.Assert(p.pauses.Count(), qt.Equals, uint64(0))
	s.WatchPauses(p.pauses)
	s.Handle("GET /", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, ConnectionOf(r.Context()).Outdated())
	}))
	return p
}

// serve serves until the test ends.
func (p *pausableServer) serve(c *qt.C) {
	go func() { _ = p.Serve() }()
	c.Cleanup(func() { _ = p.server.Close() })
}

func (p *pausableServer) dial(c *qt.C) net.Conn {
	conn, err := net.Dial("tcp", p.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// waitForEmptyQueue waits until the server has found no more connection to accept that may be
// older than the latest pause.
func (p *pausableServer) waitForEmptyQueue() {
	for p.accepting.pausesBefore.Load() != p.pauses.Count() {
		time.Sleep(time.Millisecond)
	}
}

// ask sends a request and returns whether the server found its connection outdated, and
// whether it closes the connection.
func ask(c *qt.C, conn net.Conn) (outdated, closes bool) {
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var answer string
	_, err = fmt.Fscan(resp.Body, &answer)
	c.Assert(err, qt.IsNil)
	return answer == "true", resp.Close
}

// Guards against a request that passes for a new one although it was sent before a pause of
// the process: its connection was open before, or waited through the pause to be accepted.
func TestConnectionFromBeforeAPauseIsOutdated(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name   string
		option []Option
	}{{"without bounds", nil}, {"with bounds", []Option{WithGuard(NewGuard(Resources{}), Callers)}}} {
		c.Run(test.name, func(c *qt.C) {
			p := newPausableServer(c, test.option...)
			waiting := []net.Conn{p.dial(c), p.dial(c)}
			p.clock.pause()
			p.serve(c)
			for _, conn := range waiting {
				outdated, _ := ask(c, conn)
				c.Check(outdated, qt.IsTrue)
			}
			p.waitForEmptyQueue()
			open := p.dial(c)
			outdated, _ := ask(c, open)
			c.Check(outdated, qt.IsFalse, qt.Commentf("opened after the pause"))
			p.clock.pause()
			outdated, _ = ask(c, open)
			c.Check(outdated, qt.IsTrue)
		})
	}
}

// Guards against a caller that is refused after each pause for a connection that it did not use
// meanwhile, and against a request that gets no answer because its connection is closed.
func TestOutdatedConnectionsEnd(t *testing.T) {
	c := qt.New(t)
	p := newPausableServer(c, WithGuard(NewGuard(Resources{}), Callers))
	entered, resume := make(chan struct{}), make(chan struct{})
	p.Handle("GET /held", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-resume
	}))
	p.serve(c)
	idle, busy := p.dial(c), p.dial(c)
	_, closes := ask(c, idle)
	c.Check(closes, qt.IsFalse)
	_, err := busy.Write([]byte("GET /held HTTP/1.1\r\nHost: a\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	<-entered

	p.clock.pause()
	p.EndOutdated()
	_, err = idle.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
	close(resume)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Close, qt.IsTrue, qt.Commentf("a response after the pause"))
	p.waitForEmptyQueue()
	outdated, closes := ask(c, p.dial(c))
	c.Check(outdated, qt.IsFalse, qt.Commentf("opened after the pause"))
	c.Check(closes, qt.IsFalse)
}

// Guards against the connections of other processes of the system that stay outdated for good.
func TestOutdatedHTTP2ConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	p := newPausableServer(c)
	p.serve(c)
	client := NewClient()
	defer client.CloseIdleConnections()
	outdated := func() string {
		resp, err := client.Get("http://" + p.Address())
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		c.Check(resp.ProtoMajor, qt.Equals, 2)
		answer, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return string(answer)
	}
	c.Check(outdated(), qt.Equals, "false")
	p.clock.pause()
	p.EndOutdated()
	p.waitForEmptyQueue()
	c.Check(outdated(), qt.Equals, "true")
	for outdated() == "true" {
		time.Sleep(time.Millisecond)
	}
}
