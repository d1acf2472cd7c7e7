// Package tablestore keeps the operators' table in the store. One key holds
// the current revision and the history, so that one compare-and-swap writes
// both.
package tablestore

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarlever/poplarlever/internal/core/table"
)

// Prefix is the prefix of every store key of this system.
const Prefix = "poplarlever/"

// Key is the store key of the table.
const Key = Prefix + "table"

// EvacuationsPrefix is the prefix of the store keys that request the evacuation of a failure
// domain, whose name follows. The presence of a key is the request, whatever its value.
const EvacuationsPrefix = Prefix + "evacuations/"

const (
	// maxHistoryBytes bounds the encoded history, in bytes. Every entry reads the
	// value after each change, so it stays far below the store's limit.
	maxHistoryBytes = 128_000
	// minHistoryRevisions is the number of revisions kept whatever their size. Their
	// write ids show a writer whose answer was lost that its write took effect.
	minHistoryRevisions = 16
	// maxValueBytes is the store's largest value, in bytes.
	maxValueBytes = 1_000_000
)

var errors = errorx.NewNamespace("table")

var (
	// ErrMalformed means that the stored value cannot be decoded.
	ErrMalformed = errors.NewType("malformed")
	// ErrUnknownRevision means that the history does not have the requested
	// revision.
	ErrUnknownRevision = errors.NewType("unknown_revision")
	// ErrTooLarge means that table and history exceed the store's largest value.
	ErrTooLarge = errors.NewType("too_large")
	// ErrBusy means that another writer won the compare-and-swap in every try;
	// nothing was written.
	ErrBusy = errors.NewType("busy")
)

// Revision describes one write of the table.
type Revision struct {
	Number uint64    `json:"revision"`
	Who    string    `json:"who"`
	When   time.Time `json:"when"`
	Note   string    `json:"note,omitempty"`
	// WriteID is unique to the write and the same in all of its tries.
	WriteID string `json:"write_id"`
	// Undo holds the row changes that lead from this revision back to the
	// previous one.
	Undo []table.RowChange `json:"undo"`
}

// Document is the decoded value of Key.
type Document struct {
	// CSV is the content of the newest revision.
	CSV string `json:"csv"`
	// History lists the revisions, newest first.
	History []Revision `json:"history"`
}

// Decode decodes a stored value and its table. It returns ErrMalformed unless
// both are valid.
func Decode(value []byte) (Document, table.Table, error) {
	d, err := decodeDocument(value)
	if err != nil {
		return Document{}, table.Table{}, err
	}
	f, err := table.Decode([]byte(d.CSV))
	if err != nil {
		return d, table.Table{}, ErrMalformed.Wrap(err, "revision %d", d.History[0].Number)
	}
	return d, f.Table, nil
}

// Revision returns the number of the newest revision, or zero if there is none.
func (d Document) Revision() uint64 {
	if len(d.History) == 0 {
		return 0
	}
	return d.History[0].Number
}

func decodeDocument(value []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return Document{}, ErrMalformed.Wrap(err, "decode the stored table")
	}
	if d.Revision() == 0 {
		return Document{}, ErrMalformed.New("the stored table has no revision")
	}
	return d, nil
}

// At returns the table at a revision. It starts from current, the table of the
// newest revision, and undoes newer ones. Revision zero is the table before the
// first write.
func (d Document) At(current table.Table, revision uint64) (table.Table, error) {
	if revision == 0 && len(d.History) == 0 {
		return current, nil
	}
	t := current
	for _, r := range d.History {
		if r.Number == revision {
			return t, nil
		}
		t = t.Apply(r.Undo)
		if revision == 0 && r.Number == 1 {
			return t, nil
		}
	}
	return table.Table{}, ErrUnknownRevision.New("revision %d is not in the history", revision)
}

// revisionByWriteID returns the number of the revision with the write id, or zero.
func (d Document) revisionByWriteID(id string) uint64 {
	for _, r := range d.History {
		if r.WriteID == id {
			return r.Number
		}
	}
	return 0
}

// withRevision returns the document with updated as its table and r as its newest
// revision. It sets the number and the undo changes of r.
func (d Document) withRevision(current, updated table.Table, r Revision) Document {
	r.Number = d.Revision() + 1
	r.Undo = table.Diff(updated, current)
	return Document{CSV: string(table.Encode(updated)), History: append([]Revision{r}, d.History...)}
}

// encode returns the value to store, without the oldest revisions that exceed
// maxHistoryBytes. At least minHistoryRevisions are kept.
func (d Document) encode() ([]byte, error) {
	size := 0
	for i, r := range d.History {
		item, err := json.Marshal(r)
		if err != nil {
			return nil, ErrMalformed.Wrap(err, "encode revision %d", r.Number)
		}
		if size += len(item); size > maxHistoryBytes && i >= minHistoryRevisions {
			d.History = d.History[:i]
			break
		}
	}
	value, err := json.Marshal(d)
	if err == nil && len(value) > maxValueBytes {
		return nil, ErrTooLarge.New("table and history have %d bytes, at most %d are allowed", len(value), maxValueBytes)
	}
	return value, err
}
