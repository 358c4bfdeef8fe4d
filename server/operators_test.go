package server

import (
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/connector"
)

// TestApplyRules guards against a change that is applied with another version,
// author or body than the operator sent.
func TestApplyRules(t *testing.T) {
	f := &fake{}
	s := newServer(f)
	w := do(s, "PUT", "/v1/rules?expectedVersion=3&author=Anna+Kov%C3%A1cs", "team a weight=1\n")
	require.Equal(t, 200, w.Code, w.Body)
	require.EqualValues(t, 4, decode[RulesBody](t, w.Body).Version)
	require.Equal(t, rulesChange{3, "Anna Kovács", []byte("team a weight=1\n")}, f.applied)
}

// TestApplyRulesErrors guards against wrong responses if a change of the rules
// conflicts with another one, the rules file is invalid, or the store fails. After
// a conflict, the response must contain the current version.
func TestApplyRulesErrors(t *testing.T) {
	const path = "/v1/rules?expectedVersion=2&author=anna"
	s := newServer(&fake{applyErr: &ConflictError{Expected: 2, Current: RulesInfo{Version: 3, Author: "bela"}}})
	w := do(s, "PUT", path, "x")
	require.Equal(t, 409, w.Code)
	errBody := decode[ErrorBody](t, w.Body)
	require.EqualValues(t, 3, errBody.Current.Version)
	require.Equal(t, "rules version 3 is in force, not 2", errBody.Findings[0].Message)

	w = do(s, "POST", "/v1/rules/check", "team a weight=0\n")
	require.Equal(t, 422, w.Code)
	errBody = decode[ErrorBody](t, w.Body)
	require.Len(t, errBody.Findings, 2)
	require.Equal(t, Finding{
		Field: "rules", Line: 1, Column: 15, Message: "weight: 0 is out of range; it must be from 1 to 1e+06",
	}, errBody.Findings[0])

	s = newServer(&fake{applyErr: connector.ErrUnavailable})
	w = do(s, "PUT", path, "x")
	require.Equal(t, 503, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))

	s = newServer(&fake{applyErr: connector.ErrAmbiguous})
	w = do(s, "PUT", path, "x")
	require.Equal(t, 500, w.Code)
	require.Contains(t, w.Body.String(), "not known")
}

// TestOperatorEndpoints guards against an endpoint that is not served or that
// encodes an empty list as null.
func TestOperatorEndpoints(t *testing.T) {
	s := newServer(&fake{readyErr: errors.New("no rules")})
	s.Metrics = http.NotFoundHandler()
	cases := map[string]struct {
		status int
		body   string
	}{
		"/v1/rules":                 {200, `"version":3,"author":"anna","body":"team a weight=1"`},
		"/v1/rules/history?limit=7": {200, `"versions":[{"version":7}]`},
		"/v1/rules/status":          {200, `"instances":[]`},
		"/v1/instances":             {200, `"instances":[{"id":"gyor-1",`},
		"/v1/targets":               {200, `"targets":[]`},
		"/healthz":                  {200, `"ok":true`},
		"/readyz":                   {503, `"reason":"no rules"`},
		"/metrics":                  {404, "404 page not found"},
	}
	for path, c := range cases {
		w := do(s, "GET", path, "")
		require.Equal(t, c.status, w.Code, path)
		require.Contains(t, w.Body.String(), c.body, path)
	}
	require.Equal(t, 200, do(s, "POST", "/v1/rules/check", "team a weight=1 # asked by Anna").Code)
}

// TestForget guards against the removal of another instance than the one in the
// path, and against a response without the reason why nothing was removed.
func TestForget(t *testing.T) {
	f := &fake{}
	w := do(newServer(f), "POST", "/v1/instances/gyor-2/forget", "")
	require.Equal(t, 200, w.Code, w.Body)
	require.EqualValues(t, "gyor-2", f.forgotten)
	require.EqualValues(t, "gyor-2", decode[ForgetBody](t, w.Body).Instance)

	cases := map[int]struct {
		err     error
		message string
	}{
		421: {&ForgetError{Instance: "sopron-1", DataCentre: "sopron"}, "instance sopron-1 belongs to data centre sopron; ask an instance of sopron"},
		409: {&ForgetError{Instance: "gyor-2", State: "alive"}, "instance gyor-2 is alive; only an instance that has ended can be removed"},
		404: {&ForgetError{Instance: "gyor-9"}, "instance gyor-9 has no session in any data centre"},
		503: {connector.ErrUnavailable, connector.ErrUnavailable.Error()},
		500: {connector.ErrAmbiguous, "not known"},
	}
	for status, c := range cases {
		w := do(newServer(&fake{forgetErr: c.err}), "POST", "/v1/instances/gyor-2/forget", "")
		require.Equal(t, status, w.Code, w.Body)
		require.Contains(t, w.Body.String(), c.message)
	}

	f = &fake{}
	require.Equal(t, 400, do(newServer(f), "POST", "/v1/instances/a%20b/forget", "").Code)
	require.Empty(t, f.forgotten)
}
