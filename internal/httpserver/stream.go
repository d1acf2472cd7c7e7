package httpserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
)

const (
	// maxStreamsPerConnection bounds the streams of a handler on one connection; an agent
	// opens one.
	maxStreamsPerConnection = 4
	// firstMessageTimeout is how long the first message of a stream may take.
	firstMessageTimeout = 10 * time.Second
	// messageFactor is the memory of each byte of a message while it is read: the Connect
	// library uses a buffer that doubles.
	messageFactor = 2
)

// BoundMessages bounds the body of each request to a handler whose library reads it.
func BoundMessages(h http.Handler, maxBytes int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := OpenBody(w, r, int64(maxBytes), messageFactor)
		defer body.Close()
		if body.Reason() != 0 {
			CloseAfter(w, r)
			if body.Reason() == bodybudget.TooLarge {
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			} else {
				Unavailable(w)
			}
			return
		}
		r.Body = readCloser{body, r.Body}
		h.ServeHTTP(w, r)
		if body.Reason() != 0 {
			// The server must not look for the end of the body.
			body.SetReadDeadline(time.Unix(1, 0))
		}
	})
}

// readCloser reads from a Body and closes what is below it. The Body itself is closed once the
// request is answered.
type readCloser struct {
	io.Reader
	io.Closer
}

// BoundStreams bounds the number of streams of a handler on one connection, the size of each
// message, and the time until the first one. The handler calls NextMessage after each message.
func BoundStreams(h http.Handler, maxMessage int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnectionOf(r.Context())
		if c.tracked == nil {
			h.ServeHTTP(w, r)
			return
		}
		defer c.tracked.streams.Add(-1)
		if c.tracked.streams.Add(1) > maxStreamsPerConnection {
			c.guard.count(bodybudget.TooManyLinks)
			Unavailable(w)
			return
		}
		s := &Stream{guard: c.guard, set: c.set(), src: r.Body, controller: http.NewResponseController(w), max: int64(maxMessage)}
		if reason := c.guard.budget.Open(&s.memory, time.Now, requestBytes, firstRead, messageFactor); reason != 0 {
			c.guard.count(reason)
			Unavailable(w)
			return
		}
		defer s.close()
		_ = s.controller.SetReadDeadline(time.Now().Add(firstMessageTimeout))
		r = r.WithContext(context.WithValue(r.Context(), streamKey{}, s))
		r.Body = readCloser{s, r.Body}
		h.ServeHTTP(w, r)
	})
}

type streamKey struct{}

// StreamOf returns the stream that a request's context belongs to, or nil.
func StreamOf(ctx context.Context) *Stream {
	s, _ := ctx.Value(streamKey{}).(*Stream)
	return s
}

var errStreamEnded = errors.New("the stream has ended")

// Stream counts the messages of a stream towards the memory of the process while they are read.
// One goroutine reads it, and may go on after the request has ended.
type Stream struct {
	guard      *Guard
	set        *connectionSet
	src        io.Reader
	controller *http.ResponseController
	max        int64
	// n is the number of bytes of the message that is being read. heard is set after the
	// first message.
	n     int64
	heard bool

	// mu guards the fields below. It is taken only for messages above firstRead.
	mu      sync.Mutex
	memory  bodybudget.Request
	tracked bool
	ended   bool
}

// Read implements io.Reader.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.src.Read(p)
	s.n += int64(n)
	if s.n <= firstRead {
		return n, err
	}
	if s.n > s.max {
		s.guard.count(bodybudget.TooLarge)
		return 0, bodybudget.TooLarge
	}
	if countErr := s.count(int64(n)); countErr != nil {
		return 0, countErr
	}
	return n, err
}

func (s *Stream) count(n int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errStreamEnded
	}
	if !s.tracked {
		s.tracked = true
		s.memory.Track(time.Now(), s.set, s.drop)
		n = s.n
	}
	reason := s.memory.Read(time.Now, n)
	if reason == bodybudget.NoMemory {
		s.guard.count(reason)
	}
	if reason != 0 {
		return reason
	}
	return nil
}

// drop ends the stream, because of a large message that stands still.
func (s *Stream) drop(reason bodybudget.Reason) {
	s.guard.count(reason)
	_ = s.controller.SetReadDeadline(time.Unix(1, 0))
}

// NextMessage says that a message has been read. A nil Stream ignores it.
func (s *Stream) NextMessage() {
	if s == nil {
		return
	}
	if !s.heard {
		s.heard = true
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	large := s.n > firstRead
	s.n = 0
	if !large {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.tracked = false
	// A stream that was dropped after its message had arrived ends with the next read.
	_ = s.memory.Restart(time.Now(), requestBytes, firstRead)
}

func (s *Stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.memory.Close()
}
