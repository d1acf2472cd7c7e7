// Package msg defines the messages that entry and agent cores exchange. The
// types carry no transport detail; package linkpb converts them to protobuf.
package msg

import (
	"cmp"
	"fmt"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Incarnation names one run of a process. It is drawn at random at start, so
// a restarted process is never taken for its predecessor.
type Incarnation uint64

// AttemptID names one attempt to run one task of one job. The entry
// incarnation makes it unique among all entries, past and present.
type AttemptID struct {
	Entry   Incarnation
	Job     uint64
	Task    uint32
	Attempt uint32
}

// Compare orders attempts, for outputs in a fixed order.
func (a AttemptID) Compare(b AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt),
	)
}

// startNameFormat is the format of StartName.
const startNameFormat = "%016x.%016x-%d-%d-%d"

// StartName returns the name under which an agent incarnation starts an attempt
// at the endpoint. The endpoint repeats it in its announcements.
func StartName(agent Incarnation, a AttemptID) string {
	return fmt.Sprintf(startNameFormat, uint64(agent), uint64(a.Entry), a.Job, a.Task, a.Attempt)
}

// ParseStartName is the inverse of StartName.
func ParseStartName(name string) (agent Incarnation, a AttemptID, ok bool) {
	_, err := fmt.Sscanf(name, "%x.%x-%d-%d-%d", (*uint64)(&agent), (*uint64)(&a.Entry), &a.Job, &a.Task, &a.Attempt)
	return agent, a, err == nil && StartName(agent, a) == name
}

// Size is an amount of each resource.
type Size struct {
	Cores        float64
	MemoryBytes  uint64
	Accelerators uint32
}

// Plus returns the sum of both sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryBytes + o.MemoryBytes, s.Accelerators + o.Accelerators}
}

// Minus returns what is left of s without o; no resource goes below zero.
func (s Size) Minus(o Size) Size {
	return Size{
		max(0, s.Cores-o.Cores), s.MemoryBytes - min(s.MemoryBytes, o.MemoryBytes), s.Accelerators - min(s.Accelerators, o.Accelerators),
	}
}

// coreGrain is below the smallest amount of cores that counts; it absorbs the
// rounding of sums.
const coreGrain = 1e-6

// Within tells whether s fits into room.
func (s Size) Within(room Size) bool {
	return s.Cores <= room.Cores+coreGrain && s.MemoryBytes <= room.MemoryBytes && s.Accelerators <= room.Accelerators
}

// Slots is an agent's report of its free slots to one entry.
type Slots struct {
	// Free is the number of free slots granted to the entry.
	Free int
	// Spare is the number of other free slots, which are granted to entries that
	// may not need them. The entry may try them.
	Spare int
	// Covers is the largest Dispatch.Seq that the agent has seen from the entry.
	// Dispatches with a larger one are not reflected in Free and Spare.
	Covers uint64
	// Number grows with every report of one agent incarnation, so that a late or
	// repeated report never replaces a newer one.
	Number uint64
	// FailedJobs is the number of jobs in a row, of any entry, whose tasks failed
	// at the endpoint.
	FailedJobs int
	// Room is what is free at a leased worker.
	Room Size
}

// Claim says what an entry would run if more slots were free.
type Claim struct {
	// Waiting is the number of queued tasks beyond the slots believed free.
	Waiting int
	// Unfinished is the number of unfinished tasks of the job dispatched next; a
	// smaller one makes a stronger claim.
	Unfinished int
}

// FromAgent is a message that an agent sends to an entry.
type FromAgent interface{ fromAgent() }

// FromEntry is a message that an entry sends to an agent.
type FromEntry interface{ fromEntry() }

// Hello is the first message of an agent on a link.
type Hello struct {
	Worker        string
	FailureDomain string
	Incarnation   Incarnation
	Service       string
	Slots         int
	Report        Slots
	Connections   int
	Size          Size
	Revision      uint64
	Leaving       bool
	// ReleaseAfter is set when tasks run under a lease which the agent holds: they
	// can be stopped, and once the newest agent clock that an entry has repeated
	// (EntryHeartbeat.Heard) is this old, nothing of the entry runs any more.
	ReleaseAfter time.Duration
	// Labels name the worker's kind and rack.
	Labels []string
	// Settled says that no task which an earlier agent of this worker started
	// runs any more.
	Settled bool
}

// Leased tells whether tasks run under a lease that the agent holds.
func (h Hello) Leased() bool { return h.ReleaseAfter > 0 }

// Refused says that the attempt did not start and never will.
type Refused struct {
	Attempt AttemptID
	Reason  verdict.RetryReason
	Report  Slots
}

// ResultKind says how an attempt that the agent accepted came to its end.
type ResultKind uint8

const (
	// ResultOK means that the endpoint answered with success.
	ResultOK ResultKind = iota + 1
	// ResultEndpointError means that the endpoint answered with an error; the task ran.
	ResultEndpointError
	// ResultEndpointFailed means that no whole answer came; the task may have run.
	ResultEndpointFailed
	// ResultNotReached means that no connection was made; the task did not run.
	ResultNotReached
	// ResultAborted means that the task started, ended before it was done and
	// runs no more: it was stopped, its lease lapsed or its worker was lost.
	ResultAborted
)

// Result says that an accepted attempt has ended. The agent keeps it until
// the entry acknowledges it.
type Result struct {
	Attempt AttemptID
	Kind    ResultKind
	Payload []byte
	RunTime time.Duration
	Report  Slots
}

// AttemptState is an agent's answer about one attempt.
type AttemptState uint8

const (
	// NeverStarts means that the attempt did not start and never will.
	NeverStarts AttemptState = iota + 1
	// Running means that the attempt has started and not ended.
	Running
	// Done means that the attempt has ended; its Result follows.
	Done
	// Unknown means that the agent does not know the attempt, which may still arrive.
	Unknown
	// Forgotten means that the agent may have run the attempt and dropped its
	// result, which nobody acknowledged in time.
	Forgotten
)

// AttemptStateItem is the state of one attempt.
type AttemptStateItem struct {
	Attempt AttemptID
	State   AttemptState
}

// AttemptStates answers Revoke and Query.
type AttemptStates struct{ Attempts []AttemptStateItem }

// Heartbeat is sent by an agent when a link has been quiet.
type Heartbeat struct {
	Report   Slots
	Revision uint64
}

// EntryHeartbeat is sent by an entry when a link has been quiet. Seq is the
// Seq of its latest dispatch, so that a lost dispatch does not count as on its
// way for ever.
type EntryHeartbeat struct {
	Seq      uint64
	Revision uint64
	Acks     []AttemptID
	Claim    Claim
	// Heard is the newest clock of the agent that the entry has received. It
	// vouches that the entry was alive and linked at that time.
	Heard time.Duration
}

// Leaving says that the endpoint takes no new tasks.
type Leaving struct{ Report Slots }

// SlotsFree grants slots to an entry whose claim is the strongest.
type SlotsFree struct{ Report Slots }

// Peer is the address of an entry.
type Peer struct {
	Name          string
	Address       string
	FailureDomain string
}

// Welcome is the first message of an entry on a link. It is sent again when the
// list of entries changes.
type Welcome struct {
	Entry       string
	Incarnation Incarnation
	Peers       []Peer
	Revision    uint64
}

// Rejected ends a link that the entry does not accept.
type Rejected struct{ Reason string }

// Dispatch asks the agent to run an attempt. StartBy is the latest start in
// the agent's clock; the agent refuses the attempt after it.
type Dispatch struct {
	Attempt AttemptID
	// Seq counts the dispatches of this entry incarnation to this worker.
	Seq              uint64
	AgentIncarnation Incarnation
	StartBy          time.Duration
	RunLimit         time.Duration
	Service          string
	Account          string
	Payload          []byte
	// Acks names attempts whose results have arrived.
	Acks  []AttemptID
	Claim Claim
	// TaskName names the task at a leased worker; its attempts share it.
	TaskName string
	// Size is what the task takes of a leased worker.
	Size Size
	// Heard is the newest clock of the agent that the entry has received.
	Heard time.Duration
}

// AttemptRef names an attempt together with its latest start, so that the
// agent knows how long it has to remember that the attempt never starts.
type AttemptRef struct {
	Attempt AttemptID
	StartBy time.Duration
}

// Revoke asks that attempts which have not started never start. Stop asks that
// those which run under a lease are stopped as well; their results follow.
type Revoke struct {
	Attempts []AttemptRef
	Stop     bool
}

// Query asks for the state of attempts and changes nothing.
type Query struct{ Attempts []AttemptRef }

// Ack says that the results of the attempts have arrived. It is sent only when
// no Dispatch or EntryHeartbeat carries the news soon enough.
type Ack struct{ Attempts []AttemptID }

// TableUpdate says which revision of the operators' table is in force. Agents
// need no content of it, and a copy for each would cost the entry more than all
// its heartbeats.
type TableUpdate struct{ Revision uint64 }

func (Hello) fromAgent()         {}
func (Refused) fromAgent()       {}
func (Result) fromAgent()        {}
func (AttemptStates) fromAgent() {}
func (Heartbeat) fromAgent()     {}
func (Leaving) fromAgent()       {}
func (SlotsFree) fromAgent()     {}

func (Welcome) fromEntry()        {}
func (Rejected) fromEntry()       {}
func (Dispatch) fromEntry()       {}
func (Revoke) fromEntry()         {}
func (Query) fromEntry()          {}
func (Ack) fromEntry()            {}
func (EntryHeartbeat) fromEntry() {}
func (TableUpdate) fromEntry()    {}
