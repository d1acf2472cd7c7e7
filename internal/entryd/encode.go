package entryd

import (
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

var outcomes = map[entry.Outcome]pb.Outcome{
	entry.Complete: pb.Outcome_OUTCOME_COMPLETE,
	entry.Failed:   pb.Outcome_OUTCOME_FAILED,
	entry.Refused:  pb.Outcome_OUTCOME_REFUSED,
}

func encodeAnswer(id string, a entry.Answer) *pb.SubmitResponse {
	response := &pb.SubmitResponse{JobId: id, Outcome: outcomes[a.Outcome]}
	if a.Outcome != entry.Complete {
		response.Failure = encodeFailure(a)
		return response
	}
	response.Results = make([]*pb.TaskResult, len(a.Results))
	for i, r := range a.Results {
		response.Results[i] = &pb.TaskResult{Payload: r.Payload, RunTime: durationpb.New(r.RunTime), Worker: r.Worker}
	}
	return response
}

func encodeProgress(p entry.Progress) *pb.SubmitEvent {
	event := &pb.SubmitEvent{
		State: pb.SubmitEvent_STATE_RUNNING, Queued: uint32(p.Queued),
		Running: uint32(p.Running), Finished: uint32(p.Finished),
	}
	if p.Running == 0 && p.Finished == 0 {
		event.State = pb.SubmitEvent_STATE_QUEUED
	}
	return event
}
