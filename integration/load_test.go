package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/masticlead/masticlead/descriptor"
	"github.com/masticlead/masticlead/emulator"
)

// testRules are the kinds of both deployments with short run times.
const testRules = `team salons weight=1 # asked by test
team fitters weight=1 # asked by test
caller stylist-* team=salons maxQueued=2000 # asked by test
caller fitter-* team=fitters maxQueued=2000 # asked by test
allow * kind=* # asked by test
kind routeBuild policy=interactive priority=urgent idempotent=yes cpuMilli=1000 memoryMiB=256 runMs=50 deadlineMs=20000 # asked by test
kind commissionSettlement policy=batch priority=normal idempotent=no cpuMilli=1000 memoryMiB=256 runMs=80 deadlineMs=30000 # asked by test
kind wiringPlan policy=gang priority=normal idempotent=yes tasks=3 cpuMilli=1000 memoryMiB=256 runMs=100 deadlineMs=30000 # asked by test
kind weekPlan policy=batch priority=bulk idempotent=yes cpuMilli=2000 memoryMiB=512 runMs=1500 deadlineMs=60000 # asked by test
`

// workload is one kind of request that the load generator sends.
type workload struct {
	kind   string
	caller string
	runMs  int
	share  float64
}

var defaultWorkload = []workload{
	{"routeBuild", "stylist", 50, 0.6},
	{"commissionSettlement", "stylist", 80, 0.2},
	{"wiringPlan", "fitter", 100, 0.1},
	{"weekPlan", "stylist", 1500, 0.1},
}

// answer is the body of an answer to a caller.
type answer struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs"`
	ID           string `json:"id"`
	Caller       string `json:"caller"`
	Target       string `json:"target"`

	Result json.RawMessage `json:"result"`
}

// final reports whether the answer says what became of the request. A caller asks
// again after 'pending', and after 'unknown' with a time to retry.
func (a answer) final() bool {
	return a.Outcome != "" && a.Outcome != "pending" && !(a.Outcome == "unknown" && a.RetryAfterMs > 0)
}

// sent is a request and the last answer to it.
type sent struct {
	key      descriptor.Key
	kind     string
	dc       zone // of the instance that gave the last answer
	answer   answer
	answered time.Time
	tries    int
}

// cutConnection is a call that ended without an answer.
type cutConnection struct {
	entry descriptor.InstanceID
	at    time.Time
	err   error
}

// load sends requests as callers behind a load balancer do: to any instance, and
// again with the same id to another one when there is no answer.
type load struct {
	c     *cell
	seed  uint64
	stopC chan struct{}
	wg    sync.WaitGroup
	mix   []workload
	// choose selects the instance for a call.
	choose func(rng *rand.Rand) *instance

	mu   sync.Mutex
	sent []*sent
	cut  []cutConnection
}

// startLoad sends perSecond requests each second until stop is called.
func (c *cell) startLoad(seed uint64, perSecond int, entries []*instance) *load {
	return c.startMix(seed, perSecond, defaultWorkload, anyOf(entries))
}

// anyOf selects any of the instances, alive or not.
func anyOf(entries []*instance) func(*rand.Rand) *instance {
	return func(rng *rand.Rand) *instance { return entries[rng.IntN(len(entries))] }
}

// startMix does the same with the given kinds of work and choice of instances.
func (c *cell) startMix(seed uint64, perSecond int, mix []workload, choose func(*rand.Rand) *instance) *load {
	l := &load{c: c, seed: seed, stopC: make(chan struct{}), mix: mix, choose: choose}
	rng := rand.New(rand.NewPCG(seed, 1))
	l.wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stopC:
				return
			case <-tick.C:
				l.launch(i, rng)
			}
		}
	})
	return l
}

func (l *load) launch(i int, rng *rand.Rand) {
	w := pick(rng, l.mix)
	own := rand.New(rand.NewPCG(l.seed, rng.Uint64()))
	s := &sent{
		key:  descriptor.Key{Caller: descriptor.CallerID(fmt.Sprintf("%s-%d", w.caller, rng.IntN(40))), ID: descriptor.RequestID(fmt.Sprintf("r%d", i))},
		kind: w.kind,
	}
	l.mu.Lock()
	l.sent = append(l.sent, s)
	l.mu.Unlock()
	l.wg.Go(func() { l.follow(s, w, own) })
}

func pick(rng *rand.Rand, mix []workload) workload {
	x := rng.Float64()
	for _, w := range mix {
		if x -= w.share; x < 0 {
			return w
		}
	}
	return mix[0]
}

// followLimit is how long a caller asks for the outcome of a request.
const followLimit = 60 * time.Second

// follow sends the request until it has a final answer. It stays with an instance
// until a call there ends without an answer.
func (l *load) follow(s *sent, w workload, rng *rand.Rand) {
	body := w.body(s.key)
	start := time.Now()
	entry := l.choose(rng)
	for time.Since(start) < followLimit {
		s.tries++
		a, err := l.post(entry, body)
		if err == nil && a.Outcome != "" {
			l.mu.Lock()
			s.answer, s.answered, s.dc = a, time.Now(), entry.dc
			l.mu.Unlock()
		}
		if err == nil && a.final() {
			return
		}
		wait := 50 + rng.Int64N(100)
		if err == nil {
			wait = max(wait, min(a.RetryAfterMs, 2000))
		} else {
			l.mu.Lock()
			l.cut = append(l.cut, cutConnection{entry.id, time.Now(), err})
			l.mu.Unlock()
		}
		time.Sleep(time.Duration(wait) * time.Millisecond)
		if err != nil || a.Outcome == "pending" {
			entry = l.choose(rng)
		}
	}
}

// body returns the body of a submission.
func (w workload) body(k descriptor.Key) []byte {
	b, _ := json.Marshal(map[string]any{
		"id": k.ID, "caller": k.Caller, "kind": w.kind, "payload": emulator.Work{RunMs: int64(w.runMs)},
	})
	return b
}

func (l *load) post(in *instance, body []byte) (answer, error) {
	resp, err := l.c.client.Post(in.url+"/v1/requests?waitMs=10000", "application/json", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return answer{}, fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	if resp.StatusCode == http.StatusBadRequest {
		return a, fmt.Errorf("status %d", resp.StatusCode)
	}
	return a, nil
}

// stop ends the load and waits for the answers.
func (l *load) stop() {
	close(l.stopC)
	l.wg.Wait()
}
