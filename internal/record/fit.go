package record

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// eligibleForSession reports whether a process wants a session and may have one by its
// own settings.
func (c *routerStatus) eligibleForSession() bool {
	return !c.report.Stopped && !c.report.Leaving && !c.report.Incompatible
}

// lifetimes are those of the records that routers with a session keep. A router
// with a longer lifetime admits keys whose records one with a shorter lifetime has
// dropped, so that they never have sessions at the same time.
type lifetimes struct {
	// incomplete is true while a router with a session has not told its lifetime to
	// this controller yet.
	incomplete bool
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
		status := p.status(router.ID)
		if status.lastPing == 0 {
			open.incomplete = true
		}
		open.add(status.report.Lifetime)
	}
	return open
}

func (l *lifetimes) add(lifetime time.Duration) {
	if lifetime == 0 {
		return
	}
	if l.shortest == 0 || lifetime < l.shortest {
		l.shortest = lifetime
	}
	l.longest = max(l.longest, lifetime)
}

// compatible reports whether a router that tells a lifetime, or none, may have a
// session beside the others.
func (l *lifetimes) compatible(lifetime time.Duration) bool {
	if lifetime == 0 {
		return true
	}
	return !l.incomplete && (l.longest == 0 || (l.shortest == lifetime && l.longest == lifetime))
}
