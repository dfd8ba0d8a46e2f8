package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// namespace is the first part of each metric's name.
const namespace = "thorntiller"

// Metrics creates and registers the metrics of one process. The packages that own
// the metrics keep them in typed structs.
type Metrics struct {
	registry  *prometheus.Registry
	subsystem string
}

// NewMetrics returns a registry that holds only the collectors of the Go runtime and of
// the process. The role is the second part of each metric's name.
func NewMetrics(role string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return &Metrics{registry: registry, subsystem: role}
}

// Gatherer returns the registry for the /metrics handler.
func (m *Metrics) Gatherer() prometheus.Gatherer {
	return m.registry
}

// Counter creates a counter. The name has no prefix and ends in _total.
func (m *Metrics) Counter(name, help string) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help})
	m.registry.MustRegister(counter)
	return counter
}

// Counters creates a counter for each combination of the labels' values. The
// values must come from a bounded set.
func (m *Metrics) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	counters := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}, labels)
	m.registry.MustRegister(counters)
	return counters
}

// CounterFunction creates a counter with fixed labels whose value is read at each scrape. The
// name ends in _total; the function must be fast and safe for concurrent use.
func (m *Metrics) CounterFunction(name, help string, labels map[string]string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help, ConstLabels: labels}, read))
}

// Gauge creates a gauge.
func (m *Metrics) Gauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help})
	m.registry.MustRegister(gauge)
	return gauge
}

// Gauges creates a gauge for each combination of the labels' values. The values
// must come from a bounded set.
func (m *Metrics) Gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	gauges := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}, labels)
	m.registry.MustRegister(gauges)
	return gauges
}

// GaugeFunction creates a gauge whose value is read at each scrape. The function
// must be fast and safe for concurrent use.
func (m *Metrics) GaugeFunction(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}, read))
}

// Histogram creates a histogram of seconds. The name ends in _seconds; buckets
// are upper bounds in seconds, nil for the Prometheus defaults.
func (m *Metrics) Histogram(name, help string, buckets []float64) prometheus.Histogram {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help, Buckets: buckets,
	})
	m.registry.MustRegister(histogram)
	return histogram
}

// Histograms creates a histogram of seconds for each combination of the labels'
// values. The values must come from a bounded set.
func (m *Metrics) Histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	histograms := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help, Buckets: buckets,
	}, labels)
	m.registry.MustRegister(histograms)
	return histograms
}
