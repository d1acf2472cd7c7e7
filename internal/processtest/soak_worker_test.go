package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/lease"
	"github.com/poplarlever/poplarlever/internal/fake/worker"
)

const (
	soakSlots = 8
	// soakHeartbeat is the pause between the heartbeats of a worker.
	soakHeartbeat = 1500 * time.Millisecond
	// hangTime outlasts every run of the test.
	hangTime = time.Hour
)

// soakWorker is the worker of one VM. It is guarded by soak.mu.
type soakWorker struct {
	s                           *soak
	name, address, agentAddress string
	// proxy is between the agent and the worker.
	proxy *proxy
	rng   *rand.Rand
	// life is nil while the worker is down.
	life  *life
	lives int
	// Until lateUntil, calls may get no answer and be carried out 2 to 6 s later; until
	// stopsLostUntil, stops get no answer and are not carried out.
	lateUntil, stopsLostUntil time.Time
}

// life is the worker from one restart to the next.
type life struct {
	w       *soakWorker
	core    *worker.Worker
	id      string
	started time.Time
	// rate is the speed of the worker's clock, which may be 2% slow.
	rate   float64
	server *http.Server
	end    context.CancelFunc
	// next is how the task of the start that is being carried out runs.
	next taskPlan
	runs map[string]uint32
	// listed is the number of the newest end that an answer has listed.
	listed uint64
}

// taskPlan is the spec of a task.
type taskPlan struct {
	Ms int `json:"ms"`
	// LaterMs is the run time of tasks of later steps, unless it is 0.
	LaterMs int  `json:"later_ms,omitempty"`
	Hangs   bool `json:"hangs,omitempty"`
	Fails   bool `json:"fails,omitempty"`
	// Crashes makes the worker crash at the end of the task.
	Crashes bool `json:"crashes,omitempty"`
}

func (p taskPlan) outcome(task string) (time.Duration, lease.EndKind) {
	if p.LaterMs > 0 && stepOf(task) > 0 {
		p.Ms = p.LaterMs
	}
	switch {
	case p.Hangs || p.Crashes:
		return hangTime, lease.Done
	case p.Fails:
		return time.Duration(p.Ms) * time.Millisecond, lease.Failed
	}
	return time.Duration(p.Ms) * time.Millisecond, lease.Done
}

// clock returns the time as the worker's clock measures it.
func (l *life) clock() time.Time {
	return l.started.Add(time.Duration(float64(time.Since(l.started)) * l.rate))
}

// start begins a life under the given ID. soak.mu is held.
func (w *soakWorker) start(id string) {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		w.s.logf("%s cannot listen: %v", w.name, err)
		time.AfterFunc(50*time.Millisecond, func() { w.s.locked(func() { w.start(id) }) })
		return
	}
	w.lives++
	ctx, end := context.WithCancel(context.Background())
	l := &life{w: w, id: id, started: time.Now(), rate: 0.98 + 0.02*w.rng.Float64(), end: end, runs: make(map[string]uint32)}
	l.core = worker.New(lease.Instance{ID: id, StartedAtMs: l.started.UnixMilli()}, l.started, soakSlots, func(task string) (time.Duration, lease.EndKind) {
		return l.next.outcome(task)
	})
	l.server = &http.Server{Handler: l}
	w.life = l
	go func() { _ = l.server.Serve(listener) }()
	go l.announce(ctx, time.Duration(w.rng.Int64N(int64(soakHeartbeat/2))))
	w.s.logf("%s starts as %s", w.name, id)
}

// crash ends the life. The worker starts again after a pause, under the ID that it had
// or under another one. soak.mu is held.
func (w *soakWorker) crash() {
	l := w.life
	if l == nil {
		return
	}
	w.life = nil
	l.end()
	_ = l.server.Close()
	w.s.logf("%s crashes", w.name)
	id := l.id
	if w.rng.IntN(2) == 0 {
		id = fmt.Sprintf("%s.%d", w.name, w.lives)
	}
	time.AfterFunc(randomTime(w.rng, 20*time.Millisecond, 800*time.Millisecond), func() {
		w.s.locked(func() {
			if !w.s.ended {
				w.start(id)
			}
		})
	})
}

// announce sends heartbeats to the agent until ctx ends.
func (l *life) announce(ctx context.Context, pause time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for seq := 1; ; seq++ {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = soakHeartbeat
		beat := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":%d,"memMb":32768,"gpu":0},"labels":["a"],"seq":%d,"born":%d}`,
			soakService, l.w.proxy.address, soakSlots, soakSlots*1000, seq, l.started.UnixMilli())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.w.agentAddress+"/Instances.Heartbeat/"+l.id, strings.NewReader(beat))
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
}

type workerCall struct {
	Task               string
	Run                uint32
	Spec               string
	DeadlineMs, WaitMs int64
	Fence, AckCursor   uint64
	path               string
	instance           lease.Instance
}

// ServeHTTP answers the agent's calls.
func (l *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	call := workerCall{path: r.URL.Path, instance: lease.Instance{ID: r.Header.Get("X-Expect-Instance"), StartedAtMs: l.started.UnixMilli()}}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	var answer lease.Answer
	lost := false
	l.w.s.locked(func() {
		if lost = l.lose(call); !lost {
			answer = l.carryOut(call)
		}
	})
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for end := time.Now().Add(time.Duration(call.WaitMs) * time.Millisecond); len(answer.Finished) == 0 && answer.Status == lease.OK && time.Now().Before(end); {
		time.Sleep(2 * time.Millisecond)
		l.w.s.locked(func() {
			// The lease is not renewed again when the wait is over.
			again := call
			again.DeadlineMs = 0
			if later := l.carryOut(again); later.Status == lease.OK {
				answer = later
			}
		})
	}
	l.write(rw, call.path, answer)
}

// lose decides whether a call gets no answer, and carries it out later at random.
func (l *life) lose(call workerCall) bool {
	w := l.w
	now := time.Now()
	switch {
	case call.path == "/run-stop" && now.Before(w.stopsLostUntil):
		w.s.logf("%s loses stop of %s run %d", w.name, call.Task, call.Run)
		return true
	case now.Before(w.lateUntil) && w.rng.IntN(2) == 0:
		after := randomTime(w.rng, 2*time.Second, 6*time.Second)
		w.s.logf("%s carries out %s of %s run %d in %s", w.name, call.path, call.Task, call.Run, after)
		time.AfterFunc(after, func() { w.s.locked(func() { l.carryOut(call) }) })
		return true
	}
	return false
}

// carryOut carries out a call, unless the life is over. soak.mu is held.
func (l *life) carryOut(call workerCall) lease.Answer {
	w := l.w
	if w.life != l {
		return lease.Answer{}
	}
	now, until := l.clock(), time.Duration(call.DeadlineMs)*time.Millisecond
	switch call.path {
	case "/run-start":
		return l.startRun(call, now, until)
	case "/run-stop":
		a := l.core.Stop(now, lease.Stop{Instance: call.instance, Task: call.Task, Run: call.Run, Fence: call.Fence})
		w.s.logf("%s stop of %s run %d: status %d", w.name, call.Task, call.Run, a.Status)
		return a
	}
	a := l.core.Hold(now, lease.Hold{Instance: call.instance, Until: until, Fence: call.Fence, Seen: call.AckCursor})
	if until > 0 {
		w.s.logf("%s hold for %s: status %d", w.name, until-l.core.Clock(now), a.Status)
	}
	for _, f := range a.Finished {
		if f.Number > l.listed {
			l.listed = f.Number
			w.s.logf("%s lists the end of %s run %d: kind %d", w.name, f.Task, f.Run, f.Kind)
		}
		if f.Kind == lease.Done {
			w.s.done[f.Task] = true
		}
	}
	return a
}

// startRun carries out a start and checks that no other run of the task is in progress.
func (l *life) startRun(call workerCall, now time.Time, until time.Duration) lease.Answer {
	w := l.w
	l.next = taskPlan{}
	if err := json.Unmarshal([]byte(call.Spec), &l.next); err != nil {
		w.s.failf("%s is told to start %s with the spec %q", w.name, call.Task, call.Spec)
	}
	plan := l.next
	before, ran := l.core.Running(now)[call.Task]
	a := l.core.Start(now, lease.Start{Instance: call.instance, Task: call.Task, Run: call.Run, Until: until, Fence: call.Fence})
	w.s.logf("%s start of %s run %d for %s: status %d", w.name, call.Task, call.Run, until-l.core.Clock(now), a.Status)
	if after, runs := l.core.Running(now)[call.Task]; !runs || ran && before == after {
		return a
	}
	if ran {
		w.s.failf("%s: runs %d and %d at %s at the same time", call.Task, before, call.Run, w.name)
	}
	w.s.started(w, call.Task, call.Run)
	l.runs[call.Task] = call.Run
	if plan.Crashes {
		time.AfterFunc(time.Duration(plan.Ms)*time.Millisecond, func() {
			w.s.locked(func() {
				if n, runs := l.core.Running(l.clock())[call.Task]; runs && n == call.Run && w.life == l {
					w.crash()
				}
			})
		})
	}
	return a
}

// logEnds logs the runs that have ended since the last call. soak.mu is held.
func (l *life) logEnds() {
	running := l.core.Running(l.clock())
	for task, run := range l.runs {
		if running[task] != run {
			delete(l.runs, task)
			l.w.s.logf("%s: %s run %d is over", l.w.name, task, run)
		}
	}
}

// write writes an answer as the platform's worker does.
func (l *life) write(rw http.ResponseWriter, path string, a lease.Answer) {
	status, reason := http.StatusOK, ""
	switch a.Status {
	case lease.OK:
	case lease.Fenced:
		status, reason = http.StatusConflict, "fence"
	case lease.StaleRun:
		status, reason = http.StatusConflict, "old"
	case lease.LeaseExpired:
		status, reason = http.StatusConflict, "late"
	case lease.NoRoom:
		status, reason = http.StatusConflict, "room"
	case lease.WrongInstance:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	default:
		panic(http.ErrAbortHandler)
	}
	out := map[string]any{"clockMs": a.Clock.Milliseconds(), "reason": reason}
	if path == "/hold" && status == http.StatusOK {
		running, finished := [][]any{}, [][]any{}
		for _, r := range a.Running {
			running = append(running, []any{r.Task, r.Run, "", 0, 1000})
		}
		for _, f := range a.Finished {
			how := map[lease.EndKind]string{lease.Done: "done", lease.Failed: "failed", lease.Aborted: "stopped"}[f.Kind]
			finished = append(finished, []any{f.Number, f.Task, f.Run, how, ""})
		}
		out["running"], out["finished"], out["born"] = running, finished, l.started.UnixMilli()
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(out)
}
