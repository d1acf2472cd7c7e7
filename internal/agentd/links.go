package agentd

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/hostport"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	"github.com/poplarlever/poplarlever/internal/logevent"
	"github.com/poplarlever/poplarlever/internal/outbox"
	"github.com/poplarlever/poplarlever/internal/telemetry"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// priorityRedialMin and priorityRedialMax bound the random pause before a priority
	// link is dialled again.
	priorityRedialMin = 50 * time.Millisecond
	priorityRedialMax = 250 * time.Millisecond
	// quickRedialMin and quickRedialMax replace them for quickRedialTime after a priority
	// link was first dialled or has broken: processes and VMs that were lost together come
	// back within a second of each other.
	quickRedialMin  = 20 * time.Millisecond
	quickRedialMax  = 60 * time.Millisecond
	quickRedialTime = 2 * time.Second
	// deferredDialMin and deferredDialMax bound the random pause before every dial of
	// any other link.
	deferredDialMin = 300 * time.Millisecond
	deferredDialMax = 1200 * time.Millisecond
	// welcomeTimeout bounds the wait for the entry's first message on a link. An entry that
	// all agents dial at once takes a second or two; a connection that has fallen silent shows
	// no error.
	welcomeTimeout = 3 * time.Second
)

// linkOutbox is the outbox of one link. It encodes and counts the messages put into it.
type linkOutbox struct {
	*outbox.Outbox[*pb.AgentMessage]
	metrics *telemetry.Metrics
	// counter is nil unless messages are counted.
	counter *linkpb.Counter
}

func newLinkOutbox(cancel context.CancelFunc, metrics *telemetry.Metrics, counter *linkpb.Counter) *linkOutbox {
	return &linkOutbox{Outbox: outbox.New[*pb.AgentMessage](cancel), metrics: metrics, counter: counter}
}

func (o *linkOutbox) put(m msg.FromAgent) {
	encoded := linkpb.EncodeFromAgent(m)
	o.counter.AgentMessages(encoded)
	if o.metrics != nil {
		o.metrics.Sent(encoded)
	}
	o.Put(encoded)
}

// linker maintains the link to one entry address: it dials again whenever the link
// breaks.
type linker struct {
	loop    *loop
	log     *zap.Logger
	tls     *tls.Config
	address string
	// url is the address with the scheme.
	url      string
	identity *identityCheck
	clock    func() time.Duration
	selector *entrySelector
	// priority links are dialled without an initial pause.
	priority bool
	// counter is nil unless messages are counted.
	counter *linkpb.Counter
}

type linkStream = connect.BidiStreamForClient[pb.AgentFrame, pb.EntryFrame]

// run maintains the link until ctx ends.
func (k *linker) run(ctx context.Context) {
	if !k.priority && !sleepBetween(ctx, pauseRange{deferredDialMin, deferredDialMax}) {
		return
	}
	failingSince := time.Now()
	for {
		linked, err := k.link(ctx)
		if linked {
			failingSince = time.Now()
		} else {
			k.selector.dialFailed(time.Now(), k.address)
		}
		if err != nil && ctx.Err() == nil {
			logevent.EntryUnlinked.Log(k.log, zap.String("address", k.address), zap.Error(err))
		}
		if !sleepBetween(ctx, k.redialPause(time.Since(failingSince))) {
			return
		}
	}
}

// pauseRange bounds a random pause.
type pauseRange struct{ low, high time.Duration }

// redialPause returns the pause before the next dial of a link that has been down for the
// given time.
func (k *linker) redialPause(down time.Duration) pauseRange {
	switch {
	case !k.priority:
		return pauseRange{deferredDialMin, deferredDialMax}
	case down < quickRedialTime:
		return pauseRange{quickRedialMin, quickRedialMax}
	}
	return pauseRange{priorityRedialMin, priorityRedialMax}
}

// sleepBetween waits for a random time in the range. It returns false if ctx has ended.
func sleepBetween(ctx context.Context, r pauseRange) bool {
	select {
	case <-time.After(r.low + rand.N(r.high-r.low)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// link opens one stream and serves it until it breaks. It reports whether the entry
// accepted the link.
func (k *linker) link(parent context.Context) (linked bool, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	client := httpserver.NewLinkClient(k.tls)
	defer client.Close()
	context.AfterFunc(ctx, client.Close)
	timeout := time.AfterFunc(welcomeTimeout, cancel)
	defer timeout.Stop()
	stream := poplarleverv1connect.NewLinkClient(client, k.url).Link(ctx)
	var hello msg.Hello
	ready := make(chan struct{})
	if !k.loop.submit(func(time.Time) { hello = k.loop.core.Hello(); close(ready) }) {
		return false, context.Canceled
	}
	<-ready
	helloMessage := linkpb.EncodeFromAgent(hello)
	k.counter.AgentMessages(helloMessage)
	if k.loop.metrics != nil {
		k.loop.metrics.Sent(helloMessage)
	}
	if err := k.send(stream, []*pb.AgentMessage{helloMessage}); err != nil {
		return false, err
	}
	welcome, rest, err := k.receiveWelcome(stream)
	if err != nil {
		return false, err
	}
	timeout.Stop()
	k.identity.accepted()
	box := newLinkOutbox(cancel, k.loop.metrics, k.counter)
	k.loop.submit(func(now time.Time) {
		k.loop.links[welcome.Incarnation] = box
		k.loop.core.Step(now, agent.LinkUp{Entry: welcome.Incarnation, Name: welcome.Entry, ColocationEvery: welcome.ColocationEvery})
		k.resendChangedHello(box, hello)
	})
	k.selector.linkUp(k.address, welcome.Incarnation)
	defer k.selector.linkDown(k.address, welcome.Incarnation)
	k.selector.setReported(k.address, reachable(welcome.Peers))
	k.handleMessages(welcome.Incarnation, rest)
	logevent.EntryLinked.Log(k.log, zap.String("entry", welcome.Entry), zap.String("address", k.address))
	go k.sendAll(ctx, cancel, box, stream)
	err = k.receiveAll(welcome.Incarnation, stream)
	k.loop.submit(func(now time.Time) {
		if k.loop.links[welcome.Incarnation] == box {
			delete(k.loop.links, welcome.Incarnation)
			k.loop.core.Step(now, agent.LinkDown{Entry: welcome.Incarnation})
		}
	})
	return true, err
}

// resendChangedHello sends Hello again if the endpoint has announced a change since
// the first one was built. The core sends changes only to links that are up.
func (k *linker) resendChangedHello(box *linkOutbox, sent msg.Hello) {
	latest := k.loop.core.Hello()
	latest.Report, sent.Report = msg.Slots{}, msg.Slots{}
	if !reflect.DeepEqual(latest, sent) {
		box.put(k.loop.core.Hello())
	}
}

// receiveWelcome returns the entry's first message, which has to be Welcome, and the
// other messages of its frame.
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
		k.handleMessages(entry, messages)
	}
}

// reachable returns the entries whose address can be dialled. An entry may pass on what
// another writer has left in the store.
func reachable(peers []msg.Peer) []msg.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(e msg.Peer) bool { return hostport.Check(e.Address) != nil })
}

// handleMessages passes lists of entries to the selector and all other messages to the
// core.
func (k *linker) handleMessages(entry msg.Incarnation, messages []msg.FromEntry) {
	for _, m := range messages {
		if w, ok := m.(msg.Welcome); ok {
			k.selector.setReported(k.address, reachable(w.Peers))
			continue
		}
		k.loop.submitInput(agent.Received{Entry: entry, Message: m})
	}
}

func (k *linker) sendAll(ctx context.Context, cancel context.CancelFunc, box *linkOutbox, stream *linkStream) {
	defer cancel()
	for {
		select {
		case <-box.Wake():
		case <-ctx.Done():
			return
		}
		for messages := box.Take(); len(messages) > 0; {
			n := frameLength(messages)
			if k.send(stream, messages[:n]) != nil {
				return
			}
			messages = messages[n:]
		}
	}
}

// maxFrameBytes is the size above which the messages that wait go into more than one frame. An
// entry refuses frames of several times this size.
const maxFrameBytes = 1 << 20

// frameLength returns how many of the messages go into the next frame: at least one.
func frameLength(messages []*pb.AgentMessage) int {
	if len(messages) == 1 {
		return 1
	}
	size := 0
	for i, m := range messages {
		if size += proto.Size(m); size > maxFrameBytes && i > 0 {
			return i
		}
	}
	return len(messages)
}

// send writes one frame. It takes the frame's timestamp from the agent's clock just
// before the write, so that the entry's estimate of that clock is never ahead.
func (k *linker) send(stream *linkStream, messages []*pb.AgentMessage) error {
	return stream.Send(&pb.AgentFrame{ClockNs: int64(k.clock()), Messages: messages})
}
