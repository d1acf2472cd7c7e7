package linkpb_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// oddCores holds amounts that no worker or task can have.
var oddCores = map[string]float64{"not a number": math.NaN(), "infinite": math.Inf(1), "below zero": -8}

func roomOf(cores float64) *pb.SlotReport { return &pb.SlotReport{Room: &pb.Size{Cores: cores}} }

// Guards against an amount of cores that is no amount: one that is not a number makes the
// sums over all workers of a service so, and an infinite one draws every task.
func TestOddAmountsAreRefused(t *testing.T) {
	for name, cores := range oddCores {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, m := range []*pb.AgentMessage{
				{Message: &pb.AgentMessage_Hello{Hello: &pb.Hello{Worker: "w", Incarnation: 1, Size: &pb.Size{Cores: cores}}}},
				{Message: &pb.AgentMessage_Hello{Hello: &pb.Hello{Worker: "w", Incarnation: 1, Report: roomOf(cores)}}},
				{Message: &pb.AgentMessage_Refused{Refused: &pb.Refused{Reason: "no_slot", Report: roomOf(cores)}}},
				{Message: &pb.AgentMessage_Result{Result: &pb.Result{Kind: pb.ResultKind_RESULT_KIND_OK, Report: roomOf(cores)}}},
				{Message: &pb.AgentMessage_Heartbeat{Heartbeat: &pb.Heartbeat{Report: roomOf(cores)}}},
				{Message: &pb.AgentMessage_Leaving{Leaving: &pb.Leaving{Report: roomOf(cores)}}},
				{Message: &pb.AgentMessage_SlotsFree{SlotsFree: &pb.SlotsFree{Report: roomOf(cores)}}},
			} {
				_, err := linkpb.DecodeFromAgent(m)
				c.Check(errorx.IsOfType(err, linkpb.ErrMalformed), qt.IsTrue, qt.Commentf("%v", m))
			}
			_, err := linkpb.DecodeFromEntry(&pb.EntryMessage{Message: &pb.EntryMessage_Dispatch{Dispatch: &pb.DispatchTask{Size: &pb.Size{Cores: cores}}}})
			c.Check(errorx.IsOfType(err, linkpb.ErrMalformed), qt.IsTrue)
		})
	}
}

// Guards against an unknown kind of result or state that is cut to 8 bits and taken for a
// known one, such as a success.
func TestKindsBeyondEightBitsAreRefused(t *testing.T) {
	for _, n := range []int32{-255, -1, 0, 6, 256 + 1, 1 << 30} {
		_, err := linkpb.DecodeFromAgent(&pb.AgentMessage{Message: &pb.AgentMessage_Result{Result: &pb.Result{Kind: pb.ResultKind(n)}}})
		qt.Check(t, errorx.IsOfType(err, linkpb.ErrMalformed), qt.IsTrue, qt.Commentf("result %d", n))
		_, err = linkpb.DecodeFromAgent(&pb.AgentMessage{Message: &pb.AgentMessage_States{States: &pb.AttemptStates{
			Attempts: []*pb.AttemptStateItem{{State: pb.AttemptState(n)}},
		}}})
		qt.Check(t, errorx.IsOfType(err, linkpb.ErrMalformed), qt.IsTrue, qt.Commentf("state %d", n))
	}
}

// Guards against a leased worker that is taken for one whose slots are used.
func TestNegativeReleaseTimeIsRefused(t *testing.T) {
	_, err := linkpb.DecodeFromAgent(&pb.AgentMessage{Message: &pb.AgentMessage_Hello{Hello: &pb.Hello{Worker: "w", Incarnation: 1, ReleaseAfterNs: -1}}})
	qt.Check(t, errorx.IsOfType(err, linkpb.ErrMalformed), qt.IsTrue)
}
