//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold    = time.Second
	stopGrace  = 50 * time.Millisecond
	beatPause  = 1500 * time.Millisecond
	beatLimit  = time.Second
	endsListed = 500
)

// worker is a stand-in for the worker of one machine. A spec begins with the run time of a
// task in milliseconds.
type worker struct {
	id, address, agent, service, zone string
	labels                            []string
	cpu                               float64

	mu       sync.Mutex
	started  time.Time
	seq      int
	draining bool
	lease    time.Time
	fence    uint64
	runs     map[string]*taskRun
	barred   map[string]uint32
	ends     [][]any
	lastEnd  int
	changed  chan struct{}
}

type taskRun struct {
	task    string
	run     uint32
	cpu     float64
	ended   bool
	stopped bool
	timer   *time.Timer
}

func newWorker(id, agent, service, zone string, labels ...string) *worker {
	w := &worker{
		id: id, agent: agent, service: service, zone: zone, labels: labels, cpu: 32000, started: time.Now(),
		runs: make(map[string]*taskRun), barred: make(map[string]uint32), changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		stopRun("a worker cannot listen: %v", err)
	}
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	go func() { _ = http.Serve(listener, mux) }()
	go w.beats()
	return w
}

func (w *worker) beats() {
	client := &http.Client{Timeout: beatLimit}
	for {
		w.mu.Lock()
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": 65536, "gpu": 0}, "labels": w.labels,
			"clockMs": time.Since(w.started).Milliseconds(), "seq": w.seq, "born": w.started.UnixMilli(),
		})
		w.mu.Unlock()
		pause := beatPause
		resp, err := client.Post("http://"+w.agent+"/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
		if err != nil {
			// The agent may not listen yet.
			pause = 200 * time.Millisecond
		} else {
			_ = resp.Body.Close()
		}
		time.Sleep(pause)
	}
}

type taskCall struct {
	Task       string
	Run        uint32
	Spec       string
	DeadlineMs int64
	Fence      uint64
	AckCursor  int
	WaitMs     int64
}

// accept decodes a call and checks its instance and fencing token. w.mu is held on success.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (in taskCall, ok bool) {
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(rw, http.StatusBadRequest, w.body(""))
		return in, false
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		reply(rw, http.StatusMisdirectedRequest, nil)
		return in, false
	}
	w.mu.Lock()
	w.lapse()
	if in.Fence < w.fence {
		reply(rw, http.StatusConflict, w.body("fence"))
		w.mu.Unlock()
		return in, false
	}
	w.fence = in.Fence
	return in, true
}

func (w *worker) body(reason string) map[string]any {
	b := map[string]any{"clockMs": time.Since(w.started).Milliseconds()}
	if reason != "" {
		b["reason"] = reason
	}
	return b
}

// renew extends the lease, which never shortens.
func (w *worker) renew(deadlineMs int64) {
	end := w.started.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := time.Now().Add(maxHold); end.After(limit) {
		end = limit
	}
	if end.After(w.lease) {
		w.lease = end
		time.AfterFunc(time.Until(end)+time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lapse()
		})
	}
}

func (w *worker) lapse() {
	if time.Now().Before(w.lease) {
		return
	}
	for _, t := range w.runs {
		w.end(t, "lapsed")
	}
}

// end lists the end of a run. w.mu is held.
func (w *worker) end(t *taskRun, how string) {
	if t.ended {
		return
	}
	t.ended = true
	t.timer.Stop()
	delete(w.runs, t.task)
	w.barred[t.task] = max(w.barred[t.task], t.run)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, t.task, t.run, how, ""})
	record("worker %s: run %d of %s ended %s", w.id, t.run, t.task, how)
	runEnded(w, t)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	present := w.runs[in.Task]
	switch {
	case in.DeadlineMs <= time.Since(w.started).Milliseconds():
		reply(rw, http.StatusConflict, w.body("late"))
		return
	case in.Run <= w.barred[in.Task], present != nil && present.run > in.Run:
		w.renew(in.DeadlineMs)
		reply(rw, http.StatusConflict, w.body("old"))
		return
	}
	w.renew(in.DeadlineMs)
	if present == nil {
		ms, _ := strconv.Atoi(strings.Fields(in.Spec + " 0")[0])
		t := &taskRun{task: in.Task, run: in.Run}
		w.runs[in.Task] = t
		record("worker %s: run %d of %s starts, spec %.40q", w.id, in.Run, in.Task, in.Spec)
		runStarted(w, t, in.Spec)
		t.timer = time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lapse()
			w.end(t, "done")
		})
	}
	reply(rw, http.StatusOK, w.body(""))
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.barred[in.Task] = max(w.barred[in.Task], in.Run)
	if t := w.runs[in.Task]; t != nil && t.run <= in.Run && !t.stopped {
		t.stopped = true
		time.AfterFunc(stopGrace/2, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(t, "stopped")
		})
	}
	reply(rw, http.StatusOK, w.body(""))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.renew(in.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0][0].(int) <= in.AckCursor {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && in.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(2000, in.WaitMs)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running := [][]any{}
	for _, t := range w.runs {
		running = append(running, []any{t.task, t.run, "", 100, 0})
	}
	answer := w.body("")
	answer["born"], answer["running"], answer["finished"] = w.started.UnixMilli(), running, append([][]any{}, w.ends[:min(len(w.ends), endsListed)]...)
	reply(rw, http.StatusOK, answer)
}

// drain makes the worker announce that it is going to leave.
func (w *worker) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

func (w *worker) String() string { return fmt.Sprintf("worker %s", w.id) }
