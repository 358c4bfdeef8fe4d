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

// requestIDHeader carries the id of a request in both directions.
const requestIDHeader = "X-Request-Id"

// call is one HTTP request on its way through the stages.
type call struct {
	// id is the request's id: the one in a caller's body or path, otherwise
	// that of the header, otherwise a new one.
	id       string
	w        http.ResponseWriter
	r        *http.Request
	findings []Finding
	// status is the status for the findings; 0 means 400.
	status int
	// overloaded means that there was no room to read the input.
	overloaded bool
}

// maxFindings bounds the findings of one input. A body with thousands of faults
// must not produce an answer of thousands of findings.
const maxFindings = 100

// find records a fault of the input.
func (c *call) find(field, message string) {
	if len(c.findings) >= maxFindings {
		return
	}
	c.findings = append(c.findings, Finding{Field: field, Message: message})
}

// reply is what a handler answers.
type reply[Out any] struct {
	status     int
	retryAfter time.Duration
	body       Out
}

// endpoint builds the handler of a path from its stages. decode records its
// findings in the call; handle runs only if there are none.
func endpoint[In, Out any](
	s *Server, decode func(c *call) In, handle func(ctx context.Context, c *call, in In) (reply[Out], error),
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
		if !s.enter() {
			s.writeOverload(c)
			return
		}
		out, err := func() (reply[Out], error) {
			defer s.leave()
			done := s.active.add(c.id, r.Method+" "+r.URL.Path)
			defer done()
			return handle(r.Context(), c, in)
		}()
		if err != nil {
			s.writeError(c, err)
			return
		}
		s.write(c, out.status, out.retryAfter, out.body)
	})
}

func newCall(w http.ResponseWriter, r *http.Request) *call {
	id := r.Header.Get(requestIDHeader)
	if checkID(id) != "" {
		id = rand.Text()
	}
	return &call{id: id, w: w, r: r}
}

// enter takes one of the slots for requests in progress.
func (s *Server) enter() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Server) leave() { <-s.slots }

// writeOverload answers a call that was not passed on. It is no refusal of the
// request: an earlier call with the same id may have started it.
func (s *Server) writeOverload(c *call) {
	s.Scope.Counter("overloads").Inc(1)
	// Spread over a second, so that refused clients don't return together.
	retryAfter := time.Duration((0.5 + s.Jitter()) * float64(time.Second))
	s.write(c, http.StatusServiceUnavailable, retryAfter, FaultBody{
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
	s.write(c, status, 0, FaultBody{ID: c.id, Findings: c.findings})
}

// errNotFound says that no request has the key asked for.
var errNotFound = errors.New("no request with this caller and id is known")

// retryUnavailable is when an operator may repeat a call after the platform's
// store did not answer.
const retryUnavailable = time.Second

// writeError answers a call that its handler could not serve.
func (s *Server) writeError(c *call, err error) {
	var findings parser.Findings
	var conflict *ConflictError
	var forget *ForgetError
	body := FaultBody{ID: c.id}
	switch {
	case errors.As(err, &forget):
		body.Findings = []Finding{{Field: "instance", Message: forget.Error()}}
		s.write(c, forget.status(), 0, body)
	case errors.As(err, &findings):
		body.Findings = fromParser(findings)
		s.write(c, http.StatusUnprocessableEntity, 0, body)
	case errors.As(err, &conflict):
		body.Findings = []Finding{{Field: "expectedVersion", Message: conflict.Error()}}
		body.Current = &conflict.Current
		s.write(c, http.StatusConflict, 0, body)
	case errors.Is(err, errNotFound):
		body.Findings = []Finding{{Field: "id", Message: err.Error()}}
		s.write(c, http.StatusNotFound, 0, body)
	case errors.Is(err, connector.ErrUnavailable):
		body.Error = err.Error()
		body.RetryAfterMs = retryUnavailable.Milliseconds()
		s.write(c, http.StatusServiceUnavailable, retryUnavailable, body)
	default:
		// A client that closed only its sending side still reads the answer.
		if c.r.Context().Err() != nil {
			s.Scope.Counter("clients_gone").Inc(1)
		} else {
			s.Log.Error("server: request failed", "id", c.id, "path", c.r.URL.Path, "error", err)
		}
		body.Error = err.Error() + "; whether the request took effect is not known"
		s.write(c, http.StatusInternalServerError, 0, body)
	}
}

// status returns the HTTP status for the error.
func (e *ForgetError) status() int {
	switch {
	case e.DataCentre != "":
		return http.StatusMisdirectedRequest
	case e.State != "":
		return http.StatusConflict
	default:
		return http.StatusNotFound
	}
}

func fromParser(findings parser.Findings) []Finding {
	out := make([]Finding, 0, len(findings))
	for _, f := range findings {
		out = append(out, Finding{Field: "rules", Message: f.Message, Line: f.Line, Column: f.Column})
	}
	return out
}

// write encodes an answer. A client that does not read it within the limit
// loses its connection.
func (s *Server) write(c *call, status int, retryAfter time.Duration, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		// A target can answer with a result that is not JSON.
		s.Log.Error("server: answer can't be encoded", "id", c.id, "error", err)
		status = http.StatusInternalServerError
		encoded, _ = json.Marshal(FaultBody{ID: c.id, Error: "the answer can't be encoded"})
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(encoded)+1))
	h.Set(requestIDHeader, c.id)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(retryAfter.Seconds())), 10))
	}
	s.count(c, status)
	s.limitWrite(c.w)
	c.w.WriteHeader(status)
	_, _ = c.w.Write(append(encoded, '\n'))
}

// count counts the answer by path and status.
func (s *Server) count(c *call, status int) {
	path := "other"
	if route := mux.CurrentRoute(c.r); route != nil && route.GetName() != "" {
		path = route.GetName()
	}
	s.Scope.Tagged(map[string]string{
		"path": path, "method": knownMethod(c.r.Method), "status": strconv.Itoa(status),
	}).Counter("http_answers").Inc(1)
}

// knownMethod keeps a client from creating a counter for each made-up method.
func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete, http.MethodHead:
		return strings.ToLower(method)
	default:
		return "other"
	}
}

// fault returns a handler that always answers with one finding.
func (s *Server) fault(status int, field, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := newCall(w, r)
		c.status = status
		c.find(field, message)
		s.writeFindings(c)
	})
}
