package entryd

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// Guards against links whose frames are compressed: with thousands of small
// frames a second, that takes half of an entry's processor time.
func TestLinksAreNotCompressed(t *testing.T) {
	c := qt.New(t)
	d, _ := join(t, "entry-1", nil)
	stream := poplarleverv1connect.NewLinkClient(httpserver.NewTLSClient(nil), "http://"+d.Address()).Link(c.Context())
	defer func() { _ = stream.CloseResponse() }()
	defer func() { _ = stream.CloseRequest() }()
	hello := linkpb.EncodeFromAgent(msg.Hello{Worker: "worker-1", Incarnation: 1})
	c.Assert(stream.Send(&pb.AgentFrame{Messages: []*pb.AgentMessage{hello}}), qt.IsNil)
	_, err := stream.Receive()
	c.Assert(err, qt.IsNil)
	c.Assert(stream.ResponseHeader().Get("Connect-Content-Encoding"), qt.Equals, "")
}
