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

// fake implements the interfaces that a Server uses, except Rules.
type fake struct {
	submit   func(context.Context, Submission) (RequestState, error)
	state    RequestState
	known    bool
	err      error
	applied  rulesChange
	applyErr error
	readyErr error
	targets  []TargetInfo
	// forgetErr is the result of Forget, forgotten the instance passed to it.
	forgetErr error
	forgotten descriptor.InstanceID
}

func (f *fake) Submit(ctx context.Context, s Submission) (RequestState, error) {
	if f.submit != nil {
		return f.submit(ctx, s)
	}
	return f.state, f.err
}

func (f *fake) Status(context.Context, descriptor.Key, time.Duration) (RequestState, bool, error) {
	return f.state, f.known, f.err
}

func (f *fake) Cancel(context.Context, descriptor.Key) (RequestState, bool, error) {
	return f.state, f.known, f.err
}

func (f *fake) Current() RulesInfo {
	return RulesInfo{Version: 3, Author: "anna", Body: "team a weight=1"}
}

func (f *fake) Check(body []byte) error {
	_, err := parser.Parse("body", body)
	return err
}

func (f *fake) Apply(_ context.Context, expected descriptor.RulesVersion, author string, body []byte) (descriptor.RulesVersion, error) {
	f.applied = rulesChange{expected, author, body}
	return expected + 1, f.applyErr
}

func (f *fake) History(_ context.Context, limit int) ([]RulesInfo, error) {
	return []RulesInfo{{Version: descriptor.RulesVersion(limit)}}, f.err
}

// fakeRules implements Rules. It wraps fake, whose Status has the signature of
// Requests.
type fakeRules struct{ *fake }

func (f fakeRules) Status(context.Context) ([]RulesStatus, error) { return nil, f.err }

func (f *fake) Instances(context.Context) ([]InstanceInfo, error) {
	return []InstanceInfo{{ID: "gyor-1"}}, f.err
}

func (f *fake) Targets(context.Context) ([]TargetInfo, error) { return f.targets, f.err }

func (f *fake) Forget(_ context.Context, instance descriptor.InstanceID) error {
	f.forgotten = instance
	return f.forgetErr
}

func (f *fake) Ready() error { return f.readyErr }

func (f *fake) Live() error { return nil }

// newServer returns a server without a listener that uses f.
func newServer(f *fake) *Server {
	return &Server{Requests: f, Rules: fakeRules{f}, Cell: f, Health: f, Jitter: func() float64 { return 0.5 }}
}

// do passes one request to the handler of s.
func do(s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// decode decodes a JSON response body.
func decode[T any](t *testing.T, body io.Reader) T {
	t.Helper()
	var v T
	require.NoError(t, json.NewDecoder(body).Decode(&v))
	return v
}

// mustDecode is like decode, for examples, which have no testing.T.
func mustDecode[T any](body io.Reader) (v T) {
	if err := json.NewDecoder(body).Decode(&v); err != nil {
		panic(err)
	}
	return v
}

// refusedState returns the state of a request that was refused.
func refusedState(reason descriptor.Reason, retryAfter time.Duration) RequestState {
	return RequestState{Outcome: descriptor.NewUnstarted().Refuse(descriptor.Refusal{Reason: reason, RetryAfter: retryAfter, Detail: "d"})}
}

const validBody = `{"id":"r1","caller":"stylist-1","kind":"routeBuild"}`
