package record

import "github.com/thorntiller/thorntiller/internal/state"

// maySession reports whether a process wants a session and may have one by its
// own settings.
func (c *contact) maySession() bool {
	return !c.report.Stopped && !c.report.Leaving && !c.report.Unfit
}

// lifetimeDiffers reports whether another router with a session keeps records for
// another time, or may do so. A router with a longer lifetime admits keys whose
// records one with a shorter lifetime has dropped, so that they never have
// sessions at the same time.
func (p *Placement) lifetimeDiffers(known *contact, view *state.State) bool {
	if known.report.Lifetime == 0 {
		return false
	}
	for _, router := range view.Routers() {
		if !router.Session.Open || router.ID == known.wanted.ID {
			continue
		}
		other := p.contact(router.ID)
		if other.pinged == 0 || (other.report.Lifetime != 0 && other.report.Lifetime != known.report.Lifetime) {
			return true
		}
	}
	return false
}
