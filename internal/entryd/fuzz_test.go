package entryd

import (
	"testing"
	"time"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against a request on which the decoder panics, or that becomes a job with
// sizes or times that the core does not expect.
func FuzzSubmitJSON(f *testing.F) {
	for _, text := range []string{
		`{"service":"s","jobType":"j","account":"a","timeout":"10s","tasks":[{"payload":"YQ==","declaredRunTime":"1s","declaredSize":{"cores":1}}]}`,
		`{"deadline":"2001-01-01T00:00:00Z","tasks":[{}]}`, `{"timeout":"-315576000000s"}`, `{"timeout":"315576000000s"}`,
		`{"tasks":[{"declaredSize":{"cores":"NaN"}}]}`, `{"tasks":[null]}`, `{`, "\xff",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var req pb.SubmitRequest
		if (strictJSON{"json"}).Unmarshal(text, &req) != nil {
			return
		}
		now := time.Unix(1_700_000_000, 0)
		job, refusal := decodeJob(&req, now, time.Minute)
		if refusal != nil {
			return
		}
		if job.Deadline.After(now.Add(maxTimeout)) || len(job.Tasks) != len(req.GetTasks()) {
			t.Fatalf("accepted a job with deadline %v and %d tasks", job.Deadline, len(job.Tasks))
		}
		for _, task := range job.Tasks {
			if task.DeclaredRunTime < 0 || !(task.DeclaredSize.Cores >= 0) {
				t.Fatalf("accepted %+v", task)
			}
		}
	})
}
