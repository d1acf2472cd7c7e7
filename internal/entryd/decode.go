package entryd

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

const (
	// maxNameBytes is the longest name that a request may contain.
	maxNameBytes = 200
	// maxTimeout is the longest time until a job's deadline. Later deadlines are cut to
	// it.
	maxTimeout = 24 * time.Hour
)

// decodeJob converts a request into a job. The second result is the refusal of a
// malformed request. The core checks what depends on the table.
func decodeJob(req *pb.SubmitRequest, now time.Time, defaultTimeout time.Duration) (entry.Job, *entry.Answer) {
	if a := checkNameLengths(req); a != nil {
		return entry.Job{}, a
	}
	end, a := deadline(req, now, defaultTimeout)
	if a != nil {
		return entry.Job{}, a
	}
	tasks := make([]entry.Task, len(req.GetTasks()))
	for i, t := range req.GetTasks() {
		if !validTask(t) {
			return entry.Job{}, malformed("task %d declares an invalid size or run time", i)
		}
		tasks[i] = entry.Task{
			Payload:         t.GetPayload(),
			DeclaredSize:    linkpb.DecodeSize(t.GetDeclaredSize()),
			DeclaredRunTime: t.GetDeclaredRunTime().AsDuration(),
		}
	}
	return entry.Job{
		Service: req.GetService(), JobType: req.GetJobType(), Account: req.GetAccount(), Tasks: tasks,
		Deadline: end, DeadlineByDefault: req.GetDeadline() == nil && req.GetTimeout() == nil,
		Idempotent: req.GetIdempotent(), Key: req.GetIdempotencyKey(),
	}, nil
}

func malformed(format string, args ...any) *entry.Answer {
	a := refuse(verdict.MalformedJob, format, args...)
	return &a
}

func checkNameLengths(req *pb.SubmitRequest) *entry.Answer {
	for _, name := range []string{req.GetJobId(), req.GetService(), req.GetJobType(), req.GetAccount(), req.GetIdempotencyKey()} {
		if len(name) > maxNameBytes {
			return malformed("a name has %d bytes, at most %d are allowed", len(name), maxNameBytes)
		}
	}
	return nil
}

func validTask(t *pb.Task) bool {
	if t == nil {
		return false
	}
	if d := t.GetDeclaredRunTime(); d != nil && (d.CheckValid() != nil || d.AsDuration() < 0) {
		return false
	}
	cores := t.GetDeclaredSize().GetCores()
	return cores >= 0 && !math.IsInf(cores, 0)
}

// deadline returns the earlier of the absolute and the relative deadline, or the
// default when the request has neither.
func deadline(req *pb.SubmitRequest, now time.Time, defaultTimeout time.Duration) (time.Time, *entry.Answer) {
	end := now.Add(defaultTimeout)
	if t := req.GetTimeout(); t != nil {
		if t.CheckValid() != nil {
			return end, malformed("the timeout is out of range")
		}
		end = now.Add(min(t.AsDuration(), maxTimeout))
	}
	if at := req.GetDeadline(); at != nil {
		if at.CheckValid() != nil {
			return end, malformed("the deadline is out of range")
		}
		if req.GetTimeout() == nil || at.AsTime().Before(end) {
			end = at.AsTime()
		}
	}
	if latest := now.Add(maxTimeout); end.After(latest) {
		end = latest
	}
	return end, nil
}
