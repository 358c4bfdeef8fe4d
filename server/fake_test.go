package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/parser"
)

// fake stands in for everything behind the server.
type fake struct {
	submit  func(context.Context, Submission) (Answer, error)
	answer  Answer
	known   bool
	err     error
	applied change
	applies error
	ready   error
	targets []TargetInfo
	// forget is the answer to Forget, forgotten the instance that it named.
	forget    error
	forgotten descriptor.InstanceID
}

func (f *fake) Submit(ctx context.Context, s Submission) (Answer, error) {
	if f.submit != nil {
		return f.submit(ctx, s)
	}
	return f.answer, f.err
}

func (f *fake) Status(context.Context, descriptor.Key, time.Duration) (Answer, bool, error) {
	return f.answer, f.known, f.err
}

func (f *fake) Cancel(context.Context, descriptor.Key) (Answer, bool, error) {
	return f.answer, f.known, f.err
}

func (f *fake) Current() RulesInfo {
	return RulesInfo{Version: 3, Author: "anna", Body: "team a weight=1"}
}

func (f *fake) Check(body []byte) error {
	_, err := parser.Parse("body", body)
	return err
}

func (f *fake) Apply(_ context.Context, expected descriptor.RulesVersion, author string, body []byte) (descriptor.RulesVersion, error) {
	f.applied = change{expected, author, body}
	return expected + 1, f.applies
}

func (f *fake) History(_ context.Context, limit int) ([]RulesInfo, error) {
	return []RulesInfo{{Version: descriptor.RulesVersion(limit)}}, f.err
}

// fakeOperators completes fake; its Status has the signature of Rules.
type fakeOperators struct{ *fake }

func (f fakeOperators) Status(context.Context) ([]RulesStatus, error) { return nil, f.err }

func (f *fake) Instances(context.Context) ([]InstanceInfo, error) {
	return []InstanceInfo{{ID: "gyor-1"}}, f.err
}

func (f *fake) Targets(context.Context) ([]TargetInfo, error) { return f.targets, f.err }

func (f *fake) Forget(_ context.Context, instance descriptor.InstanceID) error {
	f.forgotten = instance
	return f.forget
}

func (f *fake) Ready() error { return f.ready }

func (f *fake) Live() error { return nil }

// newServer returns a server over f without a listener.
func newServer(f *fake) *Server {
	return &Server{Requests: f, Rules: fakeOperators{f}, Cell: f, Health: f, Jitter: func() float64 { return 0.5 }}
}

// do sends one request to the handler.
func do(s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// decode reads the body of an answer.
func decode[T any](t *testing.T, body io.Reader) T {
	t.Helper()
	var v T
	require.NoError(t, json.NewDecoder(body).Decode(&v))
	return v
}

// mustDecode is decode for examples.
func mustDecode[T any](body io.Reader) (v T) {
	if err := json.NewDecoder(body).Decode(&v); err != nil {
		panic(err)
	}
	return v
}

func refuse(reason descriptor.Reason, retryAfter time.Duration) Answer {
	return Answer{Outcome: descriptor.NewUnstarted().Refuse(descriptor.Refusal{Reason: reason, RetryAfter: retryAfter, Detail: "d"})}
}

const valid = `{"id":"r1","caller":"stylist-1","kind":"routeBuild"}`
