// Package meter records event counts, durations and gauges, and exposes them in
// the Prometheus exposition format.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter holds metrics in a Prometheus registry of its own. On a nil Meter, all
// methods that record do nothing.
type Meter struct {
	registry  *prometheus.Registry
	events    *prometheus.CounterVec
	durations *prometheus.HistogramVec
	gauges    *prometheus.GaugeVec
	tenants   *tenantMetrics
}

// New returns a Meter with all metrics registered and no samples.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "masticlead_events_total", Help: "Events by kind and reason.",
		}, []string{"kind", "reason"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "masticlead_wait_seconds", Help: "Waits by kind.",
			Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30},
		}, []string{"kind"}),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "masticlead_level", Help: "What the coordinator believes of the cell.",
		}, []string{"kind"}),
		tenants: newTenantMetrics(),
	}
	m.registry.MustRegister(m.events, m.durations, m.gauges, m.tenants.requests, m.tenants.levels)
	return m
}

// Count increments the event counter of a kind and reason.
func (m *Meter) Count(kind, reason string) {
	if m != nil {
		m.events.WithLabelValues(kind, reason).Inc()
	}
}

// ObserveDuration adds a sample to the duration histogram of a kind.
func (m *Meter) ObserveDuration(kind string, d time.Duration) {
	if m != nil {
		m.durations.WithLabelValues(kind).Observe(d.Seconds())
	}
}

// SetGauge sets the gauge of a kind.
func (m *Meter) SetGauge(kind string, value float64) {
	if m != nil {
		m.gauges.WithLabelValues(kind).Set(value)
	}
}

// Handler returns the HTTP handler of the metrics endpoint.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
