package heartbeat

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Requests that come independently of each other differ in number from one moment to the
// next by chance alone. An instance that answers six a second shows between three and
// nine over the short window in which demand is counted. Keys that moved for that would
// gain nothing, and nobody serves them while they move.

const (
	// lastingWindow is the longer time over which demand is counted: long enough to tell
	// a difference of a third at six requests a second, and shorter than most changes
	// of what is busy last.
	lastingWindow = 6 * time.Second
	// certainty is how many standard deviations a rate must differ by to count as
	// different: chance alone exceeds two in one of twenty cases.
	certainty = 2
	// leastFilled is the share of the longer window that must have been counted for it
	// to tell anything.
	leastFilled = 0.3
)

// counted is the rate of requests, as counted over both windows.
type counted struct {
	recent  float64
	lasting float64
}

// estimate is a rate with its standard deviation, in requests a second.
type estimate struct {
	rate      float64
	deviation float64
}

// counts returns the rates of a range of keys over both windows.
func (d *demand) counts(first, last directory.Key) counted {
	return counted{recent: d.rates.between(first, last), lasting: d.lasting.between(first, last)}
}

func (c counted) plus(other counted) counted {
	return counted{recent: c.recent + other.recent, lasting: c.lasting + other.lasting}
}

// estimate returns the rate over the longer window, unless the newest requests contradict
// it by more than chance.
func (d *demand) estimate(rates counted) estimate {
	recent := estimate{rate: rates.recent, deviation: deviation(rates.recent, demandWindow)}
	filled := d.lasting.filled()
	if filled < leastFilled {
		return recent
	}
	lasting := rates.lasting / filled
	if math.Abs(recent.rate-lasting) > certainty*deviation(max(recent.rate, lasting), demandWindow) {
		return recent
	}
	return estimate{rate: lasting, deviation: deviation(lasting, time.Duration(filled*float64(lastingWindow)))}
}

// atLeast returns the rate that is surely there.
func (e estimate) atLeast() float64 { return max(0, e.rate-certainty*e.deviation) }

// deviation returns the standard deviation of a rate that was counted over a window in
// which earlier requests count less and less: as many requests matter as come in twice
// the window.
func deviation(rate float64, window time.Duration) float64 {
	return math.Sqrt(rate / (2 * window.Seconds()))
}
