package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// metrics are the controller's own metrics.
type metrics struct {
	registry        *telemetry.Metrics
	droppedMessages prometheus.Counter
}

func newMetrics() *metrics {
	registry := telemetry.NewMetrics("controller")
	return &metrics{
		registry: registry,
		droppedMessages: registry.Counter("consensus_dropped_messages_total",
			"Consensus messages that found no room in the inbox."),
	}
}

// attach registers gauges that read the replica's published state.
func (m *metrics) attach(r *replica) {
	m.registry.GaugeFunction("consensus_term", "Term of the replicated log.", func() float64 {
		return float64(r.published.Load().status.Term)
	})
	m.registry.GaugeFunction("consensus_commit_index", "Commit index of the replicated log.", func() float64 {
		return float64(r.published.Load().status.Commit)
	})
	m.registry.GaugeFunction("consensus_applied_index", "Applied index of the replicated log.", func() float64 {
		return float64(r.published.Load().status.Applied)
	})
	m.registry.GaugeFunction("consensus_leader", "1 while this replica leads.", func() float64 {
		if r.published.Load().leading {
			return 1
		}
		return 0
	})
	m.registry.GaugeFunction("table_revision", "Newest revision of the routing table.", func() float64 {
		return float64(r.tablePosition().Revision)
	})
	m.registry.GaugeFunction("table_streams", "Routers connected to this replica.", func() float64 {
		return float64(len(r.routers.list()))
	})
}
