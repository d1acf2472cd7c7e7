// Package table is the operators' table of services, jobs and client
// accounts: one row a thing, one revision for the whole. It decodes and
// encodes CSV, validates, compares and merges. It does no I/O.
package table

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Key names a row. Service is empty except in job rows.
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

// Cells holds the non-empty cells of a row by column name, without the columns
// that name the row.
type Cells map[string]string

// Table holds valid or yet unchecked rows. The zero value has none.
type Table struct {
	rows map[Key]Cells
}

// Row is a row with its name.
type Row struct {
	Key   Key
	Cells Cells
}

// New returns the table of the rows. The error is Errors and lists everything
// that is wrong.
func New(rows []Row) (Table, error) {
	t := Table{rows: make(map[Key]Cells, len(rows))}
	var errs Errors
	for _, r := range rows {
		fields := Cells{ColumnKind: string(r.Key.Kind), ColumnName: r.Key.Name}
		if r.Key.Service != "" {
			fields[ColumnService] = r.Key.Service
		}
		maps.Copy(fields, r.Cells)
		errs = append(errs, t.add(0, fields)...)
	}
	errs = append(errs, t.checkServices()...)
	if len(errs) > 0 {
		return Table{}, errs
	}
	return t, nil
}

// Keys returns the names of the rows in the order of the CSV.
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

// Equal tells whether both tables have the same rows.
func (t Table) Equal(o Table) bool {
	return maps.EqualFunc(t.rows, o.rows, func(a, b Cells) bool { return maps.Equal(a, b) })
}

// clone returns a copy that shares the cells, which nobody changes.
func (t Table) clone() Table {
	rows := make(map[Key]Cells, len(t.rows))
	maps.Copy(rows, t.rows)
	return Table{rows: rows}
}
