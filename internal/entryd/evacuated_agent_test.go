package entryd_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/table"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/fake/endpoint"
	fake "github.com/poplarlever/poplarlever/internal/fake/store"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/membership"
	"github.com/poplarlever/poplarlever/internal/tablestore"
	"github.com/poplarlever/poplarlever/internal/telemetry"
)

// Guards against an evacuation that is lost on its way from the store over the entry and the link
// to the agent, or does not end on the same way.
func TestEvacuationFromStoreToAgent(t *testing.T) {
	c := qt.New(t)
	s := fake.New(fake.DefaultRates)
	rows, err := table.Decode([]byte("kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256\n" +
		"service,svc,,,,,,,,,\njob,job,svc,,,,,,,,\naccount,acc,,1,,,,,,,\n"))
	c.Assert(err, qt.IsNil)
	_, err = (&tablestore.Writer{Store: s, Who: "test"}).Put(c.Context(), 0, rows.Table, "")
	c.Assert(err, qt.IsNil)
	server, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	core := entry.New(entry.Config{
		Name: "e", Incarnation: 99, Seed: 1, StartWindow: 2 * time.Second, SuspectAfter: 3 * time.Second, LostAfter: 10 * time.Second,
		HeartbeatInterval: time.Second, RunLimit: time.Minute, MaxQueued: 5000, MaxTasks: 1000, MaxPayload: 1 << 10,
	})
	e := entryd.New(core, "e", server, zap.NewNop(), entryd.WithoutAuthentication())
	e.Join(entryd.NewPlatform(entryd.PlatformConfig{
		Store: s, Log: zap.NewNop(), Evacuations: true,
		Self: membership.Member{Name: "e", Address: e.Address(), FailureDomain: "y", Incarnation: 99, Started: time.Now()},
	}))
	runUntilCleanup(c, func(ctx context.Context) { _ = e.Run(ctx, time.Second) })

	agentServer, err := httpserver.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	epoch := time.Now()
	worker := agent.New(agent.Config{Worker: "w", FailureDomain: "z", Incarnation: 9, ResultKeep: time.Minute, HeartbeatInterval: time.Second, Epoch: epoch, Evacuations: true})
	metrics, err := telemetry.New(telemetry.Agent)
	c.Assert(err, qt.IsNil)
	a := agentd.New(worker, "w", epoch, []string{e.Address()}, agentServer, zap.NewNop(), agentd.WithMetrics(metrics))
	runUntilCleanup(c, func(ctx context.Context) { _ = a.Run(ctx, 0) })
	p, err := endpoint.Listen(endpoint.Config{Address: "127.0.0.1:0", Agent: agentServer.Address(), Service: "svc", Slots: 2, Connections: 64, TaskTime: func([]byte) time.Duration { return 0 }})
	c.Assert(err, qt.IsNil)
	runUntilCleanup(c, func(ctx context.Context) { _ = p.Run(ctx) })

	submitted := func() string { return submit(c, e.Address(), newJob("p")).GetFailure().GetReason() }
	waitFor(c, "a job runs", func() bool { return submitted() == "" })
	version, err := s.CompareAndSwap(c.Context(), tablestore.EvacuationsPrefix+"z", 0, []byte("{}"), 0)
	c.Assert(err, qt.IsNil)
	waitFor(c, "jobs are refused", func() bool { return submitted() == "all_evacuated" })
	evacuated := func() bool {
		page := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
		return strings.Contains(page.Body.String(), "\npoplarlever_evacuated_domains 1\n")
	}
	waitFor(c, "the agent knows", evacuated)
	c.Assert(s.Delete(c.Context(), tablestore.EvacuationsPrefix+"z", version), qt.IsNil)
	waitFor(c, "a job runs again", func() bool { return submitted() == "" })
	c.Check(evacuated(), qt.IsFalse)
}
