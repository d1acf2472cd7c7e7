// Package linkpb converts between the messages of the agent and entry cores and
// their protobuf encoding on a link. Decoders return ErrMalformed for messages of
// an unknown kind and never panic on input from the network.
package linkpb

import (
	"math"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errorx.NewType(errorx.NewNamespace("linkpb"), "malformed")

// EncodeFromAgent returns the protobuf form of a message from an agent. It panics
// on a type that it does not know.
func EncodeFromAgent(m msg.FromAgent) *pb.AgentMessage {
	switch m := m.(type) {
	case msg.Hello:
		return &pb.AgentMessage{Message: &pb.AgentMessage_Hello{Hello: encodeHello(m)}}
	case msg.Refused:
		return &pb.AgentMessage{Message: &pb.AgentMessage_Refused{Refused: &pb.Refused{
			Attempt: encodeAttempt(m.Attempt), Reason: m.Reason.String(), Report: encodeSlots(m.Report),
		}}}
	case msg.Result:
		return &pb.AgentMessage{Message: &pb.AgentMessage_Result{Result: &pb.Result{
			Attempt: encodeAttempt(m.Attempt), Kind: pb.ResultKind(m.Kind), Payload: m.Payload,
			RunTimeNs: int64(m.RunTime), Report: encodeSlots(m.Report), Beside: encodeColocation(m.Beside),
		}}}
	case msg.AttemptStates:
		return &pb.AgentMessage{Message: &pb.AgentMessage_States{States: encodeStates(m)}}
	case msg.Heartbeat:
		return &pb.AgentMessage{Message: &pb.AgentMessage_Heartbeat{Heartbeat: encodeHeartbeat(m)}}
	case msg.Leaving:
		return &pb.AgentMessage{Message: &pb.AgentMessage_Leaving{Leaving: &pb.Leaving{Report: encodeSlots(m.Report)}}}
	case msg.SlotsFree:
		return &pb.AgentMessage{Message: &pb.AgentMessage_SlotsFree{SlotsFree: &pb.SlotsFree{Report: encodeSlots(m.Report)}}}
	}
	panic("linkpb: unknown agent message")
}

// DecodeFromAgent returns the decoded message, or ErrMalformed.
func DecodeFromAgent(p *pb.AgentMessage) (msg.FromAgent, error) {
	if err := checkSize(reportOf(p).GetRoom()); err != nil {
		return nil, err
	}
	switch m := p.GetMessage().(type) {
	case *pb.AgentMessage_Hello:
		return decodeHello(m.Hello)
	case *pb.AgentMessage_Refused:
		reason := verdict.ParseRetryReason(m.Refused.GetReason())
		if reason == 0 {
			return nil, ErrMalformed.New("unknown retry reason %q", m.Refused.GetReason())
		}
		return msg.Refused{Attempt: decodeAttempt(m.Refused.GetAttempt()), Reason: reason, Report: decodeSlots(m.Refused.GetReport())}, nil
	case *pb.AgentMessage_Result:
		return decodeResult(m.Result)
	case *pb.AgentMessage_States:
		return decodeStates(m.States)
	case *pb.AgentMessage_Heartbeat:
		return decodeHeartbeat(m.Heartbeat), nil
	case *pb.AgentMessage_Leaving:
		return msg.Leaving{Report: decodeSlots(m.Leaving.GetReport())}, nil
	case *pb.AgentMessage_SlotsFree:
		return msg.SlotsFree{Report: decodeSlots(m.SlotsFree.GetReport())}, nil
	}
	return nil, ErrMalformed.New("agent message of unknown kind")
}

// reportOf returns the message's slot report, or nil.
func reportOf(p *pb.AgentMessage) *pb.SlotReport {
	switch m := p.GetMessage().(type) {
	case *pb.AgentMessage_Hello:
		return m.Hello.GetReport()
	case *pb.AgentMessage_Refused:
		return m.Refused.GetReport()
	case *pb.AgentMessage_Result:
		return m.Result.GetReport()
	case *pb.AgentMessage_Heartbeat:
		return m.Heartbeat.GetReport()
	case *pb.AgentMessage_Leaving:
		return m.Leaving.GetReport()
	case *pb.AgentMessage_SlotsFree:
		return m.SlotsFree.GetReport()
	}
	return nil
}

// checkSize returns ErrMalformed for an amount that would spoil a sum.
func checkSize(p *pb.Size) error {
	if cores := p.GetCores(); !(cores >= 0) || math.IsInf(cores, 1) {
		return ErrMalformed.New("an amount of %v cores", cores)
	}
	return nil
}

func encodeHello(m msg.Hello) *pb.Hello {
	return &pb.Hello{
		Worker: m.Worker, FailureDomain: m.FailureDomain, Incarnation: uint64(m.Incarnation),
		Service: m.Service, Slots: uint32(m.Slots), Report: encodeSlots(m.Report),
		Connections: uint32(m.Connections), Revision: m.Revision, Leaving: m.Leaving,
		Size: EncodeSize(m.Size), ReleaseAfterNs: int64(m.ReleaseAfter), Labels: m.Labels, Settled: m.Settled,
		Crashes: encodeCrashes(m.Crashes), EvacuatedAt: m.EvacuatedAt,
	}
}

func encodeCrashes(crashes []msg.WorkerCrash) []*pb.WorkerCrash {
	var out []*pb.WorkerCrash
	for _, crash := range crashes {
		p := &pb.WorkerCrash{Instance: crash.Instance}
		for _, t := range crash.Tasks {
			p.Tasks = append(p.Tasks, &pb.CrashedTask{Name: t.Name, JobType: t.JobType, RunTimeNs: int64(t.RunTime), Unconfirmed: t.Unconfirmed})
		}
		out = append(out, p)
	}
	return out
}

// maxCrashes and maxCrashedTasks bound the crashes in a Hello and the tasks of each.
const maxCrashes, maxCrashedTasks = 64, 64

// decodeCrashes leaves out what exceeds the bounds, so that a corrupt Hello cannot fill the
// entry's memory.
func decodeCrashes(in []*pb.WorkerCrash) []msg.WorkerCrash {
	var crashes []msg.WorkerCrash
	for _, p := range in[:min(len(in), maxCrashes)] {
		crash := msg.WorkerCrash{Instance: p.GetInstance()}
		for _, t := range p.GetTasks()[:min(len(p.GetTasks()), maxCrashedTasks)] {
			crash.Tasks = append(crash.Tasks, msg.CrashedTask{
				Name: t.GetName(), JobType: t.GetJobType(), RunTime: time.Duration(t.GetRunTimeNs()), Unconfirmed: t.GetUnconfirmed(),
			})
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

// MaxSlots bounds the slots that a worker may announce, so that a corrupt Hello
// cannot attract unlimited work.
const MaxSlots = 1 << 16

func decodeHello(h *pb.Hello) (msg.FromAgent, error) {
	if h.GetWorker() == "" || h.GetIncarnation() == 0 {
		return nil, ErrMalformed.New("hello without worker or incarnation")
	}
	if h.GetSlots() > MaxSlots || h.GetReport().GetFree() > h.GetSlots() {
		return nil, ErrMalformed.New("hello from worker %q announces %d slots, %d free", h.GetWorker(), h.GetSlots(), h.GetReport().GetFree())
	}
	if h.GetReleaseAfterNs() < 0 {
		return nil, ErrMalformed.New("hello from worker %q names a release time of %d ns", h.GetWorker(), h.GetReleaseAfterNs())
	}
	if err := checkSize(h.GetSize()); err != nil {
		return nil, err
	}
	return msg.Hello{
		Worker: h.GetWorker(), FailureDomain: h.GetFailureDomain(),
		Incarnation: msg.Incarnation(h.GetIncarnation()), Service: h.GetService(),
		Slots: int(h.GetSlots()), Report: decodeSlots(h.GetReport()), Connections: int(h.GetConnections()),
		Revision: h.GetRevision(), Leaving: h.GetLeaving(), Size: DecodeSize(h.GetSize()),
		ReleaseAfter: time.Duration(h.GetReleaseAfterNs()), Labels: h.GetLabels(), Settled: h.GetSettled(),
		Crashes: decodeCrashes(h.GetCrashes()), EvacuatedAt: h.GetEvacuatedAt(),
	}, nil
}

func decodeResult(r *pb.Result) (msg.FromAgent, error) {
	if kind := r.GetKind(); kind < pb.ResultKind(msg.ResultOK) || kind > pb.ResultKind(msg.ResultAborted) {
		return nil, ErrMalformed.New("unknown result kind %d", kind)
	}
	return msg.Result{
		Attempt: decodeAttempt(r.GetAttempt()), Kind: msg.ResultKind(r.GetKind()), Payload: r.GetPayload(),
		RunTime: time.Duration(r.GetRunTimeNs()), Report: decodeSlots(r.GetReport()), Beside: decodeColocation(r.GetBeside()),
	}, nil
}

func encodeStates(m msg.AttemptStates) *pb.AttemptStates {
	items := make([]*pb.AttemptStateItem, len(m.Attempts))
	for i, a := range m.Attempts {
		items[i] = &pb.AttemptStateItem{Attempt: encodeAttempt(a.Attempt), State: pb.AttemptState(a.State)}
	}
	return &pb.AttemptStates{Attempts: items}
}

func decodeStates(p *pb.AttemptStates) (msg.FromAgent, error) {
	items := make([]msg.AttemptStateItem, len(p.GetAttempts()))
	for i, a := range p.GetAttempts() {
		if state := a.GetState(); state < pb.AttemptState(msg.NeverStarts) || state > pb.AttemptState(msg.Forgotten) {
			return nil, ErrMalformed.New("unknown attempt state %d", state)
		}
		items[i] = msg.AttemptStateItem{Attempt: decodeAttempt(a.GetAttempt()), State: msg.AttemptState(a.GetState())}
	}
	return msg.AttemptStates{Attempts: items}, nil
}

func encodeHeartbeat(m msg.Heartbeat) *pb.Heartbeat {
	return &pb.Heartbeat{Report: encodeSlots(m.Report), Revision: m.Revision}
}

func decodeHeartbeat(p *pb.Heartbeat) msg.Heartbeat {
	return msg.Heartbeat{Report: decodeSlots(p.GetReport()), Revision: p.GetRevision()}
}

func encodeSlots(s msg.Slots) *pb.SlotReport {
	p := &pb.SlotReport{Free: uint32(s.Free), Spare: uint32(s.Spare), Covers: s.Covers, Number: s.Number,
		EndedTasks: s.Outcomes.Ended, FailedTasks: s.Outcomes.Failed, Stalled: s.Stalled}
	if s.Room != (msg.Size{}) {
		p.Room = EncodeSize(s.Room)
	}
	return p
}

// decodeSlots caps the counts at MaxSlots, so that a corrupt report cannot attract
// unlimited work.
func decodeSlots(p *pb.SlotReport) msg.Slots {
	return msg.Slots{
		Free: int(min(p.GetFree(), MaxSlots)), Spare: int(min(p.GetSpare(), MaxSlots)),
		Covers: p.GetCovers(), Number: p.GetNumber(), Outcomes: health.Outcomes{Ended: p.GetEndedTasks(), Failed: p.GetFailedTasks()},
		Room: DecodeSize(p.GetRoom()), Stalled: p.GetStalled(),
	}
}

func encodeAttempt(a msg.AttemptID) *pb.AttemptID {
	return &pb.AttemptID{EntryIncarnation: uint64(a.Entry), Job: a.Job, Task: a.Task, Attempt: a.Attempt}
}

func decodeAttempt(p *pb.AttemptID) msg.AttemptID {
	return msg.AttemptID{
		Entry: msg.Incarnation(p.GetEntryIncarnation()), Job: p.GetJob(),
		Task: p.GetTask(), Attempt: p.GetAttempt(),
	}
}

// EncodeSize returns the protobuf form of a size.
func EncodeSize(s msg.Size) *pb.Size {
	return &pb.Size{Cores: s.Cores, MemoryBytes: s.MemoryBytes, Accelerators: s.Accelerators}
}

// DecodeSize returns the decoded size, zero for nil.
func DecodeSize(p *pb.Size) msg.Size {
	return msg.Size{Cores: p.GetCores(), MemoryBytes: p.GetMemoryBytes(), Accelerators: p.GetAccelerators()}
}
