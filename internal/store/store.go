// Package store is the interface to the platform's key-value store, and an
// adapter that reaches it over HTTP with JSON.
//
// Versions count the store's changes: each write gets the next number, so a
// key's version orders all of its values and a watch can go on after any of
// them.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// MaxValue is the largest value of a key, in bytes.
const MaxValue = 1_000_000

// LeaseID names a lease. Zero means no lease.
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

// Changes are the latest values and the deletions after a version.
type Changes struct {
	// Version is where the next watch goes on.
	Version uint64   `json:"version"`
	Entries []Entry  `json:"entries"`
	Deleted []string `json:"deleted"`
}

// Store is the platform's key-value store. Implementations are safe for
// concurrent use. Every method returns one of the error types below.
type Store interface {
	// Get returns a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the keys with the prefix in order.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListVersions is List without the values.
	ListVersions(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes the value when the key's version is the expected
	// one, zero for a key that must be absent, and returns the new version. A
	// key with a lease is deleted when the lease lapses.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key when its version is the expected one.
	Delete(ctx context.Context, key string, expected uint64) error
	// Grant makes a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the lease's time, or returns ErrNotFound when it has
	// lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until something with the prefix has changed after the version
	// and returns the changes. It returns no changes after a while.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
}

var errors = errorx.NewNamespace("store")

var (
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.NewType("not_found")
	// ErrConflict means that the key has another version; nothing was written.
	ErrConflict = errors.NewType("conflict")
	// ErrUnavailable means that the store gave no answer to a read, or that a
	// write certainly had no effect.
	ErrUnavailable = errors.NewType("unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.NewType("outcome_unknown")
	// ErrHistoryGone means that a watch asked for changes that the store no longer
	// has; the state has to be listed anew.
	ErrHistoryGone = errors.NewType("history_gone")
	// ErrTooLarge means that the value is larger than MaxValue.
	ErrTooLarge = errors.NewType("too_large")
)

// IsNotFound tells whether the error is ErrNotFound.
func IsNotFound(err error) bool { return errorx.IsOfType(err, ErrNotFound) }

// IsConflict tells whether the error is ErrConflict.
func IsConflict(err error) bool { return errorx.IsOfType(err, ErrConflict) }

// IsHistoryGone tells whether the error is ErrHistoryGone.
func IsHistoryGone(err error) bool { return errorx.IsOfType(err, ErrHistoryGone) }

// IsUnavailable tells whether the error is ErrUnavailable.
func IsUnavailable(err error) bool { return errorx.IsOfType(err, ErrUnavailable) }

// IsOutcomeUnknown tells whether the error is ErrOutcomeUnknown.
func IsOutcomeUnknown(err error) bool { return errorx.IsOfType(err, ErrOutcomeUnknown) }
