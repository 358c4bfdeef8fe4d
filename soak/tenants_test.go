package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticlead/masticlead/platform/standin"
)

const (
	// revocationBound is the time after the acknowledgement of a configuration from
	// which requests with a key that it removed must not succeed (bounds.revokeMs).
	revocationBound = 5 * time.Second
	// capExcess is the excess over a cap that the settings of the instances permit.
	capExcess = 0.1
	// longestOutage is the longest fault of the store.
	longestOutage = 7 * time.Second
	// capDelay is the time for which a leader may start tasks under the caps of an
	// earlier configuration: 3 s in contact with the store, as long as the store is
	// away, and 2 s for which a start order is valid.
	capDelay = 3*time.Second + longestOutage + 2*time.Second
	// highCap and lowCap are the CPU caps between which the tenant capped changes. Its
	// jobs need about 6,000 on average, as do those of the tenant hot, whose cap makes
	// them wait, so that its rate is limited.
	highCap, lowCap, hotCap = 8000, 4000, 2000
	capped, hot             = 1, 2 // indexes of the tenants
)

// tenantSet holds the tenants of the configuration, and the keys that clients send.
type tenantSet struct {
	sim     *standin.Platform
	mu      sync.Mutex
	rng     *rand.Rand
	version int
	tenants []standin.Tenant

	issued     int
	removed    []removedKey
	lateKeys   []string // requests that succeeded although their key was removed or never issued
	capChanged time.Time
	lastJobs   map[int]string // ID of the job accepted last, by index of the tenant
}

type removedKey struct {
	key    string
	tenant int
	at     time.Time // when the store had acknowledged the removal
}

// credential is the key of a request and the tenant that it belongs to or did.
type credential struct {
	key    string
	tenant int // -1 if the key was never issued
}

// newTenantSet stores a configuration with three tenants: one without a cap, one with a
// cap, and one that sends more than its rate. The first key of each is never removed.
func newTenantSet(sim *standin.Platform, seed uint64) *tenantSet {
	s := &tenantSet{sim: sim, rng: rand.New(rand.NewPCG(seed, 2)), version: 1, capChanged: time.Now(), lastJobs: make(map[int]string)}
	sim.Checker.CapExcess, sim.Checker.CapDelay = capExcess, capDelay
	s.tenants = []standin.Tenant{
		{Name: "large", Weight: 100},
		{Name: "capped", Weight: 100, Cap: map[string]float64{"cpu": highCap}},
		{Name: "hot", Weight: 3, Cap: map[string]float64{"cpu": hotCap}},
	}
	for i := range s.tenants {
		s.tenants[i].APIKeys = []string{s.newKey(), s.newKey()}
	}
	s.store()
	return s
}

func (s *tenantSet) newKey() string {
	s.issued++
	return fmt.Sprintf("key-%d-%016x", s.issued, s.rng.Uint64())
}

// store stores the next version of the configuration.
func (s *tenantSet) store() {
	s.version++
	s.sim.ReplaceTenants(s.version, s.tenants...)
}

// change replaces keys, and lowers or raises the cap, until the given time. It then
// raises the caps, so that the remaining jobs can end in time.
func (s *tenantSet) change(until time.Time) {
	const capInterval = capDelay + 3*time.Second
	for time.Now().Before(until) {
		s.mu.Lock()
		if time.Since(s.capChanged) > capInterval {
			s.setCap(lowCap + highCap - s.tenants[capped].Cap["cpu"])
		} else {
			s.replaceKey(s.rng.IntN(len(s.tenants)))
		}
		pause := time.Duration(500+s.rng.IntN(1500)) * time.Millisecond
		s.mu.Unlock()
		time.Sleep(pause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenants[hot].Cap = nil
	s.setCap(highCap)
}

func (s *tenantSet) setCap(cpu float64) {
	s.tenants[capped].Cap = map[string]float64{"cpu": cpu}
	s.capChanged = time.Now()
	s.store()
}

// replaceKey removes the second key of a tenant and adds another.
func (s *tenantSet) replaceKey(i int) {
	old := s.tenants[i].APIKeys[1]
	s.tenants[i].APIKeys = []string{s.tenants[i].APIKeys[0], s.newKey()}
	s.store()
	s.removed = append(s.removed, removedKey{old, i, time.Now()})
}

// choose returns the credential of the next job. Some are removed keys, most of them for
// about as long as the bound, and some were never issued.
func (s *tenantSet) choose() credential {
	const removedPart, unknownPart, recent = 0.2, 0.03, 8
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.rng.IntN(len(s.tenants))
	switch x := s.rng.Float64(); {
	case x < unknownPart:
		return credential{fmt.Sprintf("unknown-%016x", s.rng.Uint64()), -1}
	case x < unknownPart+removedPart && len(s.removed) > 0:
		r := s.removed[len(s.removed)-1-s.rng.IntN(min(recent, len(s.removed)))]
		return credential{r.key, r.tenant}
	default:
		return credential{s.tenants[i].APIKeys[s.rng.IntN(2)], i}
	}
}

// recordJob tells the checker which tenant a job belongs to. The tasks of all jobs use
// the same resources.
func (s *tenantSet) recordJob(id string, c credential) {
	if c.tenant >= 0 {
		s.sim.Checker.RecordTenant(id, s.tenants[c.tenant].Name, standin.Usage{CPU: taskCPU, MemMb: taskMemMb})
	}
}

// permanent returns a credential of the same tenant that is never removed.
func (s *tenantSet) permanent(c credential) credential {
	if s == nil || c.tenant < 0 {
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return credential{s.tenants[c.tenant].APIKeys[0], c.tenant}
}

// setLastJob records an accepted job of a tenant.
func (s *tenantSet) setLastJob(c credential, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastJobs[c.tenant] = id
}

// queryLastJob asks for the state of a job of the credential's tenant, which an instance
// may know without the store.
func (s *tenantSet) queryLastJob(p *process, c credential) {
	s.mu.Lock()
	id := s.lastJobs[max(0, c.tenant)]
	s.mu.Unlock()
	if id == "" {
		return
	}
	sent := time.Now()
	status, _ := sendRequest(http.MethodGet, p, id, c, nil)
	s.check(c, sent, status)
}

// check records a request that must not have succeeded with its key.
func (s *tenantSet) check(c credential, sent time.Time, status int) {
	if status != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.tenant < 0 {
		s.lateKeys = append(s.lateKeys, "request with the key "+c.key+", which was never issued, succeeded")
		return
	}
	i := slices.IndexFunc(s.removed, func(r removedKey) bool { return r.key == c.key })
	if i < 0 {
		return
	}
	if after := sent.Sub(s.removed[i].at); after > revocationBound {
		s.lateKeys = append(s.lateKeys, fmt.Sprintf("request with the key %s succeeded although it was sent %v after its removal", c.key, after))
	}
}

// requireValid fails if a request or a start violated the rules for tenants.
func (s *tenantSet) requireValid(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	overCap := s.sim.Checker.CapViolations()
	t.Logf("%d configurations, %d keys removed, %d requests with invalid keys accepted, %d starts over a cap",
		s.version, len(s.removed), len(s.lateKeys), len(overCap))
	require.Empty(t, s.lateKeys)
	require.Empty(t, overCap)
}

// sleepInFault waits for the duration of a fault. Some faults
// are longer than the bound for removed keys, and keys are removed when they begin.
func (s *tenantSet) sleepInFault(rng *rand.Rand, ms int) {
	if rng.IntN(2) == 0 {
		time.Sleep(time.Duration(500+rng.IntN(ms)) * time.Millisecond)
		return
	}
	s.mu.Lock()
	for i := range s.tenants {
		s.replaceKey(i)
	}
	s.mu.Unlock()
	time.Sleep(longestOutage)
}
