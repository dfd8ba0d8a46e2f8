package warmup

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// clockRateBound is by how much an instance's clock may be slower than this process's, by
// which it counts down the time that the instance told.
const clockRateBound = 1.05

// Limiter is not safe for concurrent use.
type Limiter struct {
	bounds Bounds
	cold   map[directory.InstanceID]*coldStart
}

// coldStart is one time during which an instance is cold.
type coldStart struct {
	since directory.Revision
	// warmAt is when it ends.
	warmAt time.Duration
	// nextAt is when this gateway may send the next request.
	nextAt time.Duration
	// interval is the time between two requests of this gateway; zero for none at all.
	interval time.Duration
}

// NewLimiter returns a limiter that knows of no cold instance.
func NewLimiter(bounds Bounds) *Limiter {
	return &Limiter{bounds: bounds, cold: make(map[directory.InstanceID]*coldStart)}
}

// Note takes what the directory says of an instance. Gateways is how many of them share
// it, zero if that is not known: none is sent then. Random is a number in [0, 1).
func (l *Limiter) Note(now time.Duration, instance directory.Instance, service directory.Service, gateways int, random float64) {
	known, found := l.cold[instance.ID]
	switch {
	case instance.WarmUp <= 0:
		delete(l.cold, instance.ID)
		return
	case found && known.since == instance.ColdSince:
		return
	}
	started := &coldStart{since: instance.ColdSince, warmAt: now + time.Duration(clockRateBound*float64(instance.WarmUp))}
	if rate := FleetRate(service.WarmUpPerSecond, l.bounds); rate > 0 && gateways > 0 {
		started.interval = time.Duration(float64(gateways) / rate * float64(time.Second))
		started.nextAt = now + time.Duration(random*float64(started.interval))
	}
	l.cold[instance.ID] = started
}

// Cold reports whether an instance is cold.
func (l *Limiter) Cold(now time.Duration, id directory.InstanceID) bool {
	known, found := l.cold[id]
	return found && now < known.warmAt
}

// Allows reports whether a request may be sent to an instance now.
func (l *Limiter) Allows(now time.Duration, id directory.InstanceID) bool {
	if !l.Cold(now, id) {
		return true
	}
	known := l.cold[id]
	return known.interval > 0 && now >= known.nextAt
}

// Take reports whether a request may be sent to an instance now, and counts it.
func (l *Limiter) Take(now time.Duration, id directory.InstanceID) bool {
	if !l.Allows(now, id) {
		return false
	}
	if known, found := l.cold[id]; found {
		known.nextAt = now + known.interval
	}
	return true
}

// Forget drops the instances that are not among those known.
func (l *Limiter) Forget(known func(directory.InstanceID) bool) {
	for id := range l.cold {
		if !known(id) {
			delete(l.cold, id)
		}
	}
}
