package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/masticlead/masticlead/descriptor"
)

// Flow is a stream of requests of one kind with Poisson arrivals.
type Flow struct {
	Kind           descriptor.KindName
	Policy         descriptor.Policy
	Priority       descriptor.Priority
	Checkpointable bool
	// Team and Caller draw the team and the caller of a request.
	Team   func(*rand.Rand) descriptor.TeamID
	Caller func(*rand.Rand) descriptor.CallerID
	// RunTime draws the actual run time of a request. DeclaredRunTime derives the
	// declared run time from it; if nil, the actual run time is declared.
	RunTime         func(*rand.Rand) time.Duration
	DeclaredRunTime func(*rand.Rand, time.Duration) time.Duration
	// Deadline is relative to the arrival; 0 means none.
	Deadline time.Duration
	// Rate returns the arrival rate at a time in requests per second, and MaxRate
	// is its maximum.
	Rate    func(at time.Duration) float64
	MaxRate float64
	// Batch is the number of requests that arrive together; 0 means 1.
	Batch int
	// Resources is the demand of a task; the zero value means OneSlot.
	Resources descriptor.Resources
}

// OneSlot is the demand of a small task.
var OneSlot = descriptor.Resources{CPU: 1000, Memory: 512, Slots: 1}

// Generate draws the requests of the flows that arrive between from and to, in order
// of arrival.
func Generate(rng *rand.Rand, from, to time.Duration, flows ...Flow) []*Job {
	var jobs []*Job
	for i, f := range flows {
		jobs = append(jobs, f.generate(rng, i, from, to)...)
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].Arrival < jobs[b].Arrival })
	return jobs
}

func (f Flow) generate(rng *rand.Rand, index int, from, to time.Duration) []*Job {
	var jobs []*Job
	batch := max(f.Batch, 1)
	// Thinning (Lewis and Shedler, 1979) generates arrivals with a variable rate
	// from arrivals with the constant rate MaxRate.
	maxArrivalRate := f.MaxRate / float64(batch)
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / maxArrivalRate * float64(time.Second))
		if at >= to {
			return jobs
		}
		if rng.Float64()*f.MaxRate > f.Rate(at) {
			continue
		}
		for range batch {
			jobs = append(jobs, f.job(rng, at, fmt.Sprintf("%d.%d.%d", index, from, len(jobs))))
		}
	}
}

func (f Flow) job(rng *rand.Rand, at time.Duration, id string) *Job {
	run := f.RunTime(rng)
	declared := run
	if f.DeclaredRunTime != nil {
		declared = f.DeclaredRunTime(rng, run)
	}
	resources := f.Resources
	if resources == (descriptor.Resources{}) {
		resources = OneSlot
	}
	return &Job{
		Arrival: at, RunTime: run, Deadline: f.Deadline, Started: -1, Ended: -1,
		Request: descriptor.Request{
			Key:  descriptor.Key{Caller: f.Caller(rng), ID: descriptor.RequestID(id)},
			Team: f.Team(rng), Kind: f.Kind, Policy: f.Policy, Priority: f.Priority,
			Idempotent: true, Checkpointable: f.Checkpointable, Tasks: 1,
			Resources: resources, DeclaredRun: declared,
		},
	}
}

// ConstantRate returns a constant rate function.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// UniformAround draws run times uniformly from 0.5 to 1.5 times the mean.
func UniformAround(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		return time.Duration((0.5 + rng.Float64()) * float64(mean))
	}
}

// Lognormal draws log-normal run times with the given mean and standard deviation of
// the logarithm.
func Lognormal(mean time.Duration, deviation float64) func(*rand.Rand) time.Duration {
	mu := math.Log(float64(mean)) - deviation*deviation/2
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(math.Exp(mu + deviation*rng.NormFloat64()))
	}
}

// FixedTeam always returns the given team.
func FixedTeam(id descriptor.TeamID) func(*rand.Rand) descriptor.TeamID {
	return func(*rand.Rand) descriptor.TeamID { return id }
}

// RandomCaller draws one of n callers uniformly.
func RandomCaller(prefix string, n int) func(*rand.Rand) descriptor.CallerID {
	ids := make([]descriptor.CallerID, n)
	for i := range ids {
		ids[i] = descriptor.CallerID(fmt.Sprintf("%s-%04d", prefix, i))
	}
	return func(rng *rand.Rand) descriptor.CallerID { return ids[rng.IntN(n)] }
}
