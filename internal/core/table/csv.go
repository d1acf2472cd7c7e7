package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits of a CSV file.
const (
	// MaxBytes is the largest size of a file. It leaves space for the history in the
	// value that the store holds.
	MaxBytes = 400_000
	maxRows  = 5000
)

// revisionPrefix starts the line that holds the revision of a copy.
const revisionPrefix = "# poplarlever table revision "

// File is a decoded CSV file.
type File struct {
	Table Table
	// Revision is the revision that the file is a copy of; zero when the file does
	// not state it.
	Revision uint64
}

// Encode returns the table as CSV with columns and rows in a fixed order.
func Encode(t Table) []byte {
	rows := make([]Row, 0, t.Len())
	for _, k := range t.Keys() {
		rows = append(rows, Row{Key: k, Cells: t.rows[k]})
	}
	return EncodeRows(rows)
}

// EncodeRows returns the rows as CSV in their order, whatever their keys and cells are.
func EncodeRows(rows []Row) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	columns := usedColumns(rows)
	record := make([]string, len(columns))
	for i, c := range columns {
		record[i] = c.Name
	}
	_ = w.Write(record)
	for _, r := range rows {
		for i, c := range columns {
			record[i] = r.Cells[c.Name]
		}
		record[0], record[1], record[2] = string(r.Key.Kind), r.Key.Name, r.Key.Service
		_ = w.Write(record)
	}
	w.Flush()
	return b.Bytes()
}

// usedColumns returns the required columns and the optional ones that a row uses.
func usedColumns(rows []Row) []Column {
	used := make(map[string]bool)
	for _, r := range rows {
		for name := range r.Cells {
			used[name] = true
		}
	}
	var columns []Column
	for _, c := range Columns {
		if !c.Optional || used[c.Name] {
			columns = append(columns, c)
		}
	}
	return columns
}

// EncodeFile returns a line with the revision, followed by the table as CSV.
func EncodeFile(f File) []byte {
	return append([]byte(revisionPrefix+strconv.FormatUint(f.Revision, 10)+"\n"), Encode(f.Table)...)
}

// Decode reads and validates a CSV file. Separators may be commas or
// semicolons. The error has type Errors and lists everything that is wrong.
func Decode(content []byte) (File, error) {
	if len(content) > MaxBytes {
		return File{}, fileError("the file has %d bytes, at most %d are allowed", len(content), MaxBytes)
	}
	content = bytes.TrimPrefix(content, []byte("\xef\xbb\xbf"))
	var f File
	revision, rest, err := parseRevisionLine(content)
	if err != nil {
		return File{}, err
	}
	f.Revision = revision
	r := csv.NewReader(bytes.NewReader(rest))
	r.Comma = separator(rest)
	r.FieldsPerRecord = -1
	header, err := r.Read()
	if err != nil {
		return File{}, fileError("the header row cannot be read: %v", err)
	}
	fieldColumns, err := decodeHeader(header)
	if err != nil {
		return File{}, err
	}
	f.Table, err = decodeRows(r, fieldColumns)
	return f, err
}

// parseRevisionLine returns the revision in the first line and the lines after it, or
// zero and the whole content when the first line holds no revision. A spreadsheet may
// have quoted the line and appended separators.
func parseRevisionLine(content []byte) (uint64, []byte, error) {
	line, rest, _ := bytes.Cut(content, []byte("\n"))
	text := strings.Trim(string(line), "\",; \t\r")
	number, ok := strings.CutPrefix(text, strings.TrimSpace(revisionPrefix))
	if !ok {
		return 0, content, nil
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return 0, nil, fileError("the first line names the revision %q; a whole number is allowed", number)
	}
	return revision, rest, nil
}

func separator(content []byte) rune {
	line, _, _ := bytes.Cut(content, []byte("\n"))
	if bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
		return ';'
	}
	return ','
}

// decodeHeader returns the index in Columns of each field. Every column that is not
// optional must be present, so that a file that lost one cannot clear its cells.
func decodeHeader(header []string) ([]int, error) {
	var errs Errors
	fieldColumns := make([]int, len(header))
	seen := make(map[int]bool)
	for i, name := range header {
		column, ok := columnByName[strings.ToLower(strings.TrimSpace(name))]
		switch {
		case !ok:
			errs = append(errs, Error{Line: 1, Column: name, Value: name, Allowed: "the columns " + columnNames()})
		case seen[column]:
			errs = append(errs, Error{Line: 1, Column: name, Value: name, Allowed: "each column once"})
		}
		fieldColumns[i] = column
		seen[column] = true
	}
	for i, c := range Columns {
		if len(errs) == 0 && !seen[i] && !c.Optional {
			errs = append(errs, Error{Line: 1, Column: c.Name, Allowed: "a header row with the columns " + columnNames()})
		}
	}
	return fieldColumns, errs.errorOrNil()
}

func columnNames() string {
	names := make([]string, len(Columns))
	for i, c := range Columns {
		names[i] = c.Name
	}
	return strings.Join(names, ", ")
}

func decodeRows(r *csv.Reader, fieldColumns []int) (Table, error) {
	t := Table{rows: make(map[Key]Cells)}
	var errs Errors
	for n := 2; ; n++ {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Table{}, append(errs, Error{Line: n, Column: "-", Allowed: fmt.Sprintf("valid CSV (%v)", err)})
		}
		if n > maxRows+1 {
			return Table{}, fileError("the file has more than %d rows", maxRows)
		}
		errs = append(errs, t.addRecord(n, record, fieldColumns)...)
	}
	errs = append(errs, t.checkServices()...)
	if len(errs) > 0 {
		return Table{}, errs
	}
	return t, nil
}

// addRecord checks one row and adds it. Empty rows are skipped.
func (t Table) addRecord(line int, record []string, fieldColumns []int) Errors {
	fields := make(Cells)
	for i, value := range record {
		value = strings.TrimSpace(value)
		switch {
		case value == "":
		case i >= len(fieldColumns):
			return Errors{{Line: line, Row: rowName(fields), Column: "-", Value: value, Allowed: fmt.Sprintf("%d fields", len(fieldColumns))}}
		default:
			fields[Columns[fieldColumns[i]].Name] = value
		}
	}
	if len(fields) == 0 {
		return nil
	}
	return t.add(line, fields)
}

// add checks the cells of one row, including those of its key, and adds the row.
func (t Table) add(line int, fields Cells) Errors {
	errs := canonicalise(line, fields)
	if len(errs) > 0 {
		return errs
	}
	key := Key{Kind: Kind(fields[ColumnKind]), Name: fields[ColumnName], Service: fields[ColumnService]}
	delete(fields, ColumnKind)
	delete(fields, ColumnName)
	delete(fields, ColumnService)
	if _, duplicate := t.rows[key]; duplicate {
		return Errors{{Line: line, Row: key.String(), Column: ColumnName, Value: key.Name, Allowed: "each row once"}}
	}
	t.rows[key] = fields
	return nil
}
