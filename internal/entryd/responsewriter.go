package entryd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// maxRejection is how much of a withheld error body is kept, in bytes.
const maxRejection = 4 << 10

// call follows one request through the Connect library. Until the service is
// reached it withholds what the library writes. Only the request's goroutine
// uses it.
type call struct {
	http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	reached      bool
	bodyTooLarge bool
	// bodiesExceeded is set when the bodies of all requests were too large.
	bodiesExceeded bool
	status         int
	withheld       bytes.Buffer
}

type callKey struct{}

func withCall(ctx context.Context, c *call) context.Context {
	return context.WithValue(ctx, callKey{}, c)
}

// reachedService records that the request was decoded. Each method of the
// service calls it first.
func reachedService(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		c.reached = true
		c.bodyRead()
	}
}

// extendWrite gives the caller time to read the next message.
func extendWrite(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		_ = c.control.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
}

// bodyRead lifts the body's deadline, which would otherwise look like a lost
// connection while the job runs.
func (c *call) bodyRead() { _ = c.control.SetReadDeadline(time.Time{}) }

// Unwrap lets http.ResponseController find the server's writer.
func (c *call) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (c *call) WriteHeader(status int) {
	if c.reached {
		c.ResponseWriter.WriteHeader(status)
		return
	}
	c.status = status
}

// Write implements http.ResponseWriter.
func (c *call) Write(p []byte) (int, error) {
	if c.reached {
		return c.ResponseWriter.Write(p)
	}
	c.withheld.Write(p[:min(len(p), maxRejection-min(maxRejection, c.withheld.Len()))])
	return len(p), nil
}

// Flush implements http.Flusher.
func (c *call) Flush() {
	if c.reached {
		_ = c.control.Flush()
	}
}

// rejection returns the code and message of the withheld answer. The Connect
// protocol puts them into a JSON body; for other forms a general text is used.
func (c *call) rejection() (connect.Code, string) {
	var body struct {
		Code    connect.Code `json:"code"`
		Message string       `json:"message"`
	}
	if json.Unmarshal(c.withheld.Bytes(), &body) == nil && body.Code != 0 {
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
