//go:build review

package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	host   = "desk.example"
	prefix = "/jobs/"
)

// queue is a route of the configuration.
type queue struct{ name, prefix string }

// queues are the routes of most cases.
var queues = []queue{{"r-1", prefix}}

// putConfig writes a configuration with these queues.
func (s *system) putConfig(guards bool, list ...queue) {
	s.version += 3
	routes := []any{}
	for _, q := range list {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "prefix": q.prefix, "kind": "non_idempotent", "timeoutMs": 30000, "targetDurationMs": 60,
			"priority": 0, "service": s.service, "maxAttempts": 4, "stretchFactor": 1.6,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": []any{map[string]any{"name": s.service, "rejectsOverload": guards}}, "limits": map[string]any{},
	})
	s.store.put("op/config", value)
	s.logf("configuration %d with %v is acknowledged", s.version, list)
}

type step struct {
	Count        int     `json:"count"`
	CPU          float64 `json:"cpu"`
	MemMB        float64 `json:"memMb"`
	EstimateMs   float64 `json:"estimateMs"`
	After        []int   `json:"after,omitempty"`
	Requires     string  `json:"requires,omitempty"`
	AntiAffinity int     `json:"antiAffinity,omitempty"`
}

type job struct {
	id    string
	steps []step
	load  workload
	// wait is the value of X-Deadline-Ms.
	wait time.Duration
	// prefix is that of the queue; empty means that of the only one.
	prefix string
}

func (s *system) newJob(load workload, wait time.Duration, steps ...step) job {
	j := job{id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps, load: load, wait: wait}
	s.mu.Lock()
	s.cpu[j.id] = steps[0].CPU
	s.mu.Unlock()
	return j
}

func (j job) body() []byte {
	spec, _ := json.Marshal(j.load)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "bestEffort": true, "steps": j.steps})
	return body
}

// newClient returns a client with connections of its own.
func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// post submits a job once. The status is 0 without an answer.
func (s *system) post(ctx context.Context, c *http.Client, address string, j job) (status int, body string) {
	ctx, cancel := context.WithTimeout(ctx, j.wait+2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+cmp.Or(j.prefix, prefix)+j.id, io.NopCloser(bytes.NewReader(j.body())))
	req.ContentLength = int64(len(j.body()))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(j.wait.Milliseconds(), 10))
	s.logf("POST %s%s to %s", cmp.Or(j.prefix, prefix), j.id, s.nameOf(address))
	resp, err := c.Do(req)
	if err != nil {
		s.logf("POST %s at %s: no answer (%v)", j.id, s.nameOf(address), err)
		return 0, ""
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		s.logf("POST %s at %s: broken answer", j.id, s.nameOf(address))
		return 0, ""
	}
	s.logf("POST %s at %s: %d %s", j.id, s.nameOf(address), resp.StatusCode, bytes.TrimSpace(content))
	return resp.StatusCode, string(content)
}

// cancel sends a DELETE. The status is 0 without an answer.
func (s *system) cancel(address, id string) int {
	ctx, done := context.WithTimeout(context.Background(), 4*time.Second)
	defer done()
	req, _ := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+prefix+id, nil)
	req.Host = host
	s.logf("DELETE %s to %s", id, s.nameOf(address))
	resp, err := newClient().Do(req)
	if err != nil {
		s.logf("DELETE %s at %s: no answer (%v)", id, s.nameOf(address), err)
		return 0
	}
	_ = resp.Body.Close()
	s.logf("DELETE %s at %s: %d", id, s.nameOf(address), resp.StatusCode)
	return resp.StatusCode
}

// ready waits until each entry has answered a small job with success.
func (s *system) ready() error {
	end := time.Now().Add(15 * time.Second)
	for _, e := range s.entries {
		for {
			j := s.newJob(workload{Ms: 5}, 2*time.Second, step{Count: 4, CPU: 100, MemMB: 16, EstimateMs: 5})
			if status, _ := s.post(context.Background(), newClient(), e.front, j); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", e.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// nameOf returns the name of the entry at a front address, for the record.
func (s *system) nameOf(address string) string {
	for _, e := range s.entries {
		if e.front == address {
			return e.name
		}
	}
	return address
}

// pending asks an entry for the number of waiting jobs of a queue.
func (s *system) pending(c *http.Client, address, prefix string) int {
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+prefix, nil)
	req.Host = host
	resp, err := c.Do(req)
	if err != nil {
		s.logf("GET %s at %s: no answer (%v)", prefix, s.nameOf(address), err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.logf("GET %s at %s: %d", prefix, s.nameOf(address), resp.StatusCode)
	return resp.StatusCode
}

// clientConn is a client that keeps its connection to an entry.
type clientConn struct{ c *http.Client }

// open returns a client with a connection to the entry that has served one request.
func (s *system) open(e *process) *clientConn {
	c := &clientConn{newClient()}
	s.pending(c.c, e.front, prefix)
	return c
}
