package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/parser"
	"github.com/masticlead/masticlead/server"
)

// stubBackend implements server.Requests, server.Cell and server.Health.
type stubBackend struct {
	submit  func(server.Submission) (server.RequestState, error)
	version descriptor.RulesVersion
}

func (s *stubBackend) Submit(_ context.Context, sub server.Submission) (server.RequestState, error) {
	return s.submit(sub)
}

func (s *stubBackend) Status(_ context.Context, key descriptor.Key, _ time.Duration) (server.RequestState, bool, error) {
	return completed(), key.ID == "r1", nil
}

func (s *stubBackend) Cancel(_ context.Context, key descriptor.Key) (server.RequestState, bool, error) {
	return server.RequestState{Outcome: descriptor.NewUnstarted().Cancel()}, key.ID == "r1", nil
}

// stubRules implements server.Rules, whose Status method has another signature
// than that of server.Requests.
type stubRules struct{ *stubBackend }

func (s stubRules) Current() server.RulesInfo {
	return server.RulesInfo{Version: s.version, Author: "anna", Body: "team a weight=1\n"}
}

func (s stubRules) Check(body []byte) error {
	_, err := parser.Parse("body", body)
	return err
}

func (s stubRules) Apply(_ context.Context, expected descriptor.RulesVersion, _ string, _ []byte) (descriptor.RulesVersion, error) {
	if expected != s.version {
		return 0, &server.ConflictError{Expected: expected, Current: s.Current()}
	}
	return expected + 1, nil
}

func (s stubRules) History(context.Context, int) ([]server.RulesInfo, error) {
	return []server.RulesInfo{s.Current()}, nil
}

func (s stubRules) Status(context.Context) ([]server.RulesStatus, error) {
	return []server.RulesStatus{{Instance: "gyor-1", DataCentre: "gyor", Version: s.version, Reachable: true}}, nil
}

func (s *stubBackend) Instances(context.Context) ([]server.InstanceInfo, error) {
	return []server.InstanceInfo{{ID: "gyor-1", DataCentre: "gyor", State: "alive"}}, nil
}

func (s *stubBackend) Targets(context.Context) ([]server.TargetInfo, error) {
	return []server.TargetInfo{{ID: "t1", State: "placeable", Capacity: descriptor.Resources{Slots: 8}}}, nil
}

func (s *stubBackend) Forget(_ context.Context, instance descriptor.InstanceID) error {
	if instance != "gyor-2" {
		return &server.ForgetError{Instance: instance, DataCentre: "sopron"}
	}
	return nil
}

func (s *stubBackend) Ready() error { return nil }

func (s *stubBackend) Live() error { return nil }

func completed() server.RequestState {
	run := descriptor.Run{Target: "t1", Wait: time.Millisecond, Run: 2 * time.Millisecond}
	return server.RequestState{Outcome: descriptor.NewUnstarted().Start().Complete(run)}
}

// startAPI serves the API over the stub and returns its base URL.
func startAPI(t *testing.T, s *stubBackend) string {
	t.Helper()
	api := &server.Server{Requests: s, Rules: stubRules{s}, Cell: s, Health: s}
	ts := httptest.NewServer(api.Handler())
	t.Cleanup(ts.Close)
	return ts.URL
}

// runCommand runs one command and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = run(context.Background(), args, strings.NewReader(""), &out, &errs)
	return code, out.String(), errs.String()
}

// writeFile creates a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(body), 0o600))
	return path
}
