package warmup

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// clockRateBound is how many times slower an instance's clock may run than that of this process, which
// measures the remaining warm-up time that the instance reported.
const clockRateBound = 1.05

// Limiter decides whether this gateway may send a request to a cold instance now. It is not safe for
// concurrent use.
type Limiter struct {
	bounds Bounds
	cold   map[directory.InstanceID]*coldStart
}

// coldStart is one warm-up of an instance. coldSince is the directory's revision at which it began.
type coldStart struct {
	coldSince directory.Revision
	// warmAt is when the warm-up ends.
	warmAt time.Duration
	// nextAt is when this gateway may send the next request.
	nextAt time.Duration
	// interval is the time between two requests of this gateway; zero if it may send none.
	interval time.Duration
}

// NewLimiter returns a limiter without instances.
func NewLimiter(bounds Bounds) *Limiter {
	return &Limiter{bounds: bounds, cold: make(map[directory.InstanceID]*coldStart)}
}

// Note records the state of an instance in the directory. Gateways is the number of gateways that share the
// instance; zero means that it is not known, and then nothing is sent. Random is a number in [0, 1).
func (l *Limiter) Note(now time.Duration, instance directory.Instance, service directory.Service, gateways int, random float64) {
	current, found := l.cold[instance.ID]
	switch {
	case instance.WarmUp <= 0:
		delete(l.cold, instance.ID)
		return
	case found && current.coldSince == instance.ColdSince:
		return
	}
	start := &coldStart{coldSince: instance.ColdSince, warmAt: now + time.Duration(clockRateBound*float64(instance.WarmUp))}
	if rate := FleetRate(service.WarmUpPerSecond, l.bounds); rate > 0 && gateways > 0 {
		start.interval = time.Duration(float64(gateways) / rate * float64(time.Second))
		start.nextAt = now + time.Duration(random*float64(start.interval))
	}
	l.cold[instance.ID] = start
}

// Cold reports whether an instance is cold.
func (l *Limiter) Cold(now time.Duration, id directory.InstanceID) bool {
	current, found := l.cold[id]
	return found && now < current.warmAt
}

// Allows reports whether a request may be sent to an instance now.
func (l *Limiter) Allows(now time.Duration, id directory.InstanceID) bool {
	if !l.Cold(now, id) {
		return true
	}
	current := l.cold[id]
	return current.interval > 0 && now >= current.nextAt
}

// Take reports whether a request may be sent to an instance now, and if so, counts it.
func (l *Limiter) Take(now time.Duration, id directory.InstanceID) bool {
	if !l.Allows(now, id) {
		return false
	}
	if current, found := l.cold[id]; found {
		current.nextAt = now + current.interval
	}
	return true
}

// Forget removes the instances for which isKnown returns false.
func (l *Limiter) Forget(isKnown func(directory.InstanceID) bool) {
	for id := range l.cold {
		if !isKnown(id) {
			delete(l.cold, id)
		}
	}
}
