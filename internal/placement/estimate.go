package placement

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Observation is what was observed of one shard's load in the last interval.
type Observation struct {
	Shard state.ShardID
	// Routed is the load that the routers counted; it has precedence over the
	// server's report. RoutedKnown is false if no router reported.
	Routed      float64
	RoutedKnown bool
	// Reported is the load that the server reported. ReportedKnown is false if it
	// did not report.
	Reported      float64
	ReportedKnown bool
}

// EstimatorConfig holds the smoothing of loads and the bounds of one change.
type EstimatorConfig struct {
	// HalfLife is the time after which the weight of an observation has halved.
	HalfLife time.Duration
	// RiseHalfLife replaces HalfLife while a load rises: when two consecutive
	// observations exceed the estimate by the factor RiseRatio. A single one may
	// be an outlier. Zero turns this off.
	RiseHalfLife time.Duration
	RiseRatio    float64
	// MaxRatio bounds the ratio of a server's report to the routers' count, and
	// its inverse.
	MaxRatio float64
	// MaxChange bounds the ratio by which a load changes in one interval.
	MaxChange float64
}

// DefaultEstimatorConfig returns the configuration that the controllers use.
func DefaultEstimatorConfig() EstimatorConfig {
	const (
		halfLife     = 15 * time.Second
		riseHalfLife = 5 * time.Second
		riseRatio    = 1.25
		maxRatio     = 1.1
		maxChange    = 2
	)
	return EstimatorConfig{
		HalfLife: halfLife, RiseHalfLife: riseHalfLife, RiseRatio: riseRatio, MaxRatio: maxRatio, MaxChange: maxChange,
	}
}

// Estimator smooths the loads of a service's shards. It is not safe for concurrent
// use. An observation costs O(1).
//
// A server that reports ten times its load raises the estimate by the factor
// MaxRatio at most while routers count its requests, and by MaxChange per
// observation while none does. A server that does not report keeps its last
// estimate: it never appears idle, so it attracts no load.
type Estimator struct {
	config EstimatorConfig
	loads  map[state.ShardID]estimate
	// total is the sum of the estimated loads.
	total float64
}

// estimate is one shard's smoothed load.
type estimate struct {
	load float64
	// sample is the last observation, within the bounds of one change.
	sample float64
	// at is the time of the last call to Observe with the shard.
	at time.Duration
}

// NewEstimator returns an estimator that knows no loads.
func NewEstimator(config EstimatorConfig) *Estimator {
	return &Estimator{config: config, loads: make(map[state.ShardID]estimate)}
}

// Observe updates the estimates with the observations of one interval, which may
// be of any of the shards. If a server's report leaves out one of its shards, the
// caller passes a known load of zero for it, not an unknown one.
func (e *Estimator) Observe(now time.Duration, observations []Observation) {
	floor := e.floor(observations)
	for _, observation := range observations {
		e.set(observation.Shard, e.nextEstimate(now, observation, floor))
	}
}

func (e *Estimator) set(shard state.ShardID, next estimate) {
	e.total = max(e.total+next.load-e.loads[shard].load, 0)
	e.loads[shard] = next
}

// Forget removes a shard.
func (e *Estimator) Forget(shard state.ShardID) {
	e.total = max(e.total-e.loads[shard].load, 0)
	delete(e.loads, shard)
}

// floor returns the lowest load to which MaxChange is applied, so that an idle
// shard can become busy: the mean estimate of a shard, or the mean of the routers'
// present counts if that is higher. Servers' reports are used only if both are
// zero.
func (e *Estimator) floor(observations []Observation) float64 {
	meanLoad := e.total / float64(max(len(e.loads), 1))
	routed, reported := 0.0, 0.0
	for _, observation := range observations {
		if observation.RoutedKnown {
			routed += sanitizeLoad(observation.Routed)
		}
		if observation.ReportedKnown {
			reported += sanitizeLoad(observation.Reported)
		}
	}
	count := float64(max(len(observations), 1))
	if meanLoad == 0 && routed == 0 {
		return reported / count
	}
	return max(meanLoad, routed/count)
}

// nextEstimate returns a shard's estimate after an observation.
func (e *Estimator) nextEstimate(now time.Duration, observation Observation, floor float64) estimate {
	previous, found := e.loads[observation.Shard]
	sample, observed := e.combineSources(observation)
	switch {
	case !observed && found:
		return estimate{load: previous.load, sample: previous.sample, at: now}
	case !observed:
		sample = floor
	case !found && !observation.RoutedKnown:
		sample = min(sample, max(floor, epsilon)*e.config.MaxChange)
	}
	if !found {
		return estimate{load: sample, sample: sample, at: now}
	}
	sample = min(sample, max(previous.load, floor)*e.config.MaxChange)
	sample = max(sample, previous.load/e.config.MaxChange)
	halfLife := e.config.HalfLife
	target := sample
	if confirmed := min(sample, previous.sample); e.config.RiseHalfLife > 0 && confirmed > previous.load*e.config.RiseRatio {
		halfLife, target = e.config.RiseHalfLife, confirmed
	}
	retained := decayFactor(now-previous.at, halfLife)
	return estimate{load: retained*previous.load + (1-retained)*target, sample: sample, at: now}
}

// decayFactor returns the share of an old value that remains after the time age.
func decayFactor(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 1
	}
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// combineSources returns the observed load, and false if there is none. The
// routers' count bounds the server's report.
func (e *Estimator) combineSources(observation Observation) (float64, bool) {
	routed, reported := sanitizeLoad(observation.Routed), sanitizeLoad(observation.Reported)
	switch {
	case observation.RoutedKnown && observation.ReportedKnown:
		return min(max(reported, routed/e.config.MaxRatio), routed*e.config.MaxRatio), true
	case observation.RoutedKnown:
		return routed, true
	default:
		return reported, observation.ReportedKnown
	}
}

// ShardLoad returns the smoothed load, and false if it is not known.
func (e *Estimator) ShardLoad(shard state.ShardID) (float64, bool) {
	estimated, found := e.loads[shard]
	return estimated.load, found
}

// Split moves a part of a shard's load, 0 to 1, to a shard that was split off it,
// so that the new shard's estimate need not be built up from zero.
func (e *Estimator) Split(from, created state.ShardID, part float64) {
	parent, found := e.loads[from]
	if !found {
		return
	}
	e.set(created, estimate{load: parent.load * part, sample: parent.sample * part, at: parent.at})
	e.set(from, estimate{load: parent.load * (1 - part), sample: parent.sample * (1 - part), at: parent.at})
}

// Merge adds the load of a shard that was merged into its neighbour to that
// neighbour, and removes the shard.
func (e *Estimator) Merge(into, gone state.ShardID) {
	merged := e.loads[into]
	merged.load += e.loads[gone].load
	merged.sample += e.loads[gone].sample
	e.Forget(gone)
	e.set(into, merged)
}
