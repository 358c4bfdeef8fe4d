package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
}

// sent is a request and the last answer to it.
type sent struct {
	key      descriptor.Key
	kind     string
	dc       zone // where the request was first sent
	answer   answer
	answered time.Time
	tries    int
}

// load sends requests as callers behind a load balancer do: to any instance, and
// again with the same id to another one when there is no answer.
type load struct {
	c     *cell
	seed  uint64
	stopC chan struct{}
	wg    sync.WaitGroup

	mu   sync.Mutex
	sent []*sent
}

// startLoad sends perSecond requests each second until stop is called.
func (c *cell) startLoad(seed uint64, perSecond int, entries []*instance) *load {
	l := &load{c: c, seed: seed, stopC: make(chan struct{})}
	rng := rand.New(rand.NewPCG(seed, 1))
	l.wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stopC:
				return
			case <-tick.C:
				l.launch(i, rng, entries)
			}
		}
	})
	return l
}

func (l *load) launch(i int, rng *rand.Rand, entries []*instance) {
	w := pick(rng)
	first := rng.IntN(len(entries))
	own := rand.New(rand.NewPCG(l.seed, rng.Uint64()))
	s := &sent{
		key:  descriptor.Key{Caller: descriptor.CallerID(fmt.Sprintf("%s-%d", w.caller, rng.IntN(40))), ID: descriptor.RequestID(fmt.Sprintf("r%d", i))},
		kind: w.kind, dc: entries[first].dc,
	}
	l.mu.Lock()
	l.sent = append(l.sent, s)
	l.mu.Unlock()
	l.wg.Go(func() { l.follow(s, w, own, entries, first) })
}

func pick(rng *rand.Rand) workload {
	x := rng.Float64()
	for _, w := range defaultWorkload {
		if x -= w.share; x < 0 {
			return w
		}
	}
	return defaultWorkload[0]
}

// followLimit is how long a caller asks for the outcome of a request.
const followLimit = 60 * time.Second

// follow sends the request until it has a final answer. 'unknown' with a time to
// retry is not final: the caller sends the same request again.
func (l *load) follow(s *sent, w workload, rng *rand.Rand, entries []*instance, next int) {
	body, _ := json.Marshal(map[string]any{
		"id": s.key.ID, "caller": s.key.Caller, "kind": w.kind, "payload": emulator.Work{RunMs: int64(w.runMs)},
	})
	start := time.Now()
	for time.Since(start) < followLimit {
		s.tries++
		a, err := l.post(entries[next%len(entries)], body)
		final := err == nil && a.Outcome != "" && !(a.Outcome == "unknown" && a.RetryAfterMs > 0)
		if err == nil && a.Outcome != "" {
			l.mu.Lock()
			s.answer, s.answered = a, time.Now()
			l.mu.Unlock()
		}
		if final {
			return
		}
		wait := 50 + rng.Int64N(100)
		if err == nil {
			wait = max(wait, min(a.RetryAfterMs, 2000))
		} else {
			next = rng.IntN(len(entries))
		}
		time.Sleep(time.Duration(wait) * time.Millisecond)
	}
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

// check compares the answers with what the targets really ran, and reports the
// counts.
func (l *load) check(t *testing.T) {
	t.Helper()
	counts := map[string]int{}
	refused := map[descriptor.Key]bool{}
	nonIdempotent := map[descriptor.Key]bool{}
	var answered []time.Time
	for _, s := range l.sent {
		name := s.answer.Outcome
		if name == "" || name == "pending" {
			name = "noOutcome"
			t.Errorf("request %s (%s) never got an outcome in %d tries", s.key, s.kind, s.tries)
		} else if s.answer.ID != string(s.key.ID) || s.answer.Caller != string(s.key.Caller) {
			t.Errorf("request %s got the answer to %s/%s", s.key, s.answer.Caller, s.answer.ID)
		}
		if s.answer.Reason != "" {
			name += ":" + s.answer.Reason
		}
		counts[name]++
		refused[s.key] = s.answer.Outcome == "refused"
		nonIdempotent[s.key] = s.kind == "commissionSettlement"
		if s.answer.Outcome == "completed" {
			answered = append(answered, s.answered)
		}
	}
	checkHistories(t, l.c.histories(), refused, nonIdempotent)
	t.Logf("seed %d: %d requests sent, answers %v, longest time without a completion %s",
		l.seed, len(l.sent), counts, longestGap(answered).Round(time.Millisecond))
}

// longestGap returns the longest time between two neighbouring moments.
func longestGap(times []time.Time) time.Duration {
	slices.SortFunc(times, time.Time.Compare)
	var gap time.Duration
	for i := 1; i < len(times); i++ {
		gap = max(gap, times[i].Sub(times[i-1]))
	}
	return gap
}

// runKey names one task of a request over all its attempts.
type runKey struct {
	key   descriptor.Key
	index int
}

// checkHistories checks the properties P1, P2, P4 and P5 from the targets' own
// records.
func checkHistories(t *testing.T, all map[descriptor.TargetID]emulator.History, refused, nonIdempotent map[descriptor.Key]bool) {
	t.Helper()
	runs := map[runKey][]emulator.RunRecord{}
	for id, h := range all {
		require.Zero(t, h.Overcommitted, "P1: target %s was given more than it has", id)
		for _, r := range h.Runs {
			runs[runKey{r.Key, r.Index}] = append(runs[runKey{r.Key, r.Index}], r)
		}
	}
	for k, rs := range runs {
		if refused[k.key] {
			t.Errorf("P4: request %s was refused but ran: %+v", k.key, rs)
		}
		if nonIdempotent[k.key] && len(rs) > 1 {
			t.Errorf("P5: non-idempotent request %s ran %d times: %+v", k.key, len(rs), rs)
		}
		for i := range rs {
			for j := i + 1; j < len(rs); j++ {
				if overlap(rs[i], rs[j]) {
					t.Errorf("P2: request %s task %d ran in two places at once:\n%+v\n%+v", k.key, k.index, rs[i], rs[j])
				}
			}
		}
	}
}

// overlap reports whether two runs were running at the same moment.
func overlap(a, b emulator.RunRecord) bool {
	end := func(r emulator.RunRecord) int64 {
		if r.EndedNs == 0 {
			return time.Now().UnixNano()
		}
		return r.EndedNs
	}
	return a.StartedNs < end(b) && b.StartedNs < end(a)
}
