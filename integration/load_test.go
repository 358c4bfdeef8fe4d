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

// testRules are the request kinds of both current deployments with short run times.
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

// requestType is a type of request that the load generator sends. Its share is the
// fraction of requests that are of this type.
type requestType struct {
	kind         string
	callerPrefix string
	runMs        int
	share        float64
}

var defaultMix = []requestType{
	{"routeBuild", "stylist", 50, 0.6},
	{"commissionSettlement", "stylist", 80, 0.2},
	{"wiringPlan", "fitter", 100, 0.1},
	{"weekPlan", "stylist", 1500, 0.1},
}

// response is the body of a response to a caller.
type response struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs"`
	ID           string `json:"id"`
	Caller       string `json:"caller"`
	Target       string `json:"target"`

	Result json.RawMessage `json:"result"`
}

// isFinal reports whether the response contains the final outcome of the request. A
// caller retries after 'pending', and after 'unknown' with a retry delay.
func (r response) isFinal() bool {
	return r.Outcome != "" && r.Outcome != "pending" && !(r.Outcome == "unknown" && r.RetryAfterMs > 0)
}

// sentRequest is a request and the last response to it.
type sentRequest struct {
	key         descriptor.Key
	kind        string
	dc          zone // of the instance that sent the last response
	response    response
	respondedAt time.Time
	attempts    int
}

// failedCall is a call that ended without a valid response.
type failedCall struct {
	instanceID descriptor.InstanceID
	at         time.Time
	err        error
}

// load sends requests as callers behind a load balancer do: to any instance and, if
// there is no response, again with the same ID to another instance.
type load struct {
	c     *cell
	seed  uint64
	stopC chan struct{}
	wg    sync.WaitGroup
	mix   []requestType
	// chooseInstance selects the instance for a call.
	chooseInstance func(rng *rand.Rand) *instance

	mu          sync.Mutex
	requests    []*sentRequest
	failedCalls []failedCall
}

// startLoad sends perSecond requests of defaultMix per second to randomly chosen
// instances until stop is called.
func (c *cell) startLoad(seed uint64, perSecond int, instances []*instance) *load {
	return c.startLoadMix(seed, perSecond, defaultMix, randomInstance(instances))
}

// randomInstance returns a function that selects one of the instances at random,
// whether it is running or not.
func randomInstance(instances []*instance) func(*rand.Rand) *instance {
	return func(rng *rand.Rand) *instance { return instances[rng.IntN(len(instances))] }
}

// startLoadMix is like startLoad, with the given request types and the given
// function to choose instances.
func (c *cell) startLoadMix(seed uint64, perSecond int, mix []requestType, choose func(*rand.Rand) *instance) *load {
	l := &load{c: c, seed: seed, stopC: make(chan struct{}), mix: mix, chooseInstance: choose}
	rng := rand.New(rand.NewPCG(seed, 1))
	l.wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stopC:
				return
			case <-tick.C:
				l.startRequest(i, rng)
			}
		}
	})
	return l
}

// startRequest sends the i-th request in the background.
func (l *load) startRequest(i int, rng *rand.Rand) {
	rt := pickRequestType(rng, l.mix)
	requestRNG := rand.New(rand.NewPCG(l.seed, rng.Uint64()))
	s := &sentRequest{
		key:  descriptor.Key{Caller: descriptor.CallerID(fmt.Sprintf("%s-%d", rt.callerPrefix, rng.IntN(40))), ID: descriptor.RequestID(fmt.Sprintf("r%d", i))},
		kind: rt.kind,
	}
	l.mu.Lock()
	l.requests = append(l.requests, s)
	l.mu.Unlock()
	l.wg.Go(func() { l.sendUntilFinal(s, rt, requestRNG) })
}

// pickRequestType selects a request type at random according to the shares.
func pickRequestType(rng *rand.Rand, mix []requestType) requestType {
	x := rng.Float64()
	for _, rt := range mix {
		if x -= rt.share; x < 0 {
			return rt
		}
	}
	return mix[0]
}

// outcomeTimeout is how long a caller retries a request to get its final outcome.
const outcomeTimeout = 60 * time.Second

// sendUntilFinal sends the request repeatedly until the response is final. It chooses
// an instance anew when a call fails or the request is still pending.
func (l *load) sendUntilFinal(s *sentRequest, rt requestType, rng *rand.Rand) {
	body := rt.body(s.key)
	start := time.Now()
	in := l.chooseInstance(rng)
	for time.Since(start) < outcomeTimeout {
		s.attempts++
		resp, err := l.post(in, body)
		if err == nil && resp.Outcome != "" {
			l.mu.Lock()
			s.response, s.respondedAt, s.dc = resp, time.Now(), in.dc
			l.mu.Unlock()
		}
		if err == nil && resp.isFinal() {
			return
		}
		wait := 50 + rng.Int64N(100)
		if err == nil {
			wait = max(wait, min(resp.RetryAfterMs, 2000))
		} else {
			l.mu.Lock()
			l.failedCalls = append(l.failedCalls, failedCall{in.id, time.Now(), err})
			l.mu.Unlock()
		}
		time.Sleep(time.Duration(wait) * time.Millisecond)
		if err != nil || resp.Outcome == "pending" {
			in = l.chooseInstance(rng)
		}
	}
}

// body returns the request body of a submission.
func (rt requestType) body(k descriptor.Key) []byte {
	b, _ := json.Marshal(map[string]any{
		"id": k.ID, "caller": k.Caller, "kind": rt.kind, "payload": emulator.Payload{RunMs: int64(rt.runMs)},
	})
	return b
}

// post submits a request to an instance and returns the response. It returns an error
// if there is no valid response, or if the status is 400.
func (l *load) post(in *instance, body []byte) (response, error) {
	resp, err := l.c.client.Post(in.url+"/v1/requests?waitMs=10000", "application/json", bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	var decoded response
	if err := json.NewDecoder(resp.Body).Decode(&decoded); err != nil {
		return response{}, fmt.Errorf("decode response with status %d: %w", resp.StatusCode, err)
	}
	if resp.StatusCode == http.StatusBadRequest {
		return decoded, fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	return decoded, nil
}

// stop stops the load and waits for the outcomes of the requests in progress.
func (l *load) stop() {
	close(l.stopC)
	l.wg.Wait()
}
