package linkpb

import (
	"math"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// EncodeFromEntry returns the protobuf form of a message from an entry. It panics
// on a type that it does not know.
func EncodeFromEntry(m msg.FromEntry) *pb.EntryMessage {
	switch m := m.(type) {
	case msg.Welcome:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Welcome{Welcome: encodeWelcome(m)}}
	case msg.Rejected:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Rejected{Rejected: &pb.Rejected{Reason: m.Reason}}}
	case msg.Dispatch:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Dispatch{Dispatch: encodeDispatch(m)}}
	case msg.Revoke:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Revoke{Revoke: &pb.Revoke{Attempts: encodeAttemptRefs(m.Attempts), Stop: m.Stop}}}
	case msg.Query:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Query{Query: &pb.Query{Attempts: encodeAttemptRefs(m.Attempts)}}}
	case msg.Ack:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Ack{Ack: &pb.Ack{Attempts: encodeAttempts(m.Attempts)}}}
	case msg.EntryHeartbeat:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Heartbeat{Heartbeat: &pb.EntryHeartbeat{
			Seq: m.Seq, Revision: m.Revision, Acks: encodeAttempts(m.Acks), Claim: encodeClaim(m.Claim), HeardNs: int64(m.EchoedClock),
		}}}
	case msg.TableUpdate:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Table{Table: &pb.TableUpdate{Revision: m.Revision}}}
	case msg.Evacuations:
		return &pb.EntryMessage{Message: &pb.EntryMessage_Table{Table: &pb.TableUpdate{Evacuations: EncodeEvacuations(m.Report)}}}
	}
	panic("linkpb: unknown entry message")
}

// DecodeFromEntry returns the decoded message, or ErrMalformed.
func DecodeFromEntry(p *pb.EntryMessage) (msg.FromEntry, error) {
	switch m := p.GetMessage().(type) {
	case *pb.EntryMessage_Welcome:
		return decodeWelcome(m.Welcome)
	case *pb.EntryMessage_Rejected:
		return msg.Rejected{Reason: m.Rejected.GetReason()}, nil
	case *pb.EntryMessage_Dispatch:
		d := m.Dispatch
		if err := checkSize(d.GetSize()); err != nil {
			return nil, err
		}
		return msg.Dispatch{
			Attempt: decodeAttempt(d.GetAttempt()), AgentIncarnation: msg.Incarnation(d.GetAgentIncarnation()),
			StartBy: time.Duration(d.GetStartByNs()), RunLimit: time.Duration(d.GetRunLimitNs()),
			Service: d.GetService(), Account: d.GetAccount(), Payload: d.GetPayload(), Seq: d.GetSeq(),
			Acks: decodeAttempts(d.GetAcks()), Claim: decodeClaim(d.GetClaim()),
			TaskName: d.GetTaskName(), Size: DecodeSize(d.GetSize()), EchoedClock: time.Duration(d.GetHeardNs()), JobType: d.GetJobType(),
			WaitForRoom: time.Duration(d.GetWaitForRoomNs()), Report: d.GetReport(),
		}, nil
	case *pb.EntryMessage_Revoke:
		return msg.Revoke{Attempts: decodeAttemptRefs(m.Revoke.GetAttempts()), Stop: m.Revoke.GetStop()}, nil
	case *pb.EntryMessage_Query:
		return msg.Query{Attempts: decodeAttemptRefs(m.Query.GetAttempts())}, nil
	case *pb.EntryMessage_Ack:
		return msg.Ack{Attempts: decodeAttempts(m.Ack.GetAttempts())}, nil
	case *pb.EntryMessage_Heartbeat:
		return msg.EntryHeartbeat{
			Seq: m.Heartbeat.GetSeq(), Revision: m.Heartbeat.GetRevision(), Acks: decodeAttempts(m.Heartbeat.GetAcks()),
			Claim: decodeClaim(m.Heartbeat.GetClaim()), EchoedClock: time.Duration(m.Heartbeat.GetHeardNs()),
		}, nil
	case *pb.EntryMessage_Table:
		if e := m.Table.GetEvacuations(); e != nil {
			return msg.Evacuations{Report: DecodeEvacuations(e)}, nil
		}
		return msg.TableUpdate{Revision: m.Table.GetRevision()}, nil
	}
	return nil, ErrMalformed.New("entry message of unknown kind")
}

func encodeDispatch(m msg.Dispatch) *pb.DispatchTask {
	d := &pb.DispatchTask{
		Attempt: encodeAttempt(m.Attempt), AgentIncarnation: uint64(m.AgentIncarnation),
		StartByNs: int64(m.StartBy), RunLimitNs: int64(m.RunLimit),
		Service: m.Service, Account: m.Account, Payload: m.Payload, Seq: m.Seq, Acks: encodeAttempts(m.Acks),
		Claim: encodeClaim(m.Claim), TaskName: m.TaskName, HeardNs: int64(m.EchoedClock), JobType: m.JobType,
		WaitForRoomNs: int64(m.WaitForRoom), Report: m.Report,
	}
	if m.Size != (msg.Size{}) {
		d.Size = EncodeSize(m.Size)
	}
	return d
}

// encodeClaim returns nil for the zero claim, so that an entry with no waiting
// tasks sends none.
func encodeClaim(c msg.Claim) *pb.Claim {
	if c == (msg.Claim{}) {
		return nil
	}
	return &pb.Claim{Waiting: uint32(c.Waiting), Unfinished: uint32(c.Unfinished)}
}

// decodeClaim caps the counts, so that a corrupt claim cannot overflow.
func decodeClaim(p *pb.Claim) msg.Claim {
	return msg.Claim{Waiting: int(min(p.GetWaiting(), math.MaxInt32)), Unfinished: int(min(p.GetUnfinished(), math.MaxInt32))}
}

func encodeWelcome(m msg.Welcome) *pb.Welcome {
	peers := make([]*pb.EntryPeer, len(m.Peers))
	for i, p := range m.Peers {
		peers[i] = &pb.EntryPeer{Name: p.Name, Address: p.Address, FailureDomain: p.FailureDomain}
	}
	return &pb.Welcome{Entry: m.Entry, Incarnation: uint64(m.Incarnation), Revision: m.Revision, Peers: peers, ColocationEvery: m.ColocationEvery}
}

func decodeWelcome(p *pb.Welcome) (msg.FromEntry, error) {
	if p.GetEntry() == "" || p.GetIncarnation() == 0 {
		return nil, ErrMalformed.New("welcome without entry or incarnation")
	}
	peers := make([]msg.Peer, len(p.GetPeers()))
	for i, e := range p.GetPeers() {
		peers[i] = msg.Peer{Name: e.GetName(), Address: e.GetAddress(), FailureDomain: e.GetFailureDomain()}
	}
	return msg.Welcome{Entry: p.GetEntry(), Incarnation: msg.Incarnation(p.GetIncarnation()), Revision: p.GetRevision(), Peers: peers, ColocationEvery: p.GetColocationEvery()}, nil
}

func encodeAttemptRefs(refs []msg.AttemptRef) []*pb.RevokeItem {
	items := make([]*pb.RevokeItem, len(refs))
	for i, r := range refs {
		items[i] = &pb.RevokeItem{Attempt: encodeAttempt(r.Attempt), StartByNs: int64(r.StartBy)}
	}
	return items
}

func decodeAttemptRefs(items []*pb.RevokeItem) []msg.AttemptRef {
	refs := make([]msg.AttemptRef, len(items))
	for i, item := range items {
		refs[i] = msg.AttemptRef{Attempt: decodeAttempt(item.GetAttempt()), StartBy: time.Duration(item.GetStartByNs())}
	}
	return refs
}

func encodeAttempts(ids []msg.AttemptID) []*pb.AttemptID {
	if len(ids) == 0 {
		return nil
	}
	out := make([]*pb.AttemptID, len(ids))
	for i, id := range ids {
		out[i] = encodeAttempt(id)
	}
	return out
}

func decodeAttempts(ids []*pb.AttemptID) []msg.AttemptID {
	if len(ids) == 0 {
		return nil
	}
	out := make([]msg.AttemptID, len(ids))
	for i, id := range ids {
		out[i] = decodeAttempt(id)
	}
	return out
}
