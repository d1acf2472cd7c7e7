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
	// Until frozenUntil, the worker's process stands still while its clock goes on: calls wait
	// and ends are not looked at.
	frozenUntil time.Time
	// disturbedAt is when a fault was injected at the worker or its agent.
	disturbedAt time.Time
}

// freeze lets the worker's process stand still for a time.
func (w *soakWorker) freeze(long time.Duration) {
	w.s.locked(func() { w.frozenUntil = time.Now().Add(long) })
	w.s.logf("%s stands still for %s", w.name, long)
}

// frozen reports whether the worker's process stands still. soak.mu is held.
func (w *soakWorker) frozen() bool { return time.Now().Before(w.frozenUntil) }

// lockedRunning runs f with soak.mu held once the worker's process does not stand still.
func (w *soakWorker) lockedRunning(f func()) {
	for frozen := true; frozen; {
		w.s.locked(func() {
			if frozen = w.frozen(); !frozen {
				f()
			}
		})
		if frozen {
			time.Sleep(5 * time.Millisecond)
		}
	}
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
	// runs are the runs in progress, over the newest run of each task that has ended.
	runs, over map[string]*soakRun
	// named is the latest end of the lease that a call has named.
	named time.Duration
	// listed is the number of the newest end that an answer has listed.
	listed uint64
}

// soakRun is a run at a worker. All times are readings of the worker's clock.
type soakRun struct {
	number    uint32
	startedAt time.Duration
	// end is nil while the run is in progress. named is the end of the lease that calls had
	// named when the run ended.
	end   *worker.RunEnd
	named time.Duration
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
func (l *life) clock() time.Time { return l.clockAt(time.Now()) }

// clockAt returns what clock returns at a time.
func (l *life) clockAt(at time.Time) time.Time {
	return l.started.Add(time.Duration(float64(at.Sub(l.started)) * l.rate))
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
	l := &life{w: w, id: id, started: time.Now(), rate: 0.98 + 0.02*w.rng.Float64(), end: end}
	l.prepare()
	l.server = &http.Server{Handler: l}
	w.life = l
	go func() { _ = l.server.Serve(listener) }()
	go l.announce(ctx, time.Duration(w.rng.Int64N(int64(soakHeartbeat/2))))
	w.s.logf("%s starts as %s", w.name, id)
}

// prepare makes a life that runs nothing.
func (l *life) prepare() {
	l.runs, l.over = make(map[string]*soakRun), make(map[string]*soakRun)
	l.core = worker.New(lease.Instance{ID: l.id, StartedAtMs: l.started.UnixMilli()}, l.started, *soakSlots, func(task string) (time.Duration, lease.EndKind) {
		return l.next.outcome(task)
	})
	l.core.OnEnd = l.ended
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
			soakService, l.w.proxy.address, *soakSlots, *soakSlots*1000, seq, l.started.UnixMilli())
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
	l.w.lockedRunning(func() {
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
		l.w.lockedRunning(func() {
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
		time.AfterFunc(after, func() { w.lockedRunning(func() { l.carryOut(call) }) })
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
	at := time.Now()
	now, until := l.clockAt(at), time.Duration(call.DeadlineMs)*time.Millisecond
	switch call.path {
	case "/run-start":
		return l.startRun(call, at, until)
	case "/run-stop":
		a := l.core.Stop(now, lease.Stop{Instance: call.instance, Task: call.Task, Run: call.Run, Fence: call.Fence})
		w.s.logf("%s stop of %s run %d: status %d", w.name, call.Task, call.Run, a.Status)
		return a
	}
	a := l.core.Hold(now, lease.Hold{Instance: call.instance, Until: until, Fence: call.Fence, Seen: call.AckCursor})
	if until > 0 {
		l.names(until, a)
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

// names notes the end of the lease that a call has named, unless it was rejected as a whole.
func (l *life) names(until time.Duration, a lease.Answer) {
	if a.Status != lease.Fenced && a.Status != lease.WrongInstance && a.Status != lease.LeaseExpired {
		l.named = max(l.named, until)
	}
}

// startRun carries out a start and checks that no other run of the task is in progress.
func (l *life) startRun(call workerCall, at time.Time, until time.Duration) lease.Answer {
	w := l.w
	now := l.clockAt(at)
	l.next = taskPlan{}
	if err := json.Unmarshal([]byte(call.Spec), &l.next); err != nil {
		w.s.failf("%s is told to start %s with the spec %q", w.name, call.Task, call.Spec)
	}
	plan := l.next
	before, ran := l.core.Running(now)[call.Task]
	a := l.core.Start(now, lease.Start{Instance: call.instance, Task: call.Task, Run: call.Run, Until: until, Fence: call.Fence})
	l.names(until, a)
	w.s.logf("%s start of %s run %d for %s: status %d", w.name, call.Task, call.Run, until-l.core.Clock(now), a.Status)
	if after, runs := l.core.Running(now)[call.Task]; !runs || ran && before == after {
		return a
	}
	if ran {
		w.s.failf("%s: runs %d and %d at %s at the same time", call.Task, before, call.Run, w.name)
	}
	w.s.started(w, call.Task, call.Run, at)
	l.runs[call.Task] = &soakRun{number: call.Run, startedAt: l.core.Clock(now)}
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

// ended takes the end of a run. soak.mu is held.
func (l *life) ended(end worker.RunEnd) {
	r := l.runs[end.Task]
	if r == nil || r.number != end.Run {
		l.w.s.failf("%s: %s run %d ends without having started", l.w.name, end.Task, end.Run)
		return
	}
	r.end, r.named = &end, l.named
	delete(l.runs, end.Task)
	l.over[end.Task] = r
	l.w.s.logf("%s: %s run %d is over: %s", l.w.name, end.Task, r.number, r)
}

// String describes the run and its lease, on the worker's clock.
func (r *soakRun) String() string {
	if r == nil {
		return "not recorded"
	}
	if r.end == nil {
		return fmt.Sprintf("from %s", r.startedAt)
	}
	how := fmt.Sprint("kind ", r.end.Kind)
	if r.end.Lapsed {
		how = "lapsed"
	}
	return fmt.Sprintf("from %s to %s, %s, seen at %s; lease to %s, named to %s", r.startedAt, r.end.At, how, r.end.SeenAt, r.end.LeaseEnd, r.named)
}

// checkOverlap checks that a run of the task here is over at the time at which another run of
// it starts elsewhere. An end that had not been seen by then is logged, and counts as long as
// the worker's clock proves that it came before. soak.mu is held.
func (l *life) checkOverlap(task string, at time.Time, other string) {
	s, now := l.w.s, l.clockAt(at)
	clock := l.core.Clock(now)
	number, end := l.core.Unseen(now, task)
	switch seen := l.over[task]; {
	case number > 0 && end == nil:
		s.failf("%s has two runs at the same time: run %d at %s and %s: lease not over: clock %s, lease to %s, named to %s, %v",
			task, number, l.w.name, other, clock, l.core.LeaseEnd(), l.named, l.runs[task])
	case number > 0 && end.Lapsed:
		s.counts["lapsed late"]++
		s.logf("%s run %d at %s and %s overlap as far as was seen: lease over at %s, ended late: clock %s, named to %s", task, number, l.w.name, other, end.At, clock, l.named)
	case number > 0:
		s.counts["ended late"]++
		s.logf("%s run %d at %s and %s overlap as far as was seen: over at %s, ended late: clock %s, lease to %s", task, number, l.w.name, other, end.At, clock, end.LeaseEnd)
	case seen != nil && seen.end.At > clock:
		s.failf("%s has two runs at the same time: run %d at %s and %s: end not proved: clock %s, %s", task, seen.number, l.w.name, other, clock, seen)
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
