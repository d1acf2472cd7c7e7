package entryd

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/outbox"
	"github.com/poplarlever/poplarlever/internal/telemetry"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// linkOutbox is the outbox of one link. It also counts the messages put into it.
type linkOutbox struct {
	*outbox.Outbox[*pb.EntryMessage]
	metrics *telemetry.Metrics
	// counter is nil unless messages are counted.
	counter *linkpb.Counter
}

func newLinkOutbox(cancel context.CancelFunc, metrics *telemetry.Metrics, counter *linkpb.Counter) *linkOutbox {
	return &linkOutbox{Outbox: outbox.New[*pb.EntryMessage](cancel), metrics: metrics, counter: counter}
}

func (o *linkOutbox) enqueue(m msg.FromEntry) {
	encoded := linkpb.EncodeFromEntry(m)
	o.counter.EntryMessages(encoded)
	if o.metrics != nil {
		o.metrics.Sent(encoded)
	}
	o.Put(encoded)
}

// linkService implements the Link service, to which agents open streams.
type linkService struct {
	loop       *loop
	log        *zap.Logger
	lastLinkID atomic.Uint64
	// counter is nil unless messages are counted.
	counter *linkpb.Counter
	// owners distinguishes a restarted agent from a second one with the same name.
	owners *workerOwners
}

// withoutCompression turns gzip off for links: most frames have less than 200 bytes,
// and gzip takes more processor time than all other work of a link.
var withoutCompression = connect.WithCompression("gzip", nil, nil)

type linkStream = connect.BidiStream[pb.AgentFrame, pb.EntryFrame]

// Link implements the Link service for one stream. The first message must be Hello.
func (s *linkService) Link(ctx context.Context, stream *linkStream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hello, clock, err := receiveHello(stream)
	if err != nil {
		logevent.LinkMalformed.Log(s.log, zap.Error(err))
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	httpserver.StreamOf(ctx).NextMessage()
	if !s.owners.acquire(hello.Worker, hello.Incarnation, time.Now()) {
		logevent.DuplicateWorker.Log(s.log, zap.String("worker", hello.Worker), zap.String("address", stream.Peer().Addr))
		return stream.Send(&pb.EntryFrame{Messages: []*pb.EntryMessage{
			linkpb.EncodeFromEntry(msg.Rejected{Reason: linkpb.RejectedDuplicateWorker})}})
	}
	defer s.owners.release(hello.Worker, hello.Incarnation)
	id := entry.LinkID(s.lastLinkID.Add(1))
	box := newLinkOutbox(cancel, s.loop.metrics, s.counter)
	s.loop.post(func(now time.Time) {
		s.loop.links[id] = box
		s.loop.core.Step(now, entry.LinkUp{Link: id, Clock: clock, Hello: hello})
	})
	logevent.WorkerLinked.Log(s.log, zap.String("worker", hello.Worker), zap.String("failure_domain", hello.FailureDomain))
	touch := func() { s.owners.touch(hello.Worker, hello.Incarnation, time.Now()) }
	go s.receiveAll(ctx, cancel, id, stream, touch)
	err = sendAll(ctx, box, stream)
	s.loop.post(func(now time.Time) {
		delete(s.loop.links, id)
		s.loop.core.Step(now, entry.LinkDown{Link: id})
	})
	logevent.WorkerUnlinked.Log(s.log, zap.String("worker", hello.Worker), zap.Error(err))
	return err
}

func receiveHello(stream *linkStream) (msg.Hello, time.Duration, error) {
	frame, err := stream.Receive()
	if err != nil {
		return msg.Hello{}, 0, err
	}
	if len(frame.GetMessages()) != 1 {
		return msg.Hello{}, 0, linkpb.ErrMalformed.New("the first frame has %d messages", len(frame.GetMessages()))
	}
	m, err := linkpb.DecodeFromAgent(frame.GetMessages()[0])
	if err != nil {
		return msg.Hello{}, 0, err
	}
	hello, ok := m.(msg.Hello)
	if !ok {
		return msg.Hello{}, 0, linkpb.ErrMalformed.New("the first message is not Hello")
	}
	return hello, time.Duration(frame.GetClockNs()), nil
}

// receiveAll passes the agent's messages to the core until the stream ends.
func (s *linkService) receiveAll(ctx context.Context, cancel context.CancelFunc, id entry.LinkID, stream *linkStream, touch func()) {
	defer cancel()
	bounds := httpserver.StreamOf(ctx)
	for ctx.Err() == nil {
		frame, err := stream.Receive()
		if err != nil {
			return
		}
		bounds.NextMessage()
		touch()
		for _, encoded := range frame.GetMessages() {
			if s.loop.metrics != nil {
				s.loop.metrics.Received(encoded)
			}
			m, err := linkpb.DecodeFromAgent(encoded)
			if err != nil {
				logevent.LinkMalformed.Log(s.log, zap.Error(err))
				return
			}
			s.loop.recordResult(m)
			in := entry.Received{Link: id, Clock: time.Duration(frame.GetClockNs()), Message: m}
			s.loop.post(func(now time.Time) {
				s.loop.core.Step(now, in)
				s.loop.load.received(s.loop.core.LatestDelay(), in.Message)
			})
		}
	}
}

func sendAll(ctx context.Context, box *linkOutbox, stream *linkStream) error {
	for {
		select {
		case <-box.Wake():
		case <-ctx.Done():
			return flush(box, stream, ctx.Err())
		}
		if messages := box.Take(); len(messages) > 0 {
			if err := stream.Send(&pb.EntryFrame{Messages: messages}); err != nil {
				return err
			}
		}
	}
}

// flush sends the messages that were queued before the planned end of the link, such as
// acknowledgements, and returns cause. On a broken link the send fails at once.
func flush(box *linkOutbox, stream *linkStream, cause error) error {
	if messages := box.Take(); len(messages) > 0 {
		_ = stream.Send(&pb.EntryFrame{Messages: messages})
	}
	return cause
}
