package caller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/lab/record"
)

const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	medianPercent     = 50
	tailPercent       = 99
)

// Report is what a caller saw, by service and ordered by its name.
type Report struct {
	Services []ServiceReport `json:"services"`
}

// ServiceReport counts logical requests by their last outcome. Times are in
// milliseconds, from the first attempt to the answer.
type ServiceReport struct {
	Service  string `json:"service"`
	Requests int    `json:"requests"`
	Attempts int    `json:"attempts"`
	Answered int    `json:"answered"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`

	MedianMs float64 `json:"median_ms"`
	TailMs   float64 `json:"p99_ms"`
	MaxMs    float64 `json:"max_ms"`
	// UnavailableMs is the longest outage, as record.Outage counts it.
	UnavailableMs float64 `json:"unavailable_ms"`
}

// reporter gathers a Report. It is safe for concurrent use.
type reporter struct {
	mutex    sync.Mutex
	services map[string]*serviceReporter
}

type serviceReporter struct {
	counts  ServiceReport
	latency *hdrhistogram.Histogram
	outage  record.Outage
	lastNs  int64
}

func newReporter() *reporter {
	return &reporter{services: make(map[string]*serviceReporter)}
}

func (r *reporter) service(name string) *serviceReporter {
	found, known := r.services[name]
	if !known {
		found = &serviceReporter{latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
		found.counts.Service = name
		r.services[name] = found
	}
	return found
}

// add counts one attempt.
func (r *reporter) add(done record.Attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	service := r.service(done.Service)
	service.counts.Attempts++
	service.outage.Add(done)
	service.lastNs = max(service.lastNs, done.ReceivedNs)
}

// finish counts one logical request.
func (r *reporter) finish(name string, latency time.Duration, outcome fault.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	service := r.service(name)
	service.counts.Requests++
	switch outcome {
	case fault.Completed:
		service.counts.Answered++
		bounded := min(max(latency, time.Microsecond), maxLatency)
		// The value lies within the histogram's bounds.
		_ = service.latency.RecordValue(bounded.Microseconds())
	case fault.NotRun:
		service.counts.NotRun++
	case fault.Unknown:
		service.counts.Unknown++
	}
}

func (r *reporter) report() Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var report Report
	for _, service := range r.services {
		report.Services = append(report.Services, service.finished())
	}
	slices.SortFunc(report.Services, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return report
}

func (s *serviceReporter) finished() ServiceReport {
	s.outage.End(s.lastNs)
	finished := s.counts
	finished.MedianMs = toMilliseconds(s.latency.ValueAtPercentile(medianPercent))
	finished.TailMs = toMilliseconds(s.latency.ValueAtPercentile(tailPercent))
	finished.MaxMs = toMilliseconds(s.latency.Max())
	finished.UnavailableMs = float64(s.outage.LongestNs()) / float64(time.Millisecond)
	return finished
}

func toMilliseconds(microseconds int64) float64 {
	const microsecondsPerMillisecond = 1000
	return float64(microseconds) / microsecondsPerMillisecond
}
