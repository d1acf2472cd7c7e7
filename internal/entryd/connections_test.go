package entryd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/poplarlever/poplarlever/internal/entryd"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Guards against broken connections that occupy the entry's resources, run tasks or
// disturb other callers.
func TestBrokenConnectionsDoNotAffectOthers(t *testing.T) {
	c := qt.New(t)
	limits := entryd.DefaultLimits()
	limits.BodyTimeout = 100 * time.Millisecond
	limits.InFlight = 1
	s := startSystem(c, 1, 4, false, entryd.WithLimits(limits))
	address := s.entries[0].Address()
	body := `{"service":"svc","jobType":"job","account":"acc","tasks":[{"payload":"YmFk"}]}`
	header := func(length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", submitPath, length)
	}
	for _, tc := range []struct {
		name, bytes, answer string
		closeWrite          bool
	}{
		{"half-open", header(len(body)) + body[:10], "not_run", false},
		{"body cut off", header(len(body)) + body[:10], "not_run", true},
		{"length too large", header(len(body)+5) + body, "not_run", true},
		{"length too small", header(len(body)-5) + body, "not_run", true},
		{"negative length", header(-1) + body, "400 Bad Request", true},
		{"garbage", "\x16\x03\x01\x02\x00garbage\r\n\r\n", "400 Bad Request", true},
	} {
		c.Run(tc.name, func(c *qt.C) {
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, tc.bytes)
			c.Assert(err, qt.IsNil)
			if tc.closeWrite {
				// This fails if the entry has already answered and closed the
				// connection.
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			c.Assert(conn.SetReadDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
			answer, _ := io.ReadAll(conn)
			c.Assert(strings.Contains(string(answer), tc.answer), qt.IsTrue, qt.Commentf("%s", answer))
		})
	}
	c.Assert(payloads(submit(c, address, newJob("good"))), qt.DeepEquals, []string{"good"})
	c.Assert(s.started("bad"), qt.Equals, 0)
}

// Guards against queued tasks that run although their job was cancelled or its caller
// has gone.
func TestCancelAndDisconnectStopQueuedTasks(t *testing.T) {
	c := qt.New(t)
	s := startSystem(c, 1, 1, true)
	address := s.entries[0].Address()
	blocker := make(chan *pb.SubmitResponse, 1)
	go func() { blocker <- submit(c, address, newJob("blocker")) }()
	waitFor(t, "the blocker", func() bool { return s.started("blocker") == 1 })

	named := newJob("cancelled")
	named.JobId = "mine"
	answer := make(chan *pb.SubmitResponse, 1)
	go func() { answer <- submit(c, address, named) }()
	waitFor(t, "cancel", func() bool {
		resp, err := client(address).Cancel(context.Background(), connect.NewRequest(&pb.CancelRequest{JobId: "mine", Account: "acc"}))
		return err == nil && resp.Msg.GetFound()
	})
	failure := (<-answer).GetFailure()
	c.Assert(failure.GetReason(), qt.Equals, "cancelled")
	c.Assert(failure.GetVerdict(), qt.Equals, pb.Verdict_VERDICT_NOT_RUN)

	ctx, drop := context.WithCancel(context.Background())
	stream, err := client(address).SubmitStream(ctx, connect.NewRequest(newJob("dropped")))
	c.Assert(err, qt.IsNil)
	c.Assert(stream.Receive(), qt.IsTrue)
	c.Assert(stream.Msg().GetState(), qt.Equals, pb.SubmitEvent_STATE_ACCEPTED)
	drop()
	waitFor(t, "the dropped job's end", func() bool { return s.entries[0].Jobs() == 1 })
	close(s.gate)
	c.Assert(payloads(<-blocker), qt.DeepEquals, []string{"blocker"})
	c.Assert(payloads(submit(c, address, newJob("after"))), qt.DeepEquals, []string{"after"})
	c.Assert(s.started("cancelled")+s.started("dropped"), qt.Equals, 0)
}

// Guards against a slow reader that blocks the core, and against a stream that lacks
// states of the job.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	s := startSystem(c, 1, 4, false)
	address := s.entries[0].Address()
	big := make([]string, 900)
	for i := range big {
		big[i] = strings.Repeat("x", 1000) + fmt.Sprint(i)
	}
	stream, err := client(address).SubmitStream(context.Background(), connect.NewRequest(newJob(big...)))
	c.Assert(err, qt.IsNil)
	waitFor(t, "the streamed job's end", func() bool { return s.entries[0].Jobs() == 0 })
	c.Assert(payloads(submit(c, address, newJob("good"))), qt.DeepEquals, []string{"good"})
	states := map[pb.SubmitEvent_State]bool{}
	var answer *pb.SubmitResponse
	for stream.Receive() {
		states[stream.Msg().GetState()] = true
		answer = stream.Msg().GetAnswer()
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Assert(states[pb.SubmitEvent_STATE_ACCEPTED] && states[pb.SubmitEvent_STATE_ANSWERED], qt.IsTrue)
	c.Assert(payloads(answer), qt.DeepEquals, big)
}
