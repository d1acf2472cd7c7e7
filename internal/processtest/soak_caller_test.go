package processtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// resendPause is how long a caller without an answer waits before it sends its job
	// again.
	resendPause = 1300 * time.Millisecond
	// answerSlack is how long after its deadline a caller has to have an answer.
	answerSlack = time.Second
	// callerConns is how many connections a caller keeps. One to each of 35 entries would be
	// 16,000 open files with 150 callers and the proxies.
	callerConns = 8
)

// soakCaller submits one job after the other over connections that it keeps.
type soakCaller struct {
	s     *soak
	rng   *rand.Rand
	conns map[*soakProcess]*callerConn
	// silent makes connections of the caller fall silent.
	silent bool
	// cancels chooses the steps of the caller's jobs and which of them it cancels. It is nil
	// for a caller that cancels none and whose jobs have one step.
	cancels *rand.Rand
}

type callerConn struct {
	net.Conn
	answers *bufio.Reader
}

type soakJob struct {
	id       string
	body     string
	tasks    []string
	deadline time.Time
}

// randomJob returns a job whose tasks mostly take up to half a second.
func (c *soakCaller) randomJob() soakJob {
	if *soakLong {
		job := c.newJob(taskPlan{Ms: 100 + c.rng.IntN(200), LaterMs: 3500}, 1, 1)
		job.deadline = time.Now().Add(20 * time.Second)
		return job
	}
	plan := taskPlan{Ms: 5 + c.rng.IntN(500)}
	switch n := c.rng.IntN(1000); {
	case n < 150:
		// The task still runs when the caller sends its job again.
		plan.Ms += int(2 * resendPause / time.Millisecond)
	case n < 180:
		plan.Hangs = true
	case n < 230:
		plan.Fails = true
	case n < 230+c.s.crashingPerMille:
		plan.Crashes = true
	}
	count := 1 + c.rng.IntN(4)
	if c.cancels == nil {
		return c.newJob(plan, count)
	}
	if c.cancels.IntN(2) == 0 {
		// The second step still runs when the job is to be gone, or runs again elsewhere.
		plan = taskPlan{Ms: 100 + c.cancels.IntN(200), LaterMs: int((cancelLimit + 2*maxHeldUp) / time.Millisecond)}
	}
	job := c.newJob(plan, randomSteps(c.cancels)...)
	job.deadline = job.deadline.Add(longSteps)
	return job
}

// newJob returns a job of steps, one after the other, with these numbers of equal tasks.
func (c *soakCaller) newJob(plan taskPlan, counts ...int) soakJob {
	spec, _ := json.Marshal(plan)
	job := soakJob{id: fmt.Sprintf("%016x", c.rng.Uint64()), deadline: time.Now().Add(randomTime(c.rng, 2*time.Second, 8*time.Second))}
	var steps []any
	for k, count := range counts {
		for i := range count {
			job.tasks = append(job.tasks, fmt.Sprintf("%s.0.%d.%d", job.id, k, i))
		}
		step := map[string]any{"count": count, "cpu": 1000, "memMb": 256, "estimateMs": min(plan.Ms, 600)}
		if k > 0 {
			step["after"] = []int{k - 1}
		}
		steps = append(steps, step)
	}
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "bestEffort": true, "steps": steps})
	job.body = string(body)
	if len(counts) > 1 {
		c.s.locked(func() { c.s.stepTasks[job.id] = job.tasks })
	}
	return job
}

// run submits jobs until the run of the test ends.
func (c *soakCaller) run() {
	for !c.s.over() {
		c.submit(c.randomJob())
		c.s.sleep(randomTime(c.rng, 0, 300*time.Millisecond))
	}
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// submit sends a job until it is answered or its deadline is over.
func (c *soakCaller) submit(job soakJob) {
	e := c.s.entries[c.rng.IntN(len(c.s.entries))]
	refusedOnly := true
	cancel := c.planCancel(job, e)
	for !c.s.over() && time.Now().Before(job.deadline) {
		status, retryAfter := c.try(e, job)
		if cancel.endOfTry() {
			// A caller that has cancelled its job does not send it again.
			job.deadline = time.Now()
		}
		if c.s.over() {
			return
		}
		c.s.logf("job %s at %s: answer %d", job.id, e.name, status)
		pause := resendPause
		switch status {
		case http.StatusOK:
			c.s.count("answered")
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			pause = retryAfter
			if c.rng.IntN(2) == 0 {
				job.deadline = time.Now()
			}
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			refusedOnly = false
		default:
			c.s.failf("job %s is answered %d by %s", job.id, status, e.name)
			return
		}
		if time.Now().Add(pause).After(job.deadline) {
			break
		}
		c.s.sleep(pause)
		e = c.s.otherEntry(e, c.rng)
	}
	if refusedOnly && !c.s.over() {
		c.s.count("refused")
		c.s.refusedJob(job)
	}
}

// try sends a job once. The status is 0 without an answer.
func (c *soakCaller) try(e *soakProcess, job soakJob) (status int, retryAfter time.Duration) {
	conn := c.conns[e]
	if conn == nil {
		for other, spare := range c.conns {
			if len(c.conns) < callerConns {
				break
			}
			_ = spare.Close()
			delete(c.conns, other)
		}
		opened, err := net.DialTimeout("tcp", e.callers.address, time.Second)
		if err != nil {
			return 0, 0
		}
		conn = &callerConn{opened, bufio.NewReader(opened)}
		c.conns[e] = conn
	}
	keep := false
	defer func() {
		if !keep {
			_ = conn.Close()
			delete(c.conns, e)
		}
	}()
	sent := time.Now()
	wait := job.deadline.Sub(sent)
	req, _ := http.NewRequest(http.MethodPost, "http://"+soakHost+soakPrefix+job.id, strings.NewReader(job.body))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	c.s.logf("job %s goes to %s, deadline in %s", job.id, e.name, wait)
	if req.Write(conn) != nil {
		return 0, 0
	}
	if c.silent && c.rng.IntN(4) == 0 {
		c.s.sleep(randomTime(c.rng, 10*time.Millisecond, 300*time.Millisecond))
		e.callers.silence(conn.LocalAddr())
		c.s.logf("the connection of job %s falls silent", job.id)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := conn.answers.Peek(1); err != nil {
			return 0, 0
		}
	}
	// What is known about the request's way is forgotten when another disturbance begins.
	var dueAt time.Time
	due := func() time.Time {
		// A request that a cut holds up has not reached the entry.
		arrived := e.callers.passedAt(conn.LocalAddr())
		if arrived.Before(sent) {
			arrived = time.Now()
		}
		dueAt = latest(dueAt, latest(e.readAt(arrived).Add(wait), e.disturbedUntil(), c.s.heldUp()).Add(answerSlack))
		return dueAt
	}
	if !c.awaitAnswer(conn, due) {
		if !c.s.over() && time.Now().After(due()) {
			c.s.failf("job %s has no answer from %s a second after its deadline, %s after it was sent", job.id, e.name, wait)
		}
		return 0, 0
	}
	resp, err := http.ReadResponse(conn.answers, req)
	if err != nil {
		return 0, 0
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0
	}
	keep = !resp.Close
	if resp.StatusCode == http.StatusOK {
		c.s.checkAnswer(job, string(content))
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, time.Duration(seconds) * time.Second
}

// awaitAnswer waits until due for the first byte of an answer and reports whether there
// is one. What is due may be put off meanwhile.
func (c *soakCaller) awaitAnswer(conn *callerConn, due func() time.Time) bool {
	late := false
	for {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := conn.answers.Peek(1)
		switch {
		case err == nil:
			_ = conn.SetReadDeadline(time.Now().Add(answerSlack))
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded) || c.s.over() || late && time.Now().After(due()):
			return false
		}
		// One more look, in case this process was held up itself.
		late = time.Now().After(due())
	}
}
