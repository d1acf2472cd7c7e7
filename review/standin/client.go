//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// retransmitAfter is the pause before a job without an answer is sent again
// (retransmitMs).
const retransmitAfter = 1300 * time.Millisecond

// step is a step of a job: count tasks of so many milliseconds, each on the given
// thousandths of a core.
type step struct {
	count, ms, cpu int
	after          []int
	requires       string
}

// job is a job of a client.
type job struct {
	id, body string
	deadline time.Duration
}

// newJob returns a job with a random ID.
func newJob(seconds int, steps ...step) *job {
	var p plan
	var encoded []map[string]any
	for _, s := range steps {
		p.StepMs, p.Requires = append(p.StepMs, s.ms), append(p.Requires, s.requires)
		m := map[string]any{"count": s.count, "cpu": max(s.cpu, 250), "memMb": 64, "estimateMs": s.ms}
		if len(s.after) > 0 {
			m["after"] = s.after
		}
		if s.requires != "" {
			m["requires"] = s.requires
		}
		encoded = append(encoded, m)
	}
	spec, _ := json.Marshal(p)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "bestEffort": true, "steps": encoded})
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), body: string(body), deadline: time.Duration(seconds) * time.Second}
}

// answer is what a client has seen: the status is zero if it got no answer.
type answer struct {
	status int
	body   string
	err    error
}

// request sends one request on a connection of its own. Such a connection is not used
// again, so that the client library does not repeat a request by itself.
func request(method, address, path, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(content))}
}

func (j *job) post(address string, deadline time.Duration) answer {
	return request(http.MethodPost, address, prefix+j.id, j.body, deadline)
}

func (j *job) cancel(address string) answer {
	return request(http.MethodDelete, address, prefix+j.id, "", 4*time.Second)
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return "no answer (" + a.err.Error() + ")"
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// mayHaveRun reports whether the client has to send the job again.
func (a answer) mayHaveRun() bool {
	return a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout
}
