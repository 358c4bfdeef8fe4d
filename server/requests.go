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

// maxTime bounds declared run times and deadlines, as in the rules file.
const maxTime = 30 * 24 * time.Hour

// maxTasks bounds the tasks of one request, as in the rules file.
const maxTasks = 1000

// decodeSubmission reads the body of a new request.
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
		{"id", true, identifier(&sub.Key.ID)},
		{"caller", true, identifier(&sub.Key.Caller)},
		{"kind", true, identifier(&sub.Kind)},
		{"tasks", false, wholeNumber(1, maxTasks, &sub.Tasks)},
		{"declaredRunMs", false, wholeNumber(1, maxTime.Milliseconds(), &runMs)},
		{"deadlineMs", false, wholeNumber(1, maxTime.Milliseconds(), &deadlineMs)},
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
		{"cpuMilli", true, wholeNumber(1, 1_000_000, &r.CPU)},
		{"memoryMiB", true, wholeNumber(1, 16<<20, &r.Memory)},
		{"accelerators", false, wholeNumber(0, 1000, &r.Accelerators)},
		{"slots", false, wholeNumber(1, 1000, &r.Slots)},
	})
	return r
}

// decodeWait reads how long the caller waits. A time over the limit is cut, as
// a caller must expect a pending answer in any case.
func (s *Server) decodeWait(c *call, otherwise time.Duration) time.Duration {
	ms := c.queryInteger("waitMs", 0, math.MaxInt64, otherwise.Milliseconds())
	return time.Duration(min(ms, s.Limits.MaxWait.Milliseconds())) * time.Millisecond
}

// decodeKey reads the caller and the id in a path.
func (s *Server) decodeKey(c *call) descriptor.Key {
	c.checkQuery()
	return c.pathKey()
}

func (c *call) pathKey() descriptor.Key {
	vars := mux.Vars(c.r)
	for _, name := range []string{"caller", "id"} {
		if fault := checkID(vars[name]); fault != "" {
			c.find(name, fault)
		} else if name == "id" {
			c.id = vars[name]
		}
	}
	return descriptor.Key{Caller: descriptor.CallerID(vars["caller"]), ID: descriptor.RequestID(vars["id"])}
}

// statusQuery asks for the outcome of a request.
type statusQuery struct {
	key  descriptor.Key
	wait time.Duration
}

func (s *Server) decodeStatus(c *call) statusQuery {
	c.checkQuery("waitMs")
	return statusQuery{c.pathKey(), s.decodeWait(c, 0)}
}

// waitMargin is the time that an answer may take beyond the caller's wait. It
// ends a handler whose backend does not keep to the wait.
const waitMargin = 5 * time.Second

// waiting returns a context for a call that waits for an outcome. It ends after
// the wait, or when the server can wait no longer during its shutdown.
func (s *Server) waiting(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	stop := context.AfterFunc(s.stopping, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// waitEnded reports whether err means that the wait ended before the request,
// which is then still pending.
func (s *Server) waitEnded(ctx context.Context, err error) bool {
	return errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled) && s.stopping.Err() != nil && ctx.Err() == nil
}

func (s *Server) submit(ctx context.Context, _ *call, sub Submission) (reply[OutcomeBody], error) {
	bounded, cancel := s.waiting(ctx, sub.Wait)
	defer cancel()
	a, err := s.Requests.Submit(bounded, sub)
	if err != nil && s.waitEnded(ctx, err) {
		a, err = Answer{Pending: true}, nil
	}
	if err != nil {
		return reply[OutcomeBody]{}, err
	}
	return s.answer(sub.Key, a), nil
}

func (s *Server) status(ctx context.Context, _ *call, q statusQuery) (reply[OutcomeBody], error) {
	bounded, cancel := s.waiting(ctx, q.wait)
	defer cancel()
	a, known, err := s.Requests.Status(bounded, q.key, q.wait)
	if err != nil && s.waitEnded(ctx, err) {
		a, known, err = Answer{Pending: true}, true, nil
	}
	if err != nil {
		return reply[OutcomeBody]{}, err
	}
	if !known {
		return reply[OutcomeBody]{}, errNotFound
	}
	return s.answer(q.key, a), nil
}

func (s *Server) cancel(ctx context.Context, _ *call, key descriptor.Key) (reply[OutcomeBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.Backend)
	defer cancel()
	a, known, err := s.Requests.Cancel(ctx, key)
	if err != nil {
		return reply[OutcomeBody]{}, err
	}
	if !known {
		return reply[OutcomeBody]{}, errNotFound
	}
	return s.answer(key, a), nil
}

// answer turns the state of a request into a reply.
func (s *Server) answer(key descriptor.Key, a Answer) reply[OutcomeBody] {
	body := newOutcomeBody(key, a)
	s.Scope.Tagged(map[string]string{"outcome": body.Outcome}).Counter("outcomes").Inc(1)
	if a.open() {
		return reply[OutcomeBody]{status: http.StatusAccepted, body: body}
	}
	if a.Outcome.Kind() != descriptor.Refused {
		return reply[OutcomeBody]{status: http.StatusOK, body: body}
	}
	s.Scope.Tagged(map[string]string{"reason": a.Outcome.Reason().String()}).Counter("refusals").Inc(1)
	return reply[OutcomeBody]{
		status: refusalStatus(a.Outcome.Reason()), retryAfter: a.Outcome.RetryAfter(), body: body,
	}
}

// refusalStatus maps a reason to a status: 403 and 422 if the request is at
// fault, 429 if there is too much work, 503 if a part of the cell is missing.
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
