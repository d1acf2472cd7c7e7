package table

import (
	"fmt"
	"maps"
	"slices"
)

// RowChange replaces one row. Old is nil for a new row and New for a removed one;
// the cells of a row that has none besides its key are empty and not nil.
type RowChange struct {
	Key Key   `json:"row"`
	Old Cells `json:"old"`
	New Cells `json:"new"`
}

// CellChange is a difference in one cell. Column is "-" when the whole row was
// added or removed.
type CellChange struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Diff returns the rows that differ, in the order of the CSV.
func Diff(from, to Table) []RowChange {
	var changes []RowChange
	for _, k := range unionKeys(from, to) {
		before, inFrom := from.rows[k]
		after, inTo := to.rows[k]
		if inFrom == inTo && maps.Equal(before, after) {
			continue
		}
		changes = append(changes, RowChange{Key: k, Old: before, New: after})
	}
	return changes
}

// Apply returns a copy of the table with the changes made. It does not validate the
// result.
func (t Table) Apply(changes []RowChange) Table {
	out := t.clone()
	for _, c := range changes {
		if c.New == nil {
			delete(out.rows, c.Key)
			continue
		}
		out.rows[c.Key] = c.New
	}
	return out
}

// Reverse returns the changes that undo the given ones.
func Reverse(changes []RowChange) []RowChange {
	undo := make([]RowChange, len(changes))
	for i, c := range changes {
		undo[i] = RowChange{Key: c.Key, Old: c.New, New: c.Old}
	}
	return undo
}

// CellChanges returns the differences in cells that the row changes make.
func CellChanges(changes []RowChange) []CellChange {
	var cells []CellChange
	for _, c := range changes {
		switch {
		case c.Old == nil:
			cells = append(cells, CellChange{Row: c.Key.String(), Column: "-", New: "added"})
		case c.New == nil:
			cells = append(cells, CellChange{Row: c.Key.String(), Column: "-", New: "removed"})
			continue
		}
		for _, column := range Columns {
			if before, after := c.Old[column.Name], c.New[column.Name]; before != after {
				cells = append(cells, CellChange{Row: c.Key.String(), Column: column.Name, Old: before, New: after})
			}
		}
	}
	return cells
}

// Conflict is a cell that two operators changed to different values. Column is
// "-" when one of them removed a row that the other changed. Two added rows conflict
// cell by cell.
type Conflict struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Base   string `json:"base"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// Error implements error.
func (c Conflict) Error() string {
	return fmt.Sprintf("%s: column %s: yours %q, the other operator's %q, before %q", c.Row, c.Column, c.Mine, c.Theirs, c.Base)
}

// Merge applies to theirs the changes that turn base into mine. Changes to different
// rows, or to different columns of a row, do not conflict. On conflicts it returns an
// empty table and the conflicts. If a job in the merged table has no service row, it
// returns an error.
func Merge(base, mine, theirs Table) (Table, []Conflict, error) {
	out := Table{rows: make(map[Key]Cells)}
	var conflicts []Conflict
	for _, k := range unionKeys(base, mine, theirs) {
		cells, found := mergeRow(k, base.rows[k], mine.rows[k], theirs.rows[k])
		conflicts = append(conflicts, found...)
		if cells != nil {
			out.rows[k] = cells
		}
	}
	if len(conflicts) > 0 {
		return Table{}, conflicts, nil
	}
	if errs := out.checkServices(); len(errs) > 0 {
		return Table{}, nil, errs
	}
	return out, nil, nil
}

// mergeRow merges the cells of one row; nil means that the row is absent.
func mergeRow(k Key, base, mine, theirs Cells) (Cells, []Conflict) {
	switch {
	case sameCells(base, mine):
		return theirs, nil
	case sameCells(base, theirs) || sameCells(mine, theirs):
		return mine, nil
	case mine == nil || theirs == nil:
		return nil, []Conflict{{Row: k.String(), Column: "-", Base: presence(base), Mine: presence(mine), Theirs: presence(theirs)}}
	}
	merged := make(Cells)
	var conflicts []Conflict
	for _, c := range Columns {
		b, m, t := base[c.Name], mine[c.Name], theirs[c.Name]
		value := m
		switch {
		case m == b:
			value = t
		case t != b && t != m:
			conflicts = append(conflicts, Conflict{Row: k.String(), Column: c.Name, Base: b, Mine: m, Theirs: t})
		}
		if value != "" {
			merged[c.Name] = value
		}
	}
	return merged, conflicts
}

func sameCells(a, b Cells) bool { return (a == nil) == (b == nil) && maps.Equal(a, b) }

func presence(c Cells) string {
	if c == nil {
		return "absent"
	}
	return fmt.Sprintf("present %v", map[string]string(c))
}

func unionKeys(tables ...Table) []Key {
	union := make(map[Key]bool)
	for _, t := range tables {
		for k := range t.rows {
			union[k] = true
		}
	}
	return slices.SortedFunc(maps.Keys(union), Key.compare)
}
