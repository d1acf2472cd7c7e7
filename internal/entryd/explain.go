package entryd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

var errNoRoute = errorNamespace.NewType("no_route")

// Explain returns what the entry would do with a job now.
func (s *operatorService) Explain(ctx context.Context, req *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	d := s.daemon
	job := req.Msg.GetJob()
	if job == nil {
		job = &pb.SubmitRequest{}
	}
	response := &pb.ExplainResponse{Entry: d.name}
	if host := req.Msg.GetHost(); host != "" {
		route, found := d.findRoute(host, req.Msg.GetPath())
		if !found {
			return nil, connect.NewError(connect.CodeNotFound, errNoRoute.New("no route in the table fits host %q and path %q", host, req.Msg.GetPath()))
		}
		job.Service, job.JobType = route.Service, route.JobType
		response.Route = &pb.ExplainedRoute{Host: route.Host, PathPrefix: route.PathPrefix}
	}
	spec, refusal := d.jobs.decode(job)
	explanation := entry.Explanation{Refusal: refusal, Service: job.GetService(), JobType: job.GetJobType()}
	explain := func(time.Time) {
		if refusal != nil {
			explanation.Revision = d.loop.core.Snapshot().Revision
			return
		}
		explanation = d.loop.core.Explain(clock.Now(), spec)
	}
	if err := d.loop.call(ctx, explain); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	encodeExplanation(response, explanation)
	return connect.NewResponse(response), nil
}

// findRoute returns the route of a request in the table in force.
func (d *Daemon) findRoute(host, path string) (entry.Route, bool) {
	router := d.router.Load()
	if router == nil {
		return entry.Route{}, false
	}
	return router.Find(host, path)
}

func encodeExplanation(p *pb.ExplainResponse, e entry.Explanation) {
	p.Revision, p.Service, p.JobType, p.Priority = e.Revision, e.Service, e.JobType, int32(e.Priority)
	p.Rule, p.Worker = e.Rule.String(), e.Worker
	switch {
	case e.Refusal != nil:
		p.Decision = pb.ExplainDecision_EXPLAIN_DECISION_REFUSE
		p.Refusal = encodeFailure(*e.Refusal)
		p.LongestRetryAfter = durationpb.New(max(e.MaxRetryAfter, e.Refusal.RetryAfter))
	case e.Rule != verdict.PlacementRule(0):
		p.Decision = pb.ExplainDecision_EXPLAIN_DECISION_WAIT
	default:
		p.Decision = pb.ExplainDecision_EXPLAIN_DECISION_START
	}
	for _, w := range e.Workers {
		p.Workers = append(p.Workers, &pb.ExplainedWorker{
			Name: w.Name, FailureDomain: w.FailureDomain, Rule: w.Rule.String(), Score: w.Total,
			Room: w.Score.Room, Affinity: w.Score.Affinity, Slowdown: w.Score.Slowdown, Remote: w.Score.Remote,
			Failing: w.Score.Failing, Cell: w.Score.Cell, Separation: w.Score.Separation,
			ExpectedEnd: w.Score.ExpectedEnd,
		})
	}
}
