package entryd

import (
	"fmt"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Response headers of requests that fail before they become a job. The error's details
// carry the same values as a Failure message.
const (
	HeaderVerdict = "Poplarlever-Verdict"
	HeaderReason  = "Poplarlever-Reason"
)

const (
	// retryTransient is for conditions that usually end within a second.
	retryTransient = time.Second
	// retryTableChange is the time within which a table change is in force everywhere.
	retryTableChange = 9 * time.Second
	// retryPermanent keeps callers from repeating a request in a loop that can never be
	// accepted unchanged.
	retryPermanent = time.Minute
)

// retryAfter returns how long a refused caller should wait before the next try, for
// refusals that set no time themselves.
func retryAfter(r verdict.Reason) time.Duration {
	switch r {
	case verdict.UnknownService, verdict.UnknownJobType, verdict.UnknownAccount, verdict.Unauthenticated:
		return retryTableChange
	case verdict.MalformedJob, verdict.NoTasks, verdict.TooManyTasks, verdict.PayloadTooLarge,
		verdict.DeadlinePassed, verdict.KeyConflict, verdict.NeverRunnable, verdict.KeyUnavailable:
		return retryPermanent
	}
	return retryTransient
}

// refuse returns the answer to a request that did not run.
func refuse(r verdict.Reason, format string, args ...any) entry.Answer {
	return entry.Answer{
		Outcome: entry.Refused, Verdict: verdict.NotRun, Reason: r,
		Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter(r),
	}
}

// encodeFailure returns the wire form of an answer that is not complete.
func encodeFailure(a entry.Answer) *pb.Failure {
	f := &pb.Failure{Verdict: pb.Verdict(a.Verdict), Reason: a.Reason.String(), Message: a.Message}
	delay := a.RetryAfter
	if delay == 0 && a.Outcome == entry.Refused {
		delay = retryAfter(a.Reason)
	}
	if delay > 0 {
		f.RetryAfter = durationpb.New(delay)
	}
	return f
}

// rpcError returns the refusal as a Connect error with the verdict in its
// metadata and details.
func rpcError(code connect.Code, a entry.Answer) *connect.Error {
	err := connect.NewError(code, fmt.Errorf("%s", a.Message))
	err.Meta().Set(HeaderVerdict, a.Verdict.String())
	err.Meta().Set(HeaderReason, a.Reason.String())
	err.Meta().Set("Retry-After", strconv.Itoa(max(1, int(a.RetryAfter.Seconds()))))
	if detail, detailErr := connect.NewErrorDetail(encodeFailure(a)); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}
