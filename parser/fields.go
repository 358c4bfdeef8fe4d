package parser

import (
	"errors"
	"fmt"
	"path"
	"strconv"
	"strings"
	"time"
)

// spec describes one field of a rule of type T.
type spec[T any] struct {
	key      string
	required bool
	// set stores the value or returns a message that says what is wrong with it.
	set func(rule *T, value string) error
}

// readFields stores all fields of a statement in rule. It returns the columns
// of the values by key, and whether there was no finding.
func readFields[T any](st statement, specs []spec[T], rule *T, rep *Report) (map[string]int, bool) {
	ok := true
	columns := make(map[string]int, len(st.fields))
	for _, f := range st.fields {
		if _, repeated := columns[f.key.text]; repeated {
			rep.Add(st.line, f.key.column, "field %q is repeated", f.key.text)
			ok = false
			continue
		}
		columns[f.key.text] = f.value.column
		if err := setField(specs, rule, f.key.text, f.value.text); err != nil {
			column := f.value.column
			if errors.Is(err, errUnknownField) {
				column = f.key.column
			}
			rep.Add(st.line, column, "%v", err)
			ok = false
		}
	}
	for _, s := range specs {
		if _, given := columns[s.key]; s.required && !given {
			rep.Add(st.line, st.verb.column, "%s rule has no field %q", st.verb.text, s.key)
			ok = false
		}
	}
	return columns, ok
}

var errUnknownField = errors.New("unknown field")

func setField[T any](specs []spec[T], rule *T, key, value string) error {
	known := make([]string, 0, len(specs))
	for _, s := range specs {
		if s.key != key {
			known = append(known, s.key)
			continue
		}
		if err := s.set(rule, value); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		return nil
	}
	return fmt.Errorf("%w %q; this rule takes %s", errUnknownField, key, strings.Join(known, ", "))
}

// integer returns a field that holds a whole number in [low, high].
func integer[T any, N ~int | ~int64](key string, low, high N, at func(*T) *N) spec[T] {
	return spec[T]{key: key, set: func(rule *T, value string) error {
		n, err := parseInteger(value, int64(low), int64(high))
		if err != nil {
			return err
		}
		*at(rule) = N(n)
		return nil
	}}
}

// milliseconds returns a field that holds a time from 1 ms to maxTime.
func milliseconds[T any](key string, at func(*T) *time.Duration) spec[T] {
	return spec[T]{key: key, set: func(rule *T, value string) error {
		n, err := parseInteger(value, 1, maxTime.Milliseconds())
		if err != nil {
			return err
		}
		*at(rule) = time.Duration(n) * time.Millisecond
		return nil
	}}
}

// maxTime bounds declared run times and deadlines.
const maxTime = 30 * 24 * time.Hour

// decimal returns a field that holds a plain decimal number in [low, high].
func decimal[T any](key string, low, high float64, at func(*T) *float64) spec[T] {
	return spec[T]{key: key, set: func(rule *T, value string) error {
		if !isPlainNumber(value) {
			return fmt.Errorf("%q is not a number", value)
		}
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", value)
		}
		if f < low || f > high {
			return fmt.Errorf("%s is out of range; it must be from %g to %g", value, low, high)
		}
		*at(rule) = f
		return nil
	}}
}

// percent returns a field that holds a percentage over 0% and up to 100%, which
// is stored as a fraction.
func percent[T any](key string, at func(*T) *float64) spec[T] {
	return spec[T]{key: key, set: func(rule *T, value string) error {
		digits, ok := strings.CutSuffix(value, "%")
		if !ok || !isPlainNumber(digits) {
			return fmt.Errorf("%q is not a percentage; write it as 40%%", value)
		}
		f, err := strconv.ParseFloat(digits, 64)
		if err != nil {
			return fmt.Errorf("%q is not a percentage; write it as 40%%", value)
		}
		// Below this a fraction is lost when all quotas are added up.
		const smallest = 0.0001
		if f < smallest || f > 100 {
			return fmt.Errorf("%s is out of range; it must be from %g%% to 100%%", value, smallest)
		}
		*at(rule) = f / 100
		return nil
	}}
}

// yesNo returns a field that holds yes or no.
func yesNo[T any](key string, at func(*T) *bool) spec[T] {
	return spec[T]{key: key, set: func(rule *T, value string) error {
		if value != "yes" && value != "no" {
			return fmt.Errorf("%q is neither yes nor no", value)
		}
		*at(rule) = value == "yes"
		return nil
	}}
}

// choice returns a field that holds one of a set of words.
func choice[T, V any](key string, parse func(string) (V, error), at func(*T) *V) spec[T] {
	return spec[T]{key: key, set: func(rule *T, value string) error {
		v, err := parse(value)
		if err != nil {
			return err
		}
		*at(rule) = v
		return nil
	}}
}

// text returns a field that holds a name or a pattern.
func text[T any, S ~string](key string, check func(string) error, at func(*T) *S) spec[T] {
	return spec[T]{key: key, set: func(rule *T, value string) error {
		if err := check(value); err != nil {
			return err
		}
		*at(rule) = S(value)
		return nil
	}}
}

// required marks a field as required.
func required[T any](s spec[T]) spec[T] {
	s.required = true
	return s
}

func parseInteger(value string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 64)
	if errors.Is(err, strconv.ErrRange) {
		return 0, fmt.Errorf("%s is out of range; it must be from %d to %d", value, low, high)
	}
	if err != nil || strings.HasPrefix(value, "+") {
		return 0, fmt.Errorf("%q is not a whole number", value)
	}
	if n < low || n > high {
		return 0, fmt.Errorf("%s is out of range; it must be from %d to %d", value, low, high)
	}
	return n, nil
}

// isPlainNumber keeps out forms such as 1e9, inf and 0x10, which
// strconv.ParseFloat accepts and operators don't expect.
func isPlainNumber(s string) bool {
	return s != "" && strings.Trim(s, "0123456789.") == ""
}

// maxNameBytes bounds names and patterns.
const maxNameBytes = 128

// checkName reports a name of a team, kind or data centre that can't be used.
func checkName(s string) error {
	if err := checkLength(s); err != nil {
		return err
	}
	for _, r := range s {
		if !isNameRune(r) {
			return fmt.Errorf("%q holds %q; a name consists of letters, digits, '.', '_' and '-'", s, r)
		}
	}
	return nil
}

// checkPattern reports a pattern that path.Match can't use. A slash is not
// allowed in ids, so a pattern that holds one would never match.
func checkPattern(s string) error {
	if err := checkLength(s); err != nil {
		return err
	}
	for _, r := range s {
		if !isNameRune(r) && !strings.ContainsRune(`*?[]^:@`, r) {
			return fmt.Errorf("pattern %q holds %q, which never matches", s, r)
		}
	}
	if _, err := path.Match(s, ""); err != nil {
		return fmt.Errorf("pattern %q is malformed", s)
	}
	return nil
}

func checkLength(s string) error {
	if s == "" {
		return errors.New("value is empty")
	}
	if len(s) > maxNameBytes {
		return fmt.Errorf("value has %d bytes; at most %d are allowed", len(s), maxNameBytes)
	}
	return nil
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' ||
		r == '.' || r == '_' || r == '-'
}
