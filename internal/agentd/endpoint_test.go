package agentd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

func newTestClient(url string) *endpointClient {
	e := newEndpointClient(maxConnections)
	e.url.Store(url)
	return e
}

func newStart(n int) agent.Start {
	return agent.Start{Name: fmt.Sprint("attempt-", n), Payload: []byte("p"), RunLimit: 20 * time.Second}
}

// rawEndpoint listens on TCP, counts the requests that it reads and calls serve with
// the connection after each read.
func rawEndpoint(c *qt.C, serve func(net.Conn)) (url string, requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 4096)
				for {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					requests.Add(int64(strings.Count(string(buffer[:n]), "POST ")))
					serve(conn)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/", requests
}

// Guards against a transport that resends a task on a new connection when a reused
// one is closed.
func TestTaskIsSentAtMostOnce(t *testing.T) {
	c := qt.New(t)
	for name, second := range map[string]func(net.Conn){
		"closed without an answer": func(conn net.Conn) { conn.Close() },
		"reset":                    func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0); conn.Close() },
		"half an answer": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			conn.Close()
		},
	} {
		c.Run(name, func(c *qt.C) {
			var first atomic.Bool
			url, requests := rawEndpoint(c, func(conn net.Conn) {
				if first.CompareAndSwap(false, true) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					return
				}
				second(conn)
			})
			e := newTestClient(url)
			c.Assert(e.run(newStart(1)).Kind, qt.Equals, msg.ResultOK)
			c.Assert(e.run(newStart(2)).Kind, qt.Equals, msg.ResultEndpointFailed)
			c.Assert(requests.Load(), qt.Equals, int64(2))
		})
	}
}

// Guards against a second request for a task while the endpoint keeps closing its
// idle connections.
func TestTaskIsSentAtMostOnceWhileConnectionsClose(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	starts := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		starts[r.Header.Get(HeaderAttempt)]++
	}))
	defer server.Close()
	e := newTestClient(server.URL)
	for i := range 300 {
		kind := e.run(newStart(i)).Kind
		mu.Lock()
		n := starts[newStart(i).Name]
		mu.Unlock()
		c.Assert(n <= 1, qt.IsTrue, qt.Commentf("task %d was sent %d times", i, n))
		c.Assert(kind == msg.ResultOK && n == 0, qt.IsFalse)
		c.Assert(kind == msg.ResultNotReached && n > 0, qt.IsFalse)
		server.CloseClientConnections()
	}
}

// Guards against a wrong result kind for what the endpoint did.
func TestResultKindOfEndpointAnswers(t *testing.T) {
	c := qt.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed.Close()
	c.Assert(newTestClient("http://"+closed.Addr().String()+"/").run(newStart(1)).Kind, qt.Equals, msg.ResultNotReached)

	release := make(chan struct{})
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		switch r.URL.Path {
		case "/hang":
			<-release
		case "/redirect":
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		case "/found":
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		case "/error":
			http.Error(w, "no", http.StatusInternalServerError)
		case "/large":
			_, _ = w.Write(make([]byte, maxResultBytes+1))
		}
	}))
	defer server.Close()
	defer close(release)
	for path, want := range map[string]msg.ResultKind{
		"/hang": msg.ResultEndpointFailed, "/redirect": msg.ResultEndpointError, "/found": msg.ResultEndpointError,
		"/error": msg.ResultEndpointError, "/large": msg.ResultEndpointFailed,
	} {
		before := requests.Load()
		limited := newStart(2)
		if path == "/hang" {
			// Long enough to connect on a busy machine: without a connection the kind is
			// ResultNotReached.
			limited.RunLimit = 2 * time.Second
		}
		c.Check(newTestClient(server.URL+path).run(limited).Kind, qt.Equals, want, qt.Commentf(path))
		c.Check(requests.Load()-before, qt.Equals, int64(1), qt.Commentf(path))
	}
}

// Guards against opening more connections to the endpoint than allowed.
func TestConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	var open, peak atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if n := open.Add(1); n > peak.Load() {
			peak.Store(n)
		}
		<-release
		open.Add(-1)
	}))
	defer server.Close()
	e := newTestClient(server.URL)
	var group sync.WaitGroup
	for i := range 2 * maxConnections {
		group.Go(func() { e.run(newStart(i)) })
	}
	for open.Load() < maxConnections {
		time.Sleep(time.Millisecond)
	}
	close(release)
	group.Wait()
	c.Assert(peak.Load() <= maxConnections, qt.IsTrue, qt.Commentf("%d connections at once", peak.Load()))
}

// Guards against accepting announcements that direct tasks to another machine or
// carry invalid sizes.
func TestMalformedAnnouncementsAreRejected(t *testing.T) {
	c := qt.New(t)
	const good = `{"service":"s","url":"http://127.0.0.1:1/t","slots":8,"connections":64}`
	in, err := readAnnouncement(strings.NewReader(good))
	c.Assert(err, qt.IsNil)
	c.Assert(in.Slots, qt.Equals, 8)
	change := func(from, to string) string { return strings.Replace(good, from, to, 1) }
	for _, text := range []string{
		"", "{", "null", "[]", good + "x", good + good, change(`"s"`, `""`), change(`:8`, `:0`), change(`:8`, `:-1`),
		change(`:8`, `:1025`), change(`:8`, `:"8"`), change(`:64`, `:65`), change(`:64`, `:-1`), change(`"slots"`, `"slot"`),
		change("127.0.0.1", "192.0.2.1"), change("127.0.0.1", "localhost"), change("http:", "https:"), change("http:", "ftp:"),
		change("127.0.0.1:1", "127.0.0.1"), change("127.0.0.1", "user@127.0.0.1"), change(`"s"`, fmt.Sprintf("%q", strings.Repeat("s", 201))),
		change(`}`, `,"cores":-1}`), change(`}`, `,"memory_bytes":-1}`),
	} {
		_, err := readAnnouncement(strings.NewReader(text))
		c.Check(err, qt.ErrorMatches, "announcement.malformed.*", qt.Commentf("%s", text))
	}
}
