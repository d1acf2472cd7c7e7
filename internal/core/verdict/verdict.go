// Package verdict defines the closed enumerations that say whether work may have
// run, why a job was refused or failed, and why a task was retried. Answers,
// metrics and logs share them.
package verdict

// Verdict says whether the work of a refused or failed request may have run.
type Verdict uint8

const (
	// NotRun means that the work did not run and will not run.
	NotRun Verdict = iota + 1
	// MayHaveRun means that it is unknown whether the work ran.
	MayHaveRun
	// Ran means that the work ran to its end, successfully or not.
	Ran
)

var verdictNames = [...]string{"unspecified", "not_run", "may_have_run", "ran"}

// String returns the name used in logs, metrics and command output.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unspecified"
}

// Reason says why a job was refused or failed.
type Reason uint8

const (
	// Refusals; the verdict is always NotRun.
	MalformedJob Reason = iota + 1
	UnknownService
	UnknownJobType
	UnknownAccount
	Unauthenticated
	NoTasks
	TooManyTasks
	PayloadTooLarge
	DeadlinePassed
	// DuplicateJob means that a job with this id is in progress, or that a keyed
	// submission was answered before.
	DuplicateJob
	// KeyConflict means that the idempotency key was used with other content.
	KeyConflict
	// NoTable means that the entry knows no revision of the table yet.
	NoTable
	NoWorkers
	// NeverRunnable means that the client account may run no tasks.
	NeverRunnable
	QueueFull
	WouldMissDeadline
	OverQuota
	// Draining means that the entry is stopping.
	Draining
	// TooManyRequests means that the connection or the entry has too many
	// requests in progress.
	TooManyRequests
	// AllEvacuated means that every worker of the service that is linked is in an evacuated
	// failure domain.
	AllEvacuated
	// Shed means that the service is full and the job gives way to others: its type sends more
	// than usual, or is less urgent.
	Shed

	// Failures; the answer carries the verdict.
	DeadlineExceeded
	// KeyUnavailable means that the entry that issued the key cannot be asked
	// whether an earlier submission ran.
	KeyUnavailable
	Cancelled
	// EndpointError means that the endpoint answered a task with an error.
	EndpointError
	// EndpointFailed means that the endpoint gave no whole answer to a task.
	EndpointFailed
	WorkerLost
	// RetriesExhausted means that a task reached the maximum number of dispatches.
	RetriesExhausted
	// Stopped means that the entry stopped before the job's end.
	Stopped
	// ResultDropped means that a keyed request ran earlier and its answer is no
	// longer kept.
	ResultDropped
	// EntryPaused means that the entry's process was paused while the job was in
	// progress.
	EntryPaused
	// WorkerCrashed means that a task was given up because workers crashed under it.
	WorkerCrashed

	reasonEnd
)

var reasonNames = [reasonEnd]string{
	"unspecified",
	"malformed_job", "unknown_service", "unknown_job_type", "unknown_account",
	"unauthenticated", "no_tasks", "too_many_tasks", "payload_too_large",
	"deadline_passed", "duplicate_job", "key_conflict",
	"no_table", "no_workers", "never_runnable", "queue_full",
	"would_miss_deadline", "over_quota", "draining", "too_many_requests",
	"all_evacuated", "shed",
	"deadline_exceeded", "key_unavailable", "cancelled", "endpoint_error", "endpoint_failed",
	"worker_lost", "retries_exhausted", "stopped",
	"result_dropped", "entry_paused", "worker_crashed",
}

// String returns the name used in answers, logs and metrics.
func (r Reason) String() string {
	if r < reasonEnd {
		return reasonNames[r]
	}
	return "unspecified"
}

// Reasons returns all reasons in order of declaration.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonEnd-1)
	for r := Reason(1); r < reasonEnd; r++ {
		all = append(all, r)
	}
	return all
}

// RetryReason says why an attempt did not start at an agent, or did not finish
// there, so that the entry sends the task again.
type RetryReason uint8

const (
	// NoSlot means that every slot of the worker was taken.
	NoSlot RetryReason = iota + 1
	// StartByPassed means that the attempt arrived after its latest start.
	StartByPassed
	// WorkerLeaving means that the worker takes no tasks: the agent, its link or the
	// endpoint is going away, or a leased worker is silent or not yet taken over.
	WorkerLeaving
	// WrongIncarnation means that the dispatch named another agent process, or that a
	// leased worker was restarted or has seen a newer fencing token.
	WrongIncarnation
	// WrongService means that the worker's endpoint serves another service.
	WrongService
	// AttemptRevoked means that the agent had recorded that the attempt never starts.
	AttemptRevoked
	// NotReached means that no connection to the endpoint was made, or that a leased
	// worker did not accept the task.
	NotReached
	// NeverStarted means that the attempt did not start and never will: the agent
	// answered so to a query or a revocation, or a leased worker stopped it unstarted.
	NeverStarted
	// TaskPresent means that an older attempt of the same task was still there.
	TaskPresent
	// StaleRun means that the worker has seen a later run of the task.
	StaleRun
	// Aborted means that the attempt started and ended before its task was done: it was
	// stopped, its lease lapsed or its worker was lost.
	Aborted
	// EndpointFailure means that the attempt failed and the job allows another one.
	EndpointFailure
	// Crash means that the attempt's worker crashed, perhaps because of it.
	Crash
	// Evacuated means that the worker's failure domain is evacuated.
	Evacuated
	// WorkerStalled means that the worker's tasks make no progress, so that it takes none but
	// trial tasks.
	WorkerStalled

	retryReasonEnd
)

var retryReasonNames = [retryReasonEnd]string{
	"unspecified", "no_slot", "start_by_passed", "worker_leaving",
	"wrong_incarnation", "wrong_service", "attempt_revoked", "not_reached",
	"never_started", "task_present", "stale_run", "aborted", "endpoint_failure",
	"crash", "evacuated", "worker_stalled",
}

// String returns the name used on the wire, in logs and in metrics.
func (r RetryReason) String() string {
	if r < retryReasonEnd {
		return retryReasonNames[r]
	}
	return "unspecified"
}

// RetryReasons returns all retry reasons in order of declaration.
func RetryReasons() []RetryReason {
	all := make([]RetryReason, 0, retryReasonEnd-1)
	for r := RetryReason(1); r < retryReasonEnd; r++ {
		all = append(all, r)
	}
	return all
}

// ParseRetryReason returns the retry reason with the given name, or zero when
// there is none.
func ParseRetryReason(name string) RetryReason {
	for r := RetryReason(1); r < retryReasonEnd; r++ {
		if retryReasonNames[r] == name {
			return r
		}
	}
	return 0
}

// ParseReason returns the reason with the given name, or zero when there is
// none.
func ParseReason(name string) Reason {
	for r := Reason(1); r < reasonEnd; r++ {
		if reasonNames[r] == name {
			return r
		}
	}
	return 0
}
