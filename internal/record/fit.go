package record

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// eligibleForSession reports whether a process wants a session and its settings
// allow one.
func (s *routerStatus) eligibleForSession() bool {
	return !s.report.Stopped && !s.report.Leaving && !s.report.Incompatible
}

// lifetimes summarizes the record lifetimes of the routers with an open session.
// Routers with different lifetimes never have sessions at the same time: the one
// with the longer lifetime would accept keys whose records the other has dropped.
type lifetimes struct {
	// incomplete is true while a router with an open session has not yet pinged
	// this controller.
	incomplete bool
	// shortest and longest cover the reported lifetimes; zero if none was reported.
	shortest, longest time.Duration
}

// openLifetimes collects the lifetimes in one pass over the routers, because it
// runs at every tick.
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

// compatible reports whether a router with this lifetime, zero if it reports none,
// may have a session at the same time as the others.
func (l *lifetimes) compatible(lifetime time.Duration) bool {
	if lifetime == 0 {
		return true
	}
	return !l.incomplete && (l.longest == 0 || (l.shortest == lifetime && l.longest == lifetime))
}
