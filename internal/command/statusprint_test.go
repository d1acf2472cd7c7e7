package command

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against a speed that only some entries have learned and that the status leaves out,
// and against the less certain one of two.
func TestStatusShowsTheBestKnownSpeed(t *testing.T) {
	c := qt.New(t)
	var reports []entryReport
	for _, w := range []*pb.WorkerStatus{
		{Name: "w1", State: "up"}, {Name: "w1", State: "up", Speed: 1.5, SpeedUncertainty: 0.09}, {Name: "w1", State: "up", Speed: 1.75, SpeedUncertainty: 0.04},
	} {
		unknown := &pb.WorkerStatus{Name: "w2", State: "up"}
		reports = append(reports, entryReport{status: &pb.StatusResponse{Workers: []*pb.WorkerStatus{w, unknown}}})
	}
	var out bytes.Buffer
	c.Assert(printStatus(&out, reports), qt.IsNil)
	c.Check(out.String(), qt.Matches, `(?s).*\nw1 .* 1\.75 ±4%\nw2 .* -\n.*`)
}
