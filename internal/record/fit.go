package record

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// maySession reports whether a process wants a session and may have one by its
// own settings.
func (c *contact) maySession() bool {
	return !c.report.Stopped && !c.report.Leaving && !c.report.Incompatible
}

// lifetimes are those of the records that routers with a session keep. A router
// with a longer lifetime admits keys whose records one with a shorter lifetime has
// dropped, so that they never have sessions at the same time.
type lifetimes struct {
	// unheard is true while a router with a session has not told its lifetime to
	// this controller yet.
	unheard bool
	// shortest and longest are of those that were told; zero while none was.
	shortest, longest time.Duration
}

// openLifetimes looks at each router once, since it is asked for at every tick.
func (p *Placement) openLifetimes(routers []state.Router) lifetimes {
	var open lifetimes
	for _, router := range routers {
		if !router.Session.Open {
			continue
		}
		known := p.contact(router.ID)
		if known.pinged == 0 {
			open.unheard = true
		}
		open.note(known.report.Lifetime)
	}
	return open
}

func (l *lifetimes) note(told time.Duration) {
	if told == 0 {
		return
	}
	if l.shortest == 0 || told < l.shortest {
		l.shortest = told
	}
	l.longest = max(l.longest, told)
}

// admit reports whether a router that tells a lifetime, or none, may have a
// session beside the others.
func (l *lifetimes) admit(told time.Duration) bool {
	if told == 0 {
		return true
	}
	return !l.unheard && (l.longest == 0 || (l.shortest == told && l.longest == told))
}
