package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// messageCounters counts the link messages of one direction. Kinds are the field
// names of the "message" oneof, so a new message type is counted without changes.
type messageCounters struct {
	messages, bytes metric.Int64Counter
	kinds           map[protoreflect.FieldNumber]metric.MeasurementOption
	oneof           protoreflect.OneofDescriptor
}

func (m *Metrics) createMessageCounters() {
	fromAgent := (*pb.AgentMessage)(nil).ProtoReflect().Descriptor()
	fromEntry := (*pb.EntryMessage)(nil).ProtoReflect().Descriptor()
	messages, err := m.meter.Int64Counter(linkMessages.Name, metric.WithDescription(linkMessages.Help))
	m.recordError(err)
	bytes, err := m.meter.Int64Counter(linkBytes.Name, metric.WithDescription(linkBytes.Help))
	m.recordError(err)
	sent, received := fromEntry, fromAgent
	if m.role == Agent {
		sent, received = fromAgent, fromEntry
	}
	m.sent = newMessageCounters(messages, bytes, sent, "sent")
	m.received = newMessageCounters(messages, bytes, received, "received")
}

func newMessageCounters(messages, bytes metric.Int64Counter, d protoreflect.MessageDescriptor, direction string) messageCounters {
	c := messageCounters{messages: messages, bytes: bytes, oneof: d.Oneofs().ByName("message"), kinds: make(map[protoreflect.FieldNumber]metric.MeasurementOption)}
	for i := range c.oneof.Fields().Len() {
		field := c.oneof.Fields().Get(i)
		option := metric.WithAttributeSet(attribute.NewSet(
			attribute.String("kind", string(field.Name())), attribute.String("direction", direction)))
		c.kinds[field.Number()] = option
		messages.Add(context.Background(), 0, option)
		bytes.Add(context.Background(), 0, option)
	}
	return c
}

func (c messageCounters) count(m proto.Message) {
	field := m.ProtoReflect().WhichOneof(c.oneof)
	if field == nil {
		return
	}
	option := c.kinds[field.Number()]
	c.messages.Add(context.Background(), 1, option)
	c.bytes.Add(context.Background(), int64(proto.Size(m)), option)
}

// Sent counts a message that was handed to a link.
func (m *Metrics) Sent(message proto.Message) { m.sent.count(message) }

// Received counts a message that came from a link.
func (m *Metrics) Received(message proto.Message) { m.received.count(message) }
