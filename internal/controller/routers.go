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

// routerRegistry tracks the routers that are connected to this leader and the table revision that each one
// reported. It is safe for concurrent use.
type routerRegistry struct {
	mutex   sync.Mutex
	routers map[state.RouterID]*connectedRouter
}

type connectedRouter struct {
	router      state.Router
	services    []state.ServiceName
	streams     int
	revision    state.Revision
	confirmedAt time.Duration
	// times are the settings that the router reported, or nil, and mismatches the problems found in them.
	times      *config.RouterTimes
	mismatches []config.Mismatch
}

func newRouterRegistry() *routerRegistry {
	return &routerRegistry{routers: make(map[state.RouterID]*connectedRouter)}
}

// join registers a stream of a router. It returns the mismatches between the router's reported settings, if
// any, and those of this controller and of other connected routers.
func (g *routerRegistry) join(hello message.RouterHello, settings config.Controller) []config.Mismatch {
	router, times := hello.Router, hello.Times
	g.mutex.Lock()
	defer g.mutex.Unlock()
	entry, found := g.routers[router.ID]
	if !found {
		entry = &connectedRouter{}
		g.routers[router.ID] = entry
	}
	entry.router = router
	entry.services = hello.Services
	entry.streams++
	entry.times = times
	entry.mismatches = nil
	if times != nil {
		reported := config.NamedTimes{Router: string(router.ID), RouterTimes: *times}
		entry.mismatches = config.CheckRouterTimes(settings, reported, g.reportedTimes())
	}
	return entry.mismatches
}

// reportedTimes returns the settings that routers reported, sorted by router identifier.
func (g *routerRegistry) reportedTimes() []config.NamedTimes {
	var reported []config.NamedTimes
	for id, entry := range g.routers {
		if entry.times != nil {
			reported = append(reported, config.NamedTimes{Router: string(id), RouterTimes: *entry.times})
		}
	}
	slices.SortFunc(reported, func(a, b config.NamedTimes) int { return cmp.Compare(a.Router, b.Router) })
	return reported
}

func (g *routerRegistry) leave(router state.RouterID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	entry, found := g.routers[router]
	if !found {
		return
	}
	entry.streams--
	if entry.streams == 0 {
		delete(g.routers, router)
	}
}

// pong answers a ping with a revision that a quorum confirmed after the ping was received.
func (g *routerRegistry) pong(router state.RouterID, ping message.Ping, revision state.Revision, now time.Duration) message.Pong {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if entry, found := g.routers[router]; found {
		entry.revision = ping.Revision
		entry.confirmedAt = now
	}
	return message.Pong{Nonce: ping.Nonce, SentNs: ping.SentNs, Revision: revision}
}

// list returns copies of the connected routers, sorted by identifier.
func (g *routerRegistry) list() []connectedRouter {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	routers := make([]connectedRouter, 0, len(g.routers))
	for _, entry := range g.routers {
		routers = append(routers, *entry)
	}
	slices.SortFunc(routers, func(a, b connectedRouter) int { return cmp.Compare(a.router.ID, b.router.ID) })
	return routers
}
