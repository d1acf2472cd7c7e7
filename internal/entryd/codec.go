package entryd

import (
	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// errNotAMessage is the error type of a value that is not a protobuf message.
var errNotAMessage = errorx.NewNamespace("codec").NewType("not_a_message")

// strictJSON is a JSON codec that refuses unknown fields. A misspelt idempotencyKey
// must not make a keyed request run without its key.
type strictJSON struct{ name string }

// Name implements connect.Codec.
func (c strictJSON) Name() string { return c.name }

// Marshal implements connect.Codec.
func (c strictJSON) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errNotAMessage.New("%T is not a protobuf message", message)
	}
	return protojson.Marshal(m)
}

// Unmarshal implements connect.Codec.
func (c strictJSON) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errNotAMessage.New("%T is not a protobuf message", message)
	}
	return protojson.Unmarshal(data, m)
}

// strictCodecs replaces both JSON codecs of a handler by strictJSON.
func strictCodecs() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(strictJSON{"json"}), connect.WithCodec(strictJSON{"json; charset=utf-8"}),
	)
}
