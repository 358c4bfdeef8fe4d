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

// maxFileBytes bounds a settings file, which has a few hundred bytes.
const maxFileBytes = 1 << 20

// Load reads the settings from a file. A file that can be read but has faults
// gives a parser.Findings.
func Load(path string) (*Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, src)
}

// Parse reads the settings from the contents of a file. name is used in
// findings only. The error is nil or of type parser.Findings.
func Parse(name string, src []byte) (*Settings, error) {
	rep := &parser.Report{File: name}
	if len(src) > maxFileBytes {
		rep.Add(1, 1, "file has %d bytes; at most %d are allowed", len(src), maxFileBytes)
		return nil, rep.Err()
	}
	f := &file{rep: rep}
	if !f.decode(src) {
		return nil, rep.Err()
	}
	s := Default()
	f.rejectUnknown()
	f.readKeys(&s)
	if rep.Err() == nil {
		f.checkRelations(&s)
	}
	if err := rep.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// file is a decoded settings file.
type file struct {
	rep    *parser.Report
	values map[string]any
	index  index
}

// decode reads the file's values and positions. A file that is not TOML has one
// finding, since nothing after the fault can be trusted.
func (f *file) decode(src []byte) bool {
	err := toml.Unmarshal(src, &f.values)
	var fault *toml.DecodeError
	switch {
	case errors.As(err, &fault):
		line, column := fault.Position()
		f.rep.Add(line, characterColumn(src, line, column), "%s", strings.TrimPrefix(fault.Error(), "toml: "))
		return false
	case err != nil:
		f.rep.Add(1, 1, "%s", strings.TrimPrefix(err.Error(), "toml: "))
		return false
	}
	f.index = indexPositions(src)
	return true
}

// characterColumn turns a column in bytes into one in characters, so that all
// findings count alike.
func characterColumn(src []byte, line, column int) int {
	for range line - 1 {
		src = src[bytes.IndexByte(src, '\n')+1:]
	}
	if column < 1 || column > len(src) {
		return column
	}
	return utf8.RuneCount(src[:column-1]) + 1
}

// add records a finding at a key, or at the nearest section that holds it.
func (f *file) add(path, format string, args ...any) {
	at := f.index.find(path)
	f.rep.Add(at.line, at.column, "%s: %s", path, fmt.Sprintf(format, args...))
}

// rejectUnknown reports all sections and keys that don't exist.
func (f *file) rejectUnknown() {
	sections := make(map[string][]string)
	for _, k := range keys {
		section, name, _ := strings.Cut(k.path, ".")
		sections[section] = append(sections[section], name)
	}
	for section, value := range f.values {
		known, exists := sections[section]
		if !exists {
			f.add(section, "unknown section")
			continue
		}
		table, isTable := value.(map[string]any)
		if !isTable {
			f.add(section, "must be a table, not %s", typeName(value))
			continue
		}
		for name := range table {
			if !slices.Contains(known, name) {
				f.add(section+"."+name, "unknown key; the section takes %s", strings.Join(known, ", "))
			}
		}
	}
}

// readKeys stores all values that the file holds.
func (f *file) readKeys(s *Settings) {
	for _, k := range keys {
		section, name, _ := strings.Cut(k.path, ".")
		table, _ := f.values[section].(map[string]any)
		value, given := table[name]
		if !given {
			if k.required {
				f.add(k.path, "is missing and has no default")
			}
			continue
		}
		if err := k.set(s, value); err != nil {
			f.add(k.path, "%v", err)
		}
	}
}
