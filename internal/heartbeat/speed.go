package heartbeat

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// timing is what is known about the service time of an instance. Both measurements are upper bounds of
// it: the mean latency includes the time in the queue, and the slots divided by the answer rate include
// idle slots. The first is close while the instance has capacity left, the second once it is saturated.
type timing struct {
	// latency is the mean time until an answer, in seconds, and answerCount the number of answers.
	latency     float64
	answerCount float64
	// answerRate is the answers per second as of ratedAt; it decays like the demand for keys.
	answerRate float64
	ratedAt    time.Duration
	// limit is the rate that the instance declares to accept, in requests per second, as last
	// reported at limitAt.
	limit   float64
	limitAt time.Duration
}

// limitLifetime is how long a limit applies after a gateway reported it last.
const limitLifetime = 3 * time.Second

func (d *demand) timingOf(id directory.InstanceID) *timing {
	existing, found := d.timings[id]
	if !found {
		existing = &timing{}
		d.timings[id] = existing
	}
	return existing
}

const (
	// latencySmoothing is the weight of one answer in the mean latency. The times of single requests
	// differ by a factor of two and more: fifty of them give the mean to within a tenth.
	latencySmoothing = 0.02
	// maxLatencyWeight bounds the weight of one report.
	maxLatencyWeight = 0.3
	// saturatedUtilisation is the share of slots in use from which on answers include time in the
	// queue. Longer times are then mostly not the instance's own and count by saturatedWeight.
	saturatedUtilisation = 0.7
	saturatedWeight      = 0.1
)

// addReport adds the answers that one gateway reported, with their mean latency in seconds.
func (t *timing) addReport(now time.Duration, answered uint32, latency float64, slots int) {
	t.answerRate = t.currentRate(now) + float64(answered)/demandWindow.Seconds()
	t.ratedAt = now
	t.answerCount += float64(answered)
	// The first answers have equal weight, so that the mean does not depend mostly on the very first.
	weight := min(max(latencySmoothing, 1/t.answerCount)*float64(answered), 1)
	if t.answerCount > 1/latencySmoothing {
		weight = min(weight, maxLatencyWeight)
	}
	if latency > t.latency && t.answerRate*t.latency > saturatedUtilisation*float64(slots) {
		weight *= saturatedWeight
	}
	t.latency = weightedMean(t.latency, latency, weight)
}

// currentRate returns the answers per second, decayed up to now.
func (t *timing) currentRate(now time.Duration) float64 {
	return t.answerRate * math.Exp(-max(0, now-t.ratedAt).Seconds()/demandWindow.Seconds())
}

// serviceTime returns the time that a request needs, in seconds.
func (t *timing) serviceTime(now time.Duration, slots int) float64 {
	rate := t.currentRate(now)
	if rate <= 0 {
		return t.latency
	}
	return min(t.latency, float64(max(slots, 1))/rate)
}

// setLimit stores the limit that an instance declared, in requests per second. Zero and infinity are
// ignored: an earlier limit applies until limitLifetime has passed.
func (t *timing) setLimit(now time.Duration, limit float64) {
	if limit > 0 && !math.IsInf(limit, 0) {
		t.limit, t.limitAt = limit, now
	}
}

// serviceTimeAtLimit returns the service time, in seconds, at which the slots of the instance serve
// exactly the limit that it declared; zero without a limit.
func (t *timing) serviceTimeAtLimit(now time.Duration, slots int) float64 {
	if t.limit == 0 || now-t.limitAt > limitLifetime {
		return 0
	}
	return float64(max(slots, 1)) / t.limit
}
