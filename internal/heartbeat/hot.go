package heartbeat

import (
	"cmp"
	"math"
	"slices"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// hotKey is a key with its rate in requests per second.
type hotKey struct {
	key  directory.Key
	rate float64
}

const (
	// minWatchedLoad is the load from which on a key is watched, as the number of slots that it keeps
	// in use at the mean service time. It is far below the capacity of an instance: few keys are
	// watched, yet no hot key is missed, whatever the service time.
	minWatchedLoad = 0.2
	// maxWatchedKeys bounds the number of watched keys per service.
	maxWatchedKeys = 64
)

// minWatchedRate is the rate in requests per second from which on a key is watched; infinite before
// the first answer.
func (d *demand) minWatchedRate() float64 {
	if d.meanServiceTime == 0 {
		return math.Inf(1)
	}
	return minWatchedLoad / d.meanServiceTime
}

// watch adds a key to the watched keys if its rate is high.
func (d *demand) watch(key directory.Key) {
	if d.hot[key] || d.rates.between(key, key) < d.minWatchedRate() {
		return
	}
	if len(d.hot) >= maxWatchedKeys {
		d.dropCooled()
	}
	if len(d.hot) < maxWatchedKeys {
		d.hot[key] = true
	}
}

// dropCooled removes the watched keys whose rate has fallen.
func (d *demand) dropCooled() {
	for key := range d.hot {
		if d.rates.between(key, key) < d.minWatchedRate() {
			delete(d.hot, key)
		}
	}
}

// hotKeys returns the watched keys, hottest first.
func (d *demand) hotKeys() []hotKey {
	d.dropCooled()
	keys := make([]hotKey, 0, len(d.hot))
	for key := range d.hot {
		keys = append(keys, hotKey{key: key, rate: d.rates.between(key, key)})
	}
	slices.SortFunc(keys, func(a, b hotKey) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.key, b.key)) })
	return keys
}
