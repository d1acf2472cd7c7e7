package linkpb_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

var (
	id     = msg.AttemptID{Entry: 1 << 63, Job: 2, Task: 3, Attempt: 4}
	report = msg.Slots{Free: 5, Spare: 3, Covers: 6, Number: 7, Room: msg.Size{Cores: 8.5, MemoryBytes: 9, Accelerators: 1}, Stalled: true}
	refs   = []msg.AttemptRef{{Attempt: id, StartBy: 8}}
)

// Guards against a message field that is lost in encoding or decoding.
func TestRoundTripFromAgent(t *testing.T) {
	for _, m := range []msg.FromAgent{
		msg.Hello{
			Worker: "w", FailureDomain: "d", Incarnation: 9, Service: "s", Slots: 8, Report: report,
			Connections: 64, Size: msg.Size{Cores: 1.5, MemoryBytes: 2, Accelerators: 3}, Revision: 10, Leaving: true,
			ReleaseAfter: time.Second, Labels: []string{"a", "r1"}, Settled: true,
			Crashes: []msg.WorkerCrash{{Instance: 7, Tasks: []msg.CrashedTask{{Name: "t.0.0.1", JobType: "quote", RunTime: time.Millisecond, Unconfirmed: true}}}}, EvacuatedAt: 12,
		},
		msg.Refused{Attempt: id, Reason: verdict.NoSlot, Report: report},
		msg.Result{Attempt: id, Kind: msg.ResultOK, Payload: []byte("p"), RunTime: time.Second, Report: report},
		msg.Result{Attempt: id, Kind: msg.ResultOK, Payload: []byte("p"), RunTime: time.Second, Report: report, Beside: colocation.Summary{
			Known: true, Load: 51.0 / 255, Neighbours: []colocation.Neighbour{{Type: 1<<32 - 1, Mean: 2.5}, {Type: 0, Mean: 0.0625}},
		}},
		msg.AttemptStates{Attempts: []msg.AttemptStateItem{{Attempt: id, State: msg.Forgotten}}},
		msg.Heartbeat{Report: report, Revision: 11},
		msg.Leaving{Report: report},
		msg.SlotsFree{Report: report},
	} {
		t.Run(fmt.Sprintf("%T", m), func(t *testing.T) {
			var decoded pb.AgentMessage
			marshalAndUnmarshal(t, linkpb.EncodeFromAgent(m), &decoded)
			got, err := linkpb.DecodeFromAgent(&decoded)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, m)
		})
	}
}

// Guards against a message field that is lost in encoding or decoding.
func TestRoundTripFromEntry(t *testing.T) {
	for _, m := range []msg.FromEntry{
		msg.Welcome{Entry: "e", Incarnation: 1, Peers: []msg.Peer{{Name: "n", Address: "a", FailureDomain: "d"}}, Revision: 2, ColocationEvery: 4},
		msg.Rejected{Reason: "r"},
		msg.Dispatch{
			Attempt: id, Seq: 1, AgentIncarnation: 2, StartBy: 3, RunLimit: 4,
			Service: "s", Account: "a", Payload: []byte("p"), Acks: []msg.AttemptID{id},
			Claim: msg.Claim{Waiting: 5, Unfinished: 6}, TaskName: "t", Size: msg.Size{Cores: 0.5}, EchoedClock: 7, JobType: "quote", WaitForRoom: 10, Report: 11,
		},
		msg.Revoke{Attempts: refs},
		msg.Revoke{Attempts: refs, Stop: true},
		msg.Query{Attempts: refs},
		msg.Ack{Attempts: []msg.AttemptID{id}},
		msg.EntryHeartbeat{EchoedClock: 9, Seq: 5, Revision: 6, Acks: []msg.AttemptID{id}, Claim: msg.Claim{Waiting: 7, Unfinished: 8}},
		msg.TableUpdate{Revision: 7},
		msg.Evacuations{Report: evacuation.Report{ListedAt: 9, Domains: []evacuation.Domain{{Name: "z", Evacuated: true, Version: 8}, {Name: "y", Version: 7}}}},
		msg.Evacuations{},
	} {
		t.Run(fmt.Sprintf("%T", m), func(t *testing.T) {
			var decoded pb.EntryMessage
			marshalAndUnmarshal(t, linkpb.EncodeFromEntry(m), &decoded)
			got, err := linkpb.DecodeFromEntry(&decoded)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, m)
		})
	}
}

func marshalAndUnmarshal(t *testing.T, from, to proto.Message) {
	raw, err := proto.Marshal(from)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, proto.Unmarshal(raw, to), qt.IsNil)
}

// Guards against evacuations that an agent of an earlier version cannot read, which would end
// its link: it reads the message as the announcement of a table revision, which has to be older
// than any.
func TestEarlierAgentReadsEvacuationsAsNoRevision(t *testing.T) {
	m := linkpb.EncodeFromEntry(msg.Evacuations{Report: evacuation.Report{ListedAt: 9}})
	qt.Assert(t, m.GetTable(), qt.IsNotNil)
	qt.Assert(t, m.GetTable().GetRevision(), qt.Equals, uint64(0))
}

// Guards against malformed input that is decoded as a valid message.
func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, p := range []*pb.AgentMessage{
		{},
		{Message: &pb.AgentMessage_Hello{Hello: &pb.Hello{Worker: "w"}}},
		{Message: &pb.AgentMessage_Hello{Hello: &pb.Hello{Worker: "w", Incarnation: 1, Slots: 1 << 20}}},
		{Message: &pb.AgentMessage_Hello{Hello: &pb.Hello{Worker: "w", Incarnation: 1, Slots: 1, Report: &pb.SlotReport{Free: 2}}}},
		{Message: &pb.AgentMessage_Refused{Refused: &pb.Refused{Reason: "tired"}}},
		{Message: &pb.AgentMessage_Result{Result: &pb.Result{}}},
		{Message: &pb.AgentMessage_States{States: &pb.AttemptStates{Attempts: []*pb.AttemptStateItem{{}}}}},
	} {
		_, err := linkpb.DecodeFromAgent(p)
		qt.Check(t, errorx.IsOfType(err, linkpb.ErrMalformed), qt.IsTrue, qt.Commentf("%v", p))
	}
	_, err := linkpb.DecodeFromEntry(&pb.EntryMessage{})
	qt.Check(t, errorx.IsOfType(err, linkpb.ErrMalformed), qt.IsTrue)
}

// Guards against a result that is lost because of what it says about the tasks beside it.
func TestMalformedColocationLeavesTheResult(t *testing.T) {
	for name, beside := range map[string]*pb.Colocation{
		"load above one":          {Load: 256},
		"more types than means":   {Types: []uint32{1, 2}, Means: []uint32{1}},
		"too many types":          {Types: make([]uint32, 9), Means: make([]uint32, 9)},
		"more tasks than can run": {Types: []uint32{1}, Means: []uint32{1 << 31}},
		"more tasks than counted": {Types: []uint32{1}, Means: []uint32{65 * 16}},
		"the same type twice":     {Types: []uint32{1, 2, 1}, Means: []uint32{16, 16, 16}},
	} {
		t.Run(name, func(t *testing.T) {
			m := linkpb.EncodeFromAgent(msg.Result{Attempt: id, Kind: msg.ResultOK, Payload: []byte("p")})
			m.GetResult().Beside = beside
			got, err := linkpb.DecodeFromAgent(m)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.(msg.Result).Beside, qt.DeepEquals, colocation.Summary{Malformed: true})
			qt.Assert(t, string(got.(msg.Result).Payload), qt.Equals, "p")
		})
	}
}

// Guards against a summary that takes more bytes than docs/design/interference.md states.
func TestColocationBytes(t *testing.T) {
	size := func(neighbours int) int {
		s := colocation.Summary{Known: neighbours >= 0, Load: 0.7}
		for i := range neighbours {
			s.Neighbours = append(s.Neighbours, colocation.Neighbour{Type: colocation.TypeIDOf(fmt.Sprint(i)), Mean: 2})
		}
		return proto.Size(linkpb.EncodeFromAgent(msg.Result{Attempt: id, Kind: msg.ResultOK, Report: report, Beside: s}))
	}
	qt.Check(t, size(3)-size(-1), qt.Equals, 24)
	qt.Check(t, size(8)-size(-1), qt.Equals, 49)
}
