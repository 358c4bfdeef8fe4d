package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// readBody returns the body, or false after a finding. The bytes count against
// the bound on all bodies that are being read until release is called, so that
// many slow clients can't fill the memory.
func (s *Server) readBody(c *call) (body []byte, release func(), ok bool) {
	var held int64
	release = func() {
		s.buffered.Release(held)
		held = 0
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, s.Limits.BodyBytes)
	chunk := make([]byte, 4096)
	for {
		n, err := limited.Read(chunk)
		if n > 0 && !s.buffered.TryAcquire(int64(n)) {
			release()
			c.overloaded = true
			return nil, release, false
		}
		held += int64(n)
		body = append(body, chunk[:n]...)
		if err == io.EOF {
			return body, release, true
		}
		if err != nil {
			release()
			s.findReadError(c, err)
			return nil, release, false
		}
	}
}

func (s *Server) findReadError(c *call, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.status = http.StatusRequestEntityTooLarge
		c.find("body", fmt.Sprintf("body exceeds %d bytes", tooLarge.Limit))
		return
	}
	c.status = http.StatusRequestTimeout
	c.find("body", fmt.Sprintf("body was not received within %s", s.Limits.Read))
}

// member decodes one member of a JSON object. It returns what is wrong with the
// value, or "".
type member struct {
	name     string
	required bool
	set      func(raw json.RawMessage) string
}

// decodeObject decodes a JSON object whose members are all known, and records
// every fault. prefix is put before the names in findings.
func (c *call) decodeObject(raw []byte, prefix string, members []member) {
	if !utf8.Valid(raw) {
		c.find(fieldName(prefix, "body"), "is not valid UTF-8")
		return
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		c.find(fieldName(prefix, "body"), "must be a JSON object")
		return
	}
	seen := make(map[string]bool)
	for dec.More() {
		if !c.decodeMember(dec, prefix, members, seen) {
			return
		}
	}
	if _, err := dec.Token(); err != nil {
		c.find(fieldName(prefix, "body"), jsonFault(err))
		return
	}
	if _, err := dec.Token(); err != io.EOF {
		c.find(fieldName(prefix, "body"), "holds more than one JSON value")
	}
	for _, m := range members {
		if m.required && !seen[m.name] {
			c.find(prefix+m.name, "is missing")
		}
	}
}

// decodeMember decodes one name and value. It returns false if the rest of the
// object can't be read.
func (c *call) decodeMember(dec *json.Decoder, prefix string, members []member, seen map[string]bool) bool {
	token, err := dec.Token()
	if err != nil {
		c.find(fieldName(prefix, "body"), jsonFault(err))
		return false
	}
	name, _ := token.(string)
	var value json.RawMessage
	if err := dec.Decode(&value); err != nil {
		c.find(fieldName(prefix, "body"), jsonFault(err))
		return false
	}
	if seen[name] {
		c.find(prefix+shorten(name), "is given twice")
		return true
	}
	seen[name] = true
	for _, m := range members {
		if m.name != name {
			continue
		}
		if fault := m.set(value); fault != "" {
			c.find(prefix+name, fault)
		}
		return true
	}
	c.find(prefix+shorten(name), "is not a known field")
	return true
}

// jsonFault says in plain words why JSON can't be read.
func jsonFault(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "is JSON that ends too early"
	}
	return "is not valid JSON: " + err.Error()
}

func fieldName(prefix, otherwise string) string {
	if prefix == "" {
		return otherwise
	}
	return strings.TrimSuffix(prefix, ".")
}

// shorten bounds a name that comes from the client.
func shorten(name string) string {
	const most = 64
	if len(name) <= most {
		return name
	}
	return strings.ToValidUTF8(name[:most], "") + "..."
}

// identifier decodes a string that names something.
func identifier[S ~string](at *S) func(json.RawMessage) string {
	return func(raw json.RawMessage) string {
		var v string
		if err := json.Unmarshal(raw, &v); err != nil || isNull(raw) {
			return "must be a string"
		}
		if fault := checkID(v); fault != "" {
			return fault
		}
		*at = S(v)
		return ""
	}
}

// wholeNumber decodes an integer in [low, high].
func wholeNumber[N ~int | ~int64](low, high int64, at *N) func(json.RawMessage) string {
	return func(raw json.RawMessage) string {
		n, err := strconv.ParseInt(string(raw), 10, 64)
		if errors.Is(err, strconv.ErrRange) || err == nil && (n < low || n > high) {
			return fmt.Sprintf("must be from %d to %d", low, high)
		}
		if err != nil {
			return "must be a whole number"
		}
		*at = N(n)
		return ""
	}
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// maxIDBytes bounds callers, request ids and kinds. Two of them are part of
// each row key and task id.
const maxIDBytes = 128

// checkID returns what is wrong with a caller, a request id or a kind, or "". A
// slash or '#' would make the key of a request or task ambiguous, and an id
// such as ".." does not survive in a path.
func checkID(s string) string {
	if s == "" {
		return "must not be empty"
	}
	if len(s) > maxIDBytes {
		return fmt.Sprintf("has %d bytes; at most %d are allowed", len(s), maxIDBytes)
	}
	hasAlphanumeric := false
	for _, r := range s {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune("._-:@", r) {
			return fmt.Sprintf("holds %q; it consists of letters, digits, '.', '_', '-', ':' and '@'", r)
		}
		hasAlphanumeric = hasAlphanumeric || alphanumeric
	}
	if !hasAlphanumeric {
		return "needs a letter or a digit"
	}
	return ""
}

// queryInteger returns a query parameter in [low, high], or otherwise if the
// parameter is absent.
func (c *call) queryInteger(name string, low, high, otherwise int64) int64 {
	values := c.r.URL.Query()[name]
	if len(values) == 0 {
		return otherwise
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if len(values) > 1 {
		c.find(name, "is given twice")
	} else if err != nil || n < low || n > high {
		c.find(name, fmt.Sprintf("must be a whole number from %d to %d", low, high))
	}
	return n
}

// checkQuery reports parameters that the path does not take.
func (c *call) checkQuery(known ...string) {
	query, err := url.ParseQuery(c.r.URL.RawQuery)
	if err != nil {
		c.find("query", "is malformed")
	}
	for _, name := range known {
		delete(query, name)
	}
	for _, name := range slices.Sorted(maps.Keys(query)) {
		c.find(shorten(name), "is not a known parameter")
	}
}

// decodeNothing is for paths that take no input.
func decodeNothing(c *call) struct{} {
	c.checkQuery()
	return struct{}{}
}
