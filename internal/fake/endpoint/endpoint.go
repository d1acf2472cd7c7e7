// Package endpoint is a fake of a user's endpoint. It announces itself to an agent
// and echoes the payload of each task after a given time.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarlever/poplarlever/internal/agentd"
)

// announceInterval is how often the endpoint repeats its announcement.
const announceInterval = 500 * time.Millisecond

// Config configures an Endpoint.
type Config struct {
	Address     string
	Agent       string
	Service     string
	Slots       int
	Connections int
	// TaskTime returns the run time of a task with the payload.
	TaskTime func(payload []byte) time.Duration
	// Run replaces TaskTime when set. It returns when the task has ended; an
	// error becomes an HTTP error.
	Run func(ctx context.Context, payload []byte) error
	// Misbehave enables faults: a payload that starts with Fail, Stall or another
	// of these words injects that fault.
	Misbehave bool
}

// Endpoint is a fake endpoint. It is safe for concurrent use.
type Endpoint struct {
	cfg      Config
	listener net.Listener
	server   *http.Server
	leaving  atomic.Bool
	killed   atomic.Bool

	mu         sync.Mutex
	joinID     uint64
	lastNumber uint64
	running    map[string]struct{}
	starts     map[string]int
}

// Listen opens the endpoint's address.
func Listen(cfg Config) (*Endpoint, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{cfg: cfg, listener: l, joinID: uint64(time.Now().UnixMilli()), running: make(map[string]struct{}), starts: make(map[string]int)}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serveTask)}
	return e, nil
}

// Run serves tasks and announces the endpoint until ctx ends.
func (e *Endpoint) Run(ctx context.Context) error {
	go func() { _ = e.server.Serve(e.listener) }()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		e.announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if e.killed.Load() {
				return nil
			}
			e.Leave()
			return e.server.Shutdown(context.Background())
		}
	}
}

// Kill closes the listener and every connection at once, as when the endpoint's
// process dies. The caller also has to cancel the context of Run.
func (e *Endpoint) Kill() {
	e.killed.Store(true)
	_ = e.server.Close()
}

// Leave tells the agent that the endpoint takes no new tasks. Announcements continue,
// so that an agent that restarts meanwhile learns of the leave and the running tasks.
func (e *Endpoint) Leave() {
	e.leaving.Store(true)
	body, err := json.Marshal(agentd.Departure{Join: e.joinID})
	if err != nil {
		return
	}
	e.post(context.Background(), "/v1/leave", body)
}

func (e *Endpoint) serveTask(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(agentd.HeaderAttempt)
	e.mu.Lock()
	e.running[id] = struct{}{}
	e.starts[id]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	if !e.runTask(w, r, payload) {
		return
	}
	_, _ = w.Write(payload)
}

// runTask runs the task and reports whether the caller has to send the answer; false
// means that runTask has sent one or broken the connection.
func (e *Endpoint) runTask(w http.ResponseWriter, r *http.Request, payload []byte) bool {
	if e.cfg.Run != nil {
		err := e.cfg.Run(r.Context(), payload)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
		return err == nil
	}
	taskTime := e.cfg.TaskTime(payload)
	if e.injectFault(w, r, payload) {
		return false
	}
	time.Sleep(taskTime)
	return true
}

// announce sends one announcement to the agent and ignores errors, since the next
// one follows after announceInterval.
func (e *Endpoint) announce(ctx context.Context) {
	e.mu.Lock()
	running := make([]string, 0, len(e.running))
	for id := range e.running {
		running = append(running, id)
	}
	e.lastNumber++
	number := e.lastNumber
	e.mu.Unlock()
	body, err := json.Marshal(agentd.Announcement{
		Service: e.cfg.Service, URL: "http://" + e.listener.Addr().String() + "/task",
		Slots: e.cfg.Slots, Connections: e.cfg.Connections, Running: running,
		Join: e.joinID, Number: number, Leaving: e.leaving.Load(),
	})
	if err != nil {
		return
	}
	e.post(ctx, "/v1/announce", body)
}

func (e *Endpoint) post(ctx context.Context, path string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.cfg.Agent+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}
