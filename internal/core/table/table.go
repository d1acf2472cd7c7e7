// Package table holds the operators' table of services, jobs and client accounts.
// Each has one row, and the whole table has one revision. The package decodes,
// encodes, validates, compares and merges tables. It does no I/O.
package table

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Key identifies a row. Service is empty except in job rows.
type Key struct {
	Kind    Kind   `json:"kind"`
	Service string `json:"service,omitempty"`
	Name    string `json:"name"`
}

// String returns the form used in messages, for example "job route-desk/offers".
func (k Key) String() string {
	if k.Service == "" {
		return string(k.Kind) + " " + k.Name
	}
	return string(k.Kind) + " " + k.Service + "/" + k.Name
}

func (k Key) compare(o Key) int {
	return cmp.Or(
		cmp.Compare(kindOrder[k.Kind], kindOrder[o.Kind]),
		strings.Compare(k.Service, o.Service), strings.Compare(k.Name, o.Name),
	)
}

// Cells holds the non-empty cells of a row by column name, without the columns of
// its key.
type Cells map[string]string

// Table holds rows that are valid or not yet checked. The zero value has no rows.
type Table struct {
	rows map[Key]Cells
}

// Row is a row of the table with its key.
type Row struct {
	Key   Key
	Cells Cells
}

// Keys returns the keys of the rows in the order of the CSV.
func (t Table) Keys() []Key {
	return slices.SortedFunc(maps.Keys(t.rows), Key.compare)
}

// Cells returns the cells of a row, and whether the row exists. The caller
// must not change them.
func (t Table) Cells(k Key) (Cells, bool) {
	c, ok := t.rows[k]
	return c, ok
}

// Len returns the number of rows.
func (t Table) Len() int { return len(t.rows) }

// Equal reports whether both tables have the same rows.
func (t Table) Equal(o Table) bool {
	return maps.EqualFunc(t.rows, o.rows, func(a, b Cells) bool { return maps.Equal(a, b) })
}

// clone returns a copy that shares the cells, which are never modified.
func (t Table) clone() Table {
	rows := make(map[Key]Cells, len(t.rows))
	maps.Copy(rows, t.rows)
	return Table{rows: rows}
}
