package entryd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarlever/poplarlever/internal/httpserver"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// maxBufferedError is how much of a buffered error body is kept, in bytes.
const maxBufferedError = 4 << 10

// responseWriter is the response to one request. It buffers what the Connect library
// writes until the service is reached, and passes on what follows. Only the request's
// goroutine uses it.
type responseWriter struct {
	http.ResponseWriter
	controller     *http.ResponseController
	writeTimeout   time.Duration
	handlerReached bool
	bodyTooLarge   bool
	// bodiesExceeded is set when the bodies of all requests exceeded the limit.
	bodiesExceeded bool
	// body is the body of the request, which also counts the memory of its answer.
	body     *httpserver.Body
	status   int
	buffered bytes.Buffer
}

type responseWriterKey struct{}

func withResponseWriter(ctx context.Context, c *responseWriter) context.Context {
	return context.WithValue(ctx, responseWriterKey{}, c)
}

// markHandlerReached records that the request was decoded. Each method of the service
// calls it first.
func markHandlerReached(ctx context.Context) {
	if c, ok := ctx.Value(responseWriterKey{}).(*responseWriter); ok {
		c.handlerReached = true
		c.clearReadDeadline()
	}
}

// jobDecoded counts the decoded form of a job in place of its body. It returns false if there is
// no memory for it.
func jobDecoded(ctx context.Context, req *pb.SubmitRequest) bool {
	c, ok := ctx.Value(responseWriterKey{}).(*responseWriter)
	if !ok {
		return true
	}
	n := int64(0)
	for _, t := range req.GetTasks() {
		n += taskBytes + int64(len(t.GetPayload()))
	}
	return c.body.Decoded(n) == nil
}

// taskBytes is the memory of one task of a job in progress beside its payload, in bytes.
const taskBytes = 512

// countAnswer counts the memory of an answer until the request ends.
func countAnswer(ctx context.Context, answer *pb.SubmitResponse) {
	c, ok := ctx.Value(responseWriterKey{}).(*responseWriter)
	if !ok {
		return
	}
	n := int64(0)
	for _, r := range answer.GetResults() {
		n += int64(len(r.GetPayload()))
	}
	if n > 0 {
		// The results and their encoded form.
		c.body.Answer(2 * n)
	}
}

// extendWriteDeadline gives the caller writeTimeout to read the next message.
func extendWriteDeadline(ctx context.Context) {
	if c, ok := ctx.Value(responseWriterKey{}).(*responseWriter); ok {
		_ = c.controller.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
}

// clearReadDeadline removes the deadline of the body. If it passed while the job runs,
// it would look like a lost connection.
func (c *responseWriter) clearReadDeadline() { _ = c.controller.SetReadDeadline(time.Time{}) }

// Unwrap lets http.ResponseController find the server's writer.
func (c *responseWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (c *responseWriter) WriteHeader(status int) {
	if c.handlerReached {
		c.ResponseWriter.WriteHeader(status)
		return
	}
	c.status = status
}

// Write implements http.ResponseWriter.
func (c *responseWriter) Write(p []byte) (int, error) {
	if c.handlerReached {
		return c.ResponseWriter.Write(p)
	}
	c.buffered.Write(p[:min(len(p), maxBufferedError-min(maxBufferedError, c.buffered.Len()))])
	return len(p), nil
}

// Flush implements http.Flusher.
func (c *responseWriter) Flush() {
	if c.handlerReached {
		_ = c.controller.Flush()
	}
}

// rejection returns the code and message of the buffered answer. The Connect protocol
// puts them into a JSON body; for other forms they follow from the HTTP status.
func (c *responseWriter) rejection() (connect.Code, string) {
	var body struct {
		Code    connect.Code `json:"code"`
		Message string       `json:"message"`
	}
	if json.Unmarshal(c.buffered.Bytes(), &body) == nil && body.Code != 0 {
		return body.Code, body.Message
	}
	switch c.status {
	case http.StatusNotFound:
		return connect.CodeUnimplemented, "the service has no such method"
	case http.StatusMethodNotAllowed, http.StatusUnsupportedMediaType:
		return connect.CodeInvalidArgument, "the request's method or content type is not supported"
	}
	return connect.CodeInvalidArgument, "the request could not be decoded"
}
