package meter

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	w "github.com/masticlead/masticlead/workload"
)

const (
	// maxNamedTenants is the number of tenants with metrics of their own. It bounds the
	// number of time series, since a configuration may have thousands of tenants.
	maxNamedTenants = 50
	// otherTenants is the label of the metrics of all other tenants.
	otherTenants = "other"
)

// tenantMetrics holds the metrics by tenant.
type tenantMetrics struct {
	requests *prometheus.CounterVec
	levels   *prometheus.GaugeVec

	mu    sync.Mutex
	named map[w.TenantName]bool
	set   map[string]map[string]float64 // gauges that are set, by kind and label
}

func newTenantMetrics() *tenantMetrics {
	return &tenantMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "masticlead_tenant_requests_total", Help: "Submissions by tenant: accepted, or the reason of the refusal.",
		}, []string{"tenant", "result"}),
		levels: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "masticlead_tenant_level", Help: "What the coordinator believes of each tenant.",
		}, []string{"tenant", "kind"}),
		set: make(map[string]map[string]float64),
	}
}

// SetTenants sets the tenants of the configuration. Those with the highest weights get
// metrics of their own, the same on each instance. Metrics of tenants that no longer do
// are removed.
func (m *Meter) SetTenants(tenants []w.Tenant) {
	if m == nil {
		return
	}
	sorted := slices.Clone(tenants)
	slices.SortStableFunc(sorted, func(a, b w.Tenant) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	named := make(map[w.TenantName]bool, maxNamedTenants)
	for i := range sorted {
		if len(named) == maxNamedTenants {
			break
		}
		named[sorted[i].Name] = true
	}
	t := m.tenants
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.named {
		if !named[name] {
			labels := prometheus.Labels{"tenant": string(name)}
			t.requests.DeletePartialMatch(labels)
			t.levels.DeletePartialMatch(labels)
		}
	}
	t.named = named
}

// label returns the label of a tenant. t.mu is locked.
func (t *tenantMetrics) label(tenant w.TenantName) string {
	if t.named[tenant] {
		return string(tenant)
	}
	return otherTenants
}

// CountTenant increments the counter of a tenant's submissions with a result.
func (m *Meter) CountTenant(tenant w.TenantName, result string) {
	if m == nil {
		return
	}
	t := m.tenants
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.WithLabelValues(t.label(tenant), result).Inc()
}

// SetTenantLevels sets the gauges of a kind, and removes those of tenants without a
// value. The gauge of the tenants without metrics of their own is the sum of theirs.
func (m *Meter) SetTenantLevels(kind string, values map[w.TenantName]float64) {
	if m == nil {
		return
	}
	t := m.tenants
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]float64, len(t.named)+1)
	for tenant, v := range values {
		sums[t.label(tenant)] += v
	}
	for label, v := range sums {
		t.levels.WithLabelValues(label, kind).Set(v)
	}
	for label := range t.set[kind] {
		if _, ok := sums[label]; !ok {
			t.levels.DeleteLabelValues(label, kind)
		}
	}
	t.set[kind] = sums
}
