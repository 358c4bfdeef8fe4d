package loader

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"

	"github.com/masticlead/masticlead/parser"
)

// maxFileBytes limits the size of a settings file. A typical file has a few hundred
// bytes.
const maxFileBytes = 1 << 20

// Load reads and validates a settings file. If the file can be read but is invalid,
// the error is of type parser.Findings.
func Load(path string) (*Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, src)
}

// Parse parses and validates the contents of a settings file. The name appears in
// findings only. A non-nil error is of type parser.Findings.
func Parse(name string, src []byte) (*Settings, error) {
	report := &parser.Report{File: name}
	if len(src) > maxFileBytes {
		report.Add(1, 1, "file has %d bytes; at most %d are allowed", len(src), maxFileBytes)
		return nil, report.Err()
	}
	f := &settingsFile{report: report}
	if !f.decode(src) {
		return nil, report.Err()
	}
	s := Default()
	f.reportUnknownKeys()
	f.applyValues(&s)
	if report.Err() == nil {
		f.checkConsistency(&s)
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// settingsFile is a decoded settings file together with the findings about it.
type settingsFile struct {
	report    *parser.Report
	values    map[string]any
	positions positionIndex
}

// decode decodes the values and positions of the file and reports whether src is
// valid TOML. It adds only the first syntax error as a finding, since nothing after
// it can be decoded reliably.
func (f *settingsFile) decode(src []byte) bool {
	err := toml.Unmarshal(src, &f.values)
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &decodeErr):
		line, column := decodeErr.Position()
		f.report.Add(line, runeColumn(src, line, column), "%s", strings.TrimPrefix(decodeErr.Error(), "toml: "))
		return false
	case err != nil:
		f.report.Add(1, 1, "%s", strings.TrimPrefix(err.Error(), "toml: "))
		return false
	}
	f.positions = newPositionIndex(src)
	return true
}

// runeColumn converts a 1-based byte column into a rune column, so that all findings
// count columns in the same unit.
func runeColumn(src []byte, line, column int) int {
	for range line - 1 {
		src = src[bytes.IndexByte(src, '\n')+1:]
	}
	if column < 1 || column > len(src) {
		return column
	}
	return utf8.RuneCount(src[:column-1]) + 1
}

// addFinding adds a finding at the position of a key, or of the innermost enclosing
// section if the file lacks the key.
func (f *settingsFile) addFinding(path, format string, args ...any) {
	pos := f.positions.nearest(path)
	f.report.Add(pos.line, pos.column, "%s: %s", path, fmt.Sprintf(format, args...))
}

// reportUnknownKeys adds a finding for each section or key that does not exist, and
// for each section that is not a table.
func (f *settingsFile) reportUnknownKeys() {
	namesBySection := make(map[string][]string)
	for _, k := range keys {
		section, name, _ := strings.Cut(k.path, ".")
		namesBySection[section] = append(namesBySection[section], name)
	}
	for section, value := range f.values {
		names, known := namesBySection[section]
		if !known {
			f.addFinding(section, "unknown section")
			continue
		}
		table, isTable := value.(map[string]any)
		if !isTable {
			f.addFinding(section, "must be a table, not %s", tomlTypeName(value))
			continue
		}
		for name := range table {
			if !slices.Contains(names, name) {
				f.addFinding(section+"."+name, "unknown key; the section takes %s", strings.Join(names, ", "))
			}
		}
	}
}

// applyValues stores the values of the file in s and adds a finding for each missing
// required key and each invalid value.
func (f *settingsFile) applyValues(s *Settings) {
	for _, k := range keys {
		section, name, _ := strings.Cut(k.path, ".")
		table, _ := f.values[section].(map[string]any)
		value, present := table[name]
		if !present {
			if k.required {
				f.addFinding(k.path, "is missing and has no default")
			}
			continue
		}
		if err := k.set(s, value); err != nil {
			f.addFinding(k.path, "%v", err)
		}
	}
}
