package controller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
)

// routerRegistry knows the routers that are connected to this leader and the
// table revision that each one reported. It is safe for concurrent use.
type routerRegistry struct {
	mutex   sync.Mutex
	routers map[state.RouterID]*connectedRouter
}

type connectedRouter struct {
	router    state.Router
	services  []state.ServiceName
	streams   int
	revision  state.Revision
	confirmed time.Duration
	// times are the settings that the router told, nil for none, and mismatches
	// their problems.
	times      *config.RouterTimes
	mismatches []config.Mismatch
}

func newRouterRegistry() *routerRegistry {
	return &routerRegistry{routers: make(map[state.RouterID]*connectedRouter)}
}

// join adds a stream of a router and returns how the settings that it told, nil
// for none, do not fit those of this controller and of other connected routers.
func (g *routerRegistry) join(hello message.RouterHello, settings config.Controller) []config.Mismatch {
	router, times := hello.Router, hello.Times
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known, found := g.routers[router.ID]
	if !found {
		known = &connectedRouter{}
		g.routers[router.ID] = known
	}
	known.router = router
	known.services = hello.Services
	known.streams++
	known.times = times
	known.mismatches = nil
	if times != nil {
		told := config.NamedTimes{Router: string(router.ID), RouterTimes: *times}
		known.mismatches = config.CheckRouterTimes(settings, told, g.told())
	}
	return known.mismatches
}

// told returns the settings that routers told, by identifier.
func (g *routerRegistry) told() []config.NamedTimes {
	var told []config.NamedTimes
	for id, known := range g.routers {
		if known.times != nil {
			told = append(told, config.NamedTimes{Router: string(id), RouterTimes: *known.times})
		}
	}
	slices.SortFunc(told, func(a, b config.NamedTimes) int { return cmp.Compare(a.Router, b.Router) })
	return told
}

func (g *routerRegistry) leave(router state.RouterID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known, found := g.routers[router]
	if !found {
		return
	}
	known.streams--
	if known.streams == 0 {
		delete(g.routers, router)
	}
}

// pong answers a ping whose revision a quorum confirmed after the ping came.
func (g *routerRegistry) pong(router state.RouterID, ping message.Ping, revision state.Revision, now time.Duration) message.Pong {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known, found := g.routers[router]; found {
		known.revision = ping.Revision
		known.confirmed = now
	}
	return message.Pong{Nonce: ping.Nonce, SentNs: ping.SentNs, Revision: revision}
}

// list returns copies of the connected routers, by identifier.
func (g *routerRegistry) list() []connectedRouter {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	routers := make([]connectedRouter, 0, len(g.routers))
	for _, known := range g.routers {
		routers = append(routers, *known)
	}
	slices.SortFunc(routers, func(a, b connectedRouter) int { return cmp.Compare(a.router.ID, b.router.ID) })
	return routers
}
