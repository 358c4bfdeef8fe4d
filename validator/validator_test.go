package validator

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	w "github.com/masticlead/masticlead/workload"
)

func key(text string) w.KeyDigest { return sha256.Sum256([]byte(text)) }

func validConfig() *w.Config {
	return &w.Config{
		Version:  3,
		Queues:   []w.Queue{{Name: "plans", Host: "h", Prefix: "/plans/", Service: "s", Attempts: 2, Stretch: 2, LatencyGoal: time.Second, Timeout: 3 * time.Second, Advice: &w.AdviceTiming{BaseLatency: 400 * time.Millisecond, LatencyPerTarget: time.Millisecond, TicketValidity: 2 * time.Second}}},
		Services: []w.Service{{Name: "s"}}, RequiresKeys: true,
		Tenants: []w.Tenant{{Name: "south", Keys: []w.KeyDigest{key("a"), key("b")}, Weight: 40, Cap: w.Resources{CPU: 9000}}},
	}
}

// TestFindings guards against each kind of fault passing unnoticed, and against faults
// being found in a valid configuration.
func TestFindings(t *testing.T) {
	v := Validator{Targets: []w.Target{{Service: "s", Capacity: w.Resources{CPU: 16_000, Mem: 4000}}}, LargestTask: w.Resources{CPU: 2000}}
	for _, tc := range []struct {
		name   string
		change func(*w.Config)
		want   string
	}{
		{"valid", func(*w.Config) {}, ""},
		{"version", func(c *w.Config) { c.Version = 0 }, "invalid configuration: the version is 0, not a positive number"},
		{"same prefix", func(c *w.Config) { c.Queues = append(c.Queues, c.Queues[0]); c.Queues[1].Name = "other" }, "unreachable route 1 (other): no request reaches it: route 0 has the same host and prefix"},
		{"no slash", func(c *w.Config) { c.Queues[0].Prefix = "plans/" }, `unreachable route 0 (plans): no request reaches it: its prefix "plans/" does not begin with a slash`},
		{"no service", func(c *w.Config) { c.Queues[0].Service = "x" }, `unreachable route 0 (plans): its tasks never run: there is no service "x"`},
		{"timeout below advice", func(c *w.Config) { c.Queues[0].Timeout = 100 * time.Millisecond }, "contradictory route 0 (plans): the timeout 100ms is below the 401ms that a call to the advice service takes"},
		{"service without targets", func(c *w.Config) { c.Services = append(c.Services, w.Service{Name: "t"}) }, "unreachable service 1 (t): its tasks never run: no target belongs to it"},
		{"no key", func(c *w.Config) { c.Tenants[0].Keys = nil }, "unreachable tenant 0 (south): no request reaches it: it has no API key"},
		{"empty key", func(c *w.Config) { c.Tenants[0].Keys[0] = w.KeyDigest{} }, "invalid tenant 0 (south), key 0: the key is empty, and no request can carry it"},
		{"key of another tenant", func(c *w.Config) {
			c.Tenants = append(c.Tenants, w.Tenant{Name: "north", Keys: []w.KeyDigest{key("b")}, Weight: 1})
		}, "contradictory tenant 1 (north), key 0: the same key stands at tenant 0 (south), key 1, which it belongs to"},
		{"tenant twice", func(c *w.Config) {
			c.Tenants = append(c.Tenants, w.Tenant{Name: "south", Keys: []w.KeyDigest{key("c")}, Weight: 1})
		}, "unreachable tenant 1 (south): tenant 0 has the same name, and its weight and cap are the ones in force"},
		{"weight", func(c *w.Config) { c.Tenants[0].Weight = 0 }, "invalid tenant 0 (south): the weight 0 is not positive: the tenant is entitled to no rate"},
		{"cap below a task", func(c *w.Config) { c.Tenants[0].Cap.CPU = 1000 }, "contradictory tenant 0 (south): the cpu cap 1000 is below one task of 2000"},
		{"cap over the room", func(c *w.Config) { c.Tenants[0].Cap.CPU = 20_000 }, "contradictory tenant 0 (south): the cpu cap 20000 limits nothing: all targets together have 16000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := validConfig()
			tc.change(cfg)
			var got []string
			for _, f := range v.Validate(cfg) {
				got = append(got, f.Kind.String()+" "+f.String())
			}
			if tc.want == "" {
				require.Empty(t, got)
				return
			}
			require.Equal(t, []string{tc.want}, got)
		})
	}
}

func ExampleDiff() {
	old, next := validConfig(), validConfig()
	next.Version = 4
	next.Queues[0].Attempts = 3
	next.Tenants[0].Keys = next.Tenants[0].Keys[1:]
	next.Tenants = append(next.Tenants, w.Tenant{Name: "north"})
	for _, change := range Diff(old, next) {
		fmt.Println(change)
	}
	// Output:
	// route plans: attempts 2, now 3
	// tenant south: 1 API keys removed, 0 added
	// tenant north: added
}
