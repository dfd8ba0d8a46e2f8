package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/admission"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/execution"
	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// Link is a router's connections to one back end. Its methods are called under
// the fleet's lock and must not block.
type Link interface {
	// Update handles a new version of the server's object, with the bound on
	// connections that follows from it.
	Update(server *state.Server, connections int)
	// Limit changes the bound on connections. Open connections are kept.
	Limit(connections int)
	// Close closes the connections that are not in use.
	Close()
}

// Options configures a Fleet.
type Options struct {
	Clock  clock.Clock
	Health health.Settings
	// MaxConnections bounds this router's connections to each back end.
	MaxConnections int
	// Table returns the routing table in force.
	Table func() *table.Table
	// Open returns the link to a server, with a bound on connections.
	Open func(server *state.Server, connections int) Link
}

// BackEnd is the router's state for one server.
type BackEnd struct {
	// Queue admits the router's requests to the server.
	Queue *admission.Queue
	// Link is the router's connections to the server.
	Link Link

	// server is the newest version of the server's object that the router has seen.
	server atomic.Pointer[state.Server]
	// sessionSince is the clock reading, in nanoseconds, at which the present
	// session was first seen.
	sessionSince atomic.Int64
	// answeredAt is the clock reading, in nanoseconds, of the last answer that is
	// not a refusal.
	answeredAt atomic.Int64
	// reportedLoad is the load that the server last reported, in thousandths of its
	// slots.
	reportedLoad atomic.Int64
}

// Server returns the newest version of the server's object.
func (b *BackEnd) Server() *state.Server { return b.server.Load() }

// ReportLoad stores the numbers of running and queued requests that the server
// reported, as load relative to its slots.
func (b *BackEnd) ReportLoad(running, queued, slots int) {
	const thousand = 1000
	b.reportedLoad.Store(int64(running+queued) * thousand / int64(max(1, slots)))
}

// Fleet holds the back ends that the router has used, at most those in the routing
// table. It is safe for concurrent use.
type Fleet struct {
	options Options
	health  *health.Tracker

	mutex    sync.RWMutex
	backEnds map[state.ServerID]*BackEnd
	routers  int
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	return &Fleet{
		options: options, health: health.NewTracker(options.Health),
		backEnds: make(map[state.ServerID]*BackEnd), routers: 1,
	}
}

// Health returns the health tracker of the fleet's servers.
func (f *Fleet) Health() *health.Tracker { return f.health }

// Get returns the back end of a server, created at first use and updated if server
// is newer than its object.
func (f *Fleet) Get(server *state.Server) *BackEnd {
	backEnd, found := f.lookup(server.ID)
	if found && backEnd.Server().Revision >= server.Revision {
		return backEnd
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.updateLocked(server)
}

func (f *Fleet) lookup(id state.ServerID) (*BackEnd, bool) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	backEnd, found := f.backEnds[id]
	return backEnd, found
}

func (f *Fleet) updateLocked(server *state.Server) *BackEnd {
	backEnd, found := f.backEnds[server.ID]
	if !found {
		return f.createLocked(server)
	}
	previous := backEnd.Server()
	if previous.Revision >= server.Revision {
		return backEnd
	}
	backEnd.server.Store(server)
	backEnd.Link.Update(server, f.connections(server))
	if previous.Session.Number != server.Session.Number {
		backEnd.sessionSince.Store(int64(f.options.Clock.Now()))
	}
	if previous.Session != server.Session {
		backEnd.Queue.Evict(execution.ErrSessionEnded)
	}
	f.limitLocked(backEnd)
	return backEnd
}

func (f *Fleet) createLocked(server *state.Server) *BackEnd {
	backEnd := &BackEnd{
		Queue: admission.NewQueue(f.options.Clock, admission.Limits{}),
		Link:  f.options.Open(server, f.connections(server)),
	}
	backEnd.server.Store(server)
	backEnd.sessionSince.Store(int64(f.options.Clock.Now()))
	f.backEnds[server.ID] = backEnd
	f.limitLocked(backEnd)
	return backEnd
}

// connections returns the maximum number of connections to the server: this
// router's share of those that the server accepts, and at most MaxConnections.
func (f *Fleet) connections(server *state.Server) int {
	share := admission.ConnectionShare(server.Connections, f.routers)
	return min(share, f.options.MaxConnections)
}

func (f *Fleet) limitLocked(backEnd *BackEnd) {
	server := backEnd.Server()
	connections := f.connections(server)
	backEnd.Queue.SetLimits(admission.ServerLimits(server.Slots, connections, f.queueLimit(server.Service)))
	backEnd.Link.Limit(connections)
}

// queueLimit returns the maximum number of requests that may wait for each server
// of a service.
func (f *Fleet) queueLimit(name state.ServiceName) int {
	service, found := f.options.Table().Service(name)
	if !found {
		return 0
	}
	return service.QueueLimit
}

// Refresh applies a new version of the table: it updates the back ends and removes
// those that the table no longer contains.
func (f *Fleet) Refresh(view *table.Table) {
	routers := max(1, view.OpenRouters())
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.routers = routers
	for id, backEnd := range f.backEnds {
		server, found := view.Server(id)
		if !found {
			backEnd.Queue.Evict(execution.ErrSessionEnded)
			backEnd.Link.Close()
			delete(f.backEnds, id)
			continue
		}
		f.updateLocked(server)
		f.limitLocked(backEnd)
	}
	f.health.Forget(func(id state.ServerID) bool {
		_, found := view.Server(id)
		return found
	})
}

// Known returns the back ends in no fixed order.
func (f *Fleet) Known() []*BackEnd {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	backEnds := make([]*BackEnd, 0, len(f.backEnds))
	for _, backEnd := range f.backEnds {
		backEnds = append(backEnds, backEnd)
	}
	return backEnds
}

// Load implements dispatch.Fleet.
func (f *Fleet) Load(server *state.Server) dispatch.Load {
	backEnd := f.Get(server)
	const thousandth = 0.001
	return dispatch.Load{
		InFlight: backEnd.Queue.Running() + backEnd.Queue.Waiting(),
		Limit:    backEnd.Queue.Limit(),
		Reported: float64(backEnd.reportedLoad.Load()) * thousandth,
		Age:      f.options.Clock.Now() - time.Duration(backEnd.sessionSince.Load()),
	}
}

// Answered implements execution.Fleet.
func (f *Fleet) Answered(server *state.Server, now time.Duration) {
	if backEnd, found := f.lookup(server.ID); found {
		backEnd.answeredAt.Store(int64(now))
	}
}

// AnsweredSince implements execution.Fleet.
func (f *Fleet) AnsweredSince(server *state.Server, reading time.Duration) bool {
	backEnd, found := f.lookup(server.ID)
	return found && time.Duration(backEnd.answeredAt.Load()) > reading
}

// Choose implements dispatch.Fleet.
func (f *Fleet) Choose(servers []*state.Server, now time.Duration) []*state.Server {
	return f.health.Choose(servers, now)
}
