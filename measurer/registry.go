package measurer

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Env is what a scenario gets from the command line.
type Env struct {
	Seed uint64
}

// Rand returns a random source that depends on the seed and the stream only, so
// that the baseline can be given the same work.
func (e Env) Rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(e.Seed, stream))
}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// Doc says in one sentence what is measured.
	Doc string
	// Extra scenarios are run by name only.
	Extra bool
	// Run returns the metrics. Their Scenario field is filled in by Run of the
	// package.
	Run func(Env) ([]Metric, error)
}

var registry = map[string]Scenario{}

// Register adds a scenario. It is called from init functions and panics if the
// name is taken.
func Register(s Scenario) {
	if _, ok := registry[s.Name]; ok {
		panic("measurer: scenario registered twice: " + s.Name)
	}
	registry[s.Name] = s
}

// Scenarios returns all scenarios by name.
func Scenarios() []Scenario {
	all := make([]Scenario, 0, len(registry))
	for _, s := range registry {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Run runs the named scenario.
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
