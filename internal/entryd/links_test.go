package entryd

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// openLink opens a link as an agent of worker-1 and closes it again. It returns the
// entry's first message and the response header.
func openLink(c *qt.C, d *Daemon, incarnation msg.Incarnation) (*pb.EntryMessage, http.Header) {
	stream := poplarleverv1connect.NewLinkClient(httpserver.NewTLSClient(nil), "http://"+d.Address()).Link(c.Context())
	defer func() { _ = stream.CloseResponse() }()
	defer func() { _ = stream.CloseRequest() }()
	hello := linkpb.EncodeFromAgent(msg.Hello{Worker: "worker-1", Incarnation: incarnation})
	c.Assert(stream.Send(&pb.AgentFrame{Messages: []*pb.AgentMessage{hello}}), qt.IsNil)
	frame, err := stream.Receive()
	c.Assert(err, qt.IsNil)
	return frame.GetMessages()[0], stream.ResponseHeader()
}

// Guards against compressed frames on links: at thousands of small frames a second,
// compression takes half of an entry's processor time.
func TestLinksAreNotCompressed(t *testing.T) {
	c := qt.New(t)
	d, _ := startJoined(t, "entry-1", nil)
	_, header := openLink(c, d, 1)
	c.Assert(header.Get("Connect-Content-Encoding"), qt.Equals, "")
}
