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
	// RiseHalfLife takes its place while a load rises: when two observations in
	// a row lie above the estimate by RiseRatio. One alone may be an outlier.
	RiseHalfLife time.Duration
	RiseRatio    float64
	// MaxRatio bounds how far a report may differ from the routers' count.
	MaxRatio float64
	// MaxChange bounds the change of a load in one interval, as a ratio.
	MaxChange float64
}

// DefaultEstimatorConfig returns the settings that the product uses.
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

// Estimator smooths the loads of a service's shards, and is not safe for
// concurrent use. An observation costs O(1).
//
// A server that reports ten times its load moves the estimate by MaxRatio at
// most while routers count its requests, and by MaxChange per observation when
// none does. A silent server keeps its last estimate: it never looks idle, so
// it attracts no load.
type Estimator struct {
	config EstimatorConfig
	loads  map[state.ShardID]estimate
	// total is the sum of the loads.
	total float64
}

// estimate is one shard's smoothed load and when it was last observed.
type estimate struct {
	load float64
	// sample is the last observation, within the bounds of one change.
	sample float64
	at     time.Duration
}

// NewEstimator returns an estimator that knows no loads.
func NewEstimator(config EstimatorConfig) *Estimator {
	return &Estimator{config: config, loads: make(map[state.ShardID]estimate)}
}

// Observe takes the observations of one interval, of any of the shards. Those
// of one server that answered without naming a shard are zero, not unknown.
func (e *Estimator) Observe(now time.Duration, observations []Observation) {
	floor := e.floor(observations)
	for _, observation := range observations {
		e.set(observation.Shard, e.next(now, observation, floor))
	}
}

func (e *Estimator) set(shard state.ShardID, next estimate) {
	e.total = max(e.total+next.load-e.loads[shard].load, 0)
	e.loads[shard] = next
}

// Forget drops a shard that is gone.
func (e *Estimator) Forget(shard state.ShardID) {
	e.total = max(e.total-e.loads[shard].load, 0)
	delete(e.loads, shard)
}

// floor is the load from which MaxChange counts, so that an idle shard can
// become busy: the mean load of a shard, as far as it is known, or by the
// routers' counts of now if that is more. Reports count only while no load is
// known at all.
func (e *Estimator) floor(observations []Observation) float64 {
	known := e.total / float64(max(len(e.loads), 1))
	routed, reported := 0.0, 0.0
	for _, observation := range observations {
		if observation.RoutedKnown {
			routed += sane(observation.Routed)
		}
		if observation.ReportedKnown {
			reported += sane(observation.Reported)
		}
	}
	count := float64(max(len(observations), 1))
	if known == 0 && routed == 0 {
		return reported / count
	}
	return max(known, routed/count)
}

func (e *Estimator) next(now time.Duration, observation Observation, floor float64) estimate {
	previous, found := e.loads[observation.Shard]
	sample, told := e.sample(observation)
	switch {
	case !told && found:
		return estimate{load: previous.load, sample: previous.sample, at: now}
	case !told:
		sample = floor
	case !found && !observation.RoutedKnown:
		sample = min(sample, max(floor, minimumStep)*e.config.MaxChange)
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
	keep := share(now-previous.at, halfLife)
	return estimate{load: keep*previous.load + (1-keep)*target, sample: sample, at: now}
}

// share is the part of an old value that stays after some time.
func share(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 1
	}
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
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
	known, found := e.loads[shard]
	return known.load, found
}

// Split gives a part of a shard's load to a new shard, so that a change of
// shape needs no new ramp-up. Part is 0 to 1.
func (e *Estimator) Split(from, created state.ShardID, part float64) {
	known, found := e.loads[from]
	if !found {
		return
	}
	e.set(created, estimate{load: known.load * part, sample: known.sample * part, at: known.at})
	e.set(from, estimate{load: known.load * (1 - part), sample: known.sample * (1 - part), at: known.at})
}

// Merge adds the load of a shard that is gone to its neighbour.
func (e *Estimator) Merge(into, gone state.ShardID) {
	known := e.loads[into]
	known.load += e.loads[gone].load
	known.sample += e.loads[gone].sample
	e.Forget(gone)
	e.set(into, known)
}
