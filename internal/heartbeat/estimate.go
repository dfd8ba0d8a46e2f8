package heartbeat

import (
	"math"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Independent requests vary in number by chance: for an instance that answers six per second, the
// short window of the demand shows between three and nine. Moving keys because of that gains
// nothing, and keys are not served while they move.

const (
	// longWindow is the longer time constant of request rates: long enough to detect a difference of
	// a third at six requests per second, and shorter than most changes of the hot keys last.
	longWindow = 6 * time.Second
	// significanceDeviations is how many standard deviations a rate must differ by to count as
	// different. By chance alone, one case in twenty differs by more than two.
	significanceDeviations = 2
	// minWindowFill is the share of longWindow that must have been counted for its rate to be used.
	minWindowFill = 0.3
)

// windowRates is a request rate as counted over both windows.
type windowRates struct {
	recent float64
	long   float64
}

// estimate is a rate with its standard deviation, in requests per second.
type estimate struct {
	rate      float64
	deviation float64
}

// windowRates returns the rates of a range of keys over both windows.
func (d *demand) windowRates(first, last directory.Key) windowRates {
	return windowRates{recent: d.rates.between(first, last), long: d.longRates.between(first, last)}
}

func (r windowRates) plus(other windowRates) windowRates {
	return windowRates{recent: r.recent + other.recent, long: r.long + other.long}
}

// estimate returns the rate over the long window, unless the rate over the short window differs from
// it significantly.
func (d *demand) estimate(rates windowRates) estimate {
	recent := estimate{rate: rates.recent, deviation: deviation(rates.recent, demandWindow)}
	fill := d.longRates.windowFill()
	if fill < minWindowFill {
		return recent
	}
	longRate := rates.long / fill
	if math.Abs(recent.rate-longRate) > significanceDeviations*deviation(max(recent.rate, longRate), demandWindow) {
		return recent
	}
	return estimate{rate: longRate, deviation: deviation(longRate, time.Duration(fill*float64(longWindow)))}
}

// lowerBound returns the lower confidence bound of the rate.
func (e estimate) lowerBound() float64 { return max(0, e.rate-significanceDeviations*e.deviation) }

// deviation returns the standard deviation of a rate that is counted with exponential decay: the
// effective number of requests is that of twice the time constant.
func deviation(rate float64, window time.Duration) float64 {
	return math.Sqrt(rate / (2 * window.Seconds()))
}
