//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxLease and stopTime are the bounds maxHoldMs and stopGraceMs of the sites.
const (
	maxLease = time.Second
	stopTime = 50 * time.Millisecond
)

// workload is the spec of a task.
type workload struct {
	Ms int `json:"ms"`
	// LaterMs is the run time of tasks of later steps, unless it is zero.
	LaterMs int  `json:"later_ms,omitempty"`
	Fails   bool `json:"fails,omitempty"`
}

// workerRun is a run in progress. Times are readings of the worker's clock.
type workerRun struct {
	task     string
	run      uint32
	end      time.Duration
	fails    bool
	stopping bool
	cpu      float64
	begun    time.Time
}

// worker is a stand-in for a worker that takes its orders by request.
type worker struct {
	s            *system
	name         string
	agentAddress string
	address      string

	mu       sync.Mutex
	id       string
	labels   []string
	cpu      float64
	guards   bool
	up       bool
	born     time.Time
	seq      int
	lives    int
	fence    uint64
	lease    time.Duration
	runs     map[string]*workerRun
	barred   map[string]uint32
	ends     []endRow
	endCount uint64
	server   *http.Server
	stop     context.CancelFunc
}

type endRow struct {
	number uint64
	task   string
	run    uint32
	how    string
}

func (w *worker) clock(at time.Time) time.Duration { return at.Sub(w.born) }

// start begins a life of the worker.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	w.lives++
	w.up, w.born, w.seq, w.fence, w.lease, w.endCount, w.ends = true, time.Now(), 0, 0, 0, 0, nil
	w.runs, w.barred, w.stop = make(map[string]*workerRun), make(map[string]uint32), stop
	life := w.lives
	mux := http.NewServeMux()
	for _, path := range []string{"/run-start", "/run-stop", "/hold"} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, path, life) })
	}
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.beats(ctx)
	w.s.logf("%s starts as %s, labels %v, cpu %v", w.name, w.id, w.labels, w.cpu)
	return nil
}

// crash ends the life: everything that runs ends, and nothing is kept.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	for _, r := range w.runs {
		w.s.ended(w, r, "crashed")
	}
	w.runs = make(map[string]*workerRun)
	server, stop := w.server, w.stop
	w.mu.Unlock()
	stop()
	_ = server.Close()
	w.s.logf("%s crashes", w.name)
}

func (w *worker) beats(ctx context.Context) {
	for {
		w.beat(ctx)
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (w *worker) beat(ctx context.Context) bool {
	w.mu.Lock()
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"service": w.s.service, "address": w.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": 65536, "gpu": 0}, "labels": w.labels, "clockMs": w.clock(time.Now()).Milliseconds(),
		"seq": w.seq, "born": w.born.UnixMilli(),
	})
	id := w.id
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agentAddress+"/Instances.Heartbeat/"+id, strings.NewReader(string(body)))
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

var beatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

type order struct {
	Task       string
	Run        uint32
	Spec       string
	DeadlineMs int64
	Fence      uint64
	AckCursor  uint64
	WaitMs     int64
}

// advance ends what is over. w.mu is held.
func (w *worker) advance(now time.Time) {
	clock := w.clock(now)
	names := make([]string, 0, len(w.runs))
	for name := range w.runs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r := w.runs[name]
		how := ""
		switch {
		case r.end <= min(clock, w.lease) && r.stopping:
			how = "stopped"
		case r.end <= min(clock, w.lease) && r.fails:
			how = "failed"
		case r.end <= min(clock, w.lease):
			how = "done"
		case w.lease < clock:
			how = "lapsed"
		}
		if how == "" {
			continue
		}
		delete(w.runs, name)
		w.barred[name] = max(w.barred[name], r.run)
		w.endCount++
		w.ends = append(w.ends, endRow{w.endCount, r.task, r.run, how})
		w.s.ended(w, r, how)
	}
}

func (w *worker) extend(now time.Time, until int64) {
	w.lease = max(w.lease, min(time.Duration(until)*time.Millisecond, w.clock(now)+maxLease))
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, path string, life int) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if !w.up || w.lives != life {
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Expect-Instance")
	status, reason := w.carryOut(id, path, o)
	if path == "/hold" && status == 200 {
		for end := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(end) && w.up && w.lives == life; {
			w.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			w.mu.Lock()
			w.advance(time.Now())
		}
	}
	body := w.answer(path, status, reason)
	gone := !w.up || w.lives != life
	w.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) answer(path string, status int, reason string) map[string]any {
	body := map[string]any{"clockMs": w.clock(time.Now()).Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	if path == "/hold" && status == 200 {
		running, finished := [][]any{}, [][]any{}
		for _, r := range w.runs {
			running = append(running, []any{r.task, r.run, "", 100, 1})
		}
		for _, e := range w.ends {
			finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
		}
		body["running"], body["finished"], body["born"] = running, finished[:min(500, len(finished))], w.born.UnixMilli()
	}
	return body
}

// carryOut carries out an order. w.mu is held.
func (w *worker) carryOut(id, path string, o order) (status int, reason string) {
	now := time.Now()
	w.advance(now)
	if id != w.id {
		return http.StatusMisdirectedRequest, ""
	}
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	switch path {
	case "/run-start":
		return w.startRun(now, o)
	case "/run-stop":
		w.s.logf("%s stop of %s run %d", w.name, o.Task, o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
			r.stopping, r.end = true, min(r.end, w.clock(now)+stopTime/2)
		}
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		return http.StatusOK, ""
	}
	w.extend(now, o.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0].number <= o.AckCursor {
		w.ends = w.ends[1:]
	}
	return http.StatusOK, ""
}

func (w *worker) startRun(now time.Time, o order) (status int, reason string) {
	present := w.runs[o.Task]
	if time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock(now) {
		return http.StatusConflict, "late"
	}
	if o.Run <= w.barred[o.Task] || present != nil && o.Run < present.run {
		w.extend(now, o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	w.extend(now, o.DeadlineMs)
	if present != nil {
		return http.StatusOK, ""
	}
	cpu, used := w.s.cpuOf(o.Task), 0.0
	for _, r := range w.runs {
		used += r.cpu
	}
	if w.guards && used+cpu > w.cpu {
		return http.StatusConflict, "room"
	}
	var load workload
	if err := json.Unmarshal([]byte(o.Spec), &load); err != nil {
		w.s.fail("UNASKED", "%s is told to start %s with the spec %q", w.name, o.Task, o.Spec)
	}
	ms := load.Ms
	if load.LaterMs > 0 && !strings.Contains(o.Task, ".0.0.") {
		ms = load.LaterMs
	}
	r := &workerRun{task: o.Task, run: o.Run, end: w.clock(now) + time.Duration(ms)*time.Millisecond, fails: load.Fails, cpu: cpu, begun: now}
	w.runs[o.Task] = r
	w.s.started(w, r)
	return http.StatusOK, ""
}

// String names the worker and its life.
func (w *worker) String() string { return fmt.Sprintf("%s(%s)", w.name, w.id) }
