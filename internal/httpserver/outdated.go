package httpserver

import (
	"net"
	"sync/atomic"

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

// Outdated reports whether the process has been paused since the connection was opened. What
// arrives on it may have been sent before the end of the pause, by a client that has given up
// since and sent the request elsewhere: the end of the connection arrives after what was sent
// before, at an unknown distance.
func (c *Connection) Outdated() bool { return c.pauses != nil && c.pauses.Count() > c.openedAt }

// pauseListener relates the connections that it accepts to the pauses of the process.
type pauseListener struct {
	*net.TCPListener
	pauses *clock.Pauses
	// openedAt is a number of pauses after which the connections accepted from now on were
	// opened. A connection may have waited to be accepted since before a pause, so the number
	// rises only when none waits.
	openedAt atomic.Uint64
}

// Accept implements net.Listener.
func (l *pauseListener) Accept() (net.Conn, error) {
	if n := l.pauses.Count(); n != l.openedAt.Load() && !l.connectionWaits() {
		l.openedAt.Store(n)
	}
	return l.TCPListener.Accept()
}

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
