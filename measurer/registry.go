package measurer

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Env holds the command-line parameters of a scenario.
type Env struct {
	Seed uint64
}

// Rand returns a random source that depends only on the seed and the stream, so that
// the baseline can run the same workload.
func (e Env) Rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(e.Seed, stream))
}

// Scenario is a named benchmark.
type Scenario struct {
	Name string
	// Doc describes the scenario in one sentence.
	Doc string
	// ByNameOnly excludes the scenario from runs of all scenarios.
	ByNameOnly bool
	// Run returns the metrics. The package-level function Run sets their Scenario
	// field.
	Run func(Env) ([]Metric, error)
}

var registry = map[string]Scenario{}

// Register adds a scenario. It must be called from init functions and panics if the
// name is already registered.
func Register(s Scenario) {
	if _, ok := registry[s.Name]; ok {
		panic("measurer: scenario registered twice: " + s.Name)
	}
	registry[s.Name] = s
}

// Scenarios returns all scenarios, sorted by name.
func Scenarios() []Scenario {
	all := make([]Scenario, 0, len(registry))
	for _, s := range registry {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Run runs the named scenario. If the scenario fails, Run also returns the metrics
// measured so far.
func Run(name string, env Env) ([]Metric, error) {
	s, ok := registry[name]
	if !ok {
		return nil, fmt.Errorf("unknown scenario %q", name)
	}
	metrics, err := s.Run(env)
	for i := range metrics {
		metrics[i].Scenario = name
	}
	if err != nil {
		return metrics, fmt.Errorf("scenario %s: %w", name, err)
	}
	return metrics, nil
}
