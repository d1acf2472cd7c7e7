package entryd

import (
	"errors"
	"io"
	"net/http"
)

// errBodiesTooLarge ends the reading of a body when the bodies of all requests in
// progress exceed the limit.
var errBodiesTooLarge = errors.New("the bodies of the requests in progress exceed the limit")

// limitedBody counts what is read of a request's body towards the limit of all bodies,
// and records how the reading ended.
type limitedBody struct {
	io.ReadCloser
	writer    *responseWriter
	admission *admissionHandler
	charged   int64
	// reserved is set when the largest size was counted in advance.
	reserved bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.reserved {
		b.charge(int64(n))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case b.writer.bodiesExceeded:
		return 0, errBodiesTooLarge
	case errors.As(err, &tooLarge):
		b.writer.bodyTooLarge = true
	case err == io.EOF:
		b.writer.clearReadDeadline()
	}
	return n, err
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
