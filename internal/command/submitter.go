package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/tlsconfig"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// submitter submits jobs to the first of its entries that accepts them.
type submitter struct {
	entries   []string
	token     string
	tlsConfig tlsconfig.Config
	// newProgress returns the progress display of one job; nil means none.
	newProgress func(tasks int) progressDisplay
}

// progressDisplay shows the number of finished tasks of a job.
type progressDisplay interface {
	Set(finished int)
	Close()
}

func (s *submitter) client(address string) poplarleverv1connect.DispatchClient {
	return poplarleverv1connect.NewDispatchClient(httpserver.NewTLSClient(s.tlsConfig.Client), s.tlsConfig.Scheme()+"://"+address)
}

// addKey requests an idempotency key for the job and prints it to w.
func (s *submitter) addKey(ctx context.Context, job *pb.SubmitRequest, w io.Writer) error {
	req := &pb.IssueKeysRequest{Account: job.GetAccount(), Count: 1}
	message := "no entry is given"
	for _, address := range s.entries {
		resp, err := s.client(address).IssueKeys(ctx, withToken(req, s.token))
		switch {
		case err != nil:
			message = err.Error()
		case len(resp.Msg.GetKeys()) != 1:
			message = resp.Msg.GetFailure().GetMessage()
		default:
			job.IdempotencyKey = resp.Msg.GetKeys()[0]
			_, err := fmt.Fprintln(w, "key:", job.GetIdempotencyKey())
			return err
		}
	}
	return cli.Exit("no key: "+message, ExitRefused)
}

func withToken[T any](message *T, token string) *connect.Request[T] {
	req := connect.NewRequest(message)
	if token != "" {
		req.Header().Set("Authorization", "Bearer "+token)
	}
	return req
}

// submitWithSignals submits the job. The first SIGINT or SIGTERM cancels tasks that
// have not started and waits for the answer; the second one aborts the wait.
func (s *submitter) submitWithSignals(ctx context.Context, job *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	if job.GetJobId() == "" {
		job.JobId = fmt.Sprintf("submit-%016x", rand.Uint64())
	}
	ctx, abort := context.WithCancel(ctx)
	defer abort()
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(received)
	go func() {
		for _, action := range []func(){func() { s.cancel(ctx, job) }, abort} {
			select {
			case <-received:
				action()
			case <-ctx.Done():
				return
			}
		}
	}()
	return s.submit(ctx, job)
}

// cancel sends a cancellation to every entry, since any of them may have the job.
func (s *submitter) cancel(ctx context.Context, job *pb.SubmitRequest) {
	for _, address := range s.entries {
		_, _ = s.client(address).Cancel(ctx, withToken(&pb.CancelRequest{JobId: job.GetJobId(), Account: job.GetAccount()}, s.token))
	}
}

// submit tries the entries in order. It continues with the next one only when the
// job did not run or may be run again.
func (s *submitter) submit(ctx context.Context, job *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	repeatable := job.GetIdempotent() || job.GetIdempotencyKey() != ""
	var answer *pb.SubmitResponse
	// mayHaveRun is set once an answer says that the job may have run.
	mayHaveRun := false
	for _, address := range s.entries {
		response, err := s.submitTo(ctx, address, job)
		answer = response
		if err != nil {
			answer = answerForError(err)
		}
		if answer.GetFailure().GetVerdict() == pb.Verdict_VERDICT_MAY_HAVE_RUN {
			mayHaveRun = true
		}
		if ctx.Err() != nil || !mayTryNext(answer, err, repeatable) {
			break
		}
	}
	if answer == nil {
		return nil, cli.Exit("no entry is given", ExitUsage)
	}
	if mayHaveRun && answer.GetFailure().GetVerdict() == pb.Verdict_VERDICT_NOT_RUN {
		answer.Outcome = pb.Outcome_OUTCOME_FAILED
		answer.Failure.Verdict = pb.Verdict_VERDICT_MAY_HAVE_RUN
		answer.Failure.Message += "; an earlier entry gave no answer"
	}
	return answer, nil
}

// mayTryNext reports whether the job may be submitted to another entry.
func mayTryNext(answer *pb.SubmitResponse, err error, repeatable bool) bool {
	if err != nil {
		return dialFailed(err) || repeatable && answer.GetFailure().GetVerdict() == pb.Verdict_VERDICT_MAY_HAVE_RUN
	}
	return answer.GetFailure().GetReason() == verdict.Draining.String()
}

// dialFailed reports whether the connection could not be opened, so that nothing
// was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// answerForError converts the error of a failed call to an answer. It takes the
// Failure from the error's details. Without one, the verdict is NOT_RUN when the
// connection could not be opened and MAY_HAVE_RUN otherwise.
func answerForError(err error) *pb.SubmitResponse {
	var rpc *connect.Error
	if errors.As(err, &rpc) {
		for _, detail := range rpc.Details() {
			if value, valueErr := detail.Value(); valueErr == nil {
				if failure, ok := value.(*pb.Failure); ok {
					return &pb.SubmitResponse{Outcome: pb.Outcome_OUTCOME_REFUSED, Failure: failure}
				}
			}
		}
	}
	if dialFailed(err) {
		return &pb.SubmitResponse{Outcome: pb.Outcome_OUTCOME_REFUSED, Failure: &pb.Failure{
			Verdict: pb.Verdict_VERDICT_NOT_RUN, Message: err.Error(),
		}}
	}
	return &pb.SubmitResponse{Outcome: pb.Outcome_OUTCOME_FAILED, Failure: &pb.Failure{
		Verdict: pb.Verdict_VERDICT_MAY_HAVE_RUN, Message: err.Error(),
	}}
}

// submitTo submits the job to one entry and displays its progress.
func (s *submitter) submitTo(ctx context.Context, address string, job *pb.SubmitRequest) (*pb.SubmitResponse, error) {
	stream, err := s.client(address).SubmitStream(ctx, withToken(job, s.token))
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var display progressDisplay
	if s.newProgress != nil {
		display = s.newProgress(len(job.GetTasks()))
		defer display.Close()
	}
	for stream.Receive() {
		event := stream.Msg()
		if answer := event.GetAnswer(); answer != nil {
			return answer, nil
		}
		if display != nil {
			display.Set(int(event.GetFinished()))
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}
