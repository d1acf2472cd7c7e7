package command

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against separated pairs that operators do not see, and against an empty table.
func TestStatusShowsSeparatedPairs(t *testing.T) {
	c := qt.New(t)
	reports := []entryReport{{address: "a", status: &pb.StatusResponse{Entry: &pb.EntryStatus{Name: "e1"}}}}
	var b strings.Builder
	c.Assert(printStatus(&b, reports), qt.IsNil)
	c.Check(strings.Contains(b.String(), "SEPARATED"), qt.IsFalse)
	reports[0].status.SeparatedPairs = []*pb.SeparatedPair{{
		Service: "s", JobType: "middle", Neighbour: "report", Slowdown: 1.31, SlowdownLow: 1.2, Runs: 840,
		JobTypeHigh: 0.625, NeighbourLow: 0.625, NeighbourHigh: 1,
	}}
	b.Reset()
	c.Assert(printStatus(&b, reports), qt.IsNil)
	c.Check(b.String(), qt.Matches, `(?s).*SEPARATED JOB TYPE +FROM .*\nmiddle +report +s +e1 +1\.31 +1\.20 +840 +0-62% +62-100%\n.*`)
}
