package httpserver

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/bodybudget"
)

const (
	// requestBytes is the memory of a request beside its body: a goroutine, a header, and
	// with HTTP/2 a stream. It includes the first firstRead bytes of the body.
	requestBytes = 8 << 10
	firstRead    = 4 << 10
	// readSize is the size of the further parts that ReadAll reads.
	readSize = 16 << 10
	// largeDecode is the size above which bodies are decoded one after the other.
	largeDecode = 32 << 10
)

// Body reads the body of one request within the memory of its process. Only the request's
// goroutine uses it.
type Body struct {
	guard      *Guard
	connection *Connection
	memory     bodybudget.Request
	src        io.ReadCloser
	w          http.ResponseWriter
	length     int64
	max, n     int64
	tracked    bool
	err        error

	// deadlineMu guards dropped and orders changes of the read deadline.
	deadlineMu sync.Mutex
	dropped    bool
}

// OpenBody starts to read a request's body of at most maxBytes, each byte of which takes factor
// bytes of memory. Of a body that is announced to be too large, or that finds no memory, nothing
// is read: Reason is not zero then. The caller closes the result once the request is answered.
func OpenBody(w http.ResponseWriter, r *http.Request, maxBytes, factor int64) *Body {
	connection := ConnectionOf(r.Context())
	connection.bodyOpened.Store(true)
	b := &Body{
		guard: connection.guard, connection: connection, src: r.Body, w: w,
		length: r.ContentLength, max: maxBytes,
	}
	if r.ContentLength > maxBytes {
		_ = b.fail(bodybudget.TooLarge)
		return b
	}
	if b.guard != nil {
		if reason := b.guard.budget.Open(&b.memory, time.Now, requestBytes, firstRead, factor); reason != 0 {
			_ = b.fail(reason)
		}
	}
	return b
}

// fail records and counts the reason for which the body is not read any further.
func (b *Body) fail(reason bodybudget.Reason) error {
	b.err = reason
	// A request that was dropped was counted then.
	if reason == bodybudget.TooLarge || reason == bodybudget.NoMemory {
		b.guard.count(reason)
	}
	return reason
}

// Close gives back the memory of the request. It implements io.Closer.
func (b *Body) Close() error {
	b.memory.Close()
	return nil
}

// Reason returns why the body could not be read, or zero.
func (b *Body) Reason() bodybudget.Reason {
	var reason bodybudget.Reason
	if errors.As(b.err, &reason) {
		return reason
	}
	return 0
}

// Read implements io.Reader. After an error of type bodybudget.Reason the request has to be
// refused with CloseAfter.
func (b *Body) Read(p []byte) (int, error) {
	switch {
	case b.err != nil:
		return 0, b.err
	case len(p) == 0:
		return 0, nil
	case int64(len(p)) > b.max-b.n+1:
		p = p[:b.max-b.n+1]
	}
	n, err := b.src.Read(p)
	b.n += int64(n)
	if b.n > b.max {
		return 0, b.fail(bodybudget.TooLarge)
	}
	if b.guard != nil {
		if reason := b.count(int64(n), err); reason != 0 {
			return 0, b.fail(reason)
		}
	}
	if err != nil {
		b.err = err
	}
	return n, err
}

// count counts the bytes of one read with its error towards the memory of the process. The
// read of a request that was dropped ends with a time-out.
func (b *Body) count(n int64, err error) bodybudget.Reason {
	if !b.tracked && err == nil {
		b.memory.Track(time.Now(), b.connection.set(), b.drop)
		b.tracked = true
	}
	if reason := b.memory.Read(time.Now, n); reason != 0 {
		return reason
	}
	if err != nil {
		return b.memory.Complete()
	}
	return 0
}

// drop makes the read in progress end. Any goroutine may call it before Close.
func (b *Body) drop(reason bodybudget.Reason) {
	b.guard.count(reason)
	if reason == bodybudget.StalledConnection && b.connection.abort() {
		return
	}
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	b.dropped = true
	_ = http.NewResponseController(b.w).SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline bounds the reads that follow, unless the request has been dropped.
func (b *Body) SetReadDeadline(t time.Time) {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	if !b.dropped {
		_ = http.NewResponseController(b.w).SetReadDeadline(t)
	}
}

// ReadAll reads the whole body and passes it to decode. Large bodies are decoded one after the
// other. It returns the error of the reading or that of decode.
func (b *Body) ReadAll(decode func([]byte) error) error {
	if b.err != nil {
		return b.err
	}
	first := make([]byte, min(firstRead, max(512, b.length)))
	n, err := b.fill(first)
	if err == io.EOF {
		return decode(first[:n])
	}
	if err != nil {
		return err
	}
	parts := [][]byte{first}
	for err == nil {
		part := make([]byte, readSize)
		n, err = b.fill(part)
		parts = append(parts, part[:n])
	}
	if err != io.EOF {
		return err
	}
	release := b.guard.startDecode(b.n)
	defer release()
	content := make([]byte, 0, b.n)
	for i, part := range parts {
		content = append(content, part...)
		parts[i] = nil
	}
	return decode(content)
}

// fill reads until p is full or the body ends.
func (b *Body) fill(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := b.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// startDecode waits until a body of the given size may be decoded. The caller calls the
// result after it.
func (g *Guard) startDecode(size int64) (release func()) {
	if g == nil || size <= largeDecode {
		return func() {}
	}
	g.decoding <- struct{}{}
	return func() { <-g.decoding }
}

// StartDecode is startDecode for a body that a library reads.
func (g *Guard) StartDecode(size int) (release func()) { return g.startDecode(int64(size)) }

// Decoded replaces the memory of the body by that of its decoded form, in bytes, until Close. It
// returns NoMemory as an error if there is no room for it.
func (b *Body) Decoded(bytes int64) error {
	if b.guard == nil || !b.tracked && bytes <= firstRead {
		return nil
	}
	if reason := b.memory.Resize(time.Now(), requestBytes+bytes); reason != 0 {
		return b.fail(reason)
	}
	return nil
}

// Answer adds the memory of an answer, in bytes, until Close.
func (b *Body) Answer(bytes int64) {
	if b.guard != nil {
		b.memory.Force(bytes)
	}
}

// oneByte is a body that is longer than the limit of zero.
type oneByte struct{}

func (oneByte) Read(p []byte) (int, error) { return copy(p, "x"), nil }
func (oneByte) Close() error               { return nil }

// CloseAfter makes the server close the connection after the response to a request whose body
// was not read to its end, without reading more of it. Call it before the response is written.
// By itself the server would read up to 256 KiB of what follows, without a time limit.
func CloseAfter(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		// The stream is reset after the response, and the rest of its data is discarded.
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	// The server lets the client read the response before it closes the connection if its
	// own limit of a body was exceeded; otherwise what the client still sends makes the
	// kernel reset the connection, and the response is lost.
	base := w
	for {
		u, ok := base.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			break
		}
		base = u.Unwrap()
	}
	_, _ = http.MaxBytesReader(base, oneByte{}, 0).Read(make([]byte, 2))
	w.Header().Set("Connection", "close")
}
