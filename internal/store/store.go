// Package store defines the interface to the platform's key-value store and
// implements it over HTTP with JSON.
//
// Versions count the changes of the whole store: each write gets the next
// number. A key's version therefore orders its values, and a watch can resume
// after any version.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// MaxValue is the largest value of a key, in bytes.
const MaxValue = 1_000_000

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Entry is a key with its value. Version is zero when the key is absent.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Listing is the state of a prefix at one version.
type Listing struct {
	Version uint64  `json:"version"`
	Entries []Entry `json:"entries"`
}

// Changes holds the keys that were written or deleted after a version, the
// written ones with their latest values. A key that was deleted and written again
// may be in both lists; the larger version is the later state.
type Changes struct {
	// Version is the version after which the next watch resumes.
	Version uint64
	Entries []Entry
	Deleted []Deletion
}

// Deletion is a key that was deleted at a version.
type Deletion struct {
	Key     string
	Version uint64
}

// Store is the platform's key-value store. Implementations are safe for
// concurrent use. Every method returns one of the error types below.
type Store interface {
	// Get returns the key's entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, ordered by key.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListVersions is List without the values.
	ListVersions(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes the value if the key's version is the expected one
	// and returns the new version. An expected version of zero means that the
	// key must be absent. A key with a lease is deleted when the lease expires.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key if its version is the expected one.
	Delete(ctx context.Context, key string, expected uint64) error
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease for its full TTL, or returns ErrNotFound if it
	// has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch blocks until a key with the prefix has changed after the given
	// version and returns the changes. If nothing changes for some time, it
	// returns an empty set.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
}

var errorNamespace = errorx.NewNamespace("store")

var (
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errorNamespace.NewType("not_found")
	// ErrConflict means that the key's version is not the expected one; nothing
	// was written.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrUnavailable means that a read got no answer, or that a write certainly
	// had no effect.
	ErrUnavailable = errorNamespace.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errorNamespace.NewType("outcome_unknown")
	// ErrHistoryGone means that the store no longer keeps the changes that a watch
	// asked for; the caller has to list the prefix again.
	ErrHistoryGone = errorNamespace.NewType("history_gone")
	// ErrTooLarge means that the value is larger than MaxValue.
	ErrTooLarge = errorNamespace.NewType("too_large")
)

// IsNotFound reports whether the error is ErrNotFound.
func IsNotFound(err error) bool { return errorx.IsOfType(err, ErrNotFound) }

// IsConflict reports whether the error is ErrConflict.
func IsConflict(err error) bool { return errorx.IsOfType(err, ErrConflict) }

// IsHistoryGone reports whether the error is ErrHistoryGone.
func IsHistoryGone(err error) bool { return errorx.IsOfType(err, ErrHistoryGone) }

// IsUnavailable reports whether the error is ErrUnavailable.
func IsUnavailable(err error) bool { return errorx.IsOfType(err, ErrUnavailable) }

// IsOutcomeUnknown reports whether the error is ErrOutcomeUnknown.
func IsOutcomeUnknown(err error) bool { return errorx.IsOfType(err, ErrOutcomeUnknown) }
