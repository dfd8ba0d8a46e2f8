package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// metrics are the metrics of a gateway.
type metrics struct {
	requests *prometheus.CounterVec
	resends  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	inFlight *gauge
	// staleRouted counts requests that were routed by a table whose proof was older than the staleness limit.
	staleRouted *prometheus.CounterVec
	// relayed counts relayed requests by direction and result.
	relayed *prometheus.CounterVec
	// surplus counts what was done about bytes of instances that belong to no request.
	surplus *prometheus.CounterVec
	// setAside counts connections that were not used since they had carried the identifier of the request before.
	setAside *prometheus.CounterVec
}

// Directions of relayed requests: sent to another gateway, and received from one.
const (
	relayedOut = "out"
	relayedIn  = "in"
)

// gauge is a gauge whose value the process reads as well.
type gauge struct{ value atomic.Int64 }

func (g *gauge) Inc() { g.value.Add(1) }
func (g *gauge) Dec() { g.value.Add(-1) }

func (m *metrics) running() int64 { return m.inFlight.value.Load() }

var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5}

func newMetrics(registry *telemetry.Metrics) *metrics {
	built := &metrics{
		requests: registry.Counters("requests_total", "Requests answered, by service and by the kind of failure; empty for an instance's answer.", "service", "kind"),
		resends:  registry.Counters("resends_total", "Requests sent once more, by service and by the failure before.", "service", "kind"),
		latency:  registry.Histograms("request_duration_seconds", "Time from a request's arrival to its answer, by service.", latencyBuckets, "service"),
		inFlight: &gauge{},

		staleRouted: registry.Counters("requests_by_stale_table_total", "Requests routed by a table whose last proof was older than the staleness limit, by service and by the kind of failure; empty for an instance's answer.", "service", "kind"),
		relayed:     registry.Counters("relayed_requests_total", "Requests that passed through another gateway, by direction and by what the relay told; none if it told nothing.", "direction", "result"),
		surplus:     registry.Counters("surplus_answers_total", "Bytes of instances that belong to no request in flight, by what was done about them.", "action"),
		setAside:    registry.Counters("connections_set_aside_total", "Connections to instances that were not used since they had carried the identifier of the request before, by whether they were kept.", "kept"),
	}
	registry.GaugeFunction("requests_in_flight", "Requests that wait for their answer.", func() float64 { return float64(built.running()) })
	return built
}

// observe records a request in the metrics, and logs it if the gateway refused it, sent it more than once or
// through another gateway, or routed it by a stale table.
func (g *Gateway) observe(current *request, failure *fault.Error) {
	took := g.clock.Now() - current.arrived
	kind := ""
	if failure != nil {
		kind = string(failure.Kind)
	}
	g.metrics.requests.WithLabelValues(current.service, kind).Inc()
	g.metrics.latency.WithLabelValues(current.service).Observe(took.Seconds())
	relayed := slices.ContainsFunc(current.outcomes, func(outcome attemptOutcome) bool { return outcome.Relay != "" })
	if current.staleTable {
		g.metrics.staleRouted.WithLabelValues(current.service, kind).Inc()
	}
	if failure == nil && len(current.attempts) <= 1 && !relayed && !g.shouldLogStale(current) {
		return
	}
	line := telemetry.With(g.log, telemetry.EventRequestEnded).WithField(telemetry.FieldRequest, current.id).
		WithField(telemetry.FieldService, current.service).WithField(telemetry.FieldRevision, current.revision).
		WithField(fieldTableAge, ageMs(current.tableAge)).
		WithField("attempts", current.outcomes).WithField("status", current.answer.StatusCode()).
		WithField(telemetry.FieldDuration, took.Milliseconds())
	if current.route != nil {
		line = line.WithField("route", current.route.Name)
	}
	if current.tenant != nil {
		line = line.WithField(telemetry.FieldTenant, current.tenant.Name)
	}
	if fingerprint, known := current.suspicion.Fingerprint(); known {
		line = line.WithField(telemetry.FieldFingerprint, fingerprint.String())
	}
	if current.keyed {
		line = line.WithField("key", current.key)
	}
	if current.staleTable {
		line = line.WithField(fieldProofReceived, ageMs(g.subscription.proofReceivedAge())).
			WithField("round_trip_ms", time.Duration(g.subscription.roundTrip.Load()).Milliseconds())
	}
	if failure == nil && relayed {
		line.Info("request answered through another gateway")
		return
	}
	if failure == nil && len(current.attempts) <= 1 {
		line.Info("request answered by a table without recent proof")
		return
	}
	if failure == nil {
		line.Info("request answered after a resend")
		return
	}
	if len(current.candidates) > 0 && len(current.outcomes) == 0 {
		line = line.WithField("candidates", current.candidates)
	}
	line.WithField(telemetry.FieldKind, failure.Kind).WithField(telemetry.FieldError, failure.Detail).Info("request failed")
}

// staleLogInterval is the time between two lines of answered requests that were routed by a stale table; the
// metric counts all of them.
const staleLogInterval = time.Second

// shouldLogStale reports whether to log an answered request because it was routed by a stale table.
func (g *Gateway) shouldLogStale(current *request) bool {
	if !current.staleTable {
		return false
	}
	last := g.staleLoggedAt.Load()
	now := int64(g.clock.Now())
	return now-last >= int64(staleLogInterval) && g.staleLoggedAt.CompareAndSwap(last, now)
}

func (g *Gateway) logEjected(instance directory.Instance, failure *fault.Error) {
	telemetry.WithError(g.log, telemetry.EventServerEjected, failure).WithField(telemetry.FieldServer, instance.ID).
		WithField(telemetry.FieldService, instance.Service).Warn("instance ejected")
}
