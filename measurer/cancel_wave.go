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
		Doc:  "100,000 requests wait and 90,000 of them are cancelled within a second",
		Run:  cancelWave,
	})
}

const (
	waveKept      = 10_000
	waveCancelled = 90_000
	waveTargets   = 50
	waveRounds    = 5
	// wavePause is the time between two decisions while they are timed.
	wavePause = 200 * time.Microsecond
)

// wave is a full cell with a long queue, on real time.
type wave struct {
	s       *scheduler.Scheduler
	rng     *rand.Rand
	running []scheduler.Placement
	next    int
}

func newWave(env Env, cfg scheduler.Config, round uint64) *wave {
	w := &wave{rng: env.Rand(round)}
	cfg.Rand, cfg.Placer = env.Rand(100+round), placer.NewPacker(placer.PackerConfig{})
	cfg.Bounds = admitter.Bounds{Requests: 2 * (waveKept + waveCancelled)}
	w.s = scheduler.New(cfg)
	for i := range waveTargets {
		w.s.AddTarget(descriptor.Target{ID: descriptor.TargetID(fmt.Sprint("t", i)), Capacity: Slots8})
	}
	return w
}

// submit queues n requests of 1,000 callers and returns their keys.
func (w *wave) submit(n int) ([]descriptor.Key, error) {
	keys := make([]descriptor.Key, 0, n)
	for range n {
		w.next++
		now := time.Now()
		caller := w.rng.IntN(1000)
		r := &descriptor.Request{
			Key: descriptor.Key{
				Caller: descriptor.CallerID(fmt.Sprintf("c%03d", caller)),
				ID:     descriptor.RequestID(fmt.Sprint(w.next)),
			},
			Team: descriptor.TeamID(fmt.Sprint("team", caller%20)), Kind: "callList", Priority: descriptor.Normal,
			Tasks: 1, Resources: OneSlot, DeclaredRun: time.Second, Arrived: now, Deadline: now.Add(time.Hour),
		}
		if refusal := w.s.Submit(r); refusal != nil {
			return nil, fmt.Errorf("submit: %s: %s", refusal.Reason, refusal.Detail)
		}
		keys = append(keys, r.Key)
	}
	return keys, nil
}

// decide ends one running task and places the next, and returns how long the
// placement took.
func (w *wave) decide() time.Duration {
	i := w.rng.IntN(len(w.running))
	p := w.running[i]
	w.s.Ended(p.Request.Key, p.Attempt, 0, p.Tasks[0].Target,
		scheduler.Result{Succeeded: true, Started: true, Ran: time.Second})
	w.s.Done(p.Request.Key)
	start := time.Now()
	got := w.s.Next(1)
	took := time.Since(start)
	if len(got) == 1 {
		w.running[i] = got[0]
	}
	return took
}

// decideFor makes decisions until stop is closed and returns their times.
func (w *wave) decideFor(stop <-chan struct{}) []float64 {
	var took []float64
	for {
		select {
		case <-stop:
			return took
		default:
		}
		took = append(took, w.decide().Seconds()*1e6)
		time.Sleep(wavePause)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// waveResult holds p99 decision times in microseconds and bytes of heap.
type waveResult struct{ before, during, base, after, cancel, perRequest float64 }

func runWave(env Env, cfg scheduler.Config, round uint64) (waveResult, error) {
	var res waveResult
	empty := heapBytes()
	w := newWave(env, cfg, round)
	if _, err := w.submit(waveKept); err != nil {
		return res, err
	}
	w.running = w.s.Next(waveTargets * 8)
	res.base = heapBytes() - empty
	keys, err := w.submit(waveCancelled)
	if err != nil {
		return res, err
	}
	res.perRequest = (heapBytes() - empty - res.base) / float64(len(keys))
	w.rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })

	second := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(second) })
	res.before = Quantile(w.decideFor(second), 0.99)

	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(done)
		start := time.Now()
		var spent time.Duration
		for i, k := range keys {
			if at := time.Duration(i) * time.Second / time.Duration(len(keys)); i%90 == 0 {
				time.Sleep(at - time.Since(start))
			}
			began := time.Now()
			w.s.Cancel(k)
			spent += time.Since(began)
		}
		res.cancel = spent.Seconds() * 1e6 / float64(len(keys))
	})
	res.during = Quantile(w.decideFor(done), 0.99)
	wg.Wait()
	keys = nil
	res.after = heapBytes() - empty
	runtime.KeepAlive(w)
	return res, nil
}

// cancelWave reports the median of several rounds, since single decisions are
// also delayed by whatever else runs on the machine.
func cancelWave(env Env) ([]Metric, error) {
	var before, during, slowdown, memory, cancel, plainSlowdown []float64
	var perRequest float64
	for round := range uint64(waveRounds) {
		r, err := runWave(env, scheduler.Config{}, round)
		if err != nil {
			return nil, err
		}
		before, during = append(before, r.before), append(during, r.during)
		slowdown, memory = append(slowdown, r.during/r.before), append(memory, r.after/r.base)
		cancel = append(cancel, r.cancel)
		perRequest = r.perRequest
	}
	plain, err := runWave(env, scheduler.Baseline(scheduler.Config{}), 0)
	if err != nil {
		return nil, err
	}
	plainSlowdown = append(plainSlowdown, plain.during/plain.before)
	return []Metric{
		{Name: "decisionP99Before", Value: Quantile(before, 0.5), Unit: "us", Baseline: plain.before},
		{Name: "decisionP99InWave", Value: Quantile(during, 0.5), Unit: "us", Baseline: plain.during},
		{Name: "decisionP99Ratio", Value: Quantile(slowdown, 0.5), Unit: "ratio", Baseline: Quantile(plainSlowdown, 0.5), Bound: AtMost(2)},
		{Name: "memoryRatio", Value: Quantile(memory, 0.5), Unit: "ratio", Baseline: plain.after / plain.base, Bound: AtMost(1.1)},
		{Name: "memoryPerRequest", Value: perRequest, Unit: "bytes", Baseline: plain.perRequest},
		{Name: "cancelMean", Value: Quantile(cancel, 0.5), Unit: "us", Baseline: plain.cancel},
	}, nil
}
