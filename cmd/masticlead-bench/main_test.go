package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/measurer"
)

func init() {
	measurer.Register(measurer.Scenario{
		Name: "testMissed", ByNameOnly: true,
		Run: func(measurer.Env) ([]measurer.Metric, error) {
			return []measurer.Metric{
				{Name: "kept", Value: 1, Baseline: measurer.NoBaseline(), Bound: measurer.AtMost(1)},
				{Name: "missed", Value: 2, Baseline: 3, Bound: measurer.AtMost(1)},
			}, nil
		},
	})
}

// TestRunScenariosFailsOnMissedBound guards against a run that reports success
// although a metric misses its bound or the scenario does not exist.
func TestRunScenariosFailsOnMissedBound(t *testing.T) {
	var out bytes.Buffer
	require.ErrorIs(t, runScenarios(&out, "testMissed", measurer.Env{Seed: 1}, true), errBoundMissed)
	require.Contains(t, out.String(), `"metric":"kept","value":1,"unit":"","baseline":null,"bound":"<= 1","holds":true`)
	require.Contains(t, out.String(), `"metric":"missed","value":2,"unit":"","baseline":3,"bound":"<= 1","holds":false`)
	out.Reset()
	require.ErrorIs(t, runScenarios(&out, "testMissed", measurer.Env{Seed: 1}, false), errBoundMissed)
	require.Contains(t, out.String(), "MISSED")
	require.Error(t, runScenarios(&out, "none", measurer.Env{}, false))
}
