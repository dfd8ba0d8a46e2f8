package quota

import (
	"math"
	"time"
)

const (
	// raiseDelay is how long a lower limit must not have been reported before a higher one applies:
	// some gateways learn of a lowered limit later than others.
	raiseDelay = time.Second
	// limitLifetime is how long a limit is kept that no gateway reports.
	limitLifetime = time.Minute
	// maxInstances bounds the instances with a limit.
	maxInstances = 100_000
)

// AdvertisedLimits are the limits that instances advertise, as gateways report them with their
// asks.
type AdvertisedLimits struct {
	limits map[string]*advertisedLimit
	// expiredAt is when expired limits were last removed.
	expiredAt time.Duration
}

type advertisedLimit struct {
	rate float64
	// confirmedAt is when this rate or a lower one was last reported.
	confirmedAt time.Duration
	// reportedAt is when any rate was last reported.
	reportedAt time.Duration
}

// NewAdvertisedLimits returns an empty set of limits.
func NewAdvertisedLimits() *AdvertisedLimits {
	return &AdvertisedLimits{limits: make(map[string]*advertisedLimit)}
}

// Note records a limit that a gateway reports, in requests per second. The lowest of the recently
// reported limits applies.
func (n *AdvertisedLimits) Note(now time.Duration, instance string, rate float64) {
	if !(rate > 0) || math.IsInf(rate, 0) {
		return
	}
	entry, ok := n.limits[instance]
	if !ok {
		if len(n.limits) >= maxInstances {
			return
		}
		entry = &advertisedLimit{rate: rate, confirmedAt: now}
		n.limits[instance] = entry
	}
	entry.reportedAt = now
	if rate <= entry.rate || now-entry.confirmedAt >= raiseDelay {
		entry.rate, entry.confirmedAt = rate, now
	}
}

// Of returns the limit of an instance, or false if it has none.
func (n *AdvertisedLimits) Of(instance string) (Limit, bool) {
	entry, ok := n.limits[instance]
	if !ok {
		return Limit{}, false
	}
	return LimitOfInstance(entry.rate), true
}

// Expire removes the limits that no gateway has reported for limitLifetime, and calls drop for
// each.
func (n *AdvertisedLimits) Expire(now time.Duration, drop func(instance string)) {
	if now-n.expiredAt < raiseDelay {
		return
	}
	n.expiredAt = now
	for instance, entry := range n.limits {
		if now-entry.reportedAt > limitLifetime {
			delete(n.limits, instance)
			drop(instance)
		}
	}
}
