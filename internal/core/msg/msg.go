// Package msg defines the messages that entry and agent cores exchange. The
// types are independent of the transport; package linkpb converts them to
// protobuf.
package msg

import (
	"cmp"
	"fmt"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/health"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Incarnation identifies one run of a process. It is generated at random at
// start, so that a restarted process is not mistaken for its predecessor.
type Incarnation uint64

// AttemptID identifies one attempt to run one task of one job. The entry
// incarnation makes it unique among all entries, past and present.
type AttemptID struct {
	Entry   Incarnation
	Job     uint64
	Task    uint32
	Attempt uint32
}

// Compare orders attempts by entry, job, task and attempt number, so that
// output is deterministic.
func (a AttemptID) Compare(b AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt),
	)
}

// startNameFormat holds the agent incarnation and the fields of an AttemptID.
const startNameFormat = "%016x.%016x-%d-%d-%d"

// EndpointTaskName returns the name under which an agent incarnation starts an attempt
// at the endpoint. The endpoint repeats it in its announcements, which ties a
// running task to its agent.
func EndpointTaskName(agent Incarnation, a AttemptID) string {
	return fmt.Sprintf(startNameFormat, uint64(agent), uint64(a.Entry), a.Job, a.Task, a.Attempt)
}

// ParseEndpointTaskName is the inverse of EndpointTaskName. It reports false
// for every text that EndpointTaskName does not return.
func ParseEndpointTaskName(name string) (agent Incarnation, a AttemptID, ok bool) {
	_, err := fmt.Sscanf(name, "%x.%x-%d-%d-%d", (*uint64)(&agent), (*uint64)(&a.Entry), &a.Job, &a.Task, &a.Attempt)
	return agent, a, err == nil && EndpointTaskName(agent, a) == name
}

// Size is an amount of each resource that tasks use.
type Size struct {
	Cores        float64
	MemoryBytes  uint64
	Accelerators uint32
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{s.Cores + o.Cores, s.MemoryBytes + o.MemoryBytes, s.Accelerators + o.Accelerators}
}

// Minus subtracts o from s; no resource goes below zero.
func (s Size) Minus(o Size) Size {
	return Size{
		max(0, s.Cores-o.Cores), s.MemoryBytes - min(s.MemoryBytes, o.MemoryBytes), s.Accelerators - min(s.Accelerators, o.Accelerators),
	}
}

// Of returns the part of s in the resources of which o has some.
func (s Size) Of(o Size) Size {
	if o.Cores <= 0 {
		s.Cores = 0
	}
	if o.MemoryBytes == 0 {
		s.MemoryBytes = 0
	}
	if o.Accelerators == 0 {
		s.Accelerators = 0
	}
	return s
}

// coreTolerance absorbs rounding errors in sums of cores. It is below the
// smallest significant amount of cores.
const coreTolerance = 1e-6

// FitsIn reports whether s fits into the capacity.
func (s Size) FitsIn(capacity Size) bool {
	return s.Cores <= capacity.Cores+coreTolerance && s.MemoryBytes <= capacity.MemoryBytes && s.Accelerators <= capacity.Accelerators
}

// Slots is an agent's report of its free slots to one entry.
type Slots struct {
	// Free is the number of free slots granted to the entry.
	Free int
	// Spare is the number of other free slots, which are granted to entries that
	// may not need them. The entry may try them.
	Spare int
	// Covers is the largest Dispatch.Seq that the agent has received from the
	// entry. Free and Spare do not reflect dispatches with a larger one.
	Covers uint64
	// Number increases with every report of one agent incarnation, so that a late or
	// repeated report never replaces a newer one.
	Number uint64
	// Outcomes counts the tasks of all entries that have ended at the endpoint.
	Outcomes health.Outcomes
	// Room is the unused capacity of a leased worker.
	Room Size
	// Stalled means that the worker's tasks make no progress. Room is then zero, apart from
	// that for a trial task.
	Stalled bool
}

// Claim describes the tasks that an entry would run if more slots were free.
type Claim struct {
	// Waiting is the number of queued tasks beyond the slots that the entry believes
	// to be free.
	Waiting int
	// Unfinished is the number of unfinished tasks of the job dispatched next; a
	// smaller number gives the claim a higher priority.
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
	// ReleaseAfter is set when tasks run under a lease that the agent holds. Such
	// tasks can be stopped, and no task of an entry runs any more once the newest
	// agent clock that the entry has sent back (EntryHeartbeat.EchoedClock) is this old.
	ReleaseAfter time.Duration
	// Labels identify the worker's kind and rack.
	Labels []string
	// Settled means that no task started by an earlier agent of this worker is
	// still running.
	Settled bool
	// Crashes are recent crashes of the worker that the entry has not been told of on
	// this link.
	Crashes []WorkerCrash
	// EvacuatedAt is the store version of the evacuation of the worker's failure domain, or
	// zero if the agent knows of none.
	EvacuatedAt uint64
}

// WorkerCrash is the end of a leased worker's instance, without notice, while tasks ran
// there.
type WorkerCrash struct {
	// Instance identifies the instance that ended among those of the worker.
	Instance int64
	// Tasks lists the tasks of all entries that ran, the one started last first.
	Tasks []CrashedTask
}

// CrashedTask is a task under which a worker crashed.
type CrashedTask struct {
	Name    string
	JobType string
	// RunTime is the time from its start to the crash.
	RunTime time.Duration
	// Unconfirmed means that the worker had not answered the start, which may not have been
	// carried out.
	Unconfirmed bool
}

// Leased reports whether tasks run under a lease that the agent holds.
func (h Hello) Leased() bool { return h.ReleaseAfter > 0 }

// Refused says that the attempt did not start and never will.
type Refused struct {
	Attempt AttemptID
	Reason  verdict.RetryReason
	Report  Slots
}

// ResultKind says how an attempt that the agent accepted has ended.
type ResultKind uint8

const (
	// ResultOK means that the endpoint answered with success.
	ResultOK ResultKind = iota + 1
	// ResultEndpointError means that the endpoint answered with an error; the task ran.
	ResultEndpointError
	// ResultEndpointFailed means that no complete answer arrived; the task may have run.
	ResultEndpointFailed
	// ResultNotReached means that no connection was made; the task did not run.
	ResultNotReached
	// ResultAborted means that the task started, ended before it was done and no
	// longer runs: it was stopped, its lease lapsed or its worker was lost.
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
	// Beside says what ran beside the task, if Welcome asked for it.
	Beside colocation.Summary
}

// AttemptState is what an agent reports about one attempt.
type AttemptState uint8

const (
	// NeverStarts means that the attempt did not start and never will.
	NeverStarts AttemptState = iota + 1
	// Running means that the attempt has started and not ended.
	Running
	// Done means that the attempt has ended; its Result is sent separately.
	Done
	// Unknown means that the agent has no record of the attempt, whose dispatch may
	// still arrive.
	Unknown
	// Forgotten means that the agent may have run the attempt and dropped its
	// result, because it was not acknowledged in time.
	Forgotten
)

// AttemptStateItem is the state of one attempt.
type AttemptStateItem struct {
	Attempt AttemptID
	State   AttemptState
}

// AttemptStates is the answer to Revoke and Query.
type AttemptStates struct{ Attempts []AttemptStateItem }

// Heartbeat is sent by an agent when a link has been idle.
type Heartbeat struct {
	Report   Slots
	Revision uint64
}

// EntryHeartbeat is sent by an entry when a link has been idle. Seq is that of
// its latest dispatch, so that a lost dispatch does not count as in transit
// forever.
type EntryHeartbeat struct {
	Seq      uint64
	Revision uint64
	Acks     []AttemptID
	Claim    Claim
	// EchoedClock is the newest clock reading of the agent that the entry has received.
	// It proves that the entry was alive and linked at that time.
	EchoedClock time.Duration
}

// Leaving means that the endpoint accepts no new tasks.
type Leaving struct{ Report Slots }

// SlotsFree grants slots to the entry whose claim has the highest priority.
type SlotsFree struct{ Report Slots }

// Peer names an entry and says where to reach it.
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
	// ColocationEvery asks the agent to say in the results of jobs whose number is a multiple
	// of it what ran beside their tasks; zero asks for none.
	ColocationEvery uint32
}

// Rejected closes a link that the entry does not accept.
type Rejected struct{ Reason string }

// Dispatch asks the agent to run an attempt. StartBy is the latest start by the
// agent's clock; the agent refuses the attempt after that time.
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
	// Acks lists attempts whose results have arrived.
	Acks  []AttemptID
	Claim Claim
	// TaskName names the task at a leased worker; all its attempts share the name.
	TaskName string
	// Size is what the task uses of a leased worker's capacity.
	Size Size
	// EchoedClock is the newest clock reading of the agent that the entry has received.
	EchoedClock time.Duration
	// JobType is the job type of the task.
	JobType string
	// WaitForRoom is how long the attempt may wait at a leased worker that is full. An
	// agent that does not expect room in that time refuses it at once.
	WaitForRoom time.Duration
	// Report is the number of the newest slot report that the entry has read from the agent,
	// or zero if it is unknown. It shows which Hello the entry has chosen the worker by.
	Report uint64
}

// AttemptRef identifies an attempt and gives its latest start, so that the agent
// knows how long it has to remember that the attempt must not start.
type AttemptRef struct {
	Attempt AttemptID
	StartBy time.Duration
}

// Revoke asks the agent not to start attempts that have not started yet. Stop
// asks it to also stop those that run under a lease; their results follow.
type Revoke struct {
	Attempts []AttemptRef
	Stop     bool
}

// Query asks for the state of attempts without changing it.
type Query struct{ Attempts []AttemptRef }

// Ack acknowledges the results of the attempts. It is sent only when no Dispatch
// or EntryHeartbeat carries the acknowledgement soon enough.
type Ack struct{ Attempts []AttemptID }

// TableUpdate announces the revision of the operators' table that is in force.
// Agents do not need the content, and sending each a copy would cost the entry
// more than all its heartbeats.
type TableUpdate struct{ Revision uint64 }

// Evacuations tells which failure domains are evacuated. It follows Welcome when there is
// something to tell, and is sent again at each change.
type Evacuations struct{ Report evacuation.Report }

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
func (Evacuations) fromEntry()    {}
