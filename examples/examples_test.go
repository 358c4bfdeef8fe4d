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

// readExamples returns the contents of all example files with the given
// extension, by file name.
func readExamples(t *testing.T, extension string) map[string][]byte {
	t.Helper()
	names, err := fs.Glob(Files, "*"+extension)
	require.NoError(t, err)
	require.NotEmpty(t, names)
	contents := make(map[string][]byte)
	for _, name := range names {
		contents[name], err = Files.ReadFile(name)
		require.NoError(t, err)
	}
	return contents
}

// TestExamplesAreValid guards against examples that a change of the rules or
// settings format has made invalid.
func TestExamplesAreValid(t *testing.T) {
	for name, body := range readExamples(t, ".rules") {
		_, err := parser.Parse(name, body)
		require.NoError(t, err)
	}
	for name, body := range readExamples(t, ".toml") {
		_, err := loader.Parse(name, body)
		require.NoError(t, err)
	}
}

// TestCallerHomesExist guards against a caller rule whose home is not a data
// centre of the deployment; all requests of such a caller would be refused.
func TestCallerHomesExist(t *testing.T) {
	for name, body := range readExamples(t, ".toml") {
		settings, err := loader.Parse(name, body)
		require.NoError(t, err)
		name = strings.Replace(name, ".toml", ".rules", 1)
		rulesText, err := Files.ReadFile(name)
		require.NoError(t, err)
		rules, err := parser.Parse(name, rulesText)
		require.NoError(t, err)
		for _, c := range rules.Callers {
			require.True(t, c.Home == "" || slices.Contains(settings.DataCentres, c.Home), "%s: home %q is not a data centre of the deployment", name, c.Home)
		}
	}
}

// TestDeploymentWeights guards against weights that are swapped between the
// deployments: nyugat-hu weighs waiting time at peak demand most, cluj the delay of
// short work behind long work.
func TestDeploymentWeights(t *testing.T) {
	weights := make(map[string]descriptor.Weights)
	for name, body := range readExamples(t, ".rules") {
		rules, err := parser.Parse(name, body)
		require.NoError(t, err)
		weights[name] = rules.Weights
	}
	require.Greater(t, weights["nyugat-hu.rules"].PeakWait, weights["nyugat-hu.rules"].ShortFirst)
	require.Greater(t, weights["cluj.rules"].ShortFirst, weights["cluj.rules"].PeakWait)
}

// TestJobsCoverDevRules guards against example jobs that leave out a kind of the
// development rules, or that these rules reject altogether.
func TestJobsCoverDevRules(t *testing.T) {
	rules, err := parser.Parse("dev.rules", readExamples(t, ".rules")["dev.rules"])
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(string(readExamples(t, ".jsonl")["morning.jsonl"])), "\n")
	require.GreaterOrEqual(t, len(lines), 40)
	kinds, ids := make(map[descriptor.KindName]int), make(map[descriptor.RequestID]bool)
	denied, oversized := 0, 0
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
		if job.Resources.CPU > 32_000 { // the capacity of a target in the development cell
			oversized++
		}
	}
	require.Len(t, kinds, len(rules.Kinds))
	require.Equal(t, 1, denied, "requests denied by the rules")
	require.Equal(t, 1, oversized, "requests larger than any target")
}

// TestReadmeRulesAreValid guards against a README example that the parser
// rejects, so that new users could not apply it.
func TestReadmeRulesAreValid(t *testing.T) {
	readme, err := os.ReadFile("../README.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(readme), "```rules\n")
	require.True(t, found)
	block, _, found := strings.Cut(rest, "```")
	require.True(t, found)
	_, err = parser.Parse("README.md", []byte(block))
	require.NoError(t, err)
}
