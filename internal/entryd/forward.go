package entryd

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/core/keys"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/logevent"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// headerForwarded marks a request that another entry forwarded, so that it is
	// forwarded only once. Its value identifies the submission, so that a copy of it
	// does not run after the original was refused.
	headerForwarded = "Poplarlever-Forwarded"
	// forwardMargin is how long after the job's deadline the forwarding entry still
	// waits for the answer.
	forwardMargin = time.Second
)

// errMalformedAnswer is the error type of an answer that cannot be passed on.
var errMalformedAnswer = errorx.NewNamespace("forward").NewType("malformed_answer")

// forward sends the request to the entry that issued the key. If that fails, the
// verdict is MayHaveRun, because an earlier submission under the key may have run.
func (k *keyedRequests) forward(ctx context.Context, key keys.Key, header http.Header, req *pb.SubmitRequest) *pb.SubmitResponse {
	if header.Get(headerForwarded) != "" || key.Address == k.cfg.Address {
		return encodeAnswer("", keyUnavailable("the entry process that issued the key is gone"))
	}
	if k.peers == nil || !k.peers.Known(key.Address) {
		return encodeAnswer("", keyUnavailable("the key's address is no known entry"))
	}
	now := time.Now()
	end, _ := deadline(req, now, k.jobTimeout)
	if !end.After(now) {
		return encodeAnswer("", refuse(verdict.DeadlinePassed, "the deadline has passed"))
	}
	ctx, cancel := context.WithDeadline(ctx, end.Add(forwardMargin))
	defer cancel()
	answer, err := k.send(ctx, key.Address, header, req, end.Sub(now))
	if err != nil {
		logevent.KeyForwardFailed.Log(k.log, zap.String("address", key.Address), zap.Error(err))
		return encodeAnswer("", keyUnavailable("the entry that issued the key gave no answer"))
	}
	return answer
}

// send submits the request to the other entry. It drops the job id, which names a job
// at the entry that the caller chose. A relative deadline replaces the absolute one, so
// that the clocks of the two entries need not agree.
func (k *keyedRequests) send(ctx context.Context, address string, header http.Header, req *pb.SubmitRequest, timeout time.Duration) (*pb.SubmitResponse, error) {
	forwarded := proto.CloneOf(req)
	forwarded.JobId, forwarded.Deadline, forwarded.Timeout = "", nil, durationpb.New(timeout)
	call := connect.NewRequest(forwarded)
	call.Header().Set(headerForwarded, newSubmissionID())
	if token := header.Get("Authorization"); token != "" {
		call.Header().Set("Authorization", token)
	}
	resp, err := poplarleverv1connect.NewDispatchClient(k.client, k.scheme+address).Submit(ctx, call)
	if err != nil {
		return nil, err
	}
	if !validAnswer(resp.Msg, len(req.GetTasks())) {
		return nil, errMalformedAnswer.New("the answer is incomplete")
	}
	return resp.Msg, nil
}

// validAnswer reports whether an entry can have given the answer: all results, or a
// failure with a verdict.
func validAnswer(answer *pb.SubmitResponse, tasks int) bool {
	if answer.GetOutcome() == pb.Outcome_OUTCOME_COMPLETE {
		return len(answer.GetResults()) == tasks && answer.GetFailure() == nil
	}
	return answer.GetFailure().GetVerdict() != pb.Verdict_VERDICT_UNSPECIFIED && len(answer.GetResults()) == 0
}

func newSubmissionID() string { return hex.EncodeToString(randomBytes(len(keys.SubmissionID{}))) }

// submissionIDOf returns the submission ID of a forwarded request, or zero without a
// valid one.
func submissionIDOf(h http.Header) (id keys.SubmissionID) {
	if decoded, err := hex.DecodeString(h.Get(headerForwarded)); err == nil && len(decoded) == len(id) {
		copy(id[:], decoded)
	}
	return id
}
