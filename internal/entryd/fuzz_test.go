package entryd

import (
	"bytes"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

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
	for _, text := range expandingJSON(1000) {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var req pb.SubmitRequest
		var err error
		checkAllocated(t, len(text), func() { err = (strictJSON{name: "json"}).Unmarshal(text, &req) })
		if err != nil {
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

// checkAllocated fails unless f, which decodes size bytes, allocates a bounded multiple of them.
// Copies of lists that grow are counted too.
func checkAllocated(t *testing.T, size int, f func()) {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(sample)
	before := sample[0].Value.Uint64()
	f()
	metrics.Read(sample)
	if n := sample[0].Value.Uint64() - before; n > uint64(16*size+16<<20) {
		t.Fatalf("%d bytes were allocated for %d", n, size)
	}
}

// Guards against a binary request or frame on which the decoder panics, or that takes many times
// its size: an empty element has two bytes.
func FuzzBinaryMessages(f *testing.F) {
	for _, data := range expandingBinary(1000) {
		f.Add(data)
	}
	job, err := proto.Marshal(&pb.SubmitRequest{Service: "s", Tasks: []*pb.Task{{Payload: []byte("x")}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(job)
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range requestMessages() {
			checkAllocated(t, 2*len(data), func() { _ = boundedProto{}.Unmarshal(data, m) })
		}
	})
}

func requestMessages() []proto.Message {
	return []proto.Message{&pb.SubmitRequest{}, &pb.CancelRequest{}, &pb.ExchangeRequest{}, &pb.AgentFrame{}}
}

// expandingJSON returns jobs of about the given size whose decoded form is larger.
func expandingJSON(size int) [][]byte {
	all := [][]byte{[]byte(`{"service":"` + strings.Repeat("\\u0000", size/6) + `"}`)}
	for _, task := range []string{"{}", "null", `{"payload":""}`, `{"declaredSize":{}}`, "[]"} {
		all = append(all, []byte(`{"tasks":[`+strings.TrimSuffix(strings.Repeat(task+",", size/(len(task)+1)), ",")+`]}`))
	}
	return all
}

// expandingBinary returns messages of about the given size that consist of empty elements.
func expandingBinary(size int) [][]byte {
	var all [][]byte
	for _, tag := range []byte{5<<3 | 2, 2<<3 | 2, 1<<3 | 2} {
		for _, element := range [][]byte{{tag, 0}, {tag, 2, tag, 0}, {tag, 4, tag, 2, tag, 0}} {
			all = append(all, bytes.Repeat(element, size/len(element)))
		}
	}
	return all
}

// Guards against a message of the largest size whose decoded form exhausts the memory.
func TestExpandingMessages(t *testing.T) {
	for _, text := range expandingJSON(4<<20 - 100) {
		checkAllocated(t, len(text), func() { _ = (strictJSON{name: "json"}).Unmarshal(text, &pb.SubmitRequest{}) })
	}
	for _, data := range expandingBinary(4 << 20) {
		for _, m := range requestMessages() {
			checkAllocated(t, 2*len(data), func() { _ = boundedProto{}.Unmarshal(data, m) })
		}
	}
}

// Guards against legal messages that are refused as too large when decoded: the largest job, and
// frames of the smallest messages that agents send in numbers.
func TestLegalMessagesAreDecoded(t *testing.T) {
	job := &pb.SubmitRequest{Service: "s", JobType: "j", Account: "a"}
	for range 1001 {
		job.Tasks = append(job.Tasks, &pb.Task{Payload: []byte("x"), DeclaredSize: &pb.Size{Cores: 1}, DeclaredRunTime: durationpb.New(time.Second)})
	}
	frame := &pb.AgentFrame{ClockNs: 1}
	for i := range 2000 {
		id := &pb.AttemptID{EntryIncarnation: 1, Job: uint64(i), Task: 1, Attempt: 1}
		frame.Messages = append(frame.Messages,
			&pb.AgentMessage{Message: &pb.AgentMessage_Refused{Refused: &pb.Refused{Attempt: id}}},
			&pb.AgentMessage{Message: &pb.AgentMessage_SlotsFree{SlotsFree: &pb.SlotsFree{Report: &pb.SlotReport{}}}},
			&pb.AgentMessage{Message: &pb.AgentMessage_States{States: &pb.AttemptStates{Attempts: []*pb.AttemptStateItem{{Attempt: id}}}}})
	}
	for _, m := range []proto.Message{job, frame} {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := (boundedProto{}).Unmarshal(data, proto.Clone(m)); err != nil {
			t.Error(err)
		}
	}
	text, err := protojson.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	if err := (strictJSON{name: "json"}).Unmarshal(text, &pb.SubmitRequest{}); err != nil {
		t.Error(err)
	}
}
