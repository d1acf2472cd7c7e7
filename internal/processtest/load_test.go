package processtest

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/httpserver"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

func newClient(address string) poplarleverv1connect.DispatchClient {
	return poplarleverv1connect.NewDispatchClient(httpserver.NewClient(), "http://"+address)
}

func newJob(payloads ...string) *pb.SubmitRequest {
	req := &pb.SubmitRequest{Service: "route-desk", JobType: "settlement", Account: "atlas", Timeout: durationpb.New(20 * time.Second)}
	for _, p := range payloads {
		req.Tasks = append(req.Tasks, &pb.Task{Payload: []byte(p)})
	}
	return req
}

// outcome is the result of one submission as the caller saw it. When the connection
// broke, answer is nil and err is set.
type outcome struct {
	payloads []string
	answer   *pb.SubmitResponse
	err      error
}

// load submits jobs until it is stopped. Each payload is used only once.
type load struct {
	stopping atomic.Bool
	group    sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
	complete atomic.Int64
}

// startLoad starts the given number of callers for each address.
func startLoad(callers int, addresses ...string) *load {
	l := &load{}
	for _, address := range addresses {
		c := newClient(address)
		for caller := range callers {
			l.group.Go(func() {
				for i := 0; !l.stopping.Load(); i++ {
					l.submit(c, fmt.Sprintf("load %s %d %d", address, caller, i))
				}
			})
		}
	}
	return l
}

func (l *load) submit(c poplarleverv1connect.DispatchClient, name string) {
	o := outcome{payloads: []string{name + " a", name + " b", name + " c"}}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := c.Submit(ctx, connect.NewRequest(newJob(o.payloads...)))
	if o.err = err; err == nil {
		o.answer = resp.Msg
	}
	if o.answer.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE {
		l.complete.Add(1)
	} else {
		time.Sleep(20 * time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// waitComplete waits until n more jobs are complete.
func (l *load) waitComplete(c *qt.C, n int64) {
	want := l.complete.Load() + n
	waitFor(c, fmt.Sprintf("%d more complete jobs", n), func() bool { return l.complete.Load() >= want })
}

func (l *load) stop() []outcome {
	l.stopping.Store(true)
	l.group.Wait()
	return l.outcomes
}

// checkOutcomes compares the outcomes that callers saw with the starts that the
// endpoints recorded.
func checkOutcomes(c *qt.C, outcomes []outcome, starts map[string]int) {
	for payload, n := range starts {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s was started %d times", payload, n))
	}
	for _, o := range outcomes {
		comment := qt.Commentf("%v: %v", o.payloads, o.answer)
		switch {
		case o.answer == nil:
		case o.answer.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE:
			c.Check(len(o.answer.GetResults()), qt.Equals, len(o.payloads), comment)
			for i, r := range o.answer.GetResults() {
				c.Check(string(r.GetPayload()), qt.Equals, o.payloads[i], comment)
				c.Check(starts[o.payloads[i]], qt.Equals, 1, comment)
			}
		default:
			c.Check(o.answer.GetResults(), qt.HasLen, 0, comment)
			c.Check(o.answer.GetFailure().GetVerdict(), qt.Not(qt.Equals), pb.Verdict_VERDICT_UNSPECIFIED, comment)
			if o.answer.GetFailure().GetVerdict() == pb.Verdict_VERDICT_NOT_RUN {
				for _, p := range o.payloads {
					c.Check(starts[p], qt.Equals, 0, comment)
				}
			}
		}
	}
}
