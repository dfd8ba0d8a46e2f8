package router

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// metrics are the counters and histograms of the router.
type metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	resends  *prometheus.CounterVec
	claims   *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	// surplus counts what was done about bytes of back ends that belong to no request.
	surplus *prometheus.CounterVec
	// setAside counts connections that were not used since they had carried the identifier of the attempt before.
	setAside *prometheus.CounterVec
}

// Opened implements forward.Traffic.
func (*metrics) Opened() {}

// Passed implements forward.Traffic.
func (*metrics) Passed(int, int) {}

// Surplus implements forward.Traffic.
func (m *metrics) Surplus(action forward.Surplus) { m.surplus.WithLabelValues(string(action)).Inc() }

// SetAside implements forward.Traffic.
func (m *metrics) SetAside(kept bool) { m.setAside.WithLabelValues(strconv.FormatBool(kept)).Inc() }

// unresolvedService is the label for all services that are not configured, so that callers
// cannot create arbitrary label values.
const unresolvedService = "unknown"

// kindCompleted is the label of requests that a back end answered.
const kindCompleted = "completed"

func newMetrics(set *telemetry.Metrics) *metrics {
	return &metrics{
		requests: set.Counters("requests_total", "Requests by service and kind of answer.", "service", "kind"),
		attempts: set.Counters("attempts_total", "Attempts sent to back ends.", "service"),
		resends:  set.Counters("resends_total", "Attempts that will be sent again, by the kind of failure.", "service", "kind"),
		claims:   set.Counters("record_claims_total", "Claims of idempotency records, by verdict.", "verdict"),
		latency:  set.Histograms("request_seconds", "Time from a request's arrival to its answer.", latencyBuckets(), "service"),
		surplus:  set.Counters("surplus_answers_total", "Bytes of back ends that belong to no request in flight, by what was done about them.", "action"),
		setAside: set.Counters("connections_set_aside_total", "Connections to back ends that were not used since they had carried the identifier of the attempt before, by whether they were kept.", "kept"),
	}
}

func latencyBuckets() []float64 {
	const first, factor, count = 0.0005, 2, 15
	return prometheus.ExponentialBuckets(first, factor, count)
}

// observe counts a finished request; an empty kind means completed.
func (m *metrics) observe(exchange *Exchange, kind fault.Kind, now time.Duration) {
	service := unresolvedService
	if exchange.service != nil {
		service = string(exchange.service.Name)
	}
	label := string(kind)
	if label == "" {
		label = kindCompleted
	}
	m.requests.WithLabelValues(service, label).Inc()
	m.latency.WithLabelValues(service).Observe((now - exchange.arrivedAt).Seconds())
}

// registerGauges adds gauges that are read at each scrape.
func (r *Router) registerGauges(set *telemetry.Metrics) {
	set.GaugeFunction("in_flight_requests", "Requests in flight.", func() float64 { return float64(r.limiter.Total()) })
	set.GaugeFunction("owner_waits", "Requests that wait for an owner.", func() float64 { return float64(r.core.OwnerWaits()) })
	set.GaugeFunction("queued_requests", "Requests that wait for a place at a server.", r.queuedRequests)
	set.GaugeFunction("records", "Idempotency records that this router holds.", func() float64 {
		records, _ := r.records.Records()
		return float64(records)
	})
	set.GaugeFunction("record_primaries", "Record partitions of which this router is the primary.", func() float64 {
		_, primaries := r.records.Records()
		return float64(primaries)
	})
	set.GaugeFunction("table_revision", "Revision of the routing table.", func() float64 {
		return float64(r.builder.Table().Revision())
	})
	set.GaugeFunction("table_age_seconds", "Time since the table was proved current; -1 before the first proof.", func() float64 {
		age, proved := r.freshness.Age(r.clock.Now())
		if !proved {
			return -1
		}
		return age.Seconds()
	})
}

func (r *Router) queuedRequests() float64 {
	total := 0
	for _, backEnd := range r.fleet.Known() {
		total += backEnd.Queue.Waiting()
	}
	return float64(total)
}
