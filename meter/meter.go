// Package meter counts events and measures waits, and shows both as text.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter counts and measures. A nil meter does nothing.
type Meter struct {
	registry *prometheus.Registry
	events   *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	levels   *prometheus.GaugeVec
}

// New returns an empty meter.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "masticlead_events_total", Help: "Events by kind and reason.",
		}, []string{"kind", "reason"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "masticlead_wait_seconds", Help: "Waits by kind.",
			Buckets: []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30},
		}, []string{"kind"}),
		levels: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "masticlead_level", Help: "What the coordinator believes of the cell.",
		}, []string{"kind"}),
	}
	m.registry.MustRegister(m.events, m.waits, m.levels)
	return m
}

// Count adds an event.
func (m *Meter) Count(kind, reason string) {
	if m != nil {
		m.events.WithLabelValues(kind, reason).Inc()
	}
}

// Wait adds a wait.
func (m *Meter) Wait(kind string, d time.Duration) {
	if m != nil {
		m.waits.WithLabelValues(kind).Observe(d.Seconds())
	}
}

// Level sets a level.
func (m *Meter) Level(kind string, v float64) {
	if m != nil {
		m.levels.WithLabelValues(kind).Set(v)
	}
}

// Handler serves the text.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
