package agentd

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"reflect"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/outbox"
	"github.com/poplarlever/poplarlever/internal/telemetry"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// redialMin and redialMax bound the jittered pause before dialling again, for the
	// links that are needed first.
	redialMin = 50 * time.Millisecond
	redialMax = 250 * time.Millisecond
	// laterMin and laterMax bound the pause before each dial of the other links.
	laterMin = 300 * time.Millisecond
	laterMax = 1200 * time.Millisecond
)

// outgoing is the outbox of one link, which also counts what it is given.
type outgoing struct {
	*outbox.Outbox[*pb.AgentMessage]
	metrics *telemetry.Metrics
	// counter is nil unless messages are counted.
	counter *linkpb.Counter
}

func newOutgoing(cancel context.CancelFunc, metrics *telemetry.Metrics, counter *linkpb.Counter) *outgoing {
	return &outgoing{Outbox: outbox.New[*pb.AgentMessage](cancel), metrics: metrics, counter: counter}
}

func (o *outgoing) put(m msg.FromAgent) {
	encoded := linkpb.EncodeFromAgent(m)
	o.counter.AgentMessages(encoded)
	if o.metrics != nil {
		o.metrics.Sent(encoded)
	}
	o.Put(encoded)
}

// linker keeps one link to one entry address.
type linker struct {
	loop    *loop
	log     *zap.Logger
	tls     *tls.Config
	address string
	// url is the address with its scheme.
	url      string
	identity *identityCheck
	clock    func() time.Duration
	roster   *roster
	// first is set for a link that is needed first.
	first bool
	// counter is nil unless messages are counted.
	counter *linkpb.Counter
}

type linkStream = connect.BidiStreamForClient[pb.AgentFrame, pb.EntryFrame]

// run dials until ctx ends.
func (k *linker) run(ctx context.Context) {
	if !k.first && !pause(ctx, laterMin, laterMax) {
		return
	}
	for {
		linked, err := k.link(ctx)
		if !linked {
			k.roster.failed(time.Now(), k.address)
		}
		if err != nil && ctx.Err() == nil {
			logevent.EntryUnlinked.Log(k.log, zap.String("address", k.address), zap.Error(err))
		}
		low, high := laterMin, laterMax
		if k.first {
			low, high = redialMin, redialMax
		}
		if !pause(ctx, low, high) {
			return
		}
	}
}

// pause waits for a random time between low and high. It returns false when ctx
// ended.
func pause(ctx context.Context, low, high time.Duration) bool {
	select {
	case <-time.After(low + rand.N(high-low)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// link opens one stream and serves it until it breaks. It tells whether the entry
// accepted the link.
func (k *linker) link(parent context.Context) (linked bool, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	client := httpserver.NewLinkClient(k.tls)
	defer client.Close()
	context.AfterFunc(ctx, client.Close)
	stream := poplarleverv1connect.NewLinkClient(client, k.url).Link(ctx)
	var hello msg.Hello
	ready := make(chan struct{})
	if !k.loop.do(func(time.Time) { hello = k.loop.core.Hello(); close(ready) }) {
		return false, context.Canceled
	}
	<-ready
	first := linkpb.EncodeFromAgent(hello)
	k.counter.AgentMessages(first)
	if k.loop.metrics != nil {
		k.loop.metrics.Sent(first)
	}
	if err := k.send(stream, []*pb.AgentMessage{first}); err != nil {
		return false, err
	}
	welcome, rest, err := k.receiveWelcome(stream)
	if err != nil {
		return false, err
	}
	k.identity.accepted()
	box := newOutgoing(cancel, k.loop.metrics, k.counter)
	k.loop.do(func(now time.Time) {
		k.loop.links[welcome.Incarnation] = box
		k.loop.core.Step(now, agent.LinkUp{Entry: welcome.Incarnation, Name: welcome.Entry})
		k.repeatHello(box, hello)
	})
	k.roster.up(k.address, welcome.Incarnation)
	defer k.roster.down(k.address, welcome.Incarnation)
	k.roster.learn(k.address, welcome.Peers)
	k.received(welcome.Incarnation, rest)
	logevent.EntryLinked.Log(k.log, zap.String("entry", welcome.Entry), zap.String("address", k.address))
	go k.sendAll(ctx, cancel, box, stream)
	err = k.receiveAll(welcome.Incarnation, stream)
	k.loop.do(func(now time.Time) {
		if k.loop.links[welcome.Incarnation] == box {
			delete(k.loop.links, welcome.Incarnation)
			k.loop.core.Step(now, agent.LinkDown{Entry: welcome.Incarnation})
		}
	})
	return true, err
}

// repeatHello sends Hello again when the endpoint has announced itself while
// the first one was on its way; such a change reaches only open links.
func (k *linker) repeatHello(box *outgoing, first msg.Hello) {
	latest := k.loop.core.Hello()
	latest.Report, first.Report = msg.Slots{}, msg.Slots{}
	if !reflect.DeepEqual(latest, first) {
		box.put(k.loop.core.Hello())
	}
}

// receiveWelcome returns the entry's first message and what shared its frame.
func (k *linker) receiveWelcome(stream *linkStream) (msg.Welcome, []msg.FromEntry, error) {
	messages, err := k.receiveFrame(stream)
	if err != nil {
		return msg.Welcome{}, nil, err
	}
	if len(messages) == 0 {
		return msg.Welcome{}, nil, linkpb.ErrMalformed.New("the first frame is empty")
	}
	switch m := messages[0].(type) {
	case msg.Welcome:
		return m, messages[1:], nil
	case msg.Rejected:
		k.identity.rejected(m.Reason, k.address, time.Now())
		return msg.Welcome{}, nil, linkpb.ErrMalformed.New("the entry rejected the link: %s", m.Reason)
	}
	return msg.Welcome{}, nil, linkpb.ErrMalformed.New("the first message is not Welcome")
}

func (k *linker) receiveFrame(stream *linkStream) ([]msg.FromEntry, error) {
	frame, err := stream.Receive()
	if err != nil {
		return nil, err
	}
	messages := make([]msg.FromEntry, 0, len(frame.GetMessages()))
	for _, encoded := range frame.GetMessages() {
		if k.loop.metrics != nil {
			k.loop.metrics.Received(encoded)
		}
		m, err := linkpb.DecodeFromEntry(encoded)
		if err != nil {
			return nil, err
		}
		messages = append(messages, m)
	}
	return messages, nil
}

func (k *linker) receiveAll(entry msg.Incarnation, stream *linkStream) error {
	for {
		messages, err := k.receiveFrame(stream)
		if err != nil {
			return err
		}
		k.received(entry, messages)
	}
}

// received passes messages to the core, and lists of entries to the roster.
func (k *linker) received(entry msg.Incarnation, messages []msg.FromEntry) {
	for _, m := range messages {
		if w, ok := m.(msg.Welcome); ok {
			k.roster.learn(k.address, w.Peers)
			continue
		}
		k.loop.step(agent.Received{Entry: entry, Message: m})
	}
}

func (k *linker) sendAll(ctx context.Context, cancel context.CancelFunc, box *outgoing, stream *linkStream) {
	defer cancel()
	for {
		select {
		case <-box.Wake():
		case <-ctx.Done():
			return
		}
		if messages := box.Take(); len(messages) > 0 {
			if k.send(stream, messages) != nil {
				return
			}
		}
	}
}

// send stamps the frame with the agent's clock just before it is written, so
// that the entry's estimate of the clock is never ahead.
func (k *linker) send(stream *linkStream, messages []*pb.AgentMessage) error {
	return stream.Send(&pb.AgentFrame{ClockNs: int64(k.clock()), Messages: messages})
}
