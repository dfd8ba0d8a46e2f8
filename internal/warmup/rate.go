package warmup

import "math"

const (
	// deviations is how many standard deviations the sum over all gateways may exceed
	// its mean by within the bound. Gateways act independently, so that requests arrive
	// much like a Poisson process, which exceeds five deviations once in a million seconds.
	deviations = 5
	// inTransit is kept of the bound for requests that were delayed on their way and
	// arrive within one second with later ones.
	inTransit = 2
)

// Bounds are what the platform allows a cold instance in any one second.
type Bounds struct {
	// Overrun is the factor on the requests that the instance carries in a second, and
	// Slack the requests allowed on top.
	Overrun float64
	Slack   float64
}

// FleetRate returns the requests a second that all gateways together send to a cold
// instance which carries a number of them: no more than that, and so few that chance does
// not bring them above the bound in any one second.
func FleetRate(perSecond float64, bounds Bounds) float64 {
	most := perSecond*bounds.Overrun + bounds.Slack - inTransit
	if perSecond <= 0 || most <= 0 {
		return 0
	}
	// The root of the rate r for which r + deviations*sqrt(r) reaches the bound.
	root := (math.Sqrt(deviations*deviations+4*most) - deviations) / 2
	return min(perSecond, root*root)
}
