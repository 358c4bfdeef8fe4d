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
	// Team and Caller choose who sends a request.
	Team   func(*rand.Rand) descriptor.TeamID
	Caller func(*rand.Rand) descriptor.CallerID
	// Run draws a true run time, Declare what is declared for it; without
	// Declare the truth is declared.
	Run     func(*rand.Rand) time.Duration
	Declare func(*rand.Rand, time.Duration) time.Duration
	// Deadline is the time from arrival to the answer; 0 means none.
	Deadline time.Duration
	// Rate is the number of requests per second at a time, and MaxRate its
	// maximum.
	Rate    func(at time.Duration) float64
	MaxRate float64
	// Batch is the number of requests that arrive together; 0 means 1.
	Batch int
	// Resources is the need of a task; by default one core and one slot.
	Resources descriptor.Resources
}

// OneSlot is the need of a small task.
var OneSlot = descriptor.Resources{CPU: 1000, Memory: 512, Slots: 1}

// Generate draws the requests of the flows between from and to, in the order of
// arrival.
func Generate(rng *rand.Rand, from, to time.Duration, flows ...Flow) []*Job {
	var jobs []*Job
	for i, f := range flows {
		jobs = append(jobs, f.generate(rng, i, from, to)...)
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].At < jobs[b].At })
	return jobs
}

func (f Flow) generate(rng *rand.Rand, index int, from, to time.Duration) []*Job {
	var jobs []*Job
	batch := max(f.Batch, 1)
	// Thinning (Lewis and Shedler, 1979) turns a constant rate into a varying one.
	most := f.MaxRate / float64(batch)
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / most * float64(time.Second))
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
	run := f.Run(rng)
	declared := run
	if f.Declare != nil {
		declared = f.Declare(rng, run)
	}
	resources := f.Resources
	if resources == (descriptor.Resources{}) {
		resources = OneSlot
	}
	return &Job{
		At: at, Run: run, Deadline: f.Deadline, Started: -1, Ended: -1,
		Request: descriptor.Request{
			Key:  descriptor.Key{Caller: f.Caller(rng), ID: descriptor.RequestID(id)},
			Team: f.Team(rng), Kind: f.Kind, Policy: f.Policy, Priority: f.Priority,
			Idempotent: true, Checkpointable: f.Checkpointable, Tasks: 1,
			Resources: resources, DeclaredRun: declared,
		},
	}
}

// Constant returns a rate that does not vary.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Around draws run times between half and one and a half times the mean.
func Around(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		return time.Duration((0.5 + rng.Float64()) * float64(mean))
	}
}

// Lognormal draws run times with the given mean and deviation of the logarithm.
func Lognormal(mean time.Duration, deviation float64) func(*rand.Rand) time.Duration {
	mu := math.Log(float64(mean)) - deviation*deviation/2
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(math.Exp(mu + deviation*rng.NormFloat64()))
	}
}

// OneTeam returns the same team always.
func OneTeam(id descriptor.TeamID) func(*rand.Rand) descriptor.TeamID {
	return func(*rand.Rand) descriptor.TeamID { return id }
}

// SomeCaller draws one of n callers.
func SomeCaller(prefix string, n int) func(*rand.Rand) descriptor.CallerID {
	ids := make([]descriptor.CallerID, n)
	for i := range ids {
		ids[i] = descriptor.CallerID(fmt.Sprintf("%s-%04d", prefix, i))
	}
	return func(rng *rand.Rand) descriptor.CallerID { return ids[rng.IntN(n)] }
}
