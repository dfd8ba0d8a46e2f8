package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A key has one holder, and a hot key may have more requests than any holder can serve. Gateways do not
// see each other's requests, so together they fill the holder's queue: requests in it are late, for other
// keys as well, and requests that find it full block. The leader knows demand and service times, and
// publishes to gateways which share of the requests for a hot key to forward.

const (
	// throttleInterval is the time between two checks of hot keys. Gateways report as often.
	throttleInterval = 200 * time.Millisecond
	// throttleThreshold is how many times a holder's slots the demand for its keys must take up before
	// hot keys are throttled. Below it, the limits in the gateways keep the queue short, and rejecting
	// earlier costs requests that would be served. throttleTarget is the share of the slots that the
	// demand is throttled to, so that the queue stays short.
	throttleThreshold = 3.0
	throttleTarget    = 0.85
	// throttleChangeRatio is the ratio by which a share must change to be published again.
	throttleChangeRatio = 1.25
	// fullPerMille stands for all requests.
	fullPerMille = 1000
)

// publishThrottles publishes the throttled keys of a service if they have changed.
func (b *Batch) publishThrottles(service string) {
	updated := b.core.throttles(b.now, service, b.view)
	if published := b.view.Throttles(service); !sameThrottles(published.Keys, updated) {
		b.throttles = append(b.throttles, directory.Throttles{Service: service, Keys: updated})
	}
}

// throttlesDue reports whether throttleInterval has passed since the last check of hot keys.
func (b *Batch) throttlesDue() bool {
	if b.now-b.core.throttlesCheckedAt < throttleInterval {
		return false
	}
	b.core.throttlesCheckedAt = b.now
	return true
}

// sameThrottles reports whether two lists have the same keys, and shares that differ by at most
// throttleChangeRatio.
func sameThrottles(published, updated []directory.Throttle) bool {
	return slices.EqualFunc(published, updated, func(a, b directory.Throttle) bool {
		high, low := float64(max(a.PerMille, b.PerMille)), float64(min(a.PerMille, b.PerMille))
		return a.Key == b.Key && high <= throttleChangeRatio*low
	})
}

// throttles returns, for each hot key of a service that exceeds the capacity of its holder, the share of
// its requests to forward, ordered by key.
func (c *Core) throttles(now time.Duration, service string, view *directory.Directory) []directory.Throttle {
	demand := c.demandOf(now, service)
	layout := view.Layout(service)
	byHolder := make(map[directory.InstanceID][]hotKey)
	for _, hot := range demand.hotKeys() {
		if holding, found := layout.At(hot.key); found && holding.Owner != "" {
			byHolder[holding.Owner] = append(byHolder[holding.Owner], hot)
		}
	}
	var throttled []directory.Throttle
	for holder, keys := range byHolder {
		instance, _ := view.Instance(holder)
		throttled = append(throttled, c.holderThrottles(now, instance, c.index(service, view).owned[holder], keys)...)
	}
	slices.SortFunc(throttled, func(a, b directory.Throttle) int { return cmp.Compare(a.Key, b.Key) })
	return throttled
}

// holderThrottles returns the throttles of one holder. Its other keys are not throttled; the remaining
// capacity is divided evenly among its hot keys, which are ordered hottest first.
func (c *Core) holderThrottles(now time.Duration, holder directory.Instance, owned []directory.Holding, keys []hotKey) []directory.Throttle {
	demand := c.demandOf(now, holder.Service)
	slots := max(holder.Slots, 1)
	serviceTime := demand.serviceTimeOf(now, holder.ID, slots)
	totalRate, hotRate := 0.0, 0.0
	for _, holding := range owned {
		totalRate += demand.rate(holding.First, holding.Last)
	}
	for _, key := range keys {
		hotRate += key.rate
	}
	if serviceTime <= 0 || totalRate*serviceTime < throttleThreshold*float64(slots) {
		return nil
	}
	// If the other keys alone exceed the capacity, the hot keys still get their proportional share.
	capacity := throttleTarget * float64(slots) / serviceTime
	remaining := max(capacity-(totalRate-hotRate), capacity*hotRate/totalRate)
	var throttled []directory.Throttle
	for position := len(keys) - 1; position >= 0; position-- {
		// Starting with the coolest key: the capacity that it does not need is left to the others.
		share := remaining / float64(position+1)
		key := keys[position]
		remaining -= min(share, key.rate)
		if key.rate > share {
			throttled = append(throttled, directory.Throttle{Key: key.key, PerMille: max(1, int(fullPerMille*share/key.rate))})
		}
	}
	return throttled
}
