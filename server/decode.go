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

// readBody reads the request body. It returns false if it recorded a finding or
// marked the call as overloaded. The bytes count against Limits.BufferedBytes
// until release is called, so that many slow clients can't exhaust the memory.
func (s *Server) readBody(c *call) (body []byte, release func(), ok bool) {
	var acquired int64
	release = func() {
		s.bufferedBytes.Release(acquired)
		acquired = 0
	}
	limitedBody := http.MaxBytesReader(c.w, c.r.Body, s.Limits.BodyBytes)
	chunk := make([]byte, 4096)
	for {
		n, err := limitedBody.Read(chunk)
		if n > 0 && !s.bufferedBytes.TryAcquire(int64(n)) {
			release()
			c.overloaded = true
			return nil, release, false
		}
		acquired += int64(n)
		body = append(body, chunk[:n]...)
		if err == io.EOF {
			return body, release, true
		}
		if err != nil {
			release()
			s.addReadFinding(c, err)
			return nil, release, false
		}
	}
}

// addReadFinding records the finding for an error from reading the body.
func (s *Server) addReadFinding(c *call, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.status = http.StatusRequestEntityTooLarge
		c.addFinding("body", fmt.Sprintf("body exceeds %d bytes", tooLarge.Limit))
		return
	}
	c.status = http.StatusRequestTimeout
	c.addFinding("body", fmt.Sprintf("body was not received within %s", s.Limits.IOTimeout))
}

// member is an accepted member of a JSON object. set decodes and stores its value;
// it returns a description of the problem, or "" if the value is valid.
type member struct {
	name     string
	required bool
	set      func(raw json.RawMessage) string
}

// decodeObject decodes a JSON object and records a finding for each invalid,
// missing, duplicate or unknown member. prefix is prepended to member names in
// findings.
func (c *call) decodeObject(raw []byte, prefix string, members []member) {
	if !utf8.Valid(raw) {
		c.addFinding(fieldName(prefix, "body"), "is not valid UTF-8")
		return
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if start, err := dec.Token(); err != nil || start != json.Delim('{') {
		c.addFinding(fieldName(prefix, "body"), "must be a JSON object")
		return
	}
	seen := make(map[string]bool)
	for dec.More() {
		if !c.decodeMember(dec, prefix, members, seen) {
			return
		}
	}
	if _, err := dec.Token(); err != nil {
		c.addFinding(fieldName(prefix, "body"), jsonProblem(err))
		return
	}
	if _, err := dec.Token(); err != io.EOF {
		c.addFinding(fieldName(prefix, "body"), "holds more than one JSON value")
	}
	for _, m := range members {
		if m.required && !seen[m.name] {
			c.addFinding(prefix+m.name, "is missing")
		}
	}
}

// decodeMember decodes one name and value. It returns false if the rest of the
// object can't be parsed.
func (c *call) decodeMember(dec *json.Decoder, prefix string, members []member, seen map[string]bool) bool {
	token, err := dec.Token()
	if err != nil {
		c.addFinding(fieldName(prefix, "body"), jsonProblem(err))
		return false
	}
	name, _ := token.(string)
	var value json.RawMessage
	if err := dec.Decode(&value); err != nil {
		c.addFinding(fieldName(prefix, "body"), jsonProblem(err))
		return false
	}
	if seen[name] {
		c.addFinding(prefix+truncateName(name), "is given twice")
		return true
	}
	seen[name] = true
	for _, m := range members {
		if m.name != name {
			continue
		}
		if problem := m.set(value); problem != "" {
			c.addFinding(prefix+name, problem)
		}
		return true
	}
	c.addFinding(prefix+truncateName(name), "is not a known field")
	return true
}

// jsonProblem returns the text of the finding for an error of the JSON decoder.
func jsonProblem(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "is JSON that ends too early"
	}
	return "is not valid JSON: " + err.Error()
}

// fieldName returns the name of the object with the given prefix, or fallback for
// the top-level object.
func fieldName(prefix, fallback string) string {
	if prefix == "" {
		return fallback
	}
	return strings.TrimSuffix(prefix, ".")
}

// truncateName limits the length of a client-supplied name in a finding.
func truncateName(name string) string {
	const maxBytes = 64
	if len(name) <= maxBytes {
		return name
	}
	return strings.ToValidUTF8(name[:maxBytes], "") + "..."
}

// decodeIdentifier returns a decoder for a string that checkID accepts.
func decodeIdentifier[S ~string](dst *S) func(json.RawMessage) string {
	return func(raw json.RawMessage) string {
		var v string
		if err := json.Unmarshal(raw, &v); err != nil || isNull(raw) {
			return "must be a string"
		}
		if problem := checkID(v); problem != "" {
			return problem
		}
		*dst = S(v)
		return ""
	}
}

// decodeInteger returns a decoder for an integer in [low, high].
func decodeInteger[N ~int | ~int64](low, high int64, dst *N) func(json.RawMessage) string {
	return func(raw json.RawMessage) string {
		n, err := strconv.ParseInt(string(raw), 10, 64)
		if errors.Is(err, strconv.ErrRange) || err == nil && (n < low || n > high) {
			return fmt.Sprintf("must be from %d to %d", low, high)
		}
		if err != nil {
			return "must be a whole number"
		}
		*dst = N(n)
		return ""
	}
}

func isNull(raw json.RawMessage) bool { return string(raw) == "null" }

// maxIDBytes is the maximum length of a caller, request ID or kind. Each row key
// and task ID contains two of them.
const maxIDBytes = 128

// checkID validates a caller, request ID or kind. It returns a description of the
// problem, or "". A slash or '#' would make the key of a request or task
// ambiguous, and an ID such as ".." is lost when a URL path is normalised.
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

// queryInteger returns the value of an integer query parameter in [low, high], or
// defaultValue if the parameter is absent.
func (c *call) queryInteger(name string, low, high, defaultValue int64) int64 {
	values := c.r.URL.Query()[name]
	if len(values) == 0 {
		return defaultValue
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if len(values) > 1 {
		c.addFinding(name, "is given twice")
	} else if err != nil || n < low || n > high {
		c.addFinding(name, fmt.Sprintf("must be a whole number from %d to %d", low, high))
	}
	return n
}

// checkQuery records a finding for a malformed query and for each query parameter
// that is not in known.
func (c *call) checkQuery(known ...string) {
	query, err := url.ParseQuery(c.r.URL.RawQuery)
	if err != nil {
		c.addFinding("query", "is malformed")
	}
	for _, name := range known {
		delete(query, name)
	}
	for _, name := range slices.Sorted(maps.Keys(query)) {
		c.addFinding(truncateName(name), "is not a known parameter")
	}
}

// decodeNoInput is the decoder of endpoints without input.
func decodeNoInput(c *call) struct{} {
	c.checkQuery()
	return struct{}{}
}
