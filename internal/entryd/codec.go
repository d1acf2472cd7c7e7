package entryd

import (
	"bytes"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/poplarlever/poplarlever/internal/httpserver"
)

// errNotAMessage is the error type of a value that is not a protobuf message.
var errNotAMessage = errorx.NewNamespace("codec").NewType("not_a_message")

// strictJSON is a JSON codec that refuses unknown fields. A misspelt idempotencyKey
// must not make a keyed request run without its key.
type strictJSON struct {
	name  string
	guard *httpserver.Guard
}

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
	if len(data) > uncheckedBytes {
		// Each element of a list is preceded by a comma or the begin of the list.
		if bytes.Count(data, []byte(",")) > maxJobCommas {
			return errNotAMessage.New("the message has too many elements")
		}
		defer c.guard.StartDecode(len(data))()
	}
	return protojson.Unmarshal(data, m)
}

// strictCodecs replaces the codecs of a handler by strictJSON and boundedProto.
func strictCodecs(g *httpserver.Guard) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(strictJSON{"json", g}), connect.WithCodec(strictJSON{"json; charset=utf-8", g}),
		connect.WithCodec(boundedProto{g}),
	)
}
