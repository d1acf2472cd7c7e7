package processtest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// newerTable is a table that a newer program has written: with a column, a kind of row and
// values that this program does not know, one job type more and one less.
const newerTable = `kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256,burst
service,route-desk,,,,,,,,,,7
region,north,,,,,,,,,,
job,offers,route-desk,,,,,50000,,72h,,
account,atlas,,1,,some,,,,,,
`

// Guards against a process that stays with an old table because of a row that it cannot
// apply, and against such a row that operators cannot see.
func TestTableOfANewerProgramIsInForceAndShown(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, 1)
	entry := f.entries[0]
	s := store.NewClient(f.storeAddress)
	stored, err := s.Get(context.Background(), tablestore.Key)
	c.Assert(err, qt.IsNil)
	value, err := json.Marshal(tablestore.Document{CSV: newerTable, History: []tablestore.Revision{{Number: 2, WriteID: "newer"}}})
	c.Assert(err, qt.IsNil)
	_, err = s.CompareAndSwap(context.Background(), tablestore.Key, stored.Version, value, 0)
	c.Assert(err, qt.IsNil)
	entry.waitEvent(c, "value_unapplied")

	submit := func(jobType string) *pb.SubmitResponse {
		job := newJob("5ms " + jobType)
		job.JobType = jobType
		resp, err := newClient(entry.address).Submit(context.Background(), connect.NewRequest(job))
		c.Assert(err, qt.IsNil)
		return resp.Msg
	}
	c.Check(submit("offers").GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_COMPLETE)
	c.Check(submit("settlement").GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_REFUSED)

	status, err := exec.Command(binary, "status", "--entry", entry.address).Output()
	c.Assert(err, qt.IsNil)
	c.Check(string(status), qt.Matches, `(?s).*3 values of revision 2 are not applied as they are written\n.*"row 3" +kind +"region" +row_left_out.*"account atlas" +max_queued +"some" +ignored.*`)
	resp, err := http.Get("http://" + entry.address + "/metrics")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(metrics), qt.Matches, `(?s).*\npoplarlever_table_values_unapplied\S* 3\n.*`)
	c.Check(string(metrics), qt.Matches, `(?s).*\npoplarlever_table_rejected\S* 0\n.*`)
}
