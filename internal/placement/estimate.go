package placement

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Observation is what is known of one shard's load in the last interval.
type Observation struct {
	Shard state.ShardID
	// Routed is what the routers sent, from their own counts; it is taken
	// before the server's word. RoutedKnown is false when no router told.
	Routed      float64
	RoutedKnown bool
	// Reported is what the server says. ReportedKnown is false when it is
	// silent.
	Reported      float64
	ReportedKnown bool
}

// EstimatorConfig bounds what one interval can change.
type EstimatorConfig struct {
	// HalfLife is the time after which an old observation counts half.
	HalfLife time.Duration
	// MaxRatio bounds how far a report may differ from the routers' count.
	MaxRatio float64
	// MaxChange bounds the change of a load in one interval, as a ratio.
	MaxChange float64
}

// DefaultEstimatorConfig returns the settings that the product uses.
func DefaultEstimatorConfig() EstimatorConfig {
	const (
		halfLife  = 30 * time.Second
		maxRatio  = 1.25
		maxChange = 2
	)
	return EstimatorConfig{HalfLife: halfLife, MaxRatio: maxRatio, MaxChange: maxChange}
}

// Estimator smooths the loads of a service's shards. It holds one number per
// shard of the last Observe, and is not safe for concurrent use.
//
// A server that reports ten times its load moves the estimate by MaxRatio at
// most while routers count its requests, and by MaxChange per interval when
// none does. A silent server keeps its last estimate: it never looks idle, so
// it attracts no load.
type Estimator struct {
	config EstimatorConfig
	last   time.Duration
	loads  map[state.ShardID]float64
}

// NewEstimator returns an estimator that knows no loads.
func NewEstimator(config EstimatorConfig) *Estimator {
	return &Estimator{config: config, loads: make(map[state.ShardID]float64)}
}

// Observe takes the observations of one interval, of every shard that exists.
// Shards that are not among them are forgotten.
func (e *Estimator) Observe(now time.Duration, observations []Observation) {
	keep := 1.0
	if e.config.HalfLife > 0 {
		keep = math.Exp2(-max(now-e.last, 0).Seconds() / e.config.HalfLife.Seconds())
	}
	floor := e.floor(observations)
	e.last = now
	loads := make(map[state.ShardID]float64, len(observations))
	for _, observation := range observations {
		loads[observation.Shard] = e.next(observation, keep, floor)
	}
	e.loads = loads
}

// floor is the load from which MaxChange counts, so that an idle shard can
// become busy: the mean load of a shard.
func (e *Estimator) floor(observations []Observation) float64 {
	total := 0.0
	for _, observation := range observations {
		if known, found := e.loads[observation.Shard]; found {
			total += known
		} else if observation.RoutedKnown {
			total += sane(observation.Routed)
		}
	}
	return total / float64(max(len(observations), 1))
}

func (e *Estimator) next(observation Observation, keep, floor float64) float64 {
	previous, found := e.loads[observation.Shard]
	sample, known := e.sample(observation)
	switch {
	case !known && found:
		return previous
	case !known:
		return floor
	case !found && observation.RoutedKnown:
		return sample
	case !found:
		return min(sample, max(floor, minimumStep)*e.config.MaxChange)
	}
	sample = min(sample, max(previous, floor)*e.config.MaxChange)
	sample = max(sample, previous/e.config.MaxChange)
	return keep*previous + (1-keep)*sample
}

// sample combines the two sources. The routers' count bounds the report.
func (e *Estimator) sample(observation Observation) (float64, bool) {
	routed, reported := sane(observation.Routed), sane(observation.Reported)
	switch {
	case observation.RoutedKnown && observation.ReportedKnown:
		return min(max(reported, routed/e.config.MaxRatio), routed*e.config.MaxRatio), true
	case observation.RoutedKnown:
		return routed, true
	default:
		return reported, observation.ReportedKnown
	}
}

// ShardLoad returns the smoothed load, and false when it is not known.
func (e *Estimator) ShardLoad(shard state.ShardID) (float64, bool) {
	load, found := e.loads[shard]
	return load, found
}

// Split gives a part of a shard's load to a new shard, and Merge the reverse,
// so that a change of shape needs no new ramp-up. Share is 0 to 1.
func (e *Estimator) Split(from, created state.ShardID, share float64) {
	load := e.loads[from]
	e.loads[created] = load * share
	e.loads[from] = load * (1 - share)
}

// Merge adds the load of a shard that is gone to its neighbour.
func (e *Estimator) Merge(into, gone state.ShardID) {
	e.loads[into] += e.loads[gone]
	delete(e.loads, gone)
}
