package examples

import (
	"encoding/json"
	"io/fs"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/loader"
	"github.com/masticlead/masticlead/parser"
)

// files returns the contents of all example files with the given ending.
func files(t *testing.T, ending string) map[string][]byte {
	t.Helper()
	names, err := fs.Glob(Files, "*"+ending)
	require.NoError(t, err)
	require.NotEmpty(t, names)
	out := make(map[string][]byte)
	for _, name := range names {
		out[name], err = Files.ReadFile(name)
		require.NoError(t, err)
	}
	return out
}

// TestExamplesHaveNoFindings guards against an example that a change of the
// formats has made invalid.
func TestExamplesHaveNoFindings(t *testing.T) {
	for name, body := range files(t, ".rules") {
		_, err := parser.Parse(name, body)
		require.NoError(t, err)
	}
	for name, body := range files(t, ".toml") {
		_, err := loader.Parse(name, body)
		require.NoError(t, err)
	}
}

// TestHomesAreDataCentres guards against a caller whose home does not exist, so
// that all its requests would be refused.
func TestHomesAreDataCentres(t *testing.T) {
	for name, body := range files(t, ".toml") {
		settings, err := loader.Parse(name, body)
		require.NoError(t, err)
		name = strings.Replace(name, ".toml", ".rules", 1)
		src, err := Files.ReadFile(name)
		require.NoError(t, err)
		rules, err := parser.Parse(name, src)
		require.NoError(t, err)
		for _, c := range rules.Callers {
			require.True(t, c.Home == "" || slices.Contains(settings.DataCentres, c.Home), "%s: %s", name, c.Home)
		}
	}
}

// TestDeploymentsWeighWhatTheyAskedFor guards against weights that were swapped
// between the deployments.
func TestDeploymentsWeighWhatTheyAskedFor(t *testing.T) {
	weights := make(map[string]descriptor.Weights)
	for name, body := range files(t, ".rules") {
		rules, err := parser.Parse(name, body)
		require.NoError(t, err)
		weights[name] = rules.Weights
	}
	require.Greater(t, weights["nyugat-hu.rules"].PeakWait, weights["nyugat-hu.rules"].ShortFirst)
	require.Greater(t, weights["cluj.rules"].ShortFirst, weights["cluj.rules"].PeakWait)
}

// TestJobsCoverTheDevRules guards against a jobs file that leaves out a kind, or
// that the rules of the development cell refuse as a whole.
func TestJobsCoverTheDevRules(t *testing.T) {
	rules, err := parser.Parse("dev.rules", files(t, ".rules")["dev.rules"])
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(string(files(t, ".jsonl")["morning.jsonl"])), "\n")
	require.GreaterOrEqual(t, len(lines), 40)
	kinds, ids := make(map[descriptor.KindName]int), make(map[descriptor.RequestID]bool)
	denied, larger := 0, 0
	for _, line := range lines {
		var job struct {
			descriptor.Key
			Kind      descriptor.KindName
			Resources descriptor.Resources
		}
		require.NoError(t, json.Unmarshal([]byte(line), &job))
		require.False(t, ids[job.ID], job.ID)
		ids[job.ID] = true
		_, known := rules.CallerRule(job.Caller)
		require.True(t, known, job.Caller)
		if !rules.Allowed(job.Caller, job.Kind) {
			denied++
			continue
		}
		kinds[job.Kind]++
		if job.Resources.CPU > 32_000 {
			larger++
		}
	}
	require.Len(t, kinds, len(rules.Kinds))
	require.Equal(t, 1, denied, "requests of visitors")
	require.Equal(t, 1, larger, "requests that can never run")
}

// TestReadmeRulesHaveNoFindings guards against a first rules file that newcomers
// can't apply.
func TestReadmeRulesHaveNoFindings(t *testing.T) {
	readme, err := os.ReadFile("../README.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(readme), "```rules\n")
	require.True(t, found)
	block, _, found := strings.Cut(rest, "```")
	require.True(t, found)
	_, err = parser.Parse("README.md", []byte(block))
	require.NoError(t, err)
}
