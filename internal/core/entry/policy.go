package entry

import "time"

// Policy is the part of the operators' table that the core uses.
type Policy struct {
	// Revision is zero while no table is known; every job is then refused.
	Revision uint64
	Services map[string]ServicePolicy
	Accounts map[string]AccountPolicy
	// Routes are the requests of adapters that are jobs; see Router.
	Routes []Route
}

// ServicePolicy holds the settings of a service.
type ServicePolicy struct {
	JobTypes map[string]JobTypePolicy
	// MaxPayload limits a task's payload, in bytes; zero means no limit besides the
	// entry's.
	MaxPayload int
	// DefaultDeadline applies to a job without a deadline; zero means the entry's default.
	DefaultDeadline time.Duration
}

// JobTypePolicy holds the settings of a job type that a service may submit.
type JobTypePolicy struct {
	// MaxTasks is the largest number of tasks in a job; zero means the entry's limit.
	MaxTasks int
	// MaxPayload limits a task's payload, in bytes; zero means no limit besides the
	// service's and the entry's.
	MaxPayload int
	// DefaultDeadline applies to a job without a deadline; zero means the service's
	// default.
	DefaultDeadline time.Duration
	// MaxAttempts is how often a task may fail before its job fails. A task is started
	// again only after proof that the earlier attempt has ended. Zero means that no task
	// starts twice for any reason.
	MaxAttempts int
	// Priority orders job types; a smaller one goes first.
	Priority int
	// ResponseTarget and ResponseFactor define the time within which callers want the
	// answer: the factor times the run time of the longest task, plus the target. A zero
	// target means that there is no such time.
	ResponseTarget time.Duration
	ResponseFactor float64
}

// AccountPolicy holds the settings of a client account.
type AccountPolicy struct {
	// Weight divides capacity among accounts in proportion.
	Weight float64
	// MaxRunning limits the account's running tasks over the whole system; zero means no
	// limit, and a negative value that none may run.
	MaxRunning int
	// MaxQueued limits the account's queued tasks; zero means no limit.
	MaxQueued int
	// TokenSHA256 is the SHA-256 hash of the account's token in lower-case hexadecimal;
	// empty means that the account cannot authenticate.
	TokenSHA256 string
}
