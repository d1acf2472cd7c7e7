package entryd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// operatorService implements the Operator service.
type operatorService struct{ daemon *Daemon }

// Status describes the entry, its workers and its client accounts.
func (s *operatorService) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	var snapshot entry.Snapshot
	d := s.daemon
	if err := d.loop.call(ctx, func(time.Time) { snapshot = d.loop.core.Snapshot() }); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	report := d.tableReport()
	return connect.NewResponse(&pb.StatusResponse{
		Entry: &pb.EntryStatus{
			Name: d.name, FailureDomain: d.opts.failureDomain, Revision: snapshot.Revision,
			Jobs: uint32(snapshot.Jobs), QueuedTasks: uint32(snapshot.QueuedTasks),
			RunningTasks: uint32(snapshot.RunningTasks), Draining: snapshot.Draining,
			StoreReachable: d.storeReachable(), Uptime: durationpb.New(time.Since(d.startTime)),
			UnappliedValues: uint32(report.unapplied), Unapplied: encodeUnapplied(report.listed), RejectedTable: report.rejected,
			Evacuated: encodeEvacuated(snapshot.Evacuated),
		},
		Workers: encodeWorkers(snapshot.Workers), Accounts: encodeAccounts(snapshot.Accounts),
		Peers: encodePeers(snapshot), SeparatedPairs: encodePairs(snapshot.SeparatedPairs),
	}), nil
}

func encodePairs(pairs []entry.SeparatedPair) []*pb.SeparatedPair {
	out := make([]*pb.SeparatedPair, len(pairs))
	for i, p := range pairs {
		out[i] = &pb.SeparatedPair{
			Service: p.Service, JobType: p.JobType, Neighbour: p.Neighbour, Slowdown: p.Slowdown, SlowdownLow: p.Low, Runs: uint32(p.Runs),
			JobTypeLow: p.JobTypeWorkers.Low, JobTypeHigh: p.JobTypeWorkers.High,
			NeighbourLow: p.NeighbourWorkers.Low, NeighbourHigh: p.NeighbourWorkers.High,
		}
	}
	return out
}

func encodeWorkers(workers []entry.WorkerSnapshot) []*pb.WorkerStatus {
	out := make([]*pb.WorkerStatus, len(workers))
	for i, w := range workers {
		out[i] = &pb.WorkerStatus{
			Name: w.Name, FailureDomain: w.FailureDomain, Service: w.Service, State: w.State,
			Slots: uint32(w.Slots), Free: uint32(w.Free), Outstanding: uint32(w.Outstanding), Revision: w.Revision,
			Speed: w.Speed, SpeedUncertainty: w.SpeedUncertainty,
		}
	}
	return out
}

func encodeEvacuated(domains []entry.EvacuationChanged) []*pb.EvacuatedDomain {
	out := make([]*pb.EvacuatedDomain, len(domains))
	for i, d := range domains {
		out[i] = &pb.EvacuatedDomain{Domain: d.Name, Version: d.Version, Workers: uint32(d.Workers)}
	}
	return out
}

func encodeAccounts(accounts []entry.AccountSnapshot) []*pb.AccountStatus {
	out := make([]*pb.AccountStatus, len(accounts))
	for i, a := range accounts {
		out[i] = &pb.AccountStatus{
			Account: a.Account, QueuedTasks: uint32(a.QueuedTasks), RunningTasks: uint32(a.RunningTasks),
			Share: a.Share, DueShare: a.DueShare,
		}
	}
	return out
}

func encodePeers(s entry.Snapshot) []*pb.PeerStatus {
	out := make([]*pb.PeerStatus, len(s.Peers))
	for i, p := range s.Peers {
		out[i] = &pb.PeerStatus{Name: p.Name, Address: p.Address, FailureDomain: p.FailureDomain}
	}
	return out
}
