//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the pause between heartbeats (heartbeatMs).
	heartbeatInterval = 1500 * time.Millisecond
	// maxHold is the longest lease that the worker grants (maxHoldMs).
	maxHold = 1000
	// stopTakes is how long a stop takes; the pages allow 50 ms (stopGraceMs).
	stopTakes = 30 * time.Millisecond
	// maxListed is the number of ends in one answer.
	maxListed = 500
)

// plan is the specification of a job. Only the worker and the checker read it.
type plan struct {
	// StepMs holds the run time of a task by step.
	StepMs []int `json:"stepMs"`
	// Requires holds the label that a worker needs by step, for the checker.
	Requires []string `json:"requires,omitempty"`
}

// workerProcess is one life of a worker: it begins with the process and ends with it.
type workerProcess struct {
	id, name, address string
	born              time.Time
	labels            []string
	capacity          map[string]int

	mu       sync.Mutex
	fence    uint64
	leaseEnd int64
	running  map[string]*workerRun
	barred   map[string]uint32
	finished []workerEnd
	ends     uint64
	changed  chan struct{}
}

type workerRun struct {
	run   uint32
	timer *time.Timer
	// stopping is set once a stop was received.
	stopping bool
}

type workerEnd struct {
	number uint64
	task   string
	run    uint32
	how    string
}

type workerCall struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
}

func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &workerProcess{born: time.Now(), running: make(map[string]*workerRun), barred: make(map[string]uint32), changed: make(chan struct{})}
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.name, "name", "", "")
	f.StringVar(&w.address, "address", "", "")
	service := f.String("service", "", "")
	agent := f.String("agent", "", "")
	zone := f.String("zone", "", "")
	labels := f.String("labels", "a", "")
	cpu := f.Int("cpu", 64000, "")
	first := f.Duration("first-heartbeat", 0, "")
	_ = f.Parse(args)
	w.labels, w.capacity = strings.Split(*labels, ","), map[string]int{"cpu": *cpu, "memMb": 262144, "gpu": 0}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w.print("born", w.id, strings.Join(w.labels, "+"))
	go w.lapse()
	go w.heartbeats(*agent, *service, *zone, *first)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.start))
	mux.HandleFunc("POST /run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /hold", w.hold)
	_ = http.Serve(l, mux)
}

// print writes an event for the record: time, kind, worker and details.
func (w *workerProcess) print(kind string, details ...any) {
	line := fmt.Sprintf("%d %s %s", time.Now().UnixNano(), kind, w.name)
	for _, d := range details {
		line += fmt.Sprint(" ", d)
	}
	fmt.Println(line)
}

func (w *workerProcess) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *workerProcess) heartbeats(agent, service, zone string, first time.Duration) {
	client := &http.Client{Timeout: time.Second}
	time.Sleep(first)
	for seq := 1; ; seq++ {
		beat, _ := json.Marshal(map[string]any{
			"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": w.capacity, "labels": w.labels, "clockMs": w.clock(), "seq": seq, "born": w.born.UnixMilli(),
		})
		resp, err := client.Post("http://"+agent+"/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(beat))
		if err != nil {
			// The agent may be restarting.
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_ = resp.Body.Close()
		w.print("heartbeat", seq, resp.StatusCode)
		time.Sleep(heartbeatInterval)
	}
}

// lapse ends all runs once the lease is over.
func (w *workerProcess) lapse() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.clock() > w.leaseEnd {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. w.mu is held.
func (w *workerProcess) end(task, how string) {
	r := w.running[task]
	r.timer.Stop()
	delete(w.running, task)
	w.barred[task] = max(w.barred[task], r.run)
	w.ends++
	w.finished = append(w.finished, workerEnd{w.ends, task, r.run, how})
	w.print("end", task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *workerProcess) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold))
}

// accept decodes a call and checks its instance and its token. It answers a call that it
// does not accept. w.mu is held afterwards if it is accepted.
func (w *workerProcess) accept(rw http.ResponseWriter, r *http.Request) (workerCall, bool) {
	var c workerCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	w.mu.Lock()
	if c.Fence < w.fence {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return c, false
	}
	w.fence = c.Fence
	return c, true
}

func (w *workerProcess) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *workerProcess) serve(carryOut func(workerCall) string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		c, ok := w.accept(rw, r)
		if !ok {
			return
		}
		reason := carryOut(c)
		w.mu.Unlock()
		if reason != "" {
			w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	}
}

func (w *workerProcess) start(c workerCall) string {
	present := w.running[c.Task]
	switch {
	case c.DeadlineMs <= w.clock():
		return "late"
	case c.Run <= w.barred[c.Task], present != nil && c.Run < present.run:
		w.extend(c.DeadlineMs)
		return "old"
	case present != nil && present.run == c.Run:
		w.extend(c.DeadlineMs)
		return ""
	case present != nil:
		w.end(c.Task, "stopped")
	}
	w.extend(c.DeadlineMs)
	var p plan
	_ = json.Unmarshal([]byte(c.Spec), &p)
	run := &workerRun{run: c.Run}
	w.running[c.Task] = run
	w.print("start", c.Task, c.Run)
	run.timer = time.AfterFunc(time.Duration(p.StepMs[stepOf(c.Task)])*time.Millisecond, func() { w.ended(c.Task, run, "done") })
	return ""
}

// stepOf returns the step in a task's name, ID.K.STEP.INDEX.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	n, _ := strconv.Atoi(parts[2])
	return n
}

func (w *workerProcess) ended(task string, run *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[task] == run {
		w.end(task, how)
	}
}

func (w *workerProcess) stop(c workerCall) string {
	w.barred[c.Task] = max(w.barred[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run <= c.Run && !r.stopping {
		r.stopping = true
		w.print("stop", c.Task, c.Run)
		time.AfterFunc(stopTakes, func() { w.ended(c.Task, r, "stopped") })
	}
	return ""
}

func (w *workerProcess) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if c.DeadlineMs > 0 {
		w.extend(c.DeadlineMs)
	}
	w.finished = slices.DeleteFunc(w.finished, func(e workerEnd) bool { return e.number <= c.AckCursor })
	if c.WaitMs > 0 && len(w.finished) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.run, "", 100, 1000})
	}
	for _, e := range w.finished[:min(len(w.finished), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": finished, "born": w.born.UnixMilli()})
}
