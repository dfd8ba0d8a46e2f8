package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// A key has one holder, and a hot one asks for more than any holder serves. Gateways do not
// see each other's requests, so that all of them together fill the holder's queue: what
// waits there is late, the requests for its other keys too, and what finds the queue full
// hangs. The leader knows demand and service times, and tells gateways which share of the
// requests for a hot key is worth sending.

const (
	// throttleInterval is the time between two looks at hot keys: as often as gateways
	// report.
	throttleInterval = 200 * time.Millisecond
	// throttleFrom is how many times its slots the demand for a holder's keys must ask for
	// before hot keys are throttled: below it the bounds of the gateways keep the queue in
	// order, and rejecting ahead of it costs requests that would be served. throttleTo is
	// the share of the slots that they are throttled to: the queue then stays short.
	throttleFrom = 3.0
	throttleTo   = 0.85
	// throttleChange is the ratio by which a share must change to be told anew.
	throttleChange = 1.25
	// wholePerMille stands for all requests.
	wholePerMille = 1000
)

// publishThrottles tells gateways of the hot keys of a service, if what is known of them has
// changed.
func (b *Batch) publishThrottles(service string) {
	wanted := b.core.throttles(b.now, service, b.view)
	if published := b.view.Throttles(service); !sameThrottles(published.Keys, wanted) {
		b.throttles = append(b.throttles, directory.Throttles{Service: service, Keys: wanted})
	}
}

// throttleDue reports whether it is time to look at hot keys again.
func (b *Batch) throttleDue() bool {
	if b.now-b.core.throttledAt < throttleInterval {
		return false
	}
	b.core.throttledAt = b.now
	return true
}

// sameThrottles reports whether two lists say nearly the same.
func sameThrottles(published, wanted []directory.Throttle) bool {
	return slices.EqualFunc(published, wanted, func(a, b directory.Throttle) bool {
		high, low := float64(max(a.PerMille, b.PerMille)), float64(min(a.PerMille, b.PerMille))
		return a.Key == b.Key && high <= throttleChange*low
	})
}

// throttles returns the share of the requests for each hot key of a service that its holder
// can serve, by key.
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
		throttled = append(throttled, c.throttlesOf(now, instance, c.index(service, view).owned[holder], keys)...)
	}
	slices.SortFunc(throttled, func(a, b directory.Throttle) int { return cmp.Compare(a.Key, b.Key) })
	return throttled
}

// throttlesOf returns those of one holder: its other keys are served whole, and what is left
// is divided evenly among the hot ones, the hottest first in order.
func (c *Core) throttlesOf(now time.Duration, holder directory.Instance, owned []directory.Holding, keys []hotKey) []directory.Throttle {
	demand := c.demandOf(now, holder.Service)
	slots := max(holder.Slots, 1)
	serviceTime := demand.timeOf(now, holder.ID, slots)
	total, hot := 0.0, 0.0
	for _, holding := range owned {
		total += demand.rate(holding.First, holding.Last)
	}
	for _, key := range keys {
		hot += key.rate
	}
	if serviceTime <= 0 || total*serviceTime < throttleFrom*float64(slots) {
		return nil
	}
	// Where the other keys ask for more than the holder serves, the hot ones have a part of
	// it by their demand.
	capacity := throttleTo * float64(slots) / serviceTime
	left := max(capacity-(total-hot), capacity*hot/total)
	var throttled []directory.Throttle
	for position := len(keys) - 1; position >= 0; position-- {
		// From the coolest on: what it does not need is left to the others.
		part := left / float64(position+1)
		key := keys[position]
		left -= min(part, key.rate)
		if key.rate > part {
			throttled = append(throttled, directory.Throttle{Key: key.key, PerMille: max(1, int(wholePerMille*part/key.rate))})
		}
	}
	return throttled
}
