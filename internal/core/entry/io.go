package entry

import (
	"time"

	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	"github.com/poplarlever/poplarlever/internal/core/interference"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
)

// Input is an event that the core reacts to.
type Input interface{ input() }

// LinkID identifies one stream from an agent. A later stream has a larger number.
type LinkID uint64

// Submit submits a job. The driver chooses Job.ID, unique within the process. The core
// emits Answered for it exactly once.
type Submit struct{ Job Job }

// Cancel fails a job. Its queued tasks are dropped and its dispatched ones revoked; a
// running task is stopped only when its job type allows several attempts.
type Cancel struct{ Job uint64 }

// LinkUp reports that an agent has opened a stream and sent Hello. Clock is the agent's
// clock when it sent Hello.
type LinkUp struct {
	Link  LinkID
	Clock time.Duration
	Hello msg.Hello
}

// LinkDown reports that a stream is broken.
type LinkDown struct{ Link LinkID }

// Received carries a message from an agent. Clock is the agent's clock when it sent the
// message.
type Received struct {
	Link    LinkID
	Clock   time.Duration
	Message msg.FromAgent
}

// SetPolicy puts a table revision in force. An older revision is ignored.
type SetPolicy struct{ Policy Policy }

// SetAllotments sets how many tasks of each account with a limit may run here. Accounts
// that are not listed may run none. Before the first of these inputs, each limit is split
// evenly over this entry and those that SetPeers has named.
type SetAllotments struct{ Allotted map[string]int }

// SetPeers replaces the known entries. Self is this entry as agents reach it.
type SetPeers struct {
	Self  msg.Peer
	Peers []msg.Peer
}

// SetEvacuations adds what this process knows of evacuated failure domains. Newer states that
// were set before stay in force.
type SetEvacuations struct{ Report evacuation.Report }

// BeginDrain makes the core refuse the jobs that cannot be expected to be answered before
// Until, when the process stops.
type BeginDrain struct{ Until time.Time }

// StopNow fails every job that has no answer.
type StopNow struct{}

func (Submit) input()         {}
func (Cancel) input()         {}
func (LinkUp) input()         {}
func (LinkDown) input()       {}
func (Received) input()       {}
func (SetPolicy) input()      {}
func (SetAllotments) input()  {}
func (SetPeers) input()       {}
func (SetEvacuations) input() {}
func (BeginDrain) input()     {}
func (StopNow) input()        {}

// Job is a job as a caller submits it.
type Job struct {
	ID       uint64
	Service  string
	JobType  string
	Account  string
	Tasks    []Task
	Deadline time.Time
	// ReceivedAt is when the process had read the request; zero if that is not known.
	ReceivedAt time.Time
	// DeadlineByDefault reports that the caller set no deadline, so that the table's
	// default replaces Deadline where there is one.
	DeadlineByDefault bool
	Idempotent        bool
	// Key identifies a request that must run at most once even when it is resubmitted.
	Key string
	// Progress asks for Progress outputs.
	Progress bool
	// Steps orders the tasks. Without steps, all tasks may run at once.
	Steps []Step
}

// Step is a group of tasks of a job.
type Step struct {
	// After lists the earlier steps, by index, that have to be done first.
	After []int
	// Requires is a label that the worker must have; empty means any worker.
	Requires string
	// Affinity is a label of workers near the tasks' data; tasks take longer elsewhere.
	Affinity string
	// MaxPerWorker limits how many of the step's tasks run on one worker; zero means no
	// limit.
	MaxPerWorker int
}

// Task is one unit of work of a job.
type Task struct {
	// Name identifies the task at a leased worker. It is unique among all jobs.
	Name string
	// Step is the index of the task's step.
	Step            int
	Payload         []byte
	DeclaredSize    msg.Size
	DeclaredRunTime time.Duration
}

// Output is an action that the driver has to carry out.
type Output interface{ output() }

// Send asks the driver to send a message on a link.
type Send struct {
	Link    LinkID
	Message msg.FromEntry
}

// CloseLink asks the driver to close a link.
type CloseLink struct{ Link LinkID }

// Answered carries the answer to a job, which ends it.
type Answered struct {
	Job    uint64
	Answer Answer
}

// Progress reports the number of tasks in each state after a change, for jobs
// that asked for it.
type Progress struct {
	Job                       uint64
	Queued, Running, Finished int
}

// Retried reports that a task is queued again after an attempt, and why.
type Retried struct{ Reason verdict.RetryReason }

// WorkerConflict reports that an agent incarnation linked again after a later one had
// taken its worker's name: two agents claim the name at once. Late is the incarnation that
// linked again; its link is rejected.
type WorkerConflict struct {
	Worker        string
	Current, Late msg.Incarnation
}

// WorkerJudged reports that the entry uses a worker in another way from now on.
type WorkerJudged struct {
	Worker string
	Health verdict.WorkerHealth
}

// WorkerSpeedLearned reports that the speed of a worker is known for the first time. Speed is
// relative to the mean of the service, Uncertainty the standard deviation of its logarithm.
type WorkerSpeedLearned struct {
	Worker             string
	Speed, Uncertainty float64
}

// WorkerDegraded reports that a worker has become slower than its learned speed: its latest
// run took Ratio times as long as expected. WorkerJudged follows.
type WorkerDegraded struct {
	Worker       string
	Speed, Ratio float64
}

// RunTimeDiscarded reports a run time that cannot be one. Count is the number of them so far.
type RunTimeDiscarded struct {
	Worker  string
	RunTime time.Duration
	Count   uint64
}

// AttemptsReleased reports that attempts at a leased worker count as ended without a
// message from their agent, which was not heard for Silence.
type AttemptsReleased struct {
	Worker   string
	Attempts int
	Silence  time.Duration
}

// JobEnding reports that the end of a job is decided while attempts of it are outstanding.
// Its answer follows once they are settled.
type JobEnding struct {
	Job    uint64
	Reason verdict.Reason
	// Outstanding counts the attempts whose outcome is not known, Dropped the queued tasks
	// that never start.
	Outstanding, Dropped int
}

// ResultAfterEnd reports the result of a task that came after the end of its job was
// decided.
type ResultAfterEnd struct {
	Job  uint64
	Kind msg.ResultKind
}

// JobTypeConfined reports that tasks of a job type may use a part of the workers only, or
// may use all of them again.
type JobTypeConfined struct {
	Service, JobType string
	Confined         bool
}

// EvacuationChanged reports that the evacuation of a failure domain has begun or was
// withdrawn. Workers is the number of known workers there; without any it has no effect.
type EvacuationChanged struct {
	evacuation.Domain
	Workers int
}

// JobTypesSeparated reports that the tasks of two job types prefer different workers from
// now on, or no longer do.
type JobTypesSeparated interference.Pair

// ColocationRejected reports results with invalid values about what ran beside their tasks.
// The results count, these values do not. Worker is the latest one that sent some.
type ColocationRejected struct {
	Worker string
	Count  int
}

func (Send) output()               {}
func (CloseLink) output()          {}
func (Answered) output()           {}
func (Progress) output()           {}
func (Retried) output()            {}
func (WorkerConflict) output()     {}
func (WorkerJudged) output()       {}
func (JobTypeConfined) output()    {}
func (EvacuationChanged) output()  {}
func (AttemptsReleased) output()   {}
func (JobEnding) output()          {}
func (ResultAfterEnd) output()     {}
func (WorkerSpeedLearned) output() {}
func (WorkerDegraded) output()     {}
func (RunTimeDiscarded) output()   {}
func (JobTypesSeparated) output()  {}
func (ColocationRejected) output() {}

// Outcome says how a job ended.
type Outcome uint8

const (
	// Complete means that every task ran successfully.
	Complete Outcome = iota + 1
	// Failed means that the job was accepted and failed.
	Failed
	// Refused means that the job was not accepted.
	Refused
)

// Answer is the whole answer to a job. Results is in task order and is set
// only when the outcome is Complete.
type Answer struct {
	Outcome    Outcome
	Results    []TaskResult
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Message    string
	RetryAfter time.Duration
}

// TaskResult is the result of one task.
type TaskResult struct {
	Payload []byte
	RunTime time.Duration
	Worker  string
}
