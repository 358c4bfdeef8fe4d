package parser

import (
	"errors"
	"fmt"
	"path"
	"strconv"
	"strings"
	"time"
)

// fieldSpec describes one field of a rule of type T.
type fieldSpec[T any] struct {
	key      string
	required bool
	// set parses value and stores it in rule, or returns an error that describes
	// why the value is invalid.
	set func(rule *T, value string) error
}

// decodeFields stores all fields of a statement in rule. It returns the columns
// of the values by key, and reports whether all fields are valid.
func decodeFields[T any](st statement, specs []fieldSpec[T], rule *T, rep *Report) (map[string]int, bool) {
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
		if _, present := columns[s.key]; s.required && !present {
			rep.Add(st.line, st.verb.column, "%s rule has no field %q", st.verb.text, s.key)
			ok = false
		}
	}
	return columns, ok
}

var errUnknownField = errors.New("unknown field")

func setField[T any](specs []fieldSpec[T], rule *T, key, value string) error {
	knownKeys := make([]string, 0, len(specs))
	for _, s := range specs {
		if s.key != key {
			knownKeys = append(knownKeys, s.key)
			continue
		}
		if err := s.set(rule, value); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		return nil
	}
	return fmt.Errorf("%w %q; this rule takes %s", errUnknownField, key, strings.Join(knownKeys, ", "))
}

// integerField returns the spec of a field with an integer in [low, high].
func integerField[T any, N ~int | ~int64](key string, low, high N, dst func(*T) *N) fieldSpec[T] {
	return fieldSpec[T]{key: key, set: func(rule *T, value string) error {
		n, err := parseInteger(value, int64(low), int64(high))
		if err != nil {
			return err
		}
		*dst(rule) = N(n)
		return nil
	}}
}

// millisecondsField returns the spec of a field with a duration in milliseconds,
// from 1 ms to maxDuration.
func millisecondsField[T any](key string, dst func(*T) *time.Duration) fieldSpec[T] {
	return fieldSpec[T]{key: key, set: func(rule *T, value string) error {
		n, err := parseInteger(value, 1, maxDuration.Milliseconds())
		if err != nil {
			return err
		}
		*dst(rule) = time.Duration(n) * time.Millisecond
		return nil
	}}
}

// maxDuration is the upper limit of declared run times and deadlines.
const maxDuration = 30 * 24 * time.Hour

// decimalField returns the spec of a field with a decimal number in [low, high],
// written without sign or exponent.
func decimalField[T any](key string, low, high float64, dst func(*T) *float64) fieldSpec[T] {
	return fieldSpec[T]{key: key, set: func(rule *T, value string) error {
		if !isPlainDecimal(value) {
			return fmt.Errorf("%q is not a number", value)
		}
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", value)
		}
		if f < low || f > high {
			return fmt.Errorf("%s is out of range; it must be from %g to %g", value, low, high)
		}
		*dst(rule) = f
		return nil
	}}
}

// percentField returns the spec of a field with a percentage greater than 0% and
// at most 100%, which is stored as a fraction.
func percentField[T any](key string, dst func(*T) *float64) fieldSpec[T] {
	return fieldSpec[T]{key: key, set: func(rule *T, value string) error {
		digits, ok := strings.CutSuffix(value, "%")
		if !ok || !isPlainDecimal(digits) {
			return fmt.Errorf("%q is not a percentage; write it as 40%%", value)
		}
		f, err := strconv.ParseFloat(digits, 64)
		if err != nil {
			return fmt.Errorf("%q is not a percentage; write it as 40%%", value)
		}
		// checkQuotas adds quotas in millionths, so a smaller one would be lost in
		// rounding.
		const minPercent = 0.0001
		if f < minPercent || f > 100 {
			return fmt.Errorf("%s is out of range; it must be from %g%% to 100%%", value, minPercent)
		}
		*dst(rule) = f / 100
		return nil
	}}
}

// boolField returns the spec of a boolean field, written as yes or no.
func boolField[T any](key string, dst func(*T) *bool) fieldSpec[T] {
	return fieldSpec[T]{key: key, set: func(rule *T, value string) error {
		if value != "yes" && value != "no" {
			return fmt.Errorf("%q is neither yes nor no", value)
		}
		*dst(rule) = value == "yes"
		return nil
	}}
}

// enumField returns the spec of a field with an enum value, which parse reads.
func enumField[T, V any](key string, parse func(string) (V, error), dst func(*T) *V) fieldSpec[T] {
	return fieldSpec[T]{key: key, set: func(rule *T, value string) error {
		v, err := parse(value)
		if err != nil {
			return err
		}
		*dst(rule) = v
		return nil
	}}
}

// stringField returns the spec of a field with a name or a pattern, which check
// validates.
func stringField[T any, S ~string](key string, check func(string) error, dst func(*T) *S) fieldSpec[T] {
	return fieldSpec[T]{key: key, set: func(rule *T, value string) error {
		if err := check(value); err != nil {
			return err
		}
		*dst(rule) = S(value)
		return nil
	}}
}

// requiredField returns s with the field marked as required.
func requiredField[T any](s fieldSpec[T]) fieldSpec[T] {
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

// isPlainDecimal reports whether s consists of digits and points only. It
// excludes forms such as 1e9, inf and 0x10, which strconv.ParseFloat accepts and
// operators do not expect.
func isPlainDecimal(s string) bool {
	return s != "" && strings.Trim(s, "0123456789.") == ""
}

// maxNameBytes is the maximum length of a name or pattern.
const maxNameBytes = 128

// checkName returns an error if s is not a valid name of a team, kind or data
// centre.
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

// checkPattern returns an error if s is not a valid pattern for path.Match or
// has a character that no ID can contain, such as a slash, since such a pattern
// would never match.
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
