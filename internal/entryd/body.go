package entryd

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
	"github.com/poplarlever/poplarlever/internal/httpserver"
)

// errBodiesTooLarge ends the reading of a body when the bodies of all requests in
// progress exceed the limit.
var errBodiesTooLarge = errors.New("the bodies of the requests in progress exceed the limit")

// limitedBody counts what is read of a request's body towards the limit of all bodies,
// and records how the reading ended.
type limitedBody struct {
	*httpserver.Body
	writer    *responseWriter
	admission *admissionHandler
	charged   int64
	// reserved is set when the largest size was counted in advance.
	reserved bool
	// ended is set once the whole body has been read.
	ended bool
	// deadline is when the body ends unless more of it arrives.
	deadline time.Time
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	if !b.reserved {
		b.charge(int64(n))
	}
	switch reason := b.Reason(); {
	case reason == bodybudget.TooLarge:
		b.writer.bodyTooLarge = true
	case reason != 0 || b.writer.bodiesExceeded:
		b.writer.bodiesExceeded = true
		return 0, errBodiesTooLarge
	case err == io.EOF:
		b.ended = true
		b.writer.clearReadDeadline()
	case err == nil:
		b.extendDeadline(time.Now())
	}
	return n, err
}

// extendDeadline gives the rest of the body BodyTimeout from now, unless most of that is left.
func (b *limitedBody) extendDeadline(now time.Time) {
	timeout := b.admission.limits.BodyTimeout
	if b.deadline.Sub(now) > timeout/4*3 {
		return
	}
	b.deadline = now.Add(timeout)
	b.SetReadDeadline(b.deadline)
}

func (b *limitedBody) charge(n int64) {
	b.charged += n
	if b.admission.bodyBytes.Add(n) > b.admission.limits.MaxBodies {
		b.writer.bodiesExceeded = true
	}
}

func (b *limitedBody) reserve(n int64) {
	b.reserved = true
	b.charge(n)
}

func (b *limitedBody) release() { b.admission.bodyBytes.Add(-b.charged) }

// compressed reports whether a header of one of the protocols names a compression.
func compressed(r *http.Request) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if encoding := r.Header.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}
