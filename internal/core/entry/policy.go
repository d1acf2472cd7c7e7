package entry

import (
	"strings"
	"time"
)

// Policy is what the core needs of the operators' table.
type Policy struct {
	// Revision is zero while no table is known; then every job is refused.
	Revision uint64
	Services map[string]ServicePolicy
	Accounts map[string]AccountPolicy
	// Routes are ordered by the length of their prefix, the longest first.
	Routes []Route
}

// Route returns the route with the longest prefix of the path at the host.
func (p *Policy) Route(host, path string) (Route, bool) {
	for _, r := range p.Routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// ServicePolicy is the part of a service.
type ServicePolicy struct {
	JobTypes map[string]JobTypePolicy
	// MaxPayload limits a task's payload, in bytes; zero means the entry's limit.
	MaxPayload int
	// DefaultDeadline applies to a job that names none; zero means the entry's.
	DefaultDeadline time.Duration
}

// JobTypePolicy is the part of a job that a service may submit.
type JobTypePolicy struct {
	// MaxTasks is the largest job, in tasks.
	MaxTasks int
	// MaxPayload limits a task's payload, in bytes; zero means the entry's limit.
	MaxPayload int
	// DefaultDeadline applies to a job that names none; zero means the entry's.
	DefaultDeadline time.Duration
	// MaxAttempts is how often a task may fail before its job does. A task is
	// started again only after proof that the run before has ended. Zero means that
	// no task starts twice for any reason.
	MaxAttempts int
	// Priority orders job types; a smaller one goes first.
	Priority int
	// ResponseTarget and ResponseFactor make the time in which callers want the
	// answer: the factor times the longest task, and the target more. A target of
	// zero means that there is none.
	ResponseTarget time.Duration
	ResponseFactor float64
}

// Route leads requests with a host and a path prefix to a job type.
type Route struct {
	Host, PathPrefix string
	Service, JobType string
}

// AccountPolicy is the part of a client account.
type AccountPolicy struct {
	// Weight divides capacity among accounts; larger gets more.
	Weight float64
	// MaxRunning limits the account's running tasks over the whole system; zero
	// means no limit, and below zero that none may run.
	MaxRunning int
	// MaxQueued limits the account's queued tasks; zero means no limit.
	MaxQueued int
	// TokenSHA256 is the hash of the account's token in lower-case hexadecimal;
	// empty means that the account cannot authenticate.
	TokenSHA256 string
}
