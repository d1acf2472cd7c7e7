package tablestore

import (
	"bytes"
	"encoding/json"

	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/table"
)

// Content is a revision of the table as CSV.
type Content struct {
	Revision uint64
	CSV      []byte
}

func (c Content) equal(o Content) bool {
	return c.Revision == o.Revision && bytes.Equal(c.CSV, o.CSV)
}

// InForce holds the newest revision that a process has received and can use. It is not
// safe for concurrent use.
type InForce struct {
	content   Content
	unapplied []table.Unapplied
	// rejected is the last content that is no table; its error is not returned again.
	rejected Content
}

// Content returns the revision in force. Its number is zero if there is none.
func (f *InForce) Content() Content { return f.content }

// Unapplied returns the values of the revision in force that cannot be applied as they are
// written. The caller must not change them.
func (f *InForce) Unapplied() []table.Unapplied { return f.unapplied }

// Offer puts c in force if it is newer than the revision in force, and then returns its
// policy and true. What cannot be applied does not keep the rest out of force. It returns
// ErrMalformed for content that is no table at all, but not again while the same content is
// offered repeatedly.
func (f *InForce) Offer(c Content) (entry.Policy, bool, error) {
	if c.Revision <= f.content.Revision || c.equal(f.rejected) {
		return entry.Policy{}, false, nil
	}
	t, unapplied, err := table.Load(c.CSV)
	if err != nil {
		f.rejected = c
		return entry.Policy{}, false, ErrMalformed.Wrap(err, "revision %d", c.Revision)
	}
	f.content, f.unapplied = c, unapplied
	return table.Policy(c.Revision, t), true, nil
}

// ContentOf decodes the newest revision of a stored value. It reads nothing else of the
// value, which a newer program may have written, and does not judge the table. It returns
// ErrMalformed unless the value holds a table and its revision.
func ContentOf(value []byte) (Content, error) {
	var d struct {
		CSV     string            `json:"csv"`
		History []json.RawMessage `json:"history"`
	}
	if err := json.Unmarshal(value, &d); err != nil {
		return Content{}, ErrMalformed.Wrap(err, "decode the stored table")
	}
	var newest struct {
		Number uint64 `json:"revision"`
	}
	if len(d.History) > 0 {
		if err := json.Unmarshal(d.History[0], &newest); err != nil {
			return Content{}, ErrMalformed.Wrap(err, "decode the newest revision")
		}
	}
	if newest.Number == 0 {
		return Content{}, ErrMalformed.New("the stored table has no revision")
	}
	return Content{Revision: newest.Number, CSV: []byte(d.CSV)}, nil
}
