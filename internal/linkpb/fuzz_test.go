package linkpb_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

func addSeed(f *testing.F, frame proto.Message) {
	encoded, err := proto.Marshal(frame)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
}

// Guards against a frame from an agent that makes the entry panic, and against
// decoded messages that cannot be encoded and decoded again.
func FuzzAgentFrame(f *testing.F) {
	id := msg.AttemptID{Entry: 1, Job: 2, Task: 3, Attempt: 4}
	for _, m := range []msg.FromAgent{
		msg.Hello{Worker: "w", Incarnation: 1, Slots: 8, Service: "s"},
		msg.Result{Attempt: id, Kind: msg.ResultOK, Payload: []byte("p")},
		msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: id, State: msg.Running}}},
		msg.Leaving{},
	} {
		addSeed(f, &pb.AgentFrame{ClockNs: 5, Messages: []*pb.AgentMessage{linkpb.EncodeFromAgent(m)}})
	}
	for _, cores := range oddCores {
		addSeed(f, &pb.AgentFrame{ClockNs: -1, Messages: []*pb.AgentMessage{linkpb.EncodeFromAgent(msg.Leaving{Report: msg.Slots{Room: msg.Size{Cores: cores}}})}})
	}
	addSeed(f, &pb.AgentFrame{Messages: []*pb.AgentMessage{{Message: &pb.AgentMessage_Result{Result: &pb.Result{Kind: 257, RunTimeNs: -1}}}}})
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var frame pb.AgentFrame
		if proto.Unmarshal(encoded, &frame) != nil {
			return
		}
		for _, m := range frame.GetMessages() {
			decoded, err := linkpb.DecodeFromAgent(m)
			if err != nil {
				continue
			}
			if _, err := linkpb.DecodeFromAgent(linkpb.EncodeFromAgent(decoded)); err != nil {
				t.Fatalf("cannot decode %+v after encoding it again: %v", decoded, err)
			}
		}
	})
}

// Guards against a frame from an entry that makes the agent panic, and against
// decoded messages that cannot be encoded and decoded again.
func FuzzEntryFrame(f *testing.F) {
	id := msg.AttemptID{Entry: 1, Job: 2, Task: 3, Attempt: 4}
	for _, m := range []msg.FromEntry{
		msg.Welcome{Entry: "e", Incarnation: 1},
		msg.Evacuations{Report: evacuation.Report{ListedAt: 9, Domains: []evacuation.Domain{{Name: "z", Evacuated: true, Version: 8}}}},
		msg.Dispatch{Attempt: id, AgentIncarnation: 1, Service: "s", Payload: []byte("p")},
		msg.Revoke{Attempts: []msg.AttemptRef{{Attempt: id}}},
		msg.Ack{Attempts: []msg.AttemptID{id}},
	} {
		addSeed(f, &pb.EntryFrame{Messages: []*pb.EntryMessage{linkpb.EncodeFromEntry(m)}})
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var frame pb.EntryFrame
		if proto.Unmarshal(encoded, &frame) != nil {
			return
		}
		for _, m := range frame.GetMessages() {
			decoded, err := linkpb.DecodeFromEntry(m)
			if err != nil {
				continue
			}
			if _, err := linkpb.DecodeFromEntry(linkpb.EncodeFromEntry(decoded)); err != nil {
				t.Fatalf("cannot decode %+v after encoding it again: %v", decoded, err)
			}
		}
	})
}
