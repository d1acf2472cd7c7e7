package agent

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/msg"
)

// Input is an event that the core reacts to.
type Input interface{ input() }

// LinkUp says that the named entry has answered Hello with Welcome. A new
// incarnation replaces the earlier one of the same name.
type LinkUp struct {
	Entry msg.Incarnation
	Name  string
	// ColocationEvery is that of Welcome.
	ColocationEvery uint32
}

// LinkDown says that the link to an entry is broken.
type LinkDown struct{ Entry msg.Incarnation }

// DrainLink says that the link to an entry is no longer needed. It is closed once the
// entry's attempts here have ended and their results are acknowledged.
type DrainLink struct{ Entry msg.Incarnation }

// Received carries a message from a linked entry.
type Received struct {
	Entry   msg.Incarnation
	Message msg.FromEntry
}

// EndpointAnnounced says that the endpoint is present and, unless it has left,
// accepts tasks.
type EndpointAnnounced struct {
	Service     string
	Slots       int
	Connections int
	Size        msg.Size
	// Join grows each time the endpoint begins to accept tasks, so that an
	// announcement sent before a leave does not undo the leave. An endpoint
	// that leaves Join at zero can return only after EndpointLost.
	Join uint64
	// Number grows with each announcement of one Join; zero means unnumbered.
	Number uint64
	// Leaving says that the endpoint accepts no new task under this join. An
	// endpoint that announces itself after a leave sets it, so that a restarted
	// agent learns of the leave.
	Leaving bool
	// Labels name the worker's kind and rack.
	Labels []string
	// Leased says that tasks run under a lease, which the driver renews.
	Leased bool
	// Running lists the names (msg.EndpointTaskName) of the tasks at the endpoint.
	Running []string
}

// EndpointRestarted says that a leased worker runs as another instance, which has not
// announced itself. Join is larger than those of earlier instances.
type EndpointRestarted struct{ Join uint64 }

// EndpointLeaving says that the endpoint accepts no new tasks. Join is the one
// that ends; zero means the present one.
type EndpointLeaving struct{ Join uint64 }

// LeaseChanged reports the state of the lease of a leased worker: Ready while
// tasks may be started, Settled once no task of an earlier agent runs.
type LeaseChanged struct{ Ready, Settled bool }

// WorkerCrashed says that the leased worker's instance ended without notice, with these
// attempts there, the one started last first. Their TaskEnded follow.
type WorkerCrashed struct {
	Instance int64
	Attempts []CrashedAttempt
}

// CrashedAttempt is an attempt at a worker that crashed. RunTime is the time from its start
// to the crash. Unconfirmed means that the worker had not answered the start.
type CrashedAttempt struct {
	Attempt     msg.AttemptID
	RunTime     time.Duration
	Unconfirmed bool
}

// Stop says that the agent process is ending. It accepts no further task, whatever
// the endpoint announces.
type Stop struct{}

// EndpointLost says that the endpoint has stopped announcing itself. Attempts
// at the endpoint continue until the driver reports their end.
type EndpointLost struct{}

// TaskEnded says how the endpoint answered an attempt.
type TaskEnded struct {
	Attempt msg.AttemptID
	Kind    msg.ResultKind
	Payload []byte
	RunTime time.Duration
}

// RevisionChanged says that a newer table revision is in force in this process.
type RevisionChanged struct{ Revision uint64 }

func (LinkUp) input()            {}
func (LinkDown) input()          {}
func (DrainLink) input()         {}
func (Received) input()          {}
func (EndpointAnnounced) input() {}
func (EndpointRestarted) input() {}
func (EndpointLeaving) input()   {}
func (EndpointLost) input()      {}
func (LeaseChanged) input()      {}
func (WorkerCrashed) input()     {}
func (Stop) input()              {}
func (TaskEnded) input()         {}
func (RevisionChanged) input()   {}

// Output is an action that the driver has to carry out.
type Output interface{ output() }

// Send asks the driver to send a message to an entry.
type Send struct {
	Entry   msg.Incarnation
	Message msg.FromAgent
}

// Start asks the driver to pass an attempt to the endpoint. The driver
// answers with TaskEnded exactly once.
type Start struct {
	Attempt msg.AttemptID
	// Name is the task name that the endpoint has to repeat in announcements. At a
	// leased worker it is the name of the task.
	Name string
	// Leased says that the task runs under a lease.
	Leased   bool
	Service  string
	Account  string
	Payload  []byte
	RunLimit time.Duration
	// EntrySeen is the time of the newest agent clock that the entry has sent back.
	EntrySeen time.Time
}

// EntrySeen says that an entry with attempts under a lease has sent back the agent clock
// of the given time: it was alive then.
type EntrySeen struct {
	Entry msg.Incarnation
	At    time.Time
}

// OrphansStopped reports that attempts under a lease are stopped because their entry has
// sent back no recent agent clock.
type OrphansStopped struct {
	Entry    msg.Incarnation
	Attempts int
}

// StopTask asks the driver to stop an attempt that runs under a lease. Its
// TaskEnded follows.
type StopTask struct{ Attempt msg.AttemptID }

// WorkerStalled reports that the tasks of the leased worker make no progress, with the
// number of attempts that run there, or that they make progress again.
type WorkerStalled struct {
	Stalled  bool
	Attempts int
}

// CloseLink asks the driver to close the link to an entry incarnation.
type CloseLink struct{ Entry msg.Incarnation }

// EntryConflict reports that an incarnation of an entry came back after a
// later one had taken its name: two processes use the name at once.
type EntryConflict struct {
	Name          string
	Current, Late msg.Incarnation
}

// EvacuationChanged reports that the evacuation of the worker's failure domain has begun or
// was withdrawn. While it is in force no attempt starts.
type EvacuationChanged struct{ evacuation.Domain }

// EvacuationRejected reports a state of a failure domain that was not applied.
type EvacuationRejected struct{ Rejection evacuation.Rejection }

// ApplyTable asks the driver to put a table revision in force.
type ApplyTable struct{ Revision uint64 }

func (Send) output()               {}
func (Start) output()              {}
func (StopTask) output()           {}
func (EntrySeen) output()          {}
func (OrphansStopped) output()     {}
func (ApplyTable) output()         {}
func (CloseLink) output()          {}
func (EntryConflict) output()      {}
func (EvacuationChanged) output()  {}
func (EvacuationRejected) output() {}
func (WorkerStalled) output()      {}
