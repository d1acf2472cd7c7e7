package entryd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/entryd"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

const submitPath = "/poplarlever.v1.Dispatch/Submit"

// Guards against a protocol over which callers cannot reach the service.
func TestEveryProtocolReturnsCompleteAnswer(t *testing.T) {
	c := qt.New(t)
	s := startSystem(c, 1, 4, false)
	address := s.entries[0].Address()
	for name, opts := range map[string][]connect.ClientOption{
		"connect": nil, "connect-json": {connect.WithProtoJSON()}, "grpc": {connect.WithGRPC()}, "grpc-web": {connect.WithGRPCWeb()},
	} {
		c.Run(name, func(c *qt.C) {
			resp, err := client(address, opts...).Submit(context.Background(), connect.NewRequest(newJob("a", "b")))
			c.Assert(err, qt.IsNil)
			c.Assert(payloads(resp.Msg), qt.DeepEquals, []string{"a", "b"})
		})
	}
	c.Run("curl", func(c *qt.C) {
		resp := httpPost(c, "http://"+address+submitPath, "application/json",
			`{"service":"svc","jobType":"job","account":"acc","tasks":[{"payload":"YQ=="}]}`)
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		c.Assert(string(body), qt.Contains, "OUTCOME_COMPLETE")
	})
}

// refusalOf returns the verdict and reason of a response, whether it is an answer or a
// Connect error.
func refusalOf(c *qt.C, resp *http.Response) (verdictName, reason string) {
	defer resp.Body.Close()
	var body struct {
		Failure struct {
			Verdict, Reason, RetryAfter string
		} `json:"failure"`
		Details []struct{ Type string } `json:"details"`
	}
	content, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(content, &body), qt.IsNil, qt.Commentf("%s", content))
	if body.Failure.Reason != "" {
		c.Assert(body.Failure.RetryAfter, qt.Not(qt.Equals), "")
		return strings.ToLower(strings.TrimPrefix(body.Failure.Verdict, "VERDICT_")), body.Failure.Reason
	}
	c.Assert(body.Details, qt.HasLen, 1, qt.Commentf("%s", content))
	c.Assert(body.Details[0].Type, qt.Equals, "poplarlever.v1.Failure")
	c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	return resp.Header.Get(entryd.HeaderVerdict), resp.Header.Get(entryd.HeaderReason)
}

// Guards against malformed requests that run, get no verdict or disturb the next
// caller.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	limits := entryd.DefaultLimits()
	limits.MaxBody = 64 << 10
	s := startSystem(c, 1, 4, false, entryd.WithLimits(limits))
	d := s.entries[0]
	job := func(change string) string {
		fields := map[string]any{"service": "svc", "jobType": "job", "account": "acc", "tasks": []any{map[string]any{"payload": "YmFk"}}}
		c.Assert(json.Unmarshal([]byte(change), &fields), qt.IsNil)
		text, _ := json.Marshal(fields)
		return string(text)
	}
	tasks := func(n int) string { return `{"tasks":[` + strings.Repeat("{},", n-1) + `{}]}` }
	cases := []struct {
		name, contentType, body string
		reason                  verdict.Reason
	}{
		{"unknown service", "application/json", job(`{"service":"x"}`), verdict.UnknownService},
		{"unknown job type", "application/json", job(`{"jobType":"x"}`), verdict.UnknownJobType},
		{"unknown account", "application/json", job(`{"account":"x"}`), verdict.UnknownAccount},
		{"no tasks", "application/json", job(`{"tasks":[]}`), verdict.NoTasks},
		{"1001 tasks", "application/json", job(tasks(1001)), verdict.TooManyTasks},
		{"payload above the limit", "application/json", job(`{"tasks":[{"payload":"` + strings.Repeat("AAAA", 400) + `"}]}`), verdict.PayloadTooLarge},
		{"deadline in the past", "application/json", job(`{"deadline":"2001-01-01T00:00:00Z"}`), verdict.DeadlinePassed},
		{"negative timeout", "application/json", job(`{"timeout":"-1s"}`), verdict.DeadlinePassed},
		{"negative run time", "application/json", job(`{"tasks":[{"declaredRunTime":"-1s"}]}`), verdict.MalformedJob},
		{"infinite size", "application/json", job(`{"tasks":[{"declaredSize":{"cores":"Infinity"}}]}`), verdict.MalformedJob},
		{"long name", "application/json", job(`{"jobId":"` + strings.Repeat("x", 201) + `"}`), verdict.MalformedJob},
		{"malformed key", "application/json", job(`{"idempotencyKey":"mine"}`), verdict.MalformedJob},
		{"misspelt field", "application/json", job(`{"idempotency_keys":"x"}`), verdict.MalformedJob},
		{"wrong type", "application/json", job(`{"tasks":7}`), verdict.MalformedJob},
		{"no JSON", "application/json", "garbage", verdict.MalformedJob},
		{"empty JSON", "application/json", "", verdict.MalformedJob},
		{"garbage protobuf", "application/proto", "\xff\xff\xff\xff", verdict.MalformedJob},
		{"unknown content type", "text/plain", "hello", verdict.MalformedJob},
		{"oversized body", "application/json", strings.Repeat(" ", 65<<10), verdict.PayloadTooLarge},
	}
	for _, tc := range cases {
		c.Run(tc.name, func(c *qt.C) {
			before := d.Counts().Reason(tc.reason)
			got, reason := refusalOf(c, httpPost(c, "http://"+d.Address()+submitPath, tc.contentType, tc.body))
			c.Check(got, qt.Equals, "not_run")
			c.Check(reason, qt.Equals, tc.reason.String())
			c.Check(d.Counts().Reason(tc.reason), qt.Equals, before+1)
		})
	}
	c.Assert(s.started("bad"), qt.Equals, 0)
	c.Assert(payloads(submit(c, d.Address(), newJob("good"))), qt.DeepEquals, []string{"good"})
}

// Guards against rejections that carry their verdict over some protocols only.
func TestRejectedRPCCarriesFailureInDetails(t *testing.T) {
	c := qt.New(t)
	limits := entryd.DefaultLimits()
	limits.MaxBody = 1 << 10
	d := newEntry(c, "entry", entryd.WithLimits(limits), entryd.WithoutAuthentication())
	for name, opts := range map[string][]connect.ClientOption{
		"connect": nil, "grpc": {connect.WithGRPC()}, "zipped": {connect.WithSendGzip()},
	} {
		c.Run(name, func(c *qt.C) {
			_, err := client(d.Address(), opts...).Submit(context.Background(), connect.NewRequest(newJob(strings.Repeat("x", 2<<10))))
			c.Assert(connect.CodeOf(err), qt.Equals, connect.CodeResourceExhausted)
			failure := failureIn(c, err)
			c.Assert(failure.GetVerdict(), qt.Equals, pb.Verdict_VERDICT_NOT_RUN)
			c.Assert(failure.GetReason(), qt.Equals, "payload_too_large")
			c.Assert(failure.GetRetryAfter().AsDuration() > 0, qt.IsTrue)
		})
	}
}

func failureIn(c *qt.C, err error) *pb.Failure {
	var rpc *connect.Error
	c.Assert(err, qt.ErrorAs, &rpc)
	c.Assert(rpc.Details(), qt.HasLen, 1)
	value, err := rpc.Details()[0].Value()
	c.Assert(err, qt.IsNil)
	return value.(*pb.Failure)
}

// Guards against a caller that uses the account of another one.
func TestTokensBelongToAccounts(t *testing.T) {
	c := qt.New(t)
	table := entry.Policy{
		Revision: 2,
		Services: map[string]entry.ServicePolicy{"svc": {JobTypes: map[string]entry.JobTypePolicy{"job": {}}}},
		Accounts: map[string]entry.AccountPolicy{
			"acc": {TokenSHA256: entryd.HashToken("secret")}, "other": {TokenSHA256: entryd.HashToken("another")}, "open": {},
		},
	}
	for _, tc := range []struct {
		name, account, header string
		table                 bool
		reason                string
	}{
		{"right token", "acc", "Bearer secret", true, "deadline_exceeded"},
		{"wrong token", "acc", "Bearer wrong", true, "unauthenticated"},
		{"no token", "acc", "", true, "unauthenticated"},
		{"other account", "other", "Bearer secret", true, "unauthenticated"},
		{"account without a token", "open", "", true, "unauthenticated"},
		{"unknown account", "x", "Bearer secret", true, "unknown_account"},
		{"no table", "acc", "Bearer secret", false, "unauthenticated"},
	} {
		c.Run(tc.name, func(c *qt.C) {
			d := newEntry(c, "entry")
			if tc.table {
				d.SetPolicy(table)
			}
			job := newJob("a")
			job.Account, job.Timeout = tc.account, durationpb.New(50*time.Millisecond)
			req := connect.NewRequest(job)
			req.Header().Set("Authorization", tc.header)
			resp, err := client(d.Address()).Submit(context.Background(), req)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Msg.GetFailure().GetReason(), qt.Equals, tc.reason)
			c.Assert(resp.Msg.GetFailure().GetVerdict(), qt.Equals, pb.Verdict_VERDICT_NOT_RUN)
		})
	}
}

// Guards against one connection whose requests use up the limit of the whole entry.
func TestRequestsInFlightAreBounded(t *testing.T) {
	c := qt.New(t)
	limits := entryd.DefaultLimits()
	limits.InFlightPerConnection = 2
	s := startSystem(c, 1, 4, true, entryd.WithLimits(limits))
	address := s.entries[0].Address()
	one := client(address)
	answers := make(chan error, 2)
	for i := range 2 {
		go func() {
			_, err := one.Submit(context.Background(), connect.NewRequest(newJob(fmt.Sprint("t", i))))
			answers <- err
		}()
	}
	waitFor(t, "two running jobs", func() bool { return s.started("t0")+s.started("t1") == 2 })
	_, err := one.Submit(context.Background(), connect.NewRequest(newJob("third")))
	failure := failureIn(c, err)
	c.Assert(failure.GetReason(), qt.Equals, "too_many_requests")
	c.Assert(failure.GetVerdict(), qt.Equals, pb.Verdict_VERDICT_NOT_RUN)
	go close(s.gate)
	c.Assert(payloads(submit(c, address, newJob("elsewhere"))), qt.DeepEquals, []string{"elsewhere"})
	c.Assert(<-answers, qt.IsNil)
	c.Assert(<-answers, qt.IsNil)
	c.Assert(s.started("third"), qt.Equals, 0)
}

// Guards against bodies that together exceed the entry's memory, and against counting
// requests of unknown length as if they had the largest size.
func TestBodiesInProgressAreBounded(t *testing.T) {
	c := qt.New(t)
	limits := entryd.DefaultLimits()
	limits.MaxBody, limits.MaxBodies = 64<<10, 3000
	s := startSystem(c, 1, 8, true, entryd.WithLimits(limits))
	address := s.entries[0].Address()
	grpc := client(address, connect.WithGRPC())
	answers := make(chan error, 4)
	for i := range 4 {
		go func() {
			_, err := grpc.Submit(context.Background(), connect.NewRequest(newJob(fmt.Sprint("t", i))))
			answers <- err
		}()
	}
	waitFor(t, "four running jobs", func() bool { return s.entries[0].Jobs() == 4 })
	_, err := grpc.Submit(context.Background(), connect.NewRequest(newJob(strings.Repeat("x", 1000), strings.Repeat("y", 1000), strings.Repeat("z", 1000))))
	c.Assert(failureIn(c, err).GetReason(), qt.Equals, "too_many_requests")
	close(s.gate)
	for range 4 {
		c.Assert(<-answers, qt.IsNil)
	}
}
