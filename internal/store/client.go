package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// callTimeout bounds every call except watches.
	callTimeout = 2 * time.Second
	// watchTimeout exceeds the time after which the store ends a watch without
	// changes.
	watchTimeout = 45 * time.Second
	// maxResponseBytes bounds a response; it fits a listing of several values of
	// the maximum size.
	maxResponseBytes = 16 << 20
	idleTimeout      = 90 * time.Second
	// maxIdleConnections covers the concurrent calls of one process.
	maxIdleConnections = 4
)

// Client is a Store that is reached over HTTP. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	baseURL string
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at the address (host:port).
func NewClient(address string) *Client {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: callTimeout}).DialContext,
		IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdleConnections,
	}
	return &Client{http: &http.Client{Transport: transport}, baseURL: "http://" + address}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	resp, err := c.read(ctx, callTimeout, PathGet, Request{Key: key})
	if err != nil {
		return Entry{}, err
	}
	if len(resp.Entries) != 1 {
		return Entry{}, ErrUnavailable.New("the store returned %d entries for one key", len(resp.Entries))
	}
	return resp.Entries[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	resp, err := c.read(ctx, callTimeout, PathList, Request{Prefix: prefix})
	return Listing{Version: resp.Version, Entries: resp.Entries}, err
}

// ListVersions implements Store.
func (c *Client) ListVersions(ctx context.Context, prefix string) (Listing, error) {
	resp, err := c.read(ctx, callTimeout, PathListVersions, Request{Prefix: prefix})
	return Listing{Version: resp.Version, Entries: resp.Entries}, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge.New("the value of key %q has %d bytes, the limit is %d", key, len(value), MaxValue)
	}
	resp, err := c.write(ctx, PathSwap, Request{Key: key, Version: expected, Value: value, Lease: lease})
	return resp.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := c.write(ctx, PathDelete, Request{Key: key, Version: expected})
	return err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	resp, err := c.write(ctx, PathGrant, Request{TTLMillis: ttl.Milliseconds()})
	return resp.Lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, PathKeepAlive, Request{Lease: lease})
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, PathRevoke, Request{Lease: lease})
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Changes, error) {
	resp, err := c.read(ctx, watchTimeout, PathWatch, Request{Prefix: prefix, Version: after})
	return resp.changes(), err
}

func (c *Client) read(ctx context.Context, timeout time.Duration, path string, req Request) (Response, error) {
	return c.call(ctx, timeout, path, req, ErrUnavailable)
}

func (c *Client) write(ctx context.Context, path string, req Request) (Response, error) {
	return c.call(ctx, callTimeout, path, req, ErrOutcomeUnknown)
}

// call sends one request. A response that is missing or incomplete is reported
// as an error of the type lostAnswer.
func (c *Client) call(ctx context.Context, timeout time.Duration, path string, req Request, lostAnswer *errorx.Type) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return Response{}, ErrUnavailable.Wrap(err, "cannot encode the request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, ErrUnavailable.Wrap(err, "cannot create the request")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		if NeverSent(err) {
			return Response{}, ErrUnavailable.Wrap(err, "cannot connect to the store")
		}
		return Response{}, lostAnswer.Wrap(err, "no answer from the store")
	}
	defer resp.Body.Close()
	return decodeResponse(resp, lostAnswer)
}

// NeverSent reports whether a request failed before a connection was made and
// therefore had no effect.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func decodeResponse(resp *http.Response, lostAnswer *errorx.Type) (Response, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Response{}, ErrNotFound.New("the key or lease does not exist")
	case http.StatusConflict:
		return Response{}, ErrConflict.New("the key does not have the expected version")
	case http.StatusRequestEntityTooLarge:
		return Response{}, ErrTooLarge.New("the store rejected the value as too large")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Response{}, ErrUnavailable.New("the store rejected the call: %s", resp.Status)
	default:
		return Response{}, lostAnswer.New("unexpected status from the store: %s", resp.Status)
	}
	var out Response
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return Response{}, lostAnswer.Wrap(err, "the store's answer was cut off")
	}
	return out, nil
}
