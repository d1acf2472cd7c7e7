package entryd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/membership"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// pausableEntry is an entry without workers whose process seems to pause when the test says
// so. Its adapter submits a job for each POST, named by the path, and answers each GET.
type pausableEntry struct {
	*Daemon
	adapter string
	paused  atomic.Int64
}

func startPausable(t *testing.T) *pausableEntry {
	c := qt.New(t)
	server, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	adapter, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	core := entry.New(entry.Config{Name: "entry", Incarnation: 1, MaxQueued: 10, MaxTasks: 10, MaxPayload: 10})
	e := &pausableEntry{Daemon: New(core, "entry", server, zap.NewNop(), WithoutAuthentication()), adapter: adapter.Address()}
	adapter.Handle("GET /", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	adapter.Handle("POST /", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		job := testJob(0)
		job.Deadline = clock.Now().Add(time.Second)
		answer := e.FrontDoor().Submit(r.Context(), r.URL.Path, job)
		fmt.Fprintf(w, "%v %v\n", answer.Reason, answer.Verdict)
	}))
	e.Attach(adapter)
	e.Join(NewPlatform(PlatformConfig{Log: zap.NewNop(), Self: membership.Member{Name: "entry", Address: server.Address(), Incarnation: 1}}))
	e.watchPauses(clock.NewPauses(func() (time.Time, time.Duration) { return time.Unix(1000+e.paused.Load(), 0), 0 }))
	e.SetPolicy(testPolicy(1))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx, 0) }()
	t.Cleanup(func() { stop(); <-done })
	return e
}

// pause makes the process seem to have stood still for four seconds.
func (e *pausableEntry) pause() { e.paused.Add(4) }

// request is a request over an open connection that its client does not close.
func (e *pausableEntry) request(t *testing.T, conn net.Conn, method, path string) (body string, closes bool) {
	c := qt.New(t)
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", method, path)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, _ = bufio.NewReader(resp.Body).ReadString('\n')
	return body, resp.Close
}

func dialAdapter(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against two runs of a task at the same time: a job that was sent before the end of a
// pause of the process is started after it, though its caller has left, which this process
// does not know yet, and has sent the job to another entry.
func TestJobOverOutdatedConnectionIsRefused(t *testing.T) {
	c := qt.New(t)
	e := startPausable(t)
	conn := dialAdapter(t, e.adapter)
	e.request(t, conn, "GET", "/")
	e.pause()
	answer, closes := e.request(t, conn, "POST", "/job")
	c.Check(answer, qt.Equals, "entry_paused not_run\n")
	c.Check(closes, qt.IsTrue, qt.Commentf("a later request over the connection would be refused too"))
	// A job over a new connection is taken. It ends at its deadline, since there is no worker.
	waitFor(t, func() bool {
		answer, _ = e.request(t, dialAdapter(t, e.adapter), "POST", "/job")
		return answer != "entry_paused not_run\n"
	})
	c.Check(answer, qt.Equals, "deadline_exceeded not_run\n")
}

// Guards against a copy of a job that waits for the first one through a pause and starts when
// the pause has ended the first one.
func TestCopyThatWaitedThroughAPauseIsRefused(t *testing.T) {
	c := qt.New(t)
	e := startPausable(t)
	name := jobName{"acc", "/job"}
	c.Assert(e.jobs.names.reserve(name, 100), qt.IsNil)
	conn := dialAdapter(t, e.adapter)
	answers := make(chan string, 1)
	go func() {
		answer, _ := e.request(t, conn, "POST", "/job")
		answers <- answer
	}()
	waitFor(t, func() bool { return e.jobs.lastJobID.Load() == 1 })
	e.pause()
	e.jobs.names.finish(name, entry.Answer{Outcome: entry.Failed, Verdict: verdict.MayHaveRun, Reason: verdict.EntryPaused})
	c.Check(<-answers, qt.Equals, "entry_paused not_run\n")
}

// Guards against a cancel sent before the end of a pause that ends a later job of the same
// name, where names are used again, and against one that is lost where they are not.
func TestCancelOverOutdatedConnection(t *testing.T) {
	for _, test := range []struct {
		name   string
		cancel func(ctx context.Context, client *http.Client, address, id string) error
		// unique is set if the name is never used for another job.
		unique bool
	}{
		{"from a caller", func(ctx context.Context, client *http.Client, address, id string) error {
			_, err := poplarleverv1connect.NewDispatchClient(client, address).Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Account: "acc", JobId: id}))
			return err
		}, false},
		{"from another entry", func(ctx context.Context, client *http.Client, address, id string) error {
			_, err := poplarleverv1connect.NewPeerClient(client, address).CancelJob(ctx, connect.NewRequest(&pb.CancelJobRequest{Account: "acc", JobId: id}))
			return err
		}, false},
		{"of a unique name", func(ctx context.Context, client *http.Client, address, id string) error {
			_, err := poplarleverv1connect.NewPeerClient(client, address).CancelJob(ctx, connect.NewRequest(&pb.CancelJobRequest{Account: "acc", JobId: id, UniqueName: true}))
			return err
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e := startPausable(t)
			name := jobName{"acc", "mine"}
			c.Assert(e.jobs.names.reserve(name, 100), qt.IsNil)
			client := httpserver.NewClient()
			cancel := func(id string) error { return test.cancel(t.Context(), client, "http://"+e.Address(), id) }
			c.Assert(cancel("other"), qt.IsNil)
			e.pause()
			if !test.unique {
				c.Check(connect.CodeOf(cancel("mine")), qt.Equals, connect.CodeUnavailable)
				c.Check(e.jobs.names.isCancelled(name), qt.IsFalse)
				waitFor(t, func() bool { return cancel("other") == nil })
			}
			c.Check(cancel("mine"), qt.IsNil)
			c.Check(e.jobs.names.isCancelled(name), qt.IsTrue)
		})
	}
}
