package tablestore

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/table"
	"github.com/poplarlever/poplarlever/internal/store"
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxTries is the number of tries of one read or write.
	maxTries = 12
)

// Writer reads and writes the table in the store.
type Writer struct {
	Store store.Store
	// Who is the operator's name in the history.
	Who string
}

// Snapshot is the table as it was read. Version is the version of Key, or zero
// if no table was ever written.
type Snapshot struct {
	Document Document
	Table    table.Table
	Version  uint64
}

// Result describes the outcome of a write.
type Result struct {
	// Revision is the revision that was written or, if none was, the newest one.
	Revision uint64 `json:"revision"`
	// Written is false if the store already held the same content.
	Written bool               `json:"written"`
	Changes []table.CellChange `json:"changes"`
}

// ConflictError lists the cells that were changed both by the edit and by other
// writes since its base revision.
type ConflictError struct {
	Conflicts []table.Conflict `json:"conflicts"`
	Base      uint64           `json:"base"`
	Current   uint64           `json:"current"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	s := fmt.Sprintf("revisions up to %d changed the same cells as the edit of revision %d; nothing was written", e.Current, e.Base)
	for _, c := range e.Conflicts {
		s += "\n" + c.Error()
	}
	return s
}

// Read returns the newest table. It retries for a few seconds while the store
// is unavailable.
func (w *Writer) Read(ctx context.Context) (Snapshot, error) {
	backoff := store.Backoff{Min: minBackoff, Max: maxBackoff}
	var s Snapshot
	var err error
	for range maxTries {
		if s, err = w.readOnce(ctx); !store.IsUnavailable(err) {
			return s, err
		}
		if !sleep(ctx, backoff.Next()) {
			break
		}
	}
	return s, err
}

func (w *Writer) readOnce(ctx context.Context) (Snapshot, error) {
	e, err := w.Store.Get(ctx, Key)
	if store.IsNotFound(err) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	d, t, err := Decode(e.Value)
	return Snapshot{Document: d, Table: t, Version: e.Version}, err
}

// Put merges the operator's edit of the base revision with later changes of
// others and writes the result. The errors *ConflictError, table.Errors,
// ErrUnknownRevision, ErrBusy and store.ErrUnavailable mean that nothing was
// written; store.ErrOutcomeUnknown means that the write may have taken effect.
func (w *Writer) Put(ctx context.Context, base uint64, edited table.Table, note string) (Result, error) {
	return w.write(ctx, note, func(s Snapshot) (table.Table, error) {
		from, err := s.Document.At(s.Table, base)
		if err != nil {
			return table.Table{}, err
		}
		merged, conflicts, err := table.Merge(from, edited, s.Table)
		if len(conflicts) > 0 {
			err = &ConflictError{Conflicts: conflicts, Base: base, Current: s.Document.Revision()}
		}
		return merged, err
	})
}

// Rollback writes the content of an old revision as a new revision.
func (w *Writer) Rollback(ctx context.Context, revision uint64) (Result, error) {
	note := fmt.Sprintf("rollback to revision %d", revision)
	return w.write(ctx, note, func(s Snapshot) (table.Table, error) {
		return s.Document.At(s.Table, revision)
	})
}

// edit computes the table to write from the stored one.
type edit func(Snapshot) (table.Table, error)

// pendingWrite is the state of one write across its tries.
type pendingWrite struct {
	revision Revision
	edit     edit
	// unknown is the error of an earlier try that may still take effect, and
	// unknownVersion the version of Key that this try expected.
	unknown        error
	unknownVersion uint64
}

// write retries until the store has accepted the write, there is nothing to
// write, or the tries are used up. Every try carries the same write id and
// expects the version that it read, so at most one of them takes effect.
func (w *Writer) write(ctx context.Context, note string, e edit) (Result, error) {
	p := &pendingWrite{edit: e, revision: Revision{
		Who: w.Who, Note: note, WriteID: rand.Text(), When: time.Now().UTC().Truncate(time.Millisecond),
	}}
	backoff := store.Backoff{Min: minBackoff, Max: maxBackoff}
	err := error(ErrBusy.New("other operators wrote first in all %d tries", maxTries))
	for range maxTries {
		result, tryErr := w.try(ctx, p)
		switch {
		case tryErr == nil:
			return result, nil
		case store.IsUnavailable(tryErr):
			err = tryErr
		case !store.IsConflict(tryErr) && !store.IsOutcomeUnknown(tryErr):
			return Result{}, p.orUnknown(tryErr)
		}
		if !sleep(ctx, backoff.Next()) {
			break
		}
	}
	return Result{}, p.orUnknown(err)
}

// orUnknown returns the error of a try of unknown outcome, if there is one, and
// err otherwise.
func (p *pendingWrite) orUnknown(err error) error {
	if p.unknown != nil {
		return p.unknown
	}
	return err
}

// clearUnknown discards the unknown outcome of an earlier try when the key has a
// newer version: that try expects a version that never recurs, so it can no
// longer take effect.
func (p *pendingWrite) clearUnknown(version uint64) {
	if version > p.unknownVersion {
		p.unknown = nil
	}
}

// try reads the table and writes the edit, unless the history shows that an
// earlier try took effect.
func (w *Writer) try(ctx context.Context, p *pendingWrite) (Result, error) {
	s, err := w.readOnce(ctx)
	if err != nil {
		return Result{}, err
	}
	if n := s.Document.revisionByWriteID(p.revision.WriteID); n > 0 {
		return resultOf(s.Document, n), nil
	}
	p.clearUnknown(s.Version)
	updated, err := p.edit(s)
	if err != nil {
		return Result{}, err
	}
	if s.Version > 0 && updated.Equal(s.Table) && p.unknown == nil {
		return Result{Revision: s.Document.Revision()}, nil
	}
	next := s.Document.withRevision(s.Table, updated, p.revision)
	value, err := next.encode()
	if err != nil {
		return Result{}, err
	}
	_, err = w.Store.CompareAndSwap(ctx, Key, s.Version, value, 0)
	if store.IsOutcomeUnknown(err) {
		p.unknown, p.unknownVersion = err, s.Version
	}
	if err != nil {
		return Result{}, err
	}
	return resultOf(next, next.Revision()), nil
}

// resultOf returns the result of the write that made the revision.
func resultOf(d Document, revision uint64) Result {
	result := Result{Revision: revision, Written: true}
	for _, r := range d.History {
		if r.Number == revision {
			result.Changes = table.CellChanges(table.Reverse(r.Undo))
		}
	}
	return result
}

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
