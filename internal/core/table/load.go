package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// Effect says what is in force in place of a value that cannot be applied.
type Effect uint8

const (
	// Replaced means that the nearest value that the program can calculate with is in force.
	Replaced Effect = iota + 1
	// Ignored means that the cell counts as empty.
	Ignored
	// LeftOut means that the whole row is not in force.
	LeftOut
)

// String returns the name used in logs.
func (e Effect) String() string {
	switch e {
	case Replaced:
		return "replaced"
	case Ignored:
		return "ignored"
	case LeftOut:
		return "row_left_out"
	}
	return fmt.Sprintf("effect_%d", uint8(e))
}

// Unapplied is a value of a stored table that is not in force as it is written.
type Unapplied struct {
	// Row is the key of the row as text, for example "job route-desk/offers". A row without
	// a key is named after its place in the file, for example "row 7"; the header is row 1.
	Row string
	// Column is "-" if the row as a whole cannot be read.
	Column string
	Value  string
	Effect Effect
	// InForce is the value in force after Replaced.
	InForce string
}

// Error implements error.
func (u Unapplied) Error() string {
	message := fmt.Sprintf("%s: column %s: value %q: %v", u.Row, u.Column, u.Value, u.Effect)
	if u.Effect == Replaced {
		message += fmt.Sprintf(" by %q", u.InForce)
	}
	return message
}

// Load reads a stored table for use, and lists what it cannot apply. The table was accepted
// when it was stored, so that nothing in it may keep the rest out of force: a number out of
// range counts as the nearest one that the program can calculate with, a cell that cannot
// be read as empty, and a row that cannot be used is left out. What a newer program has
// added, columns and kinds of rows, is skipped. A service that has jobs needs no row.
//
// The error has type Errors. It is returned if the content is no table: the header cannot
// be read, or there are rows and none can be used.
func Load(content []byte) (Table, []Unapplied, error) {
	_, content, err := parseRevisionLine(content)
	if err != nil {
		return Table{}, nil, err
	}
	r := csv.NewReader(bytes.NewReader(content))
	r.Comma = separator(content)
	r.FieldsPerRecord = -1
	l := loader{table: Table{rows: make(map[Key]Cells)}, routes: make(map[route]bool)}
	if err := l.readHeader(r); err != nil {
		return Table{}, nil, err
	}
	for n := 2; ; n++ {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		l.addRecord(n, record, err)
	}
	if l.records > 0 && l.table.Len() == 0 {
		return Table{}, nil, fileError("at least one of %d rows that can be used", l.records)
	}
	l.addMissingServices()
	return l.table, l.unapplied, nil
}

// route is a host and a path prefix.
type route struct {
	host entry.Host
	path string
}

// loader collects the rows of a stored table.
type loader struct {
	table     Table
	unapplied []Unapplied
	// columns holds the column of each field; nil means that the field is skipped.
	columns []*Column
	// routes holds the pairs of host and path prefix that belong to a job.
	routes  map[route]bool
	records int
}

func (l *loader) report(row, column, value string, effect Effect, inForce string) {
	l.unapplied = append(l.unapplied, Unapplied{row, column, value, effect, inForce})
}

// readHeader finds the column of each field. Names that are unknown or occur again are
// skipped.
func (l *loader) readHeader(r *csv.Reader) error {
	header, err := r.Read()
	if err != nil {
		return fileError("a header row (%v)", err)
	}
	seen := make(map[string]bool)
	l.columns = make([]*Column, len(header))
	for i, name := range header {
		index, known := columnByName[strings.ToLower(strings.TrimSpace(name))]
		if !known || seen[Columns[index].Name] {
			l.report("header", cmp.Or(name, "-"), name, Ignored, "")
			continue
		}
		l.columns[i] = &Columns[index]
		seen[Columns[index].Name] = true
	}
	for _, c := range Columns {
		switch {
		case seen[c.Name] || c.Optional:
		case c.Name == ColumnKind || c.Name == ColumnName:
			return fileError("a header row with the columns %s and %s", ColumnKind, ColumnName)
		default:
			l.report("header", c.Name, "", Ignored, "")
		}
	}
	return nil
}

// addRecord adds a row, or reports why it is left out. err is the error of reading it.
func (l *loader) addRecord(n int, record []string, err error) {
	l.records++
	row := fmt.Sprintf("row %d", n)
	if err != nil {
		l.report(row, "-", err.Error(), LeftOut, "")
		return
	}
	fields := l.fields(row, record)
	kind, known := canonicalKind(fields[ColumnKind])
	key := Key{Kind: Kind(kind), Service: fields[ColumnService], Name: fields[ColumnName]}
	if key.Kind != Job {
		key.Service = ""
	}
	switch {
	case len(fields) == 0:
		l.records--
		return
	case !known:
		l.report(row, ColumnKind, fields[ColumnKind], LeftOut, "")
		return
	case key.Name == "":
		l.report(row, ColumnName, "", LeftOut, "")
		return
	case key.Kind == Job && key.Service == "":
		l.report(key.String(), ColumnService, "", LeftOut, "")
		return
	}
	cells := l.readCells(key, fields)
	if earlier, duplicate := l.table.rows[key]; duplicate {
		if !sameCells(earlier, cells) {
			l.report(key.String(), ColumnName, key.Name, LeftOut, "")
		}
		return
	}
	l.claimRoute(key, cells)
	l.table.rows[key] = cells
}

// fields returns the values of a row that are not empty by column.
func (l *loader) fields(row string, record []string) Cells {
	fields := make(Cells)
	for i, value := range record {
		switch {
		case value == "":
		case i >= len(l.columns):
			l.report(row, "-", value, Ignored, "")
		case l.columns[i] != nil:
			fields[l.columns[i].Name] = value
		}
	}
	return fields
}

// readCells returns the cells of a row as they are in force.
func (l *loader) readCells(key Key, fields Cells) Cells {
	cells := make(Cells)
	for _, c := range Columns {
		value, present := fields[c.Name]
		if !present || c.Name == ColumnKind || c.Name == ColumnName || c.Name == ColumnService && key.Kind == Job {
			continue
		}
		canonical, read := c.stored(value)
		if !c.usedBy(key.Kind) {
			read = unreadable
		}
		switch read {
		case unreadable:
			l.report(key.String(), c.Name, value, Ignored, "")
			continue
		case outOfRange:
			l.report(key.String(), c.Name, value, Replaced, canonical)
		}
		cells[c.Name] = canonical
	}
	return cells
}

// claimRoute reports a host without a path prefix, the other way round, and a pair that
// belongs to an earlier job. The job is then reached only by its name.
func (l *loader) claimRoute(key Key, cells Cells) {
	host, path := cells[ColumnHost], cells[ColumnPathPrefix]
	r := route{entry.ParseHost(host), path}
	switch {
	case host == "" && path == "":
		return
	case path == "":
		l.report(key.String(), ColumnPathPrefix, "", Ignored, "")
	case host == "":
		l.report(key.String(), ColumnHost, "", Ignored, "")
	case l.routes[r]:
		l.report(key.String(), ColumnPathPrefix, path, Ignored, "")
	default:
		l.routes[r] = true
		return
	}
	delete(cells, ColumnHost)
	delete(cells, ColumnPathPrefix)
}

// addMissingServices adds a row for each service that only job rows name.
func (l *loader) addMissingServices() {
	for k := range l.table.rows {
		service := Key{Kind: Service, Name: k.Service}
		if _, found := l.table.rows[service]; k.Kind == Job && !found {
			l.table.rows[service] = Cells{}
		}
	}
}
