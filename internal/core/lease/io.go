package lease

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Life identifies the time between two restarts of a worker: a restart begins a new
// life, also under the same ID.
type Life struct {
	ID string
	// Born is when the life began, in milliseconds since 1970. It orders the lives
	// at one address.
	Born int64
}

// Input is an event that the core reacts to.
type Input interface{ input() }

// Announced says that the worker is alive.
type Announced struct{ Life Life }

// Begin asks for a task to be started. The core answers with one Ended.
type Begin struct {
	Attempt msg.AttemptID
	// Task names the task; Run numbers its starts and rises.
	Task    string
	Run     uint32
	Payload []byte
	// Limit is the longest run time; zero means none.
	Limit time.Duration
}

// End asks for an attempt to be stopped. Its Ended follows.
type End struct{ Attempt msg.AttemptID }

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
	// Late means that the lease in the call had lapsed on arrival.
	Late
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// Malformed means that the worker cannot do what the call asks.
	Malformed
	// Unhealthy means that the worker did nothing and may answer differently later.
	Unhealthy
	// OtherLife means that another life of the worker answered.
	OtherLife
)

// Answer is the outcome of the call with this number.
type Answer struct {
	Call   uint64
	Status Status
	// Clock is the worker's clock; zero when the answer has none.
	Clock time.Duration
	// Running and Finished are set in answers to Hold.
	Running  []Running
	Finished []Finished
}

// Running is a run at the worker that has not ended.
type Running struct {
	Task string
	Run  uint32
}

// How is the way a run ended.
type How uint8

const (
	// Done means that the task completed.
	Done How = iota + 1
	// Failed means that the task failed, by its own fault or the worker's.
	Failed
	// Broken means that the run was stopped, or ended with its lease or with
	// another task.
	Broken
)

// Finished is a run that has ended. Number rises by one with each end.
type Finished struct {
	Number uint64
	Task   string
	Run    uint32
	How    How
}

func (Announced) input() {}
func (Begin) input()     {}
func (End) input()       {}
func (Answer) input()    {}

// Output is an action that the driver has to carry out.
type Output interface{ output() }

// Start asks the driver to start a task at the worker. The driver answers with
// Answer. Until is the new end of the lease, on the worker's clock.
type Start struct {
	Call    uint64
	Life    Life
	Task    string
	Run     uint32
	Payload []byte
	Until   time.Duration
	Fence   uint64
}

// Stop asks the driver to stop a run at the worker. The driver answers with Answer.
type Stop struct {
	Call  uint64
	Life  Life
	Task  string
	Run   uint32
	Fence uint64
}

// Hold asks the driver to renew the lease and to ask what runs and what has
// ended. The driver answers with Answer. A zero Until renews nothing.
type Hold struct {
	Call  uint64
	Life  Life
	Until time.Duration
	Fence uint64
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

// Changed says that Ready or Settled may have changed.
type Changed struct{}

func (Start) output()   {}
func (Stop) output()    {}
func (Hold) output()    {}
func (Ended) output()   {}
func (Changed) output() {}
