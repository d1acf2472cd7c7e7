package agentd

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// maxResultBytes bounds the response body of an endpoint.
	maxResultBytes = 4 << 20
	// dialTimeout bounds the time to connect to the endpoint on the same VM.
	dialTimeout = time.Second
)

// Headers of a task request to the endpoint.
const (
	HeaderAttempt = "Poplarlever-Attempt"
	HeaderAccount = "Poplarlever-Account"
)

// endpointClient sends tasks to the endpoint over HTTP. It is safe for concurrent use.
type endpointClient struct {
	client *http.Client
	url    atomic.Value // string
}

func newEndpointClient(connections int) *endpointClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &endpointClient{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
		},
		// Following a redirect would send a second request for the task.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	c.url.Store("")
	return c
}

// run sends the task and waits for the endpoint's response, at most s.RunLimit.
func (e *endpointClient) run(s agent.Start) agent.TaskEnded {
	started := time.Now()
	kind, payload := e.post(s)
	return agent.TaskEnded{Attempt: s.Attempt, Kind: kind, Payload: payload, RunTime: time.Since(started)}
}

func (e *endpointClient) post(s agent.Start) (msg.ResultKind, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), s.RunLimit)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// The body is an opaque reader, because with GetBody the transport could send the
	// request twice if it considers it idempotent.
	body := io.NopCloser(bytes.NewReader(s.Payload))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url.Load().(string), body)
	if err != nil {
		return msg.ResultNotReached, nil
	}
	req.ContentLength = int64(len(s.Payload))
	req.Header.Set(HeaderAttempt, s.Name)
	req.Header.Set(HeaderAccount, s.Account)
	resp, err := e.client.Do(req)
	if err != nil {
		return failureKind(connected.Load()), nil
	}
	defer resp.Body.Close()
	payload, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil || len(payload) > maxResultBytes {
		return msg.ResultEndpointFailed, nil
	}
	if resp.StatusCode/100 != 2 {
		return msg.ResultEndpointError, payload
	}
	return msg.ResultOK, payload
}

// failureKind returns the result kind of a request without a response. A task for
// which no connection was ever made cannot have run; any other may have.
func failureKind(connected bool) msg.ResultKind {
	if !connected {
		return msg.ResultNotReached
	}
	return msg.ResultEndpointFailed
}
