package httpserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/urfave/negroni/v3"
	"golang.org/x/sys/unix"

	"github.com/poplarlever/poplarlever/internal/clock"
)

// WatchPauses makes the server find the connections that are older than the latest pause of
// the process. Call it before Serve.
func (s *Server) WatchPauses(p *clock.Pauses) {
	if l, ok := s.listener.(*net.TCPListener); ok {
		s.accepting = &pauseListener{TCPListener: l, pauses: p}
	}
}

// pausesBefore returns how many pauses at least had ended when the connection accepted last was
// opened.
func (s *Server) pausesBefore() uint64 {
	if s.accepting == nil {
		return 0
	}
	return s.accepting.pausesBefore.Load()
}

// Outdated reports whether the process has been paused since the connection was opened. What
// arrives on it may have been sent before the end of the pause, by a client that has given up
// since and sent the request elsewhere: the end of the connection arrives after what was sent
// before, at an unknown distance.
func (c *Connection) Outdated() bool { return c.pauses != nil && c.pauses.Count() > c.pausesBefore }

// EndOutdated closes the idle connections of callers that are older than the latest pause of
// the process, so that their next requests come over new ones. Other outdated connections end
// with their next response.
func (s *Server) EndOutdated() {
	if s.accepting == nil {
		return
	}
	s.accepting.afterPause()
	if s.connections != nil {
		s.connections.closeOutdated(s.accepting.pauses.Count())
	}
}

// closeOutdated closes the connections of callers that were opened before the given number of
// pauses, serve no request and hold none that is unread.
func (s *connectionSet) closeOutdated(pauses uint64) {
	outdated := func(t *trackedConn) bool { return t.pausesBefore < pauses && !t.internal.Load() }
	for _, t := range s.idle(outdated) {
		// A request that is being read gets an answer.
		if state, err := peek(t.TCPConn); err == nil && state == nothingUnread && !t.unserved.Load() {
			_ = t.Close()
		}
	}
}

// serveEndingOutdated serves a request, and makes its response end a connection that is
// outdated by then.
func serveEndingOutdated(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	c := ConnectionOf(r.Context())
	rw, ok := w.(negroni.ResponseWriter)
	if c.pauses == nil || !ok {
		next(w, r)
		return
	}
	end := func(w negroni.ResponseWriter) {
		if c.Outdated() {
			w.Header().Set("Connection", "close")
		}
	}
	rw.Before(end)
	next(rw, r)
	if !rw.Written() {
		end(rw)
	}
}

// pauseListener relates the connections that it accepts to the pauses of the process.
type pauseListener struct {
	*net.TCPListener
	pauses *clock.Pauses
	// pausesBefore is how many pauses at least have ended before the opening of the connections
	// that are accepted from now on. A connection may have waited through a pause, so the number
	// rises only when none waits.
	pausesBefore atomic.Uint64
}

// Accept implements net.Listener.
func (l *pauseListener) Accept() (net.Conn, error) {
	for {
		if n := l.pauses.Count(); n != l.pausesBefore.Load() && !l.connectionWaits() {
			l.pausesBefore.Store(n)
		}
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// The call was interrupted by afterPause.
		if err := l.SetDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
}

// afterPause makes a call of Accept that waits for a connection look for a pause first.
func (l *pauseListener) afterPause() { _ = l.SetDeadline(time.Unix(1, 0)) }

// connectionWaits reports whether a connection may wait to be accepted.
func (l *pauseListener) connectionWaits() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return true
	}
	waits := true
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = n != 0 || err != nil
	})
	return waits || err != nil
}
