package entryd

import (
	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/poplarlever/poplarlever/internal/httpserver"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

const (
	// uncheckedBytes is the size of an encoded message up to which its decoded form needs no
	// bound.
	uncheckedBytes = 4 << 10
	// maxExpansion and maxElements bound the decoded form of a message: its estimated memory is
	// at most this multiple of its encoded size, and at most maxElements beside payloads. A
	// frame of the smallest messages that agents send comes to 25, one of empty elements
	// to 64.
	maxExpansion = 40
	maxElements  = 16 << 20
	// elementBytes is the memory of an embedded message with its place in a list, in bytes.
	elementBytes = 128
	// maxDecodedTasks is the number of tasks above which a job is not decoded. One of a few
	// more tasks than allowed is decoded, so that its refusal says what is wrong.
	maxDecodedTasks = 4096
	// maxJobCommas is the number of commas in the JSON form of a job of maxDecodedTasks
	// tasks with all fields.
	maxJobCommas = 8 * maxDecodedTasks
)

// boundedProto is the binary protobuf codec. It refuses messages whose decoded form would take
// much more memory than they have bytes.
type boundedProto struct{ guard *httpserver.Guard }

// Name implements connect.Codec.
func (boundedProto) Name() string { return "proto" }

// Marshal implements connect.Codec.
func (boundedProto) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errNotAMessage.New("%T is not a protobuf message", message)
	}
	return proto.Marshal(m)
}

// MarshalAppend lets the Connect library reuse its buffers.
func (boundedProto) MarshalAppend(dst []byte, message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errNotAMessage.New("%T is not a protobuf message", message)
	}
	return proto.MarshalOptions{}.MarshalAppend(dst, m)
}

// Unmarshal implements connect.Codec.
func (c boundedProto) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errNotAMessage.New("%T is not a protobuf message", message)
	}
	if len(data) > uncheckedBytes {
		if err := checkExpansion(m, data); err != nil {
			return err
		}
		defer c.guard.StartDecode(len(data))()
	}
	return proto.Unmarshal(data, m)
}

// checkExpansion returns an error if the decoded form of data would take too much memory.
func checkExpansion(m proto.Message, data []byte) error {
	limit := min(len(data)*maxExpansion, 2*len(data)+maxElements)
	if _, ok := m.(*pb.SubmitRequest); ok {
		limit = len(data) + maxDecodedTasks*3*elementBytes
	}
	if left := expansion(m.ProtoReflect().Descriptor(), data, limit); left < 0 {
		return errNotAMessage.New("the message has too many elements for its %d bytes", len(data))
	}
	return nil
}

// expansion returns limit less the estimated memory of the decoded form, and stops below zero.
// Malformed data are left to the decoder.
func expansion(d protoreflect.MessageDescriptor, data []byte, limit int) int {
	for len(data) > 0 && limit >= 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return limit
		}
		data = data[n:]
		size := protowire.ConsumeFieldValue(number, kind, data)
		if size < 0 {
			return limit
		}
		f := d.Fields().ByNumber(number)
		switch {
		case f != nil && f.Message() != nil && kind == protowire.BytesType:
			value, _ := protowire.ConsumeBytes(data)
			limit = expansion(f.Message(), value, limit-elementBytes)
		case f != nil && f.IsList() && f.Kind() != protoreflect.StringKind && f.Kind() != protoreflect.BytesKind:
			// A packed number has at least one byte, and eight in memory.
			limit -= 8 * size
		case f != nil && f.IsList():
			limit -= size + 24
		default:
			limit -= size
		}
		data = data[size:]
	}
	return limit
}

// fromProcesses bounds the messages of services for the system's own processes.
func fromProcesses(s *httpserver.Server) connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithReadMaxBytes(s.Guard().MaxFrame()), connect.WithCodec(boundedProto{s.Guard()}))
}
