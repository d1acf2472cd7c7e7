package processtest

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against a wrong verdict on a task whose endpoint failed, and against a
// second start of that task at another worker.
func TestFailingEndpoints(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, 3)
	run := func(payload string) *pb.SubmitResponse {
		req := newJob(payload)
		if payload == "stall" {
			// A stalled task ends at its run limit, which is at most the time to the
			// deadline.
			req.Timeout = durationpb.New(500 * time.Millisecond)
		}
		resp, err := newClient(f.entries[0].address).Submit(context.Background(), connect.NewRequest(req))
		c.Assert(err, qt.IsNil)
		return resp.Msg
	}
	// "reset" resets the connection; "half" closes it after a part of the answer.
	for payload, want := range map[string]pb.Verdict{
		"fail": pb.Verdict_VERDICT_RAN, "reset": pb.Verdict_VERDICT_MAY_HAVE_RUN,
		"half": pb.Verdict_VERDICT_MAY_HAVE_RUN, "stall": pb.Verdict_VERDICT_MAY_HAVE_RUN,
		"crash": pb.Verdict_VERDICT_MAY_HAVE_RUN,
	} {
		c.Check(run(payload).GetFailure().GetVerdict(), qt.Equals, want, qt.Commentf(payload))
		c.Check(f.starts(c)[payload], qt.Equals, 1, qt.Commentf(payload))
	}
	// "leave" makes the endpoint announce that it is leaving and then run the task.
	c.Check(run("leave").GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_COMPLETE)
	c.Check(run("after").GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_COMPLETE)
	checkOutcomes(c, nil, f.starts(c))
}
