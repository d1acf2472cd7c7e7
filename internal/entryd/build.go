package entryd

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/keys"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

// dispatchPath is the path prefix of the Dispatch service.
const dispatchPath = "/" + poplarleverv1connect.DispatchName + "/"

func (d *Daemon) newDispatchHandler(o options, jobs *runner) *admissionHandler {
	service := &dispatchService{runner: jobs, keyed: d.keyed, auth: o.authenticator, counts: &d.counts, cancel: d.cancelJob}
	_, handler := poplarleverv1connect.NewDispatchHandler(service,
		connect.WithReadMaxBytes(int(o.limits.MaxBody)), strictCodecs(d.server.Guard()))
	return newAdmissionHandler(handler, o.limits, &d.counts, d.log)
}

func newKeyedRequests(o options, jobs *runner, log *zap.Logger) *keyedRequests {
	cfg := keys.Config{
		Address: o.advertise, Incarnation: newKeyIncarnation(), Secret: randomBytes(32),
		Lifetime: o.keyLimits.Lifetime, MaxKeys: o.keyLimits.MaxKeys, KeepAnswers: o.keyLimits.KeepAnswers,
		MaxAnswers: o.keyLimits.MaxAnswers, MaxAnswerBytes: o.keyLimits.MaxAnswerBytes,
	}
	return &keyedRequests{
		cfg: cfg, lifetime: cfg.Lifetime, jobTimeout: o.limits.JobTimeout, peers: o.peers, log: log, scheme: urlScheme(o.clientTLS != nil),
		client: httpserver.NewTLSClient(o.clientTLS), table: keys.New[*pb.SubmitResponse](cfg), runs: make(map[uint64]*keyedRun),
		run: func(ctx context.Context, req *pb.SubmitRequest) entry.Answer { return jobs.run(ctx, req, nil) },
	}
}

// newKeyIncarnation returns a random number that distinguishes the keys of this process
// from those of earlier processes. It is never zero.
func newKeyIncarnation() msg.Incarnation {
	return msg.Incarnation(binary.BigEndian.Uint64(randomBytes(8)) | 1)
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // documented to never fail
	return b
}

func urlScheme(tls bool) string {
	if tls {
		return "https://"
	}
	return "http://"
}
