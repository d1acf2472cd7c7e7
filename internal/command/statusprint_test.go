package command

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against an evacuation that operators do not see, or whose lack of effect they do not
// see: no entry knows a worker there.
func TestStatusShowsEvacuations(t *testing.T) {
	c := qt.New(t)
	entry := func(domains ...*pb.EvacuatedDomain) entryReport {
		return entryReport{status: &pb.StatusResponse{Entry: &pb.EntryStatus{Evacuated: domains}}}
	}
	print := func(reports ...entryReport) string {
		var out bytes.Buffer
		c.Assert(printStatus(&out, reports), qt.IsNil)
		return strings.Join(strings.Fields(out.String()), " ")
	}
	got := print(entry(&pb.EvacuatedDomain{Domain: "z1", Version: 7, Workers: 4}, &pb.EvacuatedDomain{Domain: "typo", Version: 9}),
		entry(&pb.EvacuatedDomain{Domain: "z1", Version: 7, Workers: 5}))
	c.Check(got, qt.Contains, "EVACUATED VERSION ENTRIES WORKERS typo 9 1 of 2 none known z1 7 2 of 2 5")
	c.Check(print(entry()), qt.Not(qt.Contains), "EVACUATED")
}

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
