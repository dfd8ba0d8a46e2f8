package heartbeat

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// keyCount is the number of keys of a service.
const keyCount = int(directory.MaxKey) + 1

// keyRates holds a rate in requests per second for each key, with exponential decay. The rates are
// stored in a binary indexed tree, so the cost of summing a range does not depend on its width.
type keyRates struct {
	// window is the time constant of the decay.
	window time.Duration
	// startedAt is when counting started.
	startedAt time.Duration
	// sums is the tree, with indices from 1. Its values are relative to scaledAt: they are divided by
	// weight when they are read. It is allocated at the first count, since most services have no keys.
	sums     []float64
	scaledAt time.Duration
	now      time.Duration
}

func newKeyRates(now, window time.Duration) keyRates {
	return keyRates{window: window, startedAt: now, scaledAt: now, now: now}
}

// maxWeight is the weight at which the values are rescaled, so that they stay in range.
const maxWeight = 1e6

// weight is the factor by which a count at the current time is scaled up relative to the stored values.
func (r *keyRates) weight() float64 {
	return math.Exp((r.now - r.scaledAt).Seconds() / r.window.Seconds())
}

// advance decays the rates up to now.
func (r *keyRates) advance(now time.Duration) {
	r.now = max(r.now, now)
	weight := r.weight()
	if weight < maxWeight {
		return
	}
	for position := range r.sums {
		r.sums[position] /= weight
	}
	r.scaledAt = r.now
}

// count adds requests for a key.
func (r *keyRates) count(key directory.Key, requests float64) {
	if r.sums == nil {
		r.sums = make([]float64, keyCount+1)
	}
	value := requests / r.window.Seconds() * r.weight()
	for position := int(key) + 1; position <= keyCount; position += position & -position {
		r.sums[position] += value
	}
}

// between returns the rate of a range of keys.
func (r *keyRates) between(first, last directory.Key) float64 {
	return max(0, r.prefixSum(int(last)+1)-r.prefixSum(int(first))) / r.weight()
}

// windowFill returns the share of a constant rate that has been counted by now. It is below one until
// counting has lasted for several windows.
func (r *keyRates) windowFill() float64 {
	return 1 - math.Exp(-(r.now-r.startedAt).Seconds()/r.window.Seconds())
}

// prefixSum returns the sum of the values of all keys below key.
func (r *keyRates) prefixSum(key int) float64 {
	if r.sums == nil {
		return 0
	}
	total := 0.0
	for position := key; position > 0; position -= position & -position {
		total += r.sums[position]
	}
	return total
}

// widestFrom returns the last key of the widest range that starts at first, ends at bound at most, and
// does not exceed a rate. It returns first-1 if there is none.
func (r *keyRates) widestFrom(first, bound directory.Key, rate float64) directory.Key {
	low, high := first-1, bound
	for low < high {
		middle := low + (high-low+1)/2
		if r.between(first, middle) <= rate {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// widestTo returns the first key of the widest range that ends at last, starts at bound at least, and
// does not exceed a rate. It returns last+1 if there is none.
func (r *keyRates) widestTo(bound, last directory.Key, rate float64) directory.Key {
	low, high := bound, last+1
	for low < high {
		middle := low + (high-low)/2
		if r.between(middle, last) <= rate {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
