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

// change is a rules file that an operator wants in force.
type change struct {
	expected descriptor.RulesVersion
	author   string
	body     []byte
}

// decodeRules reads a rules file.
func (s *Server) decodeRules(c *call) []byte {
	c.checkQuery()
	return s.rulesFile(c)
}

func (s *Server) rulesFile(c *call) []byte {
	body, release, _ := s.readBody(c)
	release()
	return body
}

// decodeChange reads a rules file with the version that it replaces and the
// operator's name.
func (s *Server) decodeChange(c *call) change {
	c.checkQuery("expectedVersion", "author")
	if !c.r.URL.Query().Has("expectedVersion") {
		c.find("expectedVersion", "is missing; give the version that the change replaces, or 0 if there is none")
	}
	expected := c.queryInteger("expectedVersion", 0, math.MaxInt64, 0)
	author := c.r.URL.Query().Get("author")
	if fault := checkAuthor(author); fault != "" {
		c.find("author", fault)
	}
	return change{descriptor.RulesVersion(expected), author, s.rulesFile(c)}
}

// checkAuthor returns what is wrong with an operator's name, or "". The name is
// shown in logs and terminals.
func checkAuthor(author string) string {
	const mostBytes = 128
	if author == "" {
		return "is missing"
	}
	if len(author) > mostBytes || !utf8.ValidString(author) {
		return "must be valid UTF-8 of at most 128 bytes"
	}
	for _, r := range author {
		if !unicode.IsPrint(r) {
			return "holds a character that can't be printed"
		}
	}
	return ""
}

// defaultHistory and maxHistory bound the versions in one answer.
const (
	defaultHistory = 20
	maxHistory     = 1000
)

func decodeLimit(c *call) int {
	c.checkQuery("limit")
	return int(c.queryInteger("limit", 1, maxHistory, defaultHistory))
}

func (s *Server) showRules(_ context.Context, c *call, _ struct{}) (reply[RulesBody], error) {
	return ok(RulesBody{ID: c.id, RulesInfo: s.Rules.Current()})
}

func (s *Server) checkRules(_ context.Context, c *call, body []byte) (reply[CheckBody], error) {
	if err := s.Rules.Check(body); err != nil {
		return reply[CheckBody]{}, err
	}
	return ok(CheckBody{ID: c.id, Findings: []Finding{}})
}

func (s *Server) applyRules(ctx context.Context, c *call, in change) (reply[RulesBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.Backend)
	defer cancel()
	version, err := s.Rules.Apply(ctx, in.expected, in.author, in.body)
	if err != nil {
		return reply[RulesBody]{}, err
	}
	s.Log.Info("server: rules applied", "version", version, "author", in.author, "id", c.id)
	return ok(RulesBody{ID: c.id, RulesInfo: RulesInfo{Version: version, Author: in.author}})
}

func (s *Server) history(ctx context.Context, c *call, limit int) (reply[HistoryBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.Backend)
	defer cancel()
	versions, err := s.Rules.History(ctx, limit)
	if err != nil {
		return reply[HistoryBody]{}, err
	}
	return ok(HistoryBody{ID: c.id, Versions: nonNil(versions)})
}

func (s *Server) rulesStatus(ctx context.Context, c *call, _ struct{}) (reply[RulesStatusBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.Backend)
	defer cancel()
	instances, err := s.Rules.Status(ctx)
	if err != nil {
		return reply[RulesStatusBody]{}, err
	}
	return ok(RulesStatusBody{ID: c.id, Instances: nonNil(instances)})
}

func (s *Server) instances(ctx context.Context, c *call, _ struct{}) (reply[InstancesBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.Backend)
	defer cancel()
	instances, err := s.Cell.Instances(ctx)
	if err != nil {
		return reply[InstancesBody]{}, err
	}
	return ok(InstancesBody{ID: c.id, Instances: nonNil(instances)})
}

// decodeInstance reads the name of an instance from the path.
func decodeInstance(c *call) descriptor.InstanceID {
	c.checkQuery()
	id := mux.Vars(c.r)["id"]
	if fault := checkID(id); fault != "" {
		c.find("id", fault)
	}
	return descriptor.InstanceID(id)
}

func (s *Server) forget(ctx context.Context, c *call, instance descriptor.InstanceID) (reply[ForgetBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.Backend)
	defer cancel()
	if err := s.Cell.Forget(ctx, instance); err != nil {
		return reply[ForgetBody]{}, err
	}
	s.Log.Info("server: instance forgotten", "forgotten", instance, "id", c.id)
	return ok(ForgetBody{ID: c.id, Instance: instance})
}

func (s *Server) targets(ctx context.Context, c *call, _ struct{}) (reply[TargetsBody], error) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.Backend)
	defer cancel()
	targets, err := s.Cell.Targets(ctx)
	if err != nil {
		return reply[TargetsBody]{}, err
	}
	return ok(TargetsBody{ID: c.id, Targets: nonNil(targets)})
}

// ok returns a reply with status 200.
func ok[Out any](body Out) (reply[Out], error) {
	return reply[Out]{status: http.StatusOK, body: body}, nil
}

// nonNil makes an empty list encode as [] instead of null.
func nonNil[E any](list []E) []E {
	if list == nil {
		return []E{}
	}
	return list
}

// HealthBody is the answer of the health checks.
type HealthBody struct {
	ID string `json:"id"`
	OK bool   `json:"ok"`
	// Reason says what is wrong.
	Reason string `json:"reason,omitempty"`
}

// healthz says whether the process works. It takes no slot, so that an instance
// under load is not mistaken for a dead one.
func (s *Server) healthz(w http.ResponseWriter, r *http.Request) {
	s.writeHealth(newCall(w, r), s.Health.Live())
}

// readyz says whether the instance should get requests.
func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r)
	if s.draining.Load() {
		s.write(c, http.StatusServiceUnavailable, 0, HealthBody{ID: c.id, Reason: "the instance is shutting down"})
		return
	}
	s.writeHealth(c, s.Health.Ready())
}

func (s *Server) writeHealth(c *call, err error) {
	if err != nil {
		s.write(c, http.StatusServiceUnavailable, 0, HealthBody{ID: c.id, Reason: err.Error()})
		return
	}
	s.write(c, http.StatusOK, 0, HealthBody{ID: c.id, OK: true})
}
