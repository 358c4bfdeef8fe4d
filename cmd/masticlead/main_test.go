package main

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/loader"
	"github.com/masticlead/masticlead/server"
)

const validRules = "team a weight=1 # asked by Anna Kovacs\n"

// TestCommands guards against a wrong exit code or output of a command, and
// against findings that are not printed one per line on standard error.
func TestCommands(t *testing.T) {
	url := startAPI(t, &stubBackend{version: 3, submit: func(sub server.Submission) (server.RequestState, error) {
		switch sub.Key.ID {
		case "r1":
			return completed(), nil
		case "pending":
			return server.RequestState{Pending: true}, nil
		case "error":
			return server.RequestState{}, errors.New("peer closed the connection")
		}
		refusal := descriptor.Refusal{Reason: descriptor.ReasonQueueFull, RetryAfter: time.Second, Detail: "busy"}
		return server.RequestState{Outcome: descriptor.NewUnstarted().Refuse(refusal)}, nil
	}})
	valid, invalid := writeFile(t, "good.rules", validRules), writeFile(t, "bad.rules", "team a weight=0\n")
	settings := writeFile(t, "s.toml", "[instance]\nname = 1\n")
	submit := func(id string, extra ...string) []string {
		return append([]string{"jobs", "submit", "--server", url, "--id", id, "--caller", "c", "--kind", "k"}, extra...)
	}
	cases := map[string]struct {
		args           []string
		code           int
		stdout, stderr string
	}{
		"submit":                   {submit("r1"), 0, "c/r1: completed on t1, waited 1.0 ms, ran 2.0 ms\n", ""},
		"submit pending":           {submit("pending"), 0, "c/pending: pending\n", ""},
		"submit refused":           {submit("r2"), 1, "c/r2: refused (queueFull), retry after 1000 ms: busy\n", "masticlead: the request did not complete\n"},
		"submit error":             {submit("error"), 1, "", "masticlead: peer closed the connection; whether the request took effect is not known\n"},
		"submit findings":          {submit("a/b", "--tasks", "-1"), 2, "", "id: holds '/'; it consists of letters, digits, '.', '_', '-', ':' and '@'\ntasks: must be from 1 to 1000\n"},
		"submit payload":           {submit("r1", "--payload", "{"), 2, "", "payload: is not valid JSON\n"},
		"submit file":              {[]string{"jobs", "submit", "--server", url, "--file", writeFile(t, "b.json", `{"id":"r1","caller":"c","kind":"k"}`)}, 0, "c/r1: completed on t1, waited 1.0 ms, ran 2.0 ms\n", ""},
		"status":                   {[]string{"jobs", "status", "c", "r1", "--server", url}, 0, "c/r1: completed on t1, waited 1.0 ms, ran 2.0 ms\n", ""},
		"status unknown":           {[]string{"jobs", "status", "c", "r2", "--server", url}, 1, "", "masticlead: no request with this caller and id is known\n"},
		"cancel":                   {[]string{"jobs", "cancel", "c", "r1", "--server", url}, 0, "c/r1: cancelled (cancelledUnstarted)\n", ""},
		"check":                    {[]string{"rules", "check", valid}, 0, valid + ": 1 teams, 0 caller rules, 0 access rules, 0 kinds; no findings\n", ""},
		"check on server":          {[]string{"rules", "check", valid, "--server", url, "--json"}, 0, "{\n  \"access\": 0,\n  \"callers\": 0,\n  \"kinds\": 0,\n  \"teams\": 1\n}\n", ""},
		"check findings":           {[]string{"rules", "check", invalid}, 2, "", invalid + ":1:15: weight: 0 is out of range; it must be from 1 to 1e+06\n" + invalid + ":1:16: rule has no comment; end it with '# asked by NAME: reason'\n"},
		"check no file":            {[]string{"rules", "check", valid + "x"}, 1, "", "masticlead: read rules: open " + valid + "x: no such file or directory\n"},
		"apply":                    {[]string{"rules", "apply", valid, "--expected", "3", "--author", "anna", "--server", url}, 0, "version 4 applied\n", ""},
		"apply conflict":           {[]string{"rules", "apply", valid, "--expected", "2", "--author", "anna", "--server", url}, 1, "", "masticlead: conflict: version 3 by anna is in force; nothing was changed\n"},
		"apply without version":    {[]string{"rules", "apply", valid, "--author", "anna", "--server", url}, 1, "", "masticlead: required flag(s) \"expected\" not set\n"},
		"show":                     {[]string{"rules", "show", "--server", url}, 0, "# version 3 by anna, -\nteam a weight=1\n", ""},
		"history":                  {[]string{"rules", "history", "--server", url}, 0, "VERSION  APPLIED  AUTHOR  HASH\n3        -        anna    \n", ""},
		"rules status":             {[]string{"rules", "status", "--server", url}, 0, "INSTANCE  DATA CENTRE  VERSION  SINCE  REACHABLE\ngyor-1    gyor         3        -      true\n", ""},
		"instances":                {[]string{"instances", "--server", url}, 0, "INSTANCE  DATA CENTRE  STATE  RULES  SLICES  QUEUED  RUNNING\ngyor-1    gyor         alive  0      0       0       0\n", ""},
		"targets":                  {[]string{"targets", "--server", url}, 0, "TARGET  DATA CENTRE  RACK  OWNER  STATE      SLOTS  CPU MILLI  MEMORY MIB\nt1                                placeable  0/8    0/0        0/0\n", ""},
		"forget":                   {[]string{"instances", "forget", "gyor-2", "--confirm", "--server", url}, 0, "session of gyor-2 removed\n", ""},
		"forget unconfirmed":       {[]string{"instances", "forget", "gyor-2", "--server", url}, 1, "", "masticlead: --confirm is missing: forget only an instance that has definitely terminated and will not return as gyor-2\n"},
		"forget other data centre": {[]string{"instances", "forget", "sopron-1", "--confirm", "--server", url}, 2, "", "instance: instance sopron-1 belongs to data centre sopron; ask an instance of sopron\n"},
		"serve findings": {[]string{"serve", "--config", settings}, 2, "", "" +
			settings + ":1:1: dataCentres.names: is missing and has no default\n" +
			settings + ":1:1: platform.directory: is missing and has no default\n" +
			settings + ":1:1: platform.objects: is missing and has no default\n" +
			settings + ":1:1: platform.table: is missing and has no default\n" +
			settings + ":1:2: instance.dataCentre: is missing and has no default\n" +
			settings + ":2:1: instance.name: must be a string, not a whole number\n"},
		"unknown command": {[]string{"job"}, 1, "", "masticlead: unknown command \"job\" for \"masticlead\"\n\nDid you mean this?\n\tjobs\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := runCommand(t, c.args...)
			require.Equal(t, c.stdout, stdout)
			require.Equal(t, c.stderr, stderr)
			require.Equal(t, c.code, code)
		})
	}
}

// TestClientCommandsPrintJSON guards against a command that prints a table
// despite --json, which scripts can't parse.
func TestClientCommandsPrintJSON(t *testing.T) {
	url := startAPI(t, &stubBackend{version: 3, submit: func(server.Submission) (server.RequestState, error) { return completed(), nil }})
	for _, args := range [][]string{
		{"jobs", "submit", "--id", "r1", "--caller", "c", "--kind", "k"},
		{"jobs", "status", "c", "r1"},
		{"jobs", "cancel", "c", "r1"},
		{"rules", "apply", writeFile(t, "good.rules", validRules), "--expected", "3", "--author", "anna"},
		{"rules", "show"},
		{"rules", "history"},
		{"rules", "status"},
		{"instances"},
		{"instances", "forget", "gyor-2", "--confirm"},
		{"targets"},
	} {
		code, stdout, stderr := runCommand(t, append(args, "--json", "--server", url)...)
		require.Equal(t, 0, code, stderr)
		var body struct{ ID string }
		require.NoError(t, json.Unmarshal([]byte(stdout), &body), args)
		require.NotEmpty(t, body.ID, args)
	}
	code, stdout, _ := runCommand(t, "version", "--json")
	require.Equal(t, 0, code)
	require.Contains(t, stdout, `"version"`)
}

// TestServeLoadsSettings guards against an instance that runs with settings other
// than those in its file.
func TestServeLoadsSettings(t *testing.T) {
	var got *loader.Settings
	setForTest(t, &serveInstance, func(_ context.Context, s *loader.Settings) error {
		got = s
		return nil
	})
	code, _, stderr := runCommand(t, "serve", "--config", "../../examples/cluj.toml")
	require.Equal(t, 0, code, stderr)
	require.EqualValues(t, "cluj-a-1", got.Instance.Name)
}

// fakeDevCell is a devCell with the URL of a stub API. It records Close.
type fakeDevCell struct {
	url    string
	closed bool
}

func (c *fakeDevCell) URL() string { return c.url }

func (c *fakeDevCell) Close() error {
	c.closed = true
	return nil
}

// TestDevRunsExampleJobs guards against a development cell that is not closed
// after the jobs, and against example jobs that the API rejects.
func TestDevRunsExampleJobs(t *testing.T) {
	url := startAPI(t, &stubBackend{submit: func(server.Submission) (server.RequestState, error) { return completed(), nil }})
	c := &fakeDevCell{url: url}
	setForTest(t, &startDevCell, func(_ context.Context, rules []byte) (devCell, error) {
		require.Contains(t, string(rules), "kind  routeBuild")
		return c, nil
	})
	code, stdout, stderr := runCommand(t, "dev", "--jobs", "../../examples/morning.jsonl")
	require.Equal(t, 0, code, stderr)
	require.Contains(t, stdout, `{"summary":{"requests":48,"outcomes":{"completed":48},"withoutOutcome":0,"attempts":48,`)
	require.True(t, c.closed)

	code, _, stderr = runCommand(t, "dev", "--jobs", writeFile(t, "bad.jsonl", "[]\n"))
	require.Equal(t, 2, code)
	require.Contains(t, stderr, "bad.jsonl:1:1: line is not a JSON object")
}

// setForTest sets a variable and restores its value at the end of the test.
func setForTest[T any](t *testing.T, ptr *T, v T) {
	t.Helper()
	old := *ptr
	*ptr = v
	t.Cleanup(func() { *ptr = old })
}
