package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one strategy reached on one trace.
type Result struct {
	Deployment string `json:"deployment"`
	Service    string `json:"service"`
	Strategy   string `json:"strategy"`
	Seed       uint64 `json:"seed"`
	// Imbalance is the highest load of a server / the mean, and ImbalanceP99
	// its 99th percentile over servers / the mean; both are means over time.
	Imbalance    float64 `json:"imbalance"`
	ImbalanceP99 float64 `json:"imbalance_p99"`
	// Churn is the share of the key space that changed owner per hour; Moves
	// counts the shards.
	Churn float64 `json:"churn_per_hour"`
	Moves int     `json:"moves"`
	// Unavailable is the share of the key space × seconds without an owner.
	Unavailable float64 `json:"unavailable_key_seconds"`
	// Weighted is the cost by the service's weights over the trace.
	Weighted float64 `json:"weighted"`
	// P50 and P99 are of the answered requests, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// Requests = Answered + NotRun + Unknown. Goodput is Answered / Requests.
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	Goodput  float64 `json:"goodput"`
	// Timeline is for the plots.
	Timeline []Sample `json:"-"`
	// Percentiles are the latencies in milliseconds at PlotPercentiles.
	Percentiles []float64 `json:"-"`
}

// Sample is the state at one moment.
type Sample struct {
	At        time.Duration
	Imbalance float64
	Churn     float64
}

// PlotPercentiles are the percentiles of the latency plot.
var PlotPercentiles = []float64{10, 25, 50, 75, 90, 95, 99, 99.5, 99.9}

// measurement collects while the engine runs.
type measurement struct {
	trace     *trace
	result    Result
	latencies *hdrhistogram.Histogram
	keyLoads  []float64
	samples   int
	// baseChurn and baseUnavailable are those of the start, not measured.
	baseChurn       float64
	baseUnavailable time.Duration
	baseMoves       int
}

// Bounds of the latency histogram, in microseconds.
const (
	highestLatency = 60_000_000
	digits         = 3
)

func newMeasurement(t *trace) *measurement {
	return &measurement{
		trace: t, latencies: hdrhistogram.New(1, highestLatency, digits), keyLoads: make([]float64, len(t.hashes)),
	}
}

func (m *measurement) counts(at time.Duration) bool { return at >= settle }

func (m *measurement) arrived(at time.Duration) {
	if m.counts(at) {
		m.result.Requests++
	}
}

func (m *measurement) refuse(arrived time.Duration) {
	if m.counts(arrived) {
		m.result.NotRun++
	}
}

// ended counts a request; way is the time to the client and back.
func (m *measurement) ended(arrived time.Duration, end outcome, way time.Duration) {
	if !m.counts(arrived) {
		return
	}
	switch end.kind {
	case notRun:
		m.result.NotRun++
	case unknown:
		m.result.Unknown++
	case answered:
		m.result.Answered++
		latency := (end.at - arrived + way).Microseconds()
		// The timeout keeps every latency below the highest of the histogram.
		_ = m.latencies.RecordValue(min(latency, highestLatency))
	}
}

// sample takes the imbalance by the expected loads of the trace.
func (m *measurement) sample(e *engine) {
	if !m.counts(e.now) {
		m.baseChurn, m.baseUnavailable, m.baseMoves = e.owners.churn, e.owners.unavailable, e.owners.moves
		return
	}
	m.trace.keyLoads(e.now, m.keyLoads)
	loads := make([]float64, len(e.servers))
	for key, load := range m.keyLoads {
		if owner := e.owners.shardOf[key].owner; owner != noServer {
			loads[owner] += load
		}
	}
	var up []float64
	total := 0.0
	for number, known := range e.servers {
		if known.accepts() {
			up = append(up, loads[number])
			total += loads[number]
		}
	}
	slices.Sort(up)
	average := total / float64(len(up))
	m.samples++
	m.result.Imbalance += up[len(up)-1] / average
	const part = 0.99
	m.result.ImbalanceP99 += quantile(up, part) / average
	m.result.Timeline = append(m.result.Timeline, Sample{
		At: e.now, Imbalance: up[len(up)-1] / average, Churn: e.owners.churn - m.baseChurn,
	})
}

// quantile interpolates between sorted values.
func quantile(sorted []float64, part float64) float64 {
	place := part * float64(len(sorted)-1)
	low := int(place)
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (place-float64(low))*(sorted[high]-sorted[low])
}

// ownership takes over what changes of owner cost, and closes the result.
func (m *measurement) ownership(owners *ownership) {
	r := &m.result
	hours := (m.trace.duration - settle).Hours()
	churn := owners.churn - m.baseChurn
	r.Churn = churn / hours
	r.Moves = owners.moves - m.baseMoves
	r.Unavailable = (owners.unavailable - m.baseUnavailable).Seconds()
	r.Imbalance /= float64(max(m.samples, 1))
	r.ImbalanceP99 /= float64(max(m.samples, 1))
	weights := m.trace.workload.Weights
	r.Weighted = weights.Imbalance*(r.Imbalance-1)*hours + weights.Churn*churn + weights.Unavailable*r.Unavailable
	r.Goodput = float64(r.Answered) / float64(max(r.Requests, 1))
	const microsecondsPerMillisecond = 1000
	for _, percentile := range PlotPercentiles {
		r.Percentiles = append(r.Percentiles, float64(m.latencies.ValueAtQuantile(percentile))/microsecondsPerMillisecond)
	}
	r.P50 = float64(m.latencies.ValueAtQuantile(50)) / microsecondsPerMillisecond
	r.P99 = float64(m.latencies.ValueAtQuantile(99)) / microsecondsPerMillisecond
}
