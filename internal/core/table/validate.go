package table

import (
	"fmt"
	"strings"
)

// Error says what is wrong with one cell.
type Error struct {
	// Line is the number of the CSV record, where the header is 1. The revision line
	// and blank lines do not count. It is zero when no record is known.
	Line int `json:"line,omitempty"`
	// Row is the key of the row as text, for example "account atlas".
	Row     string `json:"row"`
	Column  string `json:"column"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error implements error.
func (e Error) Error() string {
	where := e.Row
	if e.Line > 0 {
		where = strings.TrimSpace(fmt.Sprintf("row %d %s", e.Line, e.Row))
	}
	return fmt.Sprintf("%s: column %s: value %q; allowed: %s", where, e.Column, e.Value, e.Allowed)
}

// Errors lists everything that is wrong with a file.
type Errors []Error

// Error implements error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

func (e Errors) errorOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// fileError returns an error about the file as a whole.
func fileError(format string, args ...any) error {
	return Errors{{Row: "file", Column: "-", Allowed: fmt.Sprintf(format, args...)}}
}

func rowName(fields Cells) string {
	return Key{Kind: Kind(fields[ColumnKind]), Service: fields[ColumnService], Name: fields[ColumnName]}.String()
}

// canonicalise checks each cell and replaces it with its canonical form.
func canonicalise(line int, fields Cells) Errors {
	var errs Errors
	row := strings.TrimSpace(rowName(fields))
	kind, ok := canonicalKind(fields[ColumnKind])
	if !ok {
		return Errors{{Line: line, Row: row, Column: ColumnKind, Value: fields[ColumnKind], Allowed: Columns[0].Allowed}}
	}
	for _, c := range Columns {
		value, present := fields[c.Name]
		required := c.Name == ColumnName || c.Name == ColumnService && Kind(kind) == Job
		allowed := c.Allowed
		switch {
		case !present && !required:
			continue
		case !c.usedBy(Kind(kind)):
			allowed = "nothing in a row of kind " + kind
		default:
			canonical, valid := c.canonical(value)
			if valid {
				fields[c.Name] = canonical
				continue
			}
		}
		errs = append(errs, Error{Line: line, Row: row, Column: c.Name, Value: value, Allowed: allowed})
	}
	return errs
}

// checkServices returns an error for each job whose service has no row.
func (t Table) checkServices() Errors {
	var errs Errors
	for _, k := range t.Keys() {
		if k.Kind != Job {
			continue
		}
		if _, ok := t.rows[Key{Kind: Service, Name: k.Service}]; !ok {
			errs = append(errs, Error{Row: k.String(), Column: ColumnService, Value: k.Service, Allowed: "name of a service row"})
		}
	}
	return errs
}
