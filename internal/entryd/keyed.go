package entryd

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/keys"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// keyTable stores answers in their wire form.
type keyTable = keys.Table[*pb.SubmitResponse]

// keyedRequests runs requests under keys that this entry issued, and forwards other
// keyed requests to the issuer. It is safe for concurrent use.
type keyedRequests struct {
	cfg      keys.Config
	lifetime time.Duration
	// jobTimeout applies to a job that sets no deadline.
	jobTimeout time.Duration
	peers      Peers
	client     *http.Client
	scheme     string
	log        *zap.Logger
	draining   atomic.Bool
	// run submits a job to the core and returns its answer.
	run func(context.Context, *pb.SubmitRequest) entry.Answer

	mu    sync.Mutex
	table *keyTable
	runs  map[uint64]*keyedRun
}

// keyedRun is a running keyed request. Its job is cancelled when the last caller that
// waits for it has gone.
type keyedRun struct {
	done    chan struct{}
	answer  *pb.SubmitResponse
	callers int
	cancel  context.CancelFunc
}

func (k *keyedRequests) issueKeys(account string, count int) []string {
	k.mu.Lock()
	issued := k.table.Issue(time.Now(), account, count)
	k.mu.Unlock()
	texts := make([]string, len(issued))
	for i, key := range issued {
		texts[i] = key.String()
	}
	if issued == nil {
		return nil
	}
	return texts
}

// submit returns the answer to a request with a key.
func (k *keyedRequests) submit(ctx context.Context, header http.Header, req *pb.SubmitRequest) *pb.SubmitResponse {
	key, err := keys.Parse(req.GetIdempotencyKey())
	if err != nil {
		return encodeAnswer(req.GetJobId(), refuse(verdict.MalformedJob, "%v", err))
	}
	var answer *pb.SubmitResponse
	if key.Incarnation == k.cfg.Incarnation {
		answer = k.submitLocal(ctx, key, req, submissionIDOf(header))
	} else {
		answer = k.forward(ctx, key, header, req)
	}
	// The answer is shared, but each caller chose its own job id.
	response := proto.CloneOf(&pb.SubmitResponse{JobId: req.GetJobId(), Outcome: answer.GetOutcome(), Failure: answer.GetFailure()})
	response.Results = answer.GetResults()
	return response
}

// submitLocal claims the key, and then runs the request, waits for its run in progress
// or returns the stored answer.
func (k *keyedRequests) submitLocal(ctx context.Context, key keys.Key, req *pb.SubmitRequest, submission keys.SubmissionID) *pb.SubmitResponse {
	k.mu.Lock()
	decision, kept := k.table.Claim(time.Now(), key, req.GetAccount(), contentDigest(req), submission)
	var run *keyedRun
	switch decision {
	case keys.Run:
		run = k.start(key.Serial, req)
	case keys.Join:
		run = k.runs[key.Serial]
		run.callers++
	}
	k.mu.Unlock()
	if run != nil {
		return k.wait(ctx, run)
	}
	if decision == keys.Answered {
		return kept
	}
	return encodeAnswer("", answerWithoutRun(decision))
}

// answerWithoutRun returns the answer to a request that neither runs nor has a stored
// answer.
func answerWithoutRun(d keys.Decision) entry.Answer {
	switch d {
	case keys.Conflict:
		return refuse(verdict.KeyConflict, "the key was used with other content")
	case keys.Repeated:
		return refuse(verdict.DuplicateJob, "a late copy of a submission that was answered before")
	case keys.NotIssued:
		return refuse(verdict.MalformedJob, "the key was not issued to this client account")
	case keys.Dropped:
		return entry.Answer{
			Outcome: entry.Failed, Verdict: verdict.Ran, Reason: verdict.ResultDropped,
			Message: "a request with this key ran and its result is no longer kept",
		}
	}
	return keyUnavailable("the entry that issued the key does not know it any more")
}

// keyUnavailable is the answer when it is unknown whether an earlier submission under
// the key ran.
func keyUnavailable(message string) entry.Answer {
	return entry.Answer{
		Outcome: entry.Failed, Verdict: verdict.MayHaveRun, Reason: verdict.KeyUnavailable,
		Message: message, RetryAfter: retryAfter(verdict.KeyUnavailable),
	}
}

// start runs the request on its own goroutine, because it may outlive the first caller.
// k.mu must be held.
func (k *keyedRequests) start(serial uint64, req *pb.SubmitRequest) *keyedRun {
	ctx, cancel := context.WithCancel(context.Background())
	run := &keyedRun{done: make(chan struct{}), callers: 1, cancel: cancel}
	k.runs[serial] = run
	go func() {
		defer cancel()
		answer := k.run(ctx, req)
		run.answer = encodeAnswer("", answer)
		k.mu.Lock()
		delete(k.runs, serial)
		k.table.Finish(time.Now(), serial, answer.Verdict, run.answer, proto.Size(run.answer))
		k.mu.Unlock()
		close(run.done)
	}()
	return run
}

// wait returns the run's answer. When ctx ends first, the caller stops waiting, and the
// run is cancelled if no other caller waits for it.
func (k *keyedRequests) wait(ctx context.Context, run *keyedRun) *pb.SubmitResponse {
	select {
	case <-run.done:
		return run.answer
	case <-ctx.Done():
	}
	k.mu.Lock()
	run.callers--
	last := run.callers == 0
	k.mu.Unlock()
	if last {
		run.cancel()
	}
	return encodeAnswer("", entry.Answer{
		Outcome: entry.Failed, Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled,
		Message: "the caller stopped waiting",
	})
}

// contentDigest returns the digest of a request's content. Deadlines and the job id are
// left out, because they differ between submissions.
func contentDigest(req *pb.SubmitRequest) keys.Digest {
	parts := [][]byte{[]byte(req.GetAccount()), []byte(req.GetService()), []byte(req.GetJobType())}
	for _, t := range req.GetTasks() {
		parts = append(parts, t.GetPayload())
	}
	return keys.Content(parts...)
}

// expire drops expired keys and answers.
func (k *keyedRequests) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Expire(now)
}
