package server

import (
	"context"
	"math"
	"net/http"
	"unicode"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"github.com/masticlead/masticlead/descriptor"
)

// rulesChange is an operator's request to replace the rules.
type rulesChange struct {
	expected descriptor.RulesVersion
	author   string
	body     []byte
}

// decodeRules decodes a request whose body is a rules file.
func (s *Server) decodeRules(c *call) []byte {
	c.checkQuery()
	return s.readRulesFile(c)
}

func (s *Server) readRulesFile(c *call) []byte {
	body, release, _ := s.readBody(c)
	release()
	return body
}

// decodeRulesChange decodes a rules file, the version that it replaces and the
// name of the operator.
func (s *Server) decodeRulesChange(c *call) rulesChange {
	c.checkQuery("expectedVersion", "author")
	if !c.r.URL.Query().Has("expectedVersion") {
		c.addFinding("expectedVersion", "is missing; give the version that the change replaces, or 0 if there is none")
	}
	expected := c.queryInteger("expectedVersion", 0, math.MaxInt64, 0)
	author := c.r.URL.Query().Get("author")
	if problem := checkAuthor(author); problem != "" {
		c.addFinding("author", problem)
	}
	return rulesChange{descriptor.RulesVersion(expected), author, s.readRulesFile(c)}
}

// checkAuthor validates the name of an operator. It returns a description of the
// problem, or "". Unprintable characters are rejected, since the name is shown in
// logs and terminals.
func checkAuthor(author string) string {
	const maxBytes = 128
	if author == "" {
		return "is missing"
	}
	if len(author) > maxBytes || !utf8.ValidString(author) {
		return "must be valid UTF-8 of at most 128 bytes"
	}
	for _, r := range author {
		if !unicode.IsPrint(r) {
			return "holds a character that can't be printed"
		}
	}
	return ""
}

// Default and maximum number of versions in one response.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// decodeHistoryLimit decodes the maximum number of versions to return.
func decodeHistoryLimit(c *call) int {
	c.checkQuery("limit")
	return int(c.queryInteger("limit", 1, maxHistoryLimit, defaultHistoryLimit))
}

func (s *Server) showRules(_ context.Context, c *call, _ struct{}) (response[RulesBody], error) {
	return okResponse(RulesBody{ID: c.id, RulesInfo: s.Rules.Current()})
}

func (s *Server) checkRules(_ context.Context, c *call, body []byte) (response[CheckBody], error) {
	if err := s.Rules.Check(body); err != nil {
		return response[CheckBody]{}, err
	}
	return okResponse(CheckBody{ID: c.id, Findings: []Finding{}})
}

func (s *Server) applyRules(ctx context.Context, c *call, in rulesChange) (response[RulesBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.BackendTimeout)
	defer cancel()
	version, err := s.Rules.Apply(ctx, in.expected, in.author, in.body)
	if err != nil {
		return response[RulesBody]{}, err
	}
	s.Log.Info("server: rules applied", "version", version, "author", in.author, "id", c.id)
	return okResponse(RulesBody{ID: c.id, RulesInfo: RulesInfo{Version: version, Author: in.author}})
}

func (s *Server) history(ctx context.Context, c *call, limit int) (response[HistoryBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.BackendTimeout)
	defer cancel()
	versions, err := s.Rules.History(ctx, limit)
	if err != nil {
		return response[HistoryBody]{}, err
	}
	return okResponse(HistoryBody{ID: c.id, Versions: nonNil(versions)})
}

func (s *Server) rulesStatus(ctx context.Context, c *call, _ struct{}) (response[RulesStatusBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.BackendTimeout)
	defer cancel()
	instances, err := s.Rules.Status(ctx)
	if err != nil {
		return response[RulesStatusBody]{}, err
	}
	return okResponse(RulesStatusBody{ID: c.id, Instances: nonNil(instances)})
}

func (s *Server) instances(ctx context.Context, c *call, _ struct{}) (response[InstancesBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.BackendTimeout)
	defer cancel()
	instances, err := s.Cell.Instances(ctx)
	if err != nil {
		return response[InstancesBody]{}, err
	}
	return okResponse(InstancesBody{ID: c.id, Instances: nonNil(instances)})
}

// decodeInstance decodes the instance ID in a path.
func decodeInstance(c *call) descriptor.InstanceID {
	c.checkQuery()
	id := mux.Vars(c.r)["id"]
	if problem := checkID(id); problem != "" {
		c.addFinding("id", problem)
	}
	return descriptor.InstanceID(id)
}

func (s *Server) forget(ctx context.Context, c *call, instance descriptor.InstanceID) (response[ForgetBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.BackendTimeout)
	defer cancel()
	if err := s.Cell.Forget(ctx, instance); err != nil {
		return response[ForgetBody]{}, err
	}
	s.Log.Info("server: instance forgotten", "forgotten", instance, "id", c.id)
	return okResponse(ForgetBody{ID: c.id, Instance: instance})
}

func (s *Server) targets(ctx context.Context, c *call, _ struct{}) (response[TargetsBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.BackendTimeout)
	defer cancel()
	targets, err := s.Cell.Targets(ctx)
	if err != nil {
		return response[TargetsBody]{}, err
	}
	return okResponse(TargetsBody{ID: c.id, Targets: nonNil(targets)})
}

// okResponse returns a response with status 200.
func okResponse[Out any](body Out) (response[Out], error) {
	return response[Out]{status: http.StatusOK, body: body}, nil
}

// nonNil replaces a nil slice by an empty one, which is encoded as [] instead of
// null.
func nonNil[E any](list []E) []E {
	if list == nil {
		return []E{}
	}
	return list
}

// HealthBody is the response body of the health checks.
type HealthBody struct {
	ID string `json:"id"`
	OK bool   `json:"ok"`
	// Reason is the reason why the check failed.
	Reason string `json:"reason,omitempty"`
}

// healthz is the liveness check. It needs no request slot, so that an overloaded
// instance does not fail it.
func (s *Server) healthz(w http.ResponseWriter, r *http.Request) {
	s.writeHealth(newCall(w, r), s.Health.Live())
}

// readyz is the readiness check. It fails while the instance can't serve callers.
func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r)
	if s.draining.Load() {
		s.writeJSON(c, http.StatusServiceUnavailable, 0, HealthBody{ID: c.id, Reason: "the instance is shutting down"})
		return
	}
	s.writeHealth(c, s.Health.Ready())
}

func (s *Server) writeHealth(c *call, err error) {
	if err != nil {
		s.writeJSON(c, http.StatusServiceUnavailable, 0, HealthBody{ID: c.id, Reason: err.Error()})
		return
	}
	s.writeJSON(c, http.StatusOK, 0, HealthBody{ID: c.id, OK: true})
}
