package heartbeat

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

const keys = int(directory.MaxKey) + 1

// keyRates has a rate for each key, in requests a second, that decays with time. The
// rates are summed in a binary indexed tree, so that the rate of a range costs the
// same whatever its width.
type keyRates struct {
	// window is how far back counts count: what came earlier counts by a factor of e
	// less.
	window time.Duration
	// since is when counting began.
	since time.Duration
	// sums is the tree, from position 1 on. Its values are those of weighedAt: they
	// are divided by the weight of now when they are read.
	// It is made at the first count: most services have no keys.
	sums      []float64
	weighedAt time.Duration
	now       time.Duration
}

func newKeyRates(now, window time.Duration) keyRates {
	return keyRates{window: window, since: now, weighedAt: now, now: now}
}

// heaviest is the weight at which the values are weighed anew, so that they stay in
// range.
const heaviest = 1e6

// weight is by how much a count of now is to be raised beside the values.
func (r *keyRates) weight() float64 {
	return math.Exp((r.now - r.weighedAt).Seconds() / r.window.Seconds())
}

// advance lets the rates decay until a time.
func (r *keyRates) advance(now time.Duration) {
	r.now = max(r.now, now)
	weight := r.weight()
	if weight < heaviest {
		return
	}
	for position := range r.sums {
		r.sums[position] /= weight
	}
	r.weighedAt = r.now
}

// count adds requests for a key.
func (r *keyRates) count(key directory.Key, requests float64) {
	if r.sums == nil {
		r.sums = make([]float64, keys+1)
	}
	value := requests / r.window.Seconds() * r.weight()
	for position := int(key) + 1; position <= keys; position += position & -position {
		r.sums[position] += value
	}
}

// between returns the rate of a range of keys.
func (r *keyRates) between(first, last directory.Key) float64 {
	return max(0, r.below(int(last)+1)-r.below(int(first))) / r.weight()
}

// filled returns the share of a lasting rate that has been counted by now: less than one
// while counting has lasted for little more than the window.
func (r *keyRates) filled() float64 {
	return 1 - math.Exp(-(r.now-r.since).Seconds()/r.window.Seconds())
}

// below sums the values of the keys below one.
func (r *keyRates) below(key int) float64 {
	if r.sums == nil {
		return 0
	}
	total := 0.0
	for position := key; position > 0; position -= position & -position {
		total += r.sums[position]
	}
	return total
}

// widestFrom returns the last key of the widest range from a first key on, within a
// bound, whose rate does not exceed one; below the first key if there is none.
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

// widestTo is widestFrom for ranges that end at a last key.
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
