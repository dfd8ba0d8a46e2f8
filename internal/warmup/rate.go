package warmup

import "math"

const (
	// maxDeviations is the number of standard deviations by which the total over all gateways may exceed its
	// mean and still be within the bound. Gateways act independently, so that requests arrive approximately as
	// a Poisson process, which exceeds five deviations about once in a million seconds.
	maxDeviations = 5
	// delayedReserve is the part of the bound reserved for requests that were delayed on the network and arrive
	// in the same second as later ones.
	delayedReserve = 2
)

// Bounds limit the requests that a cold instance may get in any one second.
type Bounds struct {
	// Overrun is the factor on the requests that the instance carries in a second, and Slack the number of
	// requests allowed in addition.
	Overrun float64
	Slack   float64
}

// FleetRate returns the rate in requests per second at which all gateways together send to a cold instance
// that carries perSecond. It is at most perSecond, and low enough that a random variation of maxDeviations
// does not exceed the bound in any one second.
func FleetRate(perSecond float64, bounds Bounds) float64 {
	limit := perSecond*bounds.Overrun + bounds.Slack - delayedReserve
	if perSecond <= 0 || limit <= 0 {
		return 0
	}
	// The square root of the rate r for which r + maxDeviations*sqrt(r) equals the limit.
	root := (math.Sqrt(maxDeviations*maxDeviations+4*limit) - maxDeviations) / 2
	return min(perSecond, root*root)
}
