package store

import (
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// callLimit is the longest wait for an answer other than a watch's.
	callLimit = 2 * time.Second
	// watchLimit exceeds the time after which the store ends a quiet watch.
	watchLimit = 45 * time.Second
	// responseLimit bounds an answer, in bytes: a listing of several values.
	responseLimit = 16 << 20
	idleLimit     = 90 * time.Second
	// idleConnections covers the calls that one process makes at once.
	idleConnections = 4
)

// Client reaches the store over HTTP.
type Client struct {
	http *http.Client
	base string
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at the address (host:port).
func NewClient(address string) *Client {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: callLimit}).DialContext,
		IdleConnTimeout: idleLimit, MaxIdleConnsPerHost: idleConnections,
	}
	return &Client{http: &http.Client{Transport: transport}, base: "http://" + address}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	resp, err := c.read(ctx, callLimit, PathGet, Request{Key: key})
	if err != nil {
		return Entry{}, err
	}
	if len(resp.Entries) != 1 {
		return Entry{}, ErrUnavailable.New("the store answered %d entries for one key", len(resp.Entries))
	}
	return resp.Entries[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	resp, err := c.read(ctx, callLimit, PathList, Request{Prefix: prefix})
	return Listing{Version: resp.Version, Entries: resp.Entries}, err
}

// ListVersions implements Store.
func (c *Client) ListVersions(ctx context.Context, prefix string) (Listing, error) {
	resp, err := c.read(ctx, callLimit, PathListVersions, Request{Prefix: prefix})
	return Listing{Version: resp.Version, Entries: resp.Entries}, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge.New("the value of %s has %d bytes, at most %d are allowed", key, len(value), MaxValue)
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
	resp, err := c.read(ctx, watchLimit, PathWatch, Request{Prefix: prefix, Version: after})
	return Changes{Version: resp.Version, Entries: resp.Entries, Deleted: resp.Deleted}, err
}

func (c *Client) read(ctx context.Context, limit time.Duration, path string, req Request) (Response, error) {
	return c.call(ctx, limit, path, req, ErrUnavailable)
}

func (c *Client) write(ctx context.Context, path string, req Request) (Response, error) {
	return c.call(ctx, callLimit, path, req, ErrOutcomeUnknown)
}

// call sends one request. The lost type is the error for an answer that did
// not arrive whole.
func (c *Client) call(ctx context.Context, limit time.Duration, path string, req Request, lost *errorx.Type) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return Response{}, ErrUnavailable.Wrap(err, "encode the request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, ErrUnavailable.Wrap(err, "build the request")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		if NeverSent(err) {
			return Response{}, ErrUnavailable.Wrap(err, "cannot connect to the store")
		}
		return Response{}, lost.Wrap(err, "no answer from the store")
	}
	defer resp.Body.Close()
	return decode(resp, lost)
}

// NeverSent tells whether a request failed before a connection was made, so that
// it certainly had no effect.
func NeverSent(err error) bool {
	var op *net.OpError
	return stderrors.As(err, &op) && op.Op == "dial"
}

func decode(resp *http.Response, lost *errorx.Type) (Response, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Response{}, ErrNotFound.New("the store does not have it")
	case http.StatusConflict:
		return Response{}, ErrConflict.New("the key has another version")
	case http.StatusRequestEntityTooLarge:
		return Response{}, ErrTooLarge.New("the store refused the size of the value")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Response{}, ErrUnavailable.New("the store refused the call: %s", resp.Status)
	default:
		return Response{}, lost.New("the store answered %s", resp.Status)
	}
	var out Response
	if err := json.NewDecoder(io.LimitReader(resp.Body, responseLimit)).Decode(&out); err != nil {
		return Response{}, lost.Wrap(err, "the store's answer was cut off")
	}
	return out, nil
}
