package settings

import (
	"encoding"
	"fmt"
	"strconv"
	"strings"
)

// EntryDefaults returns a commented settings file for an entry. It passes Check
// unchanged; only the names in it need to be replaced.
func EntryDefaults() string {
	s := NewEntry()
	return render("an entry", s.Fields())
}

// AgentDefaults returns a commented settings file for an agent. It passes Check
// unchanged; only the names in it need to be replaced.
func AgentDefaults() string {
	s := NewAgent()
	return render("an agent", s.Fields())
}

func render(role string, fields []Field) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Settings of %s. Values are the defaults.\n", role)
	section := ""
	for _, f := range fields {
		name := f.Key
		if before, after, ok := strings.Cut(f.Key, "."); ok {
			name = after
			if before != section {
				section = before
				fmt.Fprintf(&b, "\n[%s]\n", section)
			}
		}
		fmt.Fprintf(&b, "\n# %s\n%s = %s\n", f.Doc, name, f.Default())
	}
	return b.String()
}

// Default returns the field's value as TOML, or its example when the
// value is an empty string.
func (f Field) Default() string {
	switch v := f.Value.(type) {
	case *string:
		if *v == "" {
			return strconv.Quote(f.example)
		}
		return strconv.Quote(*v)
	case *bool:
		return strconv.FormatBool(*v)
	case *int:
		return strconv.Itoa(*v)
	case *[]string:
		quoted := make([]string, len(*v))
		for i, s := range *v {
			quoted[i] = strconv.Quote(s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	case encoding.TextMarshaler:
		text, _ := v.MarshalText()
		return strconv.Quote(string(text))
	}
	panic("settings: field " + f.Key + " has an unknown type")
}
