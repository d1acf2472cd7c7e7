package linkpb

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// maxMessageKinds is greater than every field number in the oneofs of the link
// messages.
const maxMessageKinds = 32

// Counter counts the messages that a process writes to its links, by kind. A nil
// Counter ignores messages. It is safe for concurrent use.
type Counter struct {
	fromEntry, fromAgent [maxMessageKinds]kindCounters
}

type kindCounters struct{ messages, bytes atomic.Int64 }

// Tally is the number of messages of one kind and their total encoded size.
type Tally struct {
	Kind     string
	Messages int64
	Bytes    int64
}

// EntryMessages counts messages that an entry sends.
func (c *Counter) EntryMessages(messages ...*pb.EntryMessage) {
	if c == nil {
		return
	}
	for _, m := range messages {
		countMessage(&c.fromEntry, m)
	}
}

// AgentMessages counts messages that an agent sends.
func (c *Counter) AgentMessages(messages ...*pb.AgentMessage) {
	if c == nil {
		return
	}
	for _, m := range messages {
		countMessage(&c.fromAgent, m)
	}
}

func countMessage(tallies *[maxMessageKinds]kindCounters, m proto.Message) {
	r := m.ProtoReflect()
	field := r.WhichOneof(r.Descriptor().Oneofs().Get(0))
	if field == nil || field.Number() >= maxMessageKinds {
		return
	}
	tallies[field.Number()].messages.Add(1)
	tallies[field.Number()].bytes.Add(int64(proto.Size(m)))
}

// FromEntry returns the current counts of messages from entries, one for each kind.
func (c *Counter) FromEntry() []Tally {
	return readTallies(&c.fromEntry, (&pb.EntryMessage{}).ProtoReflect().Descriptor())
}

// FromAgent returns the current counts of messages from agents, one for each kind.
func (c *Counter) FromAgent() []Tally {
	return readTallies(&c.fromAgent, (&pb.AgentMessage{}).ProtoReflect().Descriptor())
}

func readTallies(tallies *[maxMessageKinds]kindCounters, d protoreflect.MessageDescriptor) []Tally {
	fields := d.Oneofs().Get(0).Fields()
	out := make([]Tally, 0, fields.Len())
	for i := range fields.Len() {
		f := fields.Get(i)
		t := &tallies[f.Number()]
		out = append(out, Tally{Kind: string(f.Name()), Messages: t.messages.Load(), Bytes: t.bytes.Load()})
	}
	return out
}
