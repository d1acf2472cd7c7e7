package entryd

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/clock"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/logevent"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// cancelTimeout bounds the calls by which a cancel is passed on, which go to all
	// entries at the same time.
	cancelTimeout = 500 * time.Millisecond
	// cancelRetryAfter is how long a call waits for its answer before a second one goes
	// over a new connection: the one in use may have fallen silent without a reset.
	cancelRetryAfter = 200 * time.Millisecond
)

// cancelFunc cancels a job at the entry at an address and reports whether it was there.
type cancelFunc func(ctx context.Context, address string, req *pb.CancelJobRequest) (found bool, err error)

// newCancel returns a function that uses the client, and then one without connections to
// reuse.
func newCancel(client, unpooled *http.Client, overTLS bool) cancelFunc {
	scheme := urlScheme(overTLS)
	call := func(ctx context.Context, c *http.Client, address string, req *pb.CancelJobRequest) (bool, error) {
		resp, err := poplarleverv1connect.NewPeerClient(c, scheme+address).CancelJob(ctx, connect.NewRequest(req))
		if err != nil {
			return false, err
		}
		return resp.Msg.GetFound(), nil
	}
	return func(ctx context.Context, address string, req *pb.CancelJobRequest) (bool, error) {
		first, cancel := context.WithTimeout(ctx, cancelRetryAfter)
		defer cancel()
		found, err := call(first, client, address, req)
		if err == nil || refusedConnection(err) {
			return found, err
		}
		return call(ctx, unpooled, address, req)
	}
}

// refusedConnection reports whether no process listens at the address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CancelJob implements the Peer service.
func (p *Platform) CancelJob(ctx context.Context, req *connect.Request[pb.CancelJobRequest]) (*connect.Response[pb.CancelJobResponse], error) {
	if !req.Msg.GetUniqueName() && httpserver.ConnectionOf(ctx).Outdated() {
		// The name may belong to a later job by now.
		return nil, rpcError(connect.CodeUnavailable, outdatedRequest())
	}
	name := jobName{req.Msg.GetAccount(), req.Msg.GetJobId()}
	return connect.NewResponse(&pb.CancelJobResponse{Found: p.cancelHere(name, req.Msg.GetUniqueName())}), nil
}

// cancelElsewhere passes a cancel on to the other entries. It returns as soon as one had
// the job; the other calls go on. unreached holds the addresses of known entries that gave
// no answer and may still have jobs.
func (p *Platform) cancelElsewhere(req *pb.CancelJobRequest) (found bool, unreached []string) {
	type reply struct {
		address   string
		found     bool
		unreached bool
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	addresses, known := p.peerAddresses(), p.Peers()
	replies := make(chan reply, len(addresses))
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() {
			found, err := p.cancelAt(ctx, address, req)
			replies <- reply{address, found, p.isUnreached(known, address, err)}
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	for range addresses {
		r := <-replies
		if r.found {
			return true, nil
		}
		if r.unreached {
			unreached = append(unreached, r.address)
		}
	}
	return false, unreached
}

// isUnreached reports whether a call that ended with err leaves open whether the entry at
// the address has the job.
func (p *Platform) isUnreached(known []msg.Peer, address string, err error) bool {
	switch {
	case err == nil:
		p.unreached.answered(address)
		return false
	case refusedConnection(err) || !isKnown(known, address):
		return false
	}
	return p.unreached.unanswered(clock.Now(), address)
}

func isKnown(known []msg.Peer, address string) bool {
	return slices.ContainsFunc(known, func(m msg.Peer) bool { return m.Address == address })
}

// cancelJob cancels a job of this process, or passes the cancel on to the other entries.
// uniqueName says that the name is never used for another job. unreached is the number of
// known entries that gave no answer.
func (d *Daemon) cancelJob(name jobName, uniqueName bool) (outcome verdict.CancelOutcome, unreached int) {
	defer func() {
		if m := d.opts.metrics; m != nil {
			m.Cancelled(outcome)
		}
	}()
	switch {
	case d.jobs.cancelNamed(name, uniqueName):
		return verdict.CancelledHere, 0
	case d.platform == nil:
		return verdict.CancelNotFound, 0
	}
	found, silent := d.platform.cancelElsewhere(&pb.CancelJobRequest{Account: name.account, JobId: name.id, UniqueName: uniqueName})
	switch {
	case found:
		return verdict.CancelledElsewhere, len(silent)
	case len(silent) > 0:
		logevent.CancelUncertain.Log(d.log, zap.String("job", name.id), zap.Strings("unreached", silent))
		return verdict.CancelUncertain, len(silent)
	}
	return verdict.CancelNotFound, 0
}
