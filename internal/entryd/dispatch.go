package entryd

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// dispatchService implements the Dispatch service for callers.
type dispatchService struct {
	runner *runner
	keyed  *keyedRequests
	auth   Authenticator
	counts *Counts
	// cancel cancels a job at any entry, as Daemon.cancelJob does.
	cancel func(name jobName, uniqueName bool) (verdict.CancelOutcome, int)
}

// Submit runs a job and waits for its answer.
func (s *dispatchService) Submit(ctx context.Context, req *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.SubmitResponse], error) {
	markHandlerReached(ctx)
	answer := s.submit(ctx, req.Header(), req.Msg, nil)
	extendWriteDeadline(ctx)
	return connect.NewResponse(answer), nil
}

// SubmitStream runs a job and also sends its progress. A keyed request reports no
// progress, because it may run at another entry or for another caller.
func (s *dispatchService) SubmitStream(ctx context.Context, req *connect.Request[pb.SubmitRequest], stream *connect.ServerStream[pb.SubmitEvent]) error {
	markHandlerReached(ctx)
	send := func(event *pb.SubmitEvent) error {
		extendWriteDeadline(ctx)
		return stream.Send(event)
	}
	accepted := false
	answer := s.submit(ctx, req.Header(), req.Msg, func(p entry.Progress) error {
		if !accepted {
			accepted = true
			if err := send(&pb.SubmitEvent{State: pb.SubmitEvent_STATE_ACCEPTED, Queued: uint32(p.Queued)}); err != nil {
				return err
			}
		}
		return send(encodeProgress(p))
	})
	return send(&pb.SubmitEvent{State: pb.SubmitEvent_STATE_ANSWERED, Answer: answer})
}

// Cancel stops the tasks of a job that have not started.
func (s *dispatchService) Cancel(ctx context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	markHandlerReached(ctx)
	if !s.auth.Authenticate(req.Msg.GetAccount(), bearerToken(req.Header())) {
		s.counts.add(verdict.Unauthenticated)
		return nil, rpcError(connect.CodeUnauthenticated, unauthenticated())
	}
	// Callers may use a job id again once its job has ended: an outdated cancel may mean an
	// earlier job.
	if httpserver.ConnectionOf(ctx).Outdated() {
		s.counts.add(verdict.EntryPaused)
		return nil, rpcError(connect.CodeUnavailable, outdatedRequest())
	}
	outcome, unreached := s.cancel(jobName{req.Msg.GetAccount(), req.Msg.GetJobId()}, false)
	return connect.NewResponse(&pb.CancelResponse{Found: outcome.Found(), UnreachedEntries: uint32(unreached)}), nil
}

// IssueKeys returns keys for requests that must run at most once.
func (s *dispatchService) IssueKeys(ctx context.Context, req *connect.Request[pb.IssueKeysRequest]) (*connect.Response[pb.IssueKeysResponse], error) {
	markHandlerReached(ctx)
	refusal := s.checkIssueKeys(req)
	if refusal == nil {
		issued := s.keyed.issueKeys(req.Msg.GetAccount(), int(req.Msg.GetCount()))
		if issued != nil {
			return connect.NewResponse(&pb.IssueKeysResponse{Keys: issued, Lifetime: durationpb.New(s.keyed.lifetime)}), nil
		}
		full := refuse(verdict.OverQuota, "the entry holds as many unexpired keys as it may")
		refusal = &full
	}
	s.counts.add(refusal.Reason)
	return connect.NewResponse(&pb.IssueKeysResponse{Failure: encodeFailure(*refusal)}), nil
}

// maxKeysPerCall is the largest number of keys that one call issues. Keyed requests
// wait meanwhile, for about a microsecond a key.
const maxKeysPerCall = 1_000

func (s *dispatchService) checkIssueKeys(req *connect.Request[pb.IssueKeysRequest]) *entry.Answer {
	if n := req.Msg.GetCount(); n == 0 || n > maxKeysPerCall || len(req.Msg.GetAccount()) > maxNameBytes {
		return malformed("count has to be 1 to %d", maxKeysPerCall)
	}
	var refusal entry.Answer
	switch {
	case !s.auth.Authenticate(req.Msg.GetAccount(), bearerToken(req.Header())):
		refusal = unauthenticated()
	case s.keyed.draining.Load():
		// The keys would be lost when this process ends.
		refusal = refuse(verdict.Draining, "the entry is stopping")
	default:
		return nil
	}
	return &refusal
}

func unauthenticated() entry.Answer {
	return refuse(verdict.Unauthenticated, "the bearer token does not belong to the client account")
}

func (s *dispatchService) submit(ctx context.Context, header http.Header, req *pb.SubmitRequest, report func(entry.Progress) error) *pb.SubmitResponse {
	if !jobDecoded(ctx, req) {
		return s.countAndEncode(req.GetJobId(), tooManyRequests())
	}
	answer := s.submitDecoded(ctx, header, req, report)
	countAnswer(ctx, answer)
	return answer
}

func (s *dispatchService) submitDecoded(ctx context.Context, header http.Header, req *pb.SubmitRequest, report func(entry.Progress) error) *pb.SubmitResponse {
	if !s.auth.Authenticate(req.GetAccount(), bearerToken(header)) {
		return s.countAndEncode(req.GetJobId(), unauthenticated())
	}
	if req.GetIdempotencyKey() == "" {
		return s.countAndEncode(req.GetJobId(), s.runner.run(ctx, req, report))
	}
	if _, refusal := decodeJob(req, time.Now(), s.runner.jobTimeout); refusal != nil {
		return s.countAndEncode(req.GetJobId(), *refusal)
	}
	answer := s.keyed.submit(ctx, header, req)
	if f := answer.GetFailure(); f != nil {
		s.counts.add(verdict.ParseReason(f.GetReason()))
	}
	return answer
}

func (s *dispatchService) countAndEncode(id string, a entry.Answer) *pb.SubmitResponse {
	if a.Outcome != entry.Complete {
		s.counts.add(a.Reason)
	}
	return encodeAnswer(id, a)
}
