package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// jobTimeout is the deadline of every job.
	jobTimeout = time.Minute
	// answerGrace bounds the wait for an answer after the deadline.
	answerGrace = 5 * time.Second
	// maxIdleConnsPerEntry bounds the idle caller connections to one entry.
	maxIdleConnsPerEntry = 4096
)

// outcome is the answer to one job as its caller saw it.
type outcome struct {
	sentAt     time.Time
	answeredAt time.Time
	// answer is nil when the call failed, for example on a broken connection.
	answer *pb.SubmitResponse
	entry  int
}

// callers submits jobs over HTTP/1.1, so that a connection carries one job at a
// time and is then reused.
type callers struct {
	fleet   *fleet
	clients []poplarleverv1connect.DispatchClient

	mu         sync.Mutex
	outcomes   []outcome
	inProgress map[int]int
}

func newCallers(f *fleet, jobs int) *callers {
	c := &callers{fleet: f, outcomes: make([]outcome, jobs), inProgress: make(map[int]int)}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry}
	for _, e := range f.entries {
		c.clients = append(c.clients, poplarleverv1connect.NewDispatchClient(&http.Client{Transport: transport}, "http://"+e.callerRelay.address()))
	}
	return c
}

// submit sends the job and records its outcome. A job for an entry that is down
// goes to another one, as behind a load balancer with health checks.
func (c *callers) submit(j *traceJob) {
	entry := j.entry
	if c.fleet.entries[entry].down.Load() {
		entry = c.pickLiveEntry()
	}
	request := buildRequest(j)
	c.mu.Lock()
	c.inProgress[j.index] = entry
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout+answerGrace)
	defer cancel()
	o := outcome{sentAt: time.Now(), entry: entry}
	response, err := c.clients[entry].Submit(ctx, connect.NewRequest(request))
	o.answeredAt = time.Now()
	if err == nil {
		o.answer = response.Msg
	}
	c.mu.Lock()
	delete(c.inProgress, j.index)
	c.outcomes[j.index] = o
	c.mu.Unlock()
}

func (c *callers) pickLiveEntry() int {
	for {
		if i := rand.IntN(len(c.fleet.entries)); !c.fleet.entries[i].down.Load() {
			return i
		}
	}
}

func buildRequest(j *traceJob) *pb.SubmitRequest {
	request := &pb.SubmitRequest{
		JobId: jobName(j.index), Service: service, JobType: jobType, Account: accountName(j.account),
		Timeout: durationpb.New(jobTimeout), Idempotent: true,
	}
	for i, t := range j.tasks {
		p := payload{id: taskID{j.index, i}, runTime: t.runTime, fail: j.poison && i == 0}
		request.Tasks = append(request.Tasks, &pb.Task{Payload: p.encode(), DeclaredRunTime: durationpb.New(t.declaredRunTime)})
	}
	return request
}

func jobName(index int) string { return fmt.Sprintf("job-%d", index) }

// cancelRandom cancels each job in progress with the given probability.
func (c *callers) cancelRandom(jobs []traceJob, probability float64, rng *rand.Rand) {
	c.mu.Lock()
	live := make(map[int]int, len(c.inProgress))
	for j, e := range c.inProgress {
		live[j] = e
	}
	c.mu.Unlock()
	for j := range jobs {
		entry, ok := live[j]
		if !ok || rng.Float64() >= probability {
			continue
		}
		go func() {
			_, _ = c.clients[entry].Cancel(context.Background(), connect.NewRequest(&pb.CancelRequest{
				JobId: jobName(j), Account: accountName(jobs[j].account),
			}))
		}()
	}
}

// warmUp opens connections and runs every code path once, with one job per entry.
func (c *callers) warmUp() {
	var group sync.WaitGroup
	for i := range c.clients {
		j := &traceJob{index: -1 - i, entry: i}
		for range c.fleet.options.Workers * c.fleet.options.Slots {
			j.tasks = append(j.tasks, traceTask{runTime: 5 * time.Millisecond})
		}
		group.Go(func() { _, _ = c.clients[i].Submit(context.Background(), connect.NewRequest(buildRequest(j))) })
	}
	group.Wait()
}
