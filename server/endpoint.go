package server

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/masticlead/masticlead/connector"
	"github.com/masticlead/masticlead/parser"
)

// requestIDHeader carries the request ID in requests and responses.
const requestIDHeader = "X-Request-Id"

// call is the state of one HTTP request during its processing.
type call struct {
	// id is the request ID: that of the body or path of a caller's request,
	// otherwise that of the X-Request-Id header, otherwise a new one.
	id       string
	w        http.ResponseWriter
	r        *http.Request
	findings []Finding
	// status is the HTTP status of a response with findings; 0 means 400.
	status int
	// overloaded means that reading the body would exceed Limits.BufferedBytes.
	overloaded bool
}

// maxFindings is the maximum number of findings of one input. A body with
// thousands of errors must not produce a response with thousands of findings.
const maxFindings = 100

// addFinding records an error in the input. Findings beyond maxFindings are dropped.
func (c *call) addFinding(field, message string) {
	if len(c.findings) >= maxFindings {
		return
	}
	c.findings = append(c.findings, Finding{Field: field, Message: message})
}

// response is the result of a successful handler.
type response[Out any] struct {
	status     int
	retryAfter time.Duration
	body       Out
}

// endpoint returns the handler for a path. decode records findings in the call;
// handle runs only if there are none.
func endpoint[In, Out any](
	s *Server, decode func(c *call) In, handle func(ctx context.Context, c *call, in In) (response[Out], error),
) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := newCall(w, r)
		in := decode(c)
		if c.overloaded {
			s.writeOverload(c)
			return
		}
		if len(c.findings) > 0 {
			s.writeFindings(c)
			return
		}
		if !s.acquireSlot() {
			s.writeOverload(c)
			return
		}
		out, err := func() (response[Out], error) {
			defer s.releaseSlot()
			remove := s.active.add(c.id, r.Method+" "+r.URL.Path)
			defer remove()
			return handle(r.Context(), c, in)
		}()
		if err != nil {
			s.writeError(c, err)
			return
		}
		s.writeJSON(c, out.status, out.retryAfter, out.body)
	})
}

func newCall(w http.ResponseWriter, r *http.Request) *call {
	id := r.Header.Get(requestIDHeader)
	if checkID(id) != "" {
		id = rand.Text()
	}
	return &call{id: id, w: w, r: r}
}

// acquireSlot takes one of the slots for requests in progress. It returns false if
// none is free.
func (s *Server) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) releaseSlot() { <-s.slots }

// writeOverload responds to a call that was rejected before its handler ran. The
// response is not a refusal of the request: an earlier call with the same ID may
// have started it.
func (s *Server) writeOverload(c *call) {
	s.Scope.Counter("overloads").Inc(1)
	// The delays are spread over one second, so that rejected clients do not all
	// retry at the same time.
	retryAfter := time.Duration((0.5 + s.Jitter()) * float64(time.Second))
	s.writeJSON(c, http.StatusServiceUnavailable, retryAfter, ErrorBody{
		ID: c.id, Error: "the instance has too many calls in progress and did not look at this one",
		RetryAfterMs: ceilMs(retryAfter),
	})
}

func (s *Server) writeFindings(c *call) {
	s.Scope.Counter("bad_inputs").Inc(1)
	status := c.status
	if status == 0 {
		status = http.StatusBadRequest
	}
	s.writeJSON(c, status, 0, ErrorBody{ID: c.id, Findings: c.findings})
}

// errNotFound is returned if no request has the requested key.
var errNotFound = errors.New("no request with this caller and id is known")

// unavailableRetryAfter is the retry delay sent to an operator if the platform's
// store does not respond.
const unavailableRetryAfter = time.Second

// writeError responds to a call whose handler returned err.
func (s *Server) writeError(c *call, err error) {
	var findings parser.Findings
	var conflictErr *ConflictError
	var forgetErr *ForgetError
	body := ErrorBody{ID: c.id}
	switch {
	case errors.As(err, &forgetErr):
		body.Findings = []Finding{{Field: "instance", Message: forgetErr.Error()}}
		s.writeJSON(c, forgetErr.httpStatus(), 0, body)
	case errors.As(err, &findings):
		body.Findings = convertFindings(findings)
		s.writeJSON(c, http.StatusUnprocessableEntity, 0, body)
	case errors.As(err, &conflictErr):
		body.Findings = []Finding{{Field: "expectedVersion", Message: conflictErr.Error()}}
		body.Current = &conflictErr.Current
		s.writeJSON(c, http.StatusConflict, 0, body)
	case errors.Is(err, errNotFound):
		body.Findings = []Finding{{Field: "id", Message: err.Error()}}
		s.writeJSON(c, http.StatusNotFound, 0, body)
	case errors.Is(err, connector.ErrUnavailable):
		body.Error = err.Error()
		body.RetryAfterMs = unavailableRetryAfter.Milliseconds()
		s.writeJSON(c, http.StatusServiceUnavailable, unavailableRetryAfter, body)
	default:
		// A client that closed only its sending side can still read the response.
		if c.r.Context().Err() != nil {
			s.Scope.Counter("clients_gone").Inc(1)
		} else {
			s.Log.Error("server: request failed", "id", c.id, "path", c.r.URL.Path, "error", err)
		}
		body.Error = err.Error() + "; whether the request took effect is not known"
		s.writeJSON(c, http.StatusInternalServerError, 0, body)
	}
}

// httpStatus returns the HTTP status for the error.
func (e *ForgetError) httpStatus() int {
	switch {
	case e.DataCentre != "":
		return http.StatusMisdirectedRequest
	case e.State != "":
		return http.StatusConflict
	default:
		return http.StatusNotFound
	}
}

func convertFindings(findings parser.Findings) []Finding {
	out := make([]Finding, 0, len(findings))
	for _, f := range findings {
		out = append(out, Finding{Field: "rules", Message: f.Message, Line: f.Line, Column: f.Column})
	}
	return out
}

// writeJSON writes a response with a JSON body. The connection is closed if the
// client does not read the response within Limits.IOTimeout.
func (s *Server) writeJSON(c *call, status int, retryAfter time.Duration, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		// The result returned by a target may be invalid JSON.
		s.Log.Error("server: response can't be encoded", "id", c.id, "error", err)
		status = http.StatusInternalServerError
		encoded, _ = json.Marshal(ErrorBody{ID: c.id, Error: "the answer can't be encoded"})
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(encoded)+1))
	h.Set(requestIDHeader, c.id)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(retryAfter.Seconds())), 10))
	}
	s.countResponse(c, status)
	s.setWriteDeadline(c.w)
	c.w.WriteHeader(status)
	_, _ = c.w.Write(append(encoded, '\n'))
}

// countResponse counts a response by path, method and status.
func (s *Server) countResponse(c *call, status int) {
	path := "other"
	if route := mux.CurrentRoute(c.r); route != nil && route.GetName() != "" {
		path = route.GetName()
	}
	s.Scope.Tagged(map[string]string{
		"path": path, "method": methodTag(c.r.Method), "status": strconv.Itoa(status),
	}).Counter("http_answers").Inc(1)
}

// methodTag returns the metric tag for an HTTP method. Unknown methods share one
// tag, so that a client can't create a counter for each invented method.
func methodTag(method string) string {
	switch method {
	case http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete, http.MethodHead:
		return strings.ToLower(method)
	default:
		return "other"
	}
}

// findingHandler returns a handler that always responds with one finding.
func (s *Server) findingHandler(status int, field, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := newCall(w, r)
		c.status = status
		c.addFinding(field, message)
		s.writeFindings(c)
	})
}
