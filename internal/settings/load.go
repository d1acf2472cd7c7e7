package settings

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Source records where the values of a process's settings came from: lines of
// the file or flags.
type Source struct {
	file  string
	lines map[string]int
	flags map[string]string
}

// Error is an invalid setting. Its message is one line.
type Error struct {
	// Location is the file and line, or the flag, that set the value.
	Location string
	Key      string
	Err      error
}

// Error returns the location, the key and the cause in one line.
func (e *Error) Error() string {
	text := strings.ReplaceAll(e.Err.Error(), "\n", " ")
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.Location, text)
	}
	return fmt.Sprintf("%s: %s: %s", e.Location, e.Key, text)
}

// Unwrap returns the cause without location and key.
func (e *Error) Unwrap() error { return e.Err }

// Fault returns an Error with the location of the key's value.
func (s Source) Fault(key string, err error) error {
	return &Error{Location: s.location(key), Key: key, Err: err}
}

// location returns the flag, or the file and line, that set the key. For a key
// that the file leaves out it falls back to the section's line, then to line 1.
func (s Source) location(key string) string {
	if flag, ok := s.flags[key]; ok {
		return "--" + flag
	}
	if s.file == "" {
		return "settings"
	}
	section, _, _ := strings.Cut(key, ".")
	for _, k := range []string{key, section} {
		if line, ok := s.lines[k]; ok {
			return fmt.Sprintf("%s:%d", s.file, line)
		}
	}
	return s.file + ":1"
}

// Sets reports whether the file or a flag sets the key.
func (s Source) Sets(key string) bool {
	_, inFile := s.lines[key]
	_, byFlag := s.flags[key]
	return inFile || byFlag
}

// Override is a value set by a command-line flag.
type Override struct {
	Key  string
	Flag string
	Set  func()
}

// LoadEntry reads an entry's settings. An empty file name means defaults.
// Overrides are applied before the values are checked.
func LoadEntry(file string, overrides func(*Entry) []Override) (Entry, error) {
	s := NewEntry()
	source, err := decode(file, &s, s.Fields())
	if err != nil {
		return s, err
	}
	source.apply(overrides(&s))
	s.Source = source
	return s, source.check(s.Fields())
}

// LoadAgent reads an agent's settings. An empty file name means defaults.
// Overrides are applied before the values are checked.
func LoadAgent(file string, overrides func(*Agent) []Override) (Agent, error) {
	s := NewAgent()
	source, err := decode(file, &s, s.Fields())
	if err != nil {
		return s, err
	}
	source.apply(overrides(&s))
	s.Source = source
	return s, source.check(s.Fields())
}

// Check validates the settings file of an entry or an agent and returns the
// role. A file with the key worker, entries, links or timing.result_keep is an
// agent's; any other is an entry's.
func Check(file string) (string, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{Location: file, Err: err}
	}
	lines := keyLines(content)
	for _, key := range []string{"worker", "entries", "links", "timing.result_keep"} {
		if _, ok := lines[key]; ok {
			_, err := LoadAgent(file, func(*Agent) []Override { return nil })
			return "agent", err
		}
	}
	_, err = LoadEntry(file, func(*Entry) []Override { return nil })
	return "entry", err
}

func (s *Source) apply(overrides []Override) {
	s.flags = make(map[string]string, len(overrides))
	for _, o := range overrides {
		s.flags[o.Key] = o.Flag
		o.Set()
	}
}

func (s Source) check(fields []Field) error {
	for _, f := range fields {
		if err := f.check(); err != nil {
			return s.Fault(f.Key, err)
		}
	}
	return nil
}

// decode reads the file into target and rejects unknown keys.
func decode(file string, target any, fields []Field) (Source, error) {
	if file == "" {
		return Source{}, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return Source{}, &Error{Location: "--settings", Err: err}
	}
	source := Source{file: file, lines: keyLines(content)}
	if err := source.checkUnits(content, fields); err != nil {
		return source, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	return source, decodeError(file, decoder.Decode(target))
}

// decodeError converts an error of the TOML library to an Error.
func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		first := strict.Errors[0]
		line, _ := first.Position()
		return &Error{Location: fmt.Sprintf("%s:%d", file, line), Key: strings.Join(first.Key(), "."), Err: errors.New("unknown key")}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		text := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		return &Error{Location: fmt.Sprintf("%s:%d", file, line), Key: strings.Join(decodeErr.Key(), "."), Err: errors.New(text)}
	}
	if err != nil {
		return &Error{Location: file, Err: err}
	}
	return nil
}

// keyLines returns the line of every key and section up to the first
// syntax error.
func keyLines(content []byte) map[string]int {
	lines := make(map[string]int)
	scanKeys(content, func(key string, line int, _ *unstable.Node) { lines[key] = line })
	return lines
}

// checkUnits rejects durations and sizes that are not strings. The TOML library
// would pass such a value to UnmarshalText and report an error without a line.
func (s Source) checkUnits(content []byte, fields []Field) error {
	unmarshalers := make(map[string]encoding.TextUnmarshaler)
	for _, f := range fields {
		if u, ok := f.Value.(encoding.TextUnmarshaler); ok {
			unmarshalers[f.Key] = u
		}
	}
	var first error
	scanKeys(content, func(key string, _ int, node *unstable.Node) {
		u, ok := unmarshalers[key]
		if !ok || first != nil || node.Kind != unstable.KeyValue || node.Value().Kind == unstable.String {
			return
		}
		err := u.UnmarshalText(node.Value().Data)
		if err == nil {
			err = errorf("must be a quoted string")
		}
		first = s.Fault(key, err)
	})
	return first
}

// scanKeys calls visit for every key and section up to the first syntax error.
func scanKeys(content []byte, visit func(key string, line int, node *unstable.Node)) {
	var p unstable.Parser
	p.Reset(content)
	var section []string
	for p.NextExpression() {
		node := p.Expression()
		var parts []string
		line := 0
		for it := node.Key(); it.Next(); {
			line = p.Shape(p.Range(it.Node().Data)).Start.Line
			parts = append(parts, string(it.Node().Data))
		}
		if node.Kind == unstable.Table {
			section = parts
		} else {
			parts = append(append([]string(nil), section...), parts...)
		}
		visit(strings.Join(parts, "."), line, node)
	}
}
