package httpserver

import (
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
)

// Use says whom a server serves. Each kind has its own part of the connections, so that the
// peers of one cannot take those of another.
type Use uint8

const (
	// Callers are clients of the users' platform.
	Callers Use = iota
	// Control is an address for the system's own processes, which other callers may reach too.
	Control
	// Probes are health checks.
	Probes
)

const (
	// probeConnections is the largest number of connections of a server for Probes.
	probeConnections = 64
	// idleStall is the time without a request after which a connection may be closed for another
	// one. Bodies that came with it and stand still have stalled before.
	idleStall = 2 * bodybudget.DefaultStall
	// headroom is the number of connections that a server accepts beyond its bound. The first
	// request on one of them is refused with an answer, unless it comes from another process
	// of the system.
	headroom = 48
)

// connectionSet is the open connections of one server.
type connectionSet struct {
	guard *Guard
	// most is the largest number of connections, those of the system's own processes left
	// out; zero means no bound.
	most int64

	mu   sync.Mutex
	open map[*trackedConn]struct{}
	// callers is the number of connections that count towards most.
	callers int64
}

func newConnectionSet(g *Guard, use Use) *connectionSet {
	s := &connectionSet{guard: g, open: make(map[*trackedConn]struct{})}
	switch use {
	case Callers:
		s.most = g.share(3, 2)
	case Control:
		s.most = g.share(6, 4)
	case Probes:
		s.most = probeConnections
	}
	return s
}

// trackedConn is one connection of a server with a Guard.
type trackedConn struct {
	*net.TCPConn
	set *connectionSet
	// requests is the number of requests that handlers serve, idleSince the time in
	// nanoseconds since the last of them ended, or since the connection was accepted.
	requests  atomic.Int32
	idleSince atomic.Int64
	// beyond is set for a connection that was accepted beyond the bound.
	beyond atomic.Bool
	http2  atomic.Bool
	// internal is set for a connection of one of the system's own processes.
	internal atomic.Bool
	// pausesBefore is that of the Connection.
	pausesBefore uint64
	// unserved is set while bytes have been read that belong to no request served so far.
	unserved atomic.Bool
	// closed is guarded by connectionSet.mu.
	closed bool
	// streams is the number of streams of BoundStreams.
	streams atomic.Int32
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.unserved.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.set.remove(c)
	return c.TCPConn.Close()
}

// trackedOf returns the tracked connection below a connection, or nil.
func trackedOf(conn net.Conn) *trackedConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	t, _ := conn.(*trackedConn)
	return t
}

// trackingListener bounds the connections that it accepts.
type trackingListener struct {
	net.Listener
	set *connectionSet
	// pausesBefore is that of the connection accepted last.
	pausesBefore func() uint64
}

// acceptPause is how long accepting pauses after a failure, such as a want of descriptors.
const acceptPause = 10 * time.Millisecond

// Accept implements net.Listener. It returns an error only once the listener is closed.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if t := l.set.add(tcp, l.pausesBefore()); t != nil {
			return t, nil
		}
		// A reset leaves nothing behind; an orderly close would wait for the peer.
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// add adds a new connection, for which it closes another one if there are as many as there may
// be: first one whose request makes no progress, then the one that has been idle for the
// longest time. It returns nil if there is no room.
func (s *connectionSet) add(tcp *net.TCPConn, pausesBefore uint64) *trackedConn {
	if s.guard.resources.Memory > 0 {
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
	now := time.Now()
	t := &trackedConn{TCPConn: tcp, set: s, pausesBefore: pausesBefore}
	t.idleSince.Store(now.UnixNano())
	if s.full(0) {
		s.closeOne(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > 0 && s.callers >= s.most+headroom {
		s.guard.count(bodybudget.NoConnection)
		return nil
	}
	t.beyond.Store(s.most > 0 && s.callers >= s.most)
	s.open[t] = struct{}{}
	s.callers++
	s.guard.connections.Add(1)
	return t
}

// full reports whether callers have as many connections as they may have, and more than the
// given number beyond.
func (s *connectionSet) full(beyond int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most > 0 && s.callers >= s.most+beyond
}

// closeOne closes a connection to make room for another one.
func (s *connectionSet) closeOne(now time.Time) {
	if s.guard.budget.DropStalled(now, s) {
		return
	}
	s.closeIdle(now, false)
}

// closeIdle closes the connection that has been idle for the longest time, among those of the
// system's own processes or among the others. It returns false if none has been idle for
// idleStall.
func (s *connectionSet) closeIdle(now time.Time, internal bool) bool {
	var longest *trackedConn
	since := now.Add(-idleStall).UnixNano()
	s.mu.Lock()
	for t := range s.open {
		if idle := t.idleSince.Load(); t.requests.Load() == 0 && idle <= since && t.internal.Load() == internal {
			longest, since = t, idle
		}
	}
	s.mu.Unlock()
	if longest == nil {
		return false
	}
	s.guard.count(bodybudget.IdleConnection)
	_ = longest.Close()
	return true
}

// closeIdleInternal closes the connections of the system's own processes that serve no request.
// An orderly end of an idle HTTP/2 connection takes a second; these processes just open
// another one.
func (s *connectionSet) closeIdleInternal() {
	for _, t := range s.idle(func(t *trackedConn) bool { return t.internal.Load() }) {
		_ = t.Close()
	}
}

// idle returns the connections that serve no request and fulfil a condition.
func (s *connectionSet) idle(condition func(*trackedConn) bool) []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*trackedConn
	for t := range s.open {
		if t.requests.Load() == 0 && condition(t) {
			idle = append(idle, t)
		}
	}
	return idle
}

func (s *connectionSet) remove(t *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	delete(s.open, t)
	s.guard.connections.Add(-1)
	if t.internal.Load() {
		s.guard.links.Add(-1)
	} else {
		s.callers--
	}
}

const (
	// unreadTimeout is how long the server looks for the end of a body that no handler read.
	unreadTimeout = time.Second
	// answerTimeout is how long a client may take to read the answer to a GET, such as the
	// metrics. Answers to jobs are written when their memory has been given back.
	answerTimeout = 30 * time.Second
)

// boundRequest refuses the request of a connection that was accepted beyond the bound, and
// bounds what follows the handler: net/http itself reads up to 256 KiB of a body that the handler
// left, without a time limit.
func (s *Server) boundRequest(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	c := ConnectionOf(r.Context())
	t := c.tracked
	if t == nil {
		next(w, r)
		return
	}
	t.requests.Add(1)
	// A client that does not read its answers keeps its connection no longer than an idle one.
	defer func() {
		t.idleSince.Store(time.Now().UnixNano())
		t.unserved.Store(false)
		t.requests.Add(-1)
	}()
	if r.ProtoMajor == 2 {
		t.http2.Store(true)
	}
	if t.beyond.Load() && !s.isInternal(r) {
		if s.connections.full(1) {
			s.connections.guard.count(bodybudget.NoConnection)
			CloseAfter(w, r)
			Unavailable(w)
			return
		}
		t.beyond.Store(false)
	}
	if r.Method == http.MethodGet {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
	}
	if r.ProtoMajor != 1 {
		next(w, r)
		return
	}
	// Requests of an HTTP/1 connection follow one another.
	c.bodyOpened.Store(false)
	next(w, r)
	if r.ContentLength != 0 && !c.bodyOpened.Load() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout))
	}
}

// BoundConcurrency answers 503 while n requests to the handler are in progress.
func BoundConcurrency(h http.Handler, n int) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			Unavailable(w)
		}
	})
}

// isInternal reports whether only processes of the system send the request.
func (s *Server) isInternal(r *http.Request) bool {
	if s.all != nil {
		return false
	}
	_, pattern := s.mux.Handler(r)
	return s.internal[pattern]
}

// Unavailable answers 503 with the time after which to come back: nothing ran.
func Unavailable(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(RetryAfter().Seconds()))))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// HandleInternal is like Handle for calls that only processes of the system make. Their
// connections do not count among those of callers, and have a bound of their own.
func (s *Server) HandleInternal(pattern string, h http.Handler) {
	if s.internal == nil {
		s.internal = make(map[string]bool)
	}
	s.internal[pattern] = true
	s.mux.Handle(pattern, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := ConnectionOf(r.Context()).tracked
		if t == nil {
			h.ServeHTTP(w, r)
			return
		}
		if !t.set.admitInternal(t) {
			t.set.guard.count(bodybudget.TooManyLinks)
			CloseAfter(w, r)
			Unavailable(w)
			return
		}
		h.ServeHTTP(w, r)
	}))
}

// admitInternal makes a connection one of the system's own processes. If there are as many as
// there may be, it closes an idle one.
func (s *connectionSet) admitInternal(t *trackedConn) bool {
	most := s.guard.maxLinks()
	if t.internal.Load() {
		return true
	}
	if most > 0 && s.guard.links.Load() >= most && !s.closeIdle(time.Now(), true) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.closed || t.internal.Load() {
		return !t.closed
	}
	s.guard.links.Add(1)
	t.internal.Store(true)
	t.beyond.Store(false)
	s.callers--
	if s.guard.resources.Memory > 0 {
		_ = t.SetReadBuffer(linkReceiveBuffer)
	}
	return true
}
