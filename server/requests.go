package server

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/masticlead/masticlead/descriptor"
)

// maxDuration is the maximum declared run time and deadline, as in the rules file.
const maxDuration = 30 * 24 * time.Hour

// maxTasks is the maximum number of tasks of one request, as in the rules file.
const maxTasks = 1000

// decodeSubmission decodes a new request.
func (s *Server) decodeSubmission(c *call) Submission {
	c.checkQuery("waitMs")
	sub := Submission{Wait: s.decodeWait(c, s.Limits.DefaultWait)}
	body, release, ok := s.readBody(c)
	defer release()
	if !ok {
		return sub
	}
	var runMs, deadlineMs int64
	c.decodeObject(body, "", []member{
		{"id", true, decodeIdentifier(&sub.Key.ID)},
		{"caller", true, decodeIdentifier(&sub.Key.Caller)},
		{"kind", true, decodeIdentifier(&sub.Kind)},
		{"tasks", false, decodeInteger(1, maxTasks, &sub.Tasks)},
		{"declaredRunMs", false, decodeInteger(1, maxDuration.Milliseconds(), &runMs)},
		{"deadlineMs", false, decodeInteger(1, maxDuration.Milliseconds(), &deadlineMs)},
		{"resources", false, func(raw json.RawMessage) string {
			sub.Resources = c.decodeResources(raw)
			return ""
		}},
		{"payload", false, func(raw json.RawMessage) string {
			sub.Payload = raw
			return ""
		}},
	})
	if sub.Key.ID != "" {
		c.id = string(sub.Key.ID)
	}
	sub.DeclaredRun = time.Duration(runMs) * time.Millisecond
	sub.Deadline = time.Duration(deadlineMs) * time.Millisecond
	return sub
}

func (c *call) decodeResources(raw json.RawMessage) *descriptor.Resources {
	r := &descriptor.Resources{Slots: 1}
	c.decodeObject(raw, "resources.", []member{
		{"cpuMilli", true, decodeInteger(1, 1_000_000, &r.CPU)},
		{"memoryMiB", true, decodeInteger(1, 16<<20, &r.Memory)},
		{"accelerators", false, decodeInteger(0, 1000, &r.Accelerators)},
		{"slots", false, decodeInteger(1, 1000, &r.Slots)},
	})
	return r
}

// decodeWait decodes the time that the caller waits. A time above Limits.MaxWait is
// reduced to it, since a caller must handle a pending response in any case.
func (s *Server) decodeWait(c *call, defaultWait time.Duration) time.Duration {
	ms := c.queryInteger("waitMs", 0, math.MaxInt64, defaultWait.Milliseconds())
	return time.Duration(min(ms, s.Limits.MaxWait.Milliseconds())) * time.Millisecond
}

// decodeKey decodes a request whose path contains a caller and a request ID.
func (s *Server) decodeKey(c *call) descriptor.Key {
	c.checkQuery()
	return c.decodePathKey()
}

// decodePathKey decodes the caller and the request ID in the path.
func (c *call) decodePathKey() descriptor.Key {
	vars := mux.Vars(c.r)
	for _, name := range []string{"caller", "id"} {
		if problem := checkID(vars[name]); problem != "" {
			c.addFinding(name, problem)
		} else if name == "id" {
			c.id = vars[name]
		}
	}
	return descriptor.Key{Caller: descriptor.CallerID(vars["caller"]), ID: descriptor.RequestID(vars["id"])}
}

// statusQuery is a caller's query for the outcome of a request.
type statusQuery struct {
	key  descriptor.Key
	wait time.Duration
}

func (s *Server) decodeStatus(c *call) statusQuery {
	c.checkQuery("waitMs")
	return statusQuery{c.decodePathKey(), s.decodeWait(c, 0)}
}

// waitMargin is the time that a backend may take beyond the caller's wait. After
// that, the context of a backend that exceeds the wait is cancelled.
const waitMargin = 5 * time.Second

// waitContext returns the context of a call that waits for an outcome. It ends
// waitMargin after the wait, or when the shutdown of the server cancels all waits.
func (s *Server) waitContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	stop := context.AfterFunc(s.waitsCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// waitEnded reports whether err means that the wait ended before the request did.
// The request is then still pending.
func (s *Server) waitEnded(ctx context.Context, err error) bool {
	return errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled) && s.waitsCtx.Err() != nil && ctx.Err() == nil
}

func (s *Server) submit(ctx context.Context, _ *call, sub Submission) (response[OutcomeBody], error) {
	waitCtx, cancel := s.waitContext(ctx, sub.Wait)
	defer cancel()
	state, err := s.Requests.Submit(waitCtx, sub)
	if err != nil && s.waitEnded(ctx, err) {
		state, err = RequestState{Pending: true}, nil
	}
	if err != nil {
		return response[OutcomeBody]{}, err
	}
	return s.outcomeResponse(sub.Key, state), nil
}

func (s *Server) status(ctx context.Context, _ *call, query statusQuery) (response[OutcomeBody], error) {
	waitCtx, cancel := s.waitContext(ctx, query.wait)
	defer cancel()
	state, known, err := s.Requests.Status(waitCtx, query.key, query.wait)
	if err != nil && s.waitEnded(ctx, err) {
		state, known, err = RequestState{Pending: true}, true, nil
	}
	if err != nil {
		return response[OutcomeBody]{}, err
	}
	if !known {
		return response[OutcomeBody]{}, errNotFound
	}
	return s.outcomeResponse(query.key, state), nil
}

func (s *Server) cancel(ctx context.Context, _ *call, key descriptor.Key) (response[OutcomeBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.BackendTimeout)
	defer cancel()
	state, known, err := s.Requests.Cancel(ctx, key)
	if err != nil {
		return response[OutcomeBody]{}, err
	}
	if !known {
		return response[OutcomeBody]{}, errNotFound
	}
	return s.outcomeResponse(key, state), nil
}

// outcomeResponse returns the response for the state of a request.
func (s *Server) outcomeResponse(key descriptor.Key, state RequestState) response[OutcomeBody] {
	body := newOutcomeBody(key, state)
	s.Scope.Tagged(map[string]string{"outcome": body.Outcome}).Counter("outcomes").Inc(1)
	if state.isPending() {
		return response[OutcomeBody]{status: http.StatusAccepted, body: body}
	}
	if state.Outcome.Kind() != descriptor.Refused {
		return response[OutcomeBody]{status: http.StatusOK, body: body}
	}
	s.Scope.Tagged(map[string]string{"reason": state.Outcome.Reason().String()}).Counter("refusals").Inc(1)
	return response[OutcomeBody]{
		status: refusalStatus(state.Outcome.Reason()), retryAfter: state.Outcome.RetryAfter(), body: body,
	}
}

// refusalStatus maps a refusal reason to an HTTP status: 403 or 422 if the request
// itself is not acceptable, 429 if there is too much work, 503 if a part of the
// cell is unavailable.
func refusalStatus(reason descriptor.Reason) int {
	switch reason {
	case descriptor.ReasonNotAllowed:
		return http.StatusForbidden
	case descriptor.ReasonNeverFits, descriptor.ReasonUnknownKind:
		return http.StatusUnprocessableEntity
	case descriptor.ReasonDeadlineUnmet, descriptor.ReasonDeadlinePassed, descriptor.ReasonQueueFull,
		descriptor.ReasonCallerQueueFull, descriptor.ReasonQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
