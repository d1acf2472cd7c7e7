package lease

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Instance identifies a worker between two restarts: a restart creates a new instance,
// also under the same ID.
type Instance struct {
	ID string
	// StartedAtMs is when the instance started, in milliseconds since 1970. It orders the
	// instances at one address.
	StartedAtMs int64
}

// Input is an event that the core reacts to.
type Input interface{ input() }

// Announced says that the worker is alive.
type Announced struct {
	Instance Instance
	// Replaces means that the caller has found that the worker is no other instance, so
	// that the start times do not decide: the time of day at the worker may have been set
	// back. An instance that was said to be leaving is then taken over again.
	Replaces bool
	// Leaving means that this instance is going to end as planned.
	Leaving bool
}

// RunTask asks for a task to be started. The core answers with one Ended.
type RunTask struct {
	Attempt msg.AttemptID
	// Task names the task; Run numbers its starts and rises.
	Task    string
	Run     uint32
	Payload []byte
	// Limit is the longest run time; zero means none.
	Limit time.Duration
	// OwnerSeen is the time of the newest proof that the entry of the attempt is alive.
	OwnerSeen time.Time
}

// OwnerSeen says that the entry whose attempts have this incarnation was alive at a time.
type OwnerSeen struct {
	Owner msg.Incarnation
	At    time.Time
}

// Suspended says that the VM of this process was suspended for a time that has passed on the
// clock of the caller. The worker is on the same VM, so that its clock may have stood still.
type Suspended struct{ For time.Duration }

// SetEvacuated says whether the worker's failure domain is evacuated. While it is, no start is
// sent, and those that wait are refused. What runs goes on.
type SetEvacuated struct{ Evacuated bool }

// StopTask asks for an attempt to be stopped. Its Ended follows.
type StopTask struct{ Attempt msg.AttemptID }

// Status is the outcome of a call to the worker.
type Status uint8

const (
	// OK means that the worker did what the call asks.
	OK Status = iota + 1
	// NoAnswer means that the call may have been carried out, or may be later.
	NoAnswer
	// NoRoom means that the task does not fit.
	NoRoom
	// StaleRun means that a run of the task with this number or a higher one has ended
	// there.
	StaleRun
	// LeaseExpired means that the lease in the call had lapsed on arrival.
	LeaseExpired
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// Malformed means that the worker cannot do what the call asks.
	Malformed
	// Unhealthy means that the worker did nothing and may answer differently later.
	Unhealthy
	// WrongInstance means that another instance of the worker answered.
	WrongInstance
	// NotListening means that the worker's VM refused the connection: the call was not
	// carried out, and no process takes calls there. What the worker started may still
	// run until its lease lapses.
	NotListening
	// NotSent means that the driver did not make the call.
	NotSent
)

// Answer is the outcome of the call with this number.
type Answer struct {
	Call   uint64
	Status Status
	// Clock is the worker's clock; zero when the answer has none.
	Clock time.Duration
	// StartedAtMs is the start of the instance that answers, as in Instance; zero when the
	// answer has none.
	StartedAtMs int64
	// Running and Finished are set in answers to Hold.
	Running  []Running
	Finished []Finished
}

// Running is a run at the worker that has not ended.
type Running struct {
	Task string
	Run  uint32
}

// EndKind is the way a run ended.
type EndKind uint8

const (
	// Done means that the task completed.
	Done EndKind = iota + 1
	// Failed means that the task failed, by its own fault or the worker's.
	Failed
	// Aborted means that the run was stopped, or ended with its lease or with
	// another task.
	Aborted
)

// Finished is a run that has ended. Number rises by one with each end.
type Finished struct {
	Number uint64
	Task   string
	Run    uint32
	Kind   EndKind
}

func (Announced) input()    {}
func (RunTask) input()      {}
func (StopTask) input()     {}
func (OwnerSeen) input()    {}
func (Answer) input()       {}
func (Suspended) input()    {}
func (SetEvacuated) input() {}

// Output is an action that the driver has to carry out.
type Output interface{ output() }

// Start asks the driver to start a task at the worker. The driver answers with
// Answer, with NoAnswer after Timeout. Until is the new end of the lease, on the worker's
// clock. After SendBy the driver does not make the call and answers with NotSent: the worker
// may have restarted under its ID, and would run the task under a lease of its own length.
type Start struct {
	Call     uint64
	Timeout  time.Duration
	Instance Instance
	Task     string
	Run      uint32
	Payload  []byte
	Until    time.Duration
	Fence    uint64
	SendBy   time.Time
}

// Stop asks the driver to stop a run at the worker. The driver answers with Answer, with
// NoAnswer after Timeout.
type Stop struct {
	Call     uint64
	Timeout  time.Duration
	Instance Instance
	Task     string
	Run      uint32
	Fence    uint64
}

// Hold asks the driver to renew the lease and to ask what runs and what has
// ended. The driver answers with Answer, with NoAnswer after Timeout. A zero Until renews
// nothing.
type Hold struct {
	Call     uint64
	Timeout  time.Duration
	Instance Instance
	Until    time.Duration
	Fence    uint64
	// Seen is the number of the newest end that the core has applied.
	Seen uint64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// Ended says how an attempt ended. Reason is set for one that never started,
// whose Kind is msg.ResultNotReached.
type Ended struct {
	Attempt msg.AttemptID
	Kind    msg.ResultKind
	Reason  verdict.RetryReason
	RunTime time.Duration
}

// Restarted says that the worker runs again as a new instance with the ID that it had.
// Attempts is the number of attempts that were at the earlier one.
type Restarted struct {
	Instance Instance
	Attempts int
}

// Limited says that the lease cannot be extended far enough to start tasks, because of
// stops that are not confirmed or an entry that has been silent for OwnerSilence.
type Limited struct {
	UnconfirmedStops int
	OwnerSilence     time.Duration
}

// Crashed says that the worker's instance ended, with these attempts there. It comes once
// for each instance, before the Ended of the attempts, which follow when nothing of them
// can run any more.
type Crashed struct {
	Instance Instance
	Attempts []CrashedAttempt
}

// CrashedAttempt is an attempt at a worker that crashed. RunTime is the time from its start
// to the crash. Unconfirmed means that the worker had not answered the start.
type CrashedAttempt struct {
	Attempt     msg.AttemptID
	RunTime     time.Duration
	Unconfirmed bool
}

// StateChanged says that Ready or Settled may have changed.
type StateChanged struct{}

func (Start) output()        {}
func (Stop) output()         {}
func (Hold) output()         {}
func (Ended) output()        {}
func (Crashed) output()      {}
func (StateChanged) output() {}
func (Restarted) output()    {}
func (Limited) output()      {}
