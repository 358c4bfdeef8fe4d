package measurer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/masticlead/masticlead/admitter"
	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/placer"
	"github.com/masticlead/masticlead/scheduler"
)

func init() {
	Register(Scenario{
		Name: "cancelWave",
		Doc:  "100,000 requests are queued and 90,000 of them are cancelled within a second",
		Run:  cancelWave,
	})
}

const (
	remainingRequests = 10_000
	cancelledRequests = 90_000
	cancelTargets     = 50
	cancelRounds      = 5
	// decisionInterval is the pause between two timed decisions.
	decisionInterval = 200 * time.Microsecond
)

// cancelBench is a fully occupied cell with a long queue, on real time.
type cancelBench struct {
	scheduler *scheduler.Scheduler
	rng       *rand.Rand
	running   []scheduler.Placement
	lastID    int
}

func newCancelBench(env Env, cfg scheduler.Config, round uint64) *cancelBench {
	b := &cancelBench{rng: env.Rand(round)}
	cfg.Rand, cfg.Placer = env.Rand(100+round), placer.NewPacker(placer.PackerConfig{})
	cfg.Bounds = admitter.Bounds{Requests: 2 * (remainingRequests + cancelledRequests)}
	b.scheduler = scheduler.New(cfg)
	for i := range cancelTargets {
		b.scheduler.AddTarget(descriptor.Target{ID: descriptor.TargetID(fmt.Sprint("t", i)), Capacity: EightSlots})
	}
	return b
}

// submit queues n requests from 1,000 callers and returns their keys.
func (b *cancelBench) submit(n int) ([]descriptor.Key, error) {
	keys := make([]descriptor.Key, 0, n)
	for range n {
		b.lastID++
		now := time.Now()
		caller := b.rng.IntN(1000)
		r := &descriptor.Request{
			Key: descriptor.Key{
				Caller: descriptor.CallerID(fmt.Sprintf("c%03d", caller)),
				ID:     descriptor.RequestID(fmt.Sprint(b.lastID)),
			},
			Team: descriptor.TeamID(fmt.Sprint("team", caller%20)), Kind: "callList", Priority: descriptor.Normal,
			Tasks: 1, Resources: OneSlot, DeclaredRun: time.Second, Arrived: now, Deadline: now.Add(time.Hour),
		}
		if refusal := b.scheduler.Submit(r); refusal != nil {
			return nil, fmt.Errorf("submit refused: %s: %s", refusal.Reason, refusal.Detail)
		}
		keys = append(keys, r.Key)
	}
	return keys, nil
}

// timeDecision completes one running task, places the next one, and returns the
// duration of the placement.
func (b *cancelBench) timeDecision() time.Duration {
	i := b.rng.IntN(len(b.running))
	p := b.running[i]
	b.scheduler.Ended(p.Request.Key, p.Attempt, 0, p.Tasks[0].Target,
		scheduler.Result{Succeeded: true, Started: true, Ran: time.Second})
	b.scheduler.Done(p.Request.Key)
	start := time.Now()
	placements := b.scheduler.Next(1)
	elapsed := time.Since(start)
	if len(placements) == 1 {
		b.running[i] = placements[0]
	}
	return elapsed
}

// timeDecisions makes decisions until stop is closed and returns the duration of
// each in microseconds.
func (b *cancelBench) timeDecisions(stop <-chan struct{}) []float64 {
	var times []float64
	for {
		select {
		case <-stop:
			return times
		default:
		}
		times = append(times, b.timeDecision().Seconds()*1e6)
		time.Sleep(decisionInterval)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cancelResult holds p99 decision times and the mean time of a cancellation, in
// microseconds, and heap sizes in bytes.
type cancelResult struct{ p99Before, p99During, heapBefore, heapAfter, meanCancel, heapPerRequest float64 }

func runCancelBench(env Env, cfg scheduler.Config, round uint64) (cancelResult, error) {
	var res cancelResult
	empty := heapBytes()
	b := newCancelBench(env, cfg, round)
	if _, err := b.submit(remainingRequests); err != nil {
		return res, err
	}
	b.running = b.scheduler.Next(cancelTargets * 8)
	res.heapBefore = heapBytes() - empty
	keys, err := b.submit(cancelledRequests)
	if err != nil {
		return res, err
	}
	res.heapPerRequest = (heapBytes() - empty - res.heapBefore) / float64(len(keys))
	b.rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })

	oneSecond := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(oneSecond) })
	res.p99Before = Quantile(b.timeDecisions(oneSecond), 0.99)

	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(done)
		start := time.Now()
		var total time.Duration
		for i, k := range keys {
			if due := time.Duration(i) * time.Second / time.Duration(len(keys)); i%90 == 0 {
				time.Sleep(due - time.Since(start))
			}
			cancelStart := time.Now()
			b.scheduler.Cancel(k)
			total += time.Since(cancelStart)
		}
		res.meanCancel = total.Seconds() * 1e6 / float64(len(keys))
	})
	res.p99During = Quantile(b.timeDecisions(done), 0.99)
	wg.Wait()
	keys = nil
	res.heapAfter = heapBytes() - empty
	runtime.KeepAlive(b)
	return res, nil
}

// cancelWave reports the median of several rounds, because other processes on the
// machine also delay single decisions.
func cancelWave(env Env) ([]Metric, error) {
	var before, during, slowdown, memory, cancel, baselineSlowdown []float64
	var perRequest float64
	for round := range uint64(cancelRounds) {
		r, err := runCancelBench(env, scheduler.Config{}, round)
		if err != nil {
			return nil, err
		}
		before, during = append(before, r.p99Before), append(during, r.p99During)
		slowdown, memory = append(slowdown, r.p99During/r.p99Before), append(memory, r.heapAfter/r.heapBefore)
		cancel = append(cancel, r.meanCancel)
		perRequest = r.heapPerRequest
	}
	baseline, err := runCancelBench(env, scheduler.Baseline(scheduler.Config{}), 0)
	if err != nil {
		return nil, err
	}
	baselineSlowdown = append(baselineSlowdown, baseline.p99During/baseline.p99Before)
	return []Metric{
		{Name: "decisionP99Before", Value: Quantile(before, 0.5), Unit: "us", Baseline: baseline.p99Before},
		{Name: "decisionP99InWave", Value: Quantile(during, 0.5), Unit: "us", Baseline: baseline.p99During},
		{Name: "decisionP99Ratio", Value: Quantile(slowdown, 0.5), Unit: "ratio", Baseline: Quantile(baselineSlowdown, 0.5), Bound: AtMost(2)},
		{Name: "memoryRatio", Value: Quantile(memory, 0.5), Unit: "ratio", Baseline: baseline.heapAfter / baseline.heapBefore, Bound: AtMost(1.1)},
		{Name: "memoryPerRequest", Value: perRequest, Unit: "bytes", Baseline: baseline.heapPerRequest},
		{Name: "cancelMean", Value: Quantile(cancel, 0.5), Unit: "us", Baseline: baseline.meanCancel},
	}, nil
}
