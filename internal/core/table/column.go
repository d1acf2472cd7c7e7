package table

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Kind is what a row describes.
type Kind string

const (
	// Service is a set of endpoints that do the same work.
	Service Kind = "service"
	// Job is a type of job that a service accepts.
	Job Kind = "job"
	// Account is a client account.
	Account Kind = "account"
)

// kindOrder is the order of the kinds of rows in the CSV.
var kindOrder = map[Kind]int{Service: 1, Job: 2, Account: 3}

// Names of the columns. The first three form the key of a row.
const (
	ColumnKind            = "kind"
	ColumnName            = "name"
	ColumnService         = "service"
	ColumnWeight          = "weight"
	ColumnMaxRunning      = "max_running"
	ColumnMaxQueued       = "max_queued"
	ColumnTasksPerSecond  = "tasks_per_second"
	ColumnMaxTasks        = "max_tasks"
	ColumnMaxPayload      = "max_payload_bytes"
	ColumnDefaultDeadline = "default_deadline"
	ColumnTokenSHA256     = "token_sha256"
	ColumnHost            = "host"
	ColumnPathPrefix      = "path_prefix"
	ColumnPriority        = "priority"
	ColumnMaxAttempts     = "max_attempts"
	ColumnResponseTarget  = "response_target"
	ColumnResponseFactor  = "response_factor"
)

// Bounds of the values that operators may write.
const (
	maxCount = 1_000_000
	// Run times are divided by weights. Beyond minNumber and maxWeight, the quotients would
	// overflow or vanish.
	maxWeight   = 1_000_000
	minNumber   = 0.001
	maxJobTasks = 1000
	maxPayload  = 1 << 20
	maxDeadline = 24 * time.Hour
	maxPriority = 1000
	maxAttempts = 1000
	maxFactor   = 1000
)

// Column describes one column of the table.
type Column struct {
	Name string
	// Doc says what the column means.
	Doc string
	// Allowed says what a cell may hold.
	Allowed string
	// Kinds are the kinds of rows that use the column. An empty cell means the
	// default.
	Kinds []Kind
	// Optional columns may be missing from a file, and are written only when a row
	// uses them.
	Optional bool
	// canonical returns the canonical form of a value, or false when operators may not
	// write the value.
	canonical func(string) (string, bool)
	// stored returns the canonical form of what a stored value means to this program, which
	// may be one that operators may not write.
	stored func(string) (string, reading)
}

// Columns lists the columns in the order in which they are written.
var Columns = append(requiredColumns, optionalColumns...)

var optionalColumns = []Column{
	{ColumnHost, "host of the requests that are jobs of this type", "host name", []Kind{Job}, true, canonicalHost, storedHost},
	{ColumnPathPrefix, "prefix of their paths; the longest one at a host wins", "path that begins with /", []Kind{Job}, true, canonicalPath, storedPath},
	{ColumnPriority, "order of job types, the smallest first; 0 when empty", "whole number from 0 to 1000", []Kind{Job}, true, countBetween(0, maxPriority), storedCount(-maxStoredCount)},
	{ColumnMaxAttempts, "how often a task may fail before its job does; a task never starts twice when empty", "whole number from 1 to 1000", []Kind{Job}, true, countUpTo(maxAttempts), storedCount(1)},
	{ColumnResponseTarget, "time in which callers want the answer, beyond response_factor times the longest task; none when empty", "duration such as 60ms or 2s, at most 24h", []Kind{Job}, true, canonicalDuration, storedDuration},
	{ColumnResponseFactor, "see response_target; 1 when empty", "number from 0.001 to 1000", []Kind{Job}, true, numberUpTo(maxFactor), storedNumber(0, math.MaxFloat64)},
}

var requiredColumns = []Column{
	{ColumnKind, "what the row describes", "service, job or account", []Kind{Service, Job, Account}, false, canonicalKind, storedText},
	{ColumnName, "name of the service, job or client account", allowedName, []Kind{Service, Job, Account}, false, canonicalName, storedText},
	{ColumnService, "service that may submit the job", "name of a service row", []Kind{Job}, false, canonicalName, storedText},
	{ColumnWeight, "share of capacity against other accounts; 1 when empty", "number from 0.001 to 1000000", []Kind{Account}, false, numberUpTo(maxWeight), storedNumber(minNumber, maxWeight)},
	{ColumnMaxRunning, "most tasks that run at once; no limit when empty", allowedCount, []Kind{Account}, false, countUpTo(maxCount), storedCount(1)},
	{ColumnMaxQueued, "most tasks that wait; no limit when empty", allowedCount, []Kind{Account}, false, countUpTo(maxCount), storedCount(1)},
	{ColumnTasksPerSecond, "reserved for a quota that no process enforces yet; must be empty", "nothing", nil, false, numberUpTo(maxCount), storedText},
	{ColumnMaxTasks, "largest job; 1000 tasks when empty", "whole number from 1 to 1000", []Kind{Job}, false, countUpTo(maxJobTasks), storedCount(1)},
	{ColumnMaxPayload, "largest payload of a task, in bytes; the service's or the entry's limit when empty", "whole number from 1 to 1048576", []Kind{Service, Job}, false, countUpTo(maxPayload), storedCount(1)},
	{ColumnDefaultDeadline, "deadline of a job that names none; the service's or the entry's when empty", "duration such as 500ms, 30s or 5m, at most 24h", []Kind{Service, Job}, false, canonicalDuration, storedDuration},
	{ColumnTokenSHA256, "SHA-256 of the account's token; without it the account is refused unless authentication is off", "64 hexadecimal digits", []Kind{Account}, false, canonicalHash, storedHash},
}

const (
	allowedName  = "1 to 63 of a-z, 0-9, '.', '_' and '-', the first a letter or digit"
	allowedCount = "whole number from 1 to 1000000"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	hostPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$`)
	pathPattern = regexp.MustCompile(`^/[!-~]{0,999}$`)
)

// columnByName maps the name of a column to its index in Columns.
var columnByName = func() map[string]int {
	m := make(map[string]int, len(Columns))
	for i, c := range Columns {
		m[c.Name] = i
	}
	return m
}()

func (c Column) usedBy(k Kind) bool {
	for _, u := range c.Kinds {
		if u == k {
			return true
		}
	}
	return false
}

func canonicalKind(s string) (string, bool) {
	s = strings.ToLower(s)
	return s, kindOrder[Kind(s)] > 0
}

func canonicalName(s string) (string, bool) { return s, namePattern.MatchString(s) }

func canonicalHost(s string) (string, bool) { return strings.ToLower(s), hostPattern.MatchString(s) }

func canonicalPath(s string) (string, bool) { return s, pathPattern.MatchString(s) }

func canonicalHash(s string) (string, bool) {
	s = strings.ToLower(s)
	return s, hashPattern.MatchString(s)
}

func canonicalDuration(s string) (string, bool) {
	d, err := time.ParseDuration(s)
	return d.String(), err == nil && d > 0 && d <= maxDeadline
}

// countUpTo returns a canonical function for whole numbers from 1 to limit.
func countUpTo(limit int) func(string) (string, bool) { return countBetween(1, limit) }

func countBetween(minimum, limit int) func(string) (string, bool) {
	return func(s string) (string, bool) {
		n, err := strconv.Atoi(s)
		return strconv.Itoa(n), err == nil && n >= minimum && n <= limit
	}
}

// numberUpTo returns a canonical function for numbers from minNumber to limit.
func numberUpTo(limit float64) func(string) (string, bool) {
	return func(s string) (string, bool) {
		f, err := strconv.ParseFloat(s, 64)
		return strconv.FormatFloat(f, 'f', -1, 64), err == nil && f >= minNumber && f <= limit
	}
}
