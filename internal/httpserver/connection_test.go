package httpserver

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against work for a caller that has gone: the request of a connection that was
// closed or reset while the process was paused is read afterwards like any other.
func TestConnectionClosedBeforeItsRequestIsRead(t *testing.T) {
	for _, test := range []struct {
		name   string
		end    func(*net.TCPConn) error
		closed bool
	}{
		{"open", func(*net.TCPConn) error { return nil }, false},
		{"closed", (*net.TCPConn).Close, true},
		{"reset", func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := Listen("127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			entered, resume, closed := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			s.Handle("POST /", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The handler is held here as it would be by a pause of the process.
				close(entered)
				<-resume
				closed <- ConnectionOf(r.Context()).Closed()
			}))
			go func() { _ = s.Serve() }()
			defer s.Shutdown(t.Context())
			conn, err := net.Dial("tcp", s.Address())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"))
			c.Assert(err, qt.IsNil)
			<-entered
			c.Assert(test.end(conn.(*net.TCPConn)), qt.IsNil)
			close(resume)
			c.Check(<-closed, qt.Equals, test.closed)
		})
	}
}

// Guards against a shutdown that takes a second longer, and so outlasts the time that a process
// has to stop, because another process of the system keeps an idle connection.
func TestIdleInternalConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	s, err := Listen("127.0.0.1:0", WithGuard(NewGuard(Resources{}), Control))
	c.Assert(err, qt.IsNil)
	s.HandleInternal("GET /internal", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = s.Serve() }()
	defer s.Shutdown(t.Context())
	other, err := net.Dial("tcp", s.Address())
	c.Assert(err, qt.IsNil)
	defer other.Close()
	resp, err := NewClient().Get("http://" + s.Address() + "/internal")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	for s.Guard().Connections() != 1 {
		// The request counts until its handler has returned.
		s.connections.closeIdleInternal()
		time.Sleep(time.Millisecond)
	}
	internal := s.connections.idle(func(t *trackedConn) bool { return t.internal.Load() })
	c.Check(internal, qt.HasLen, 0)
}
