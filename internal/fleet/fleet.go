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
	// Update takes a new version of the server's object and the bound on
	// connections that goes with it.
	Update(server *state.Server, connections int)
	// Limit changes the bound on connections; open ones stay.
	Limit(connections int)
	// Close closes the connections that are not in use.
	Close()
}

// Options are what a Fleet needs.
type Options struct {
	Clock  clock.Clock
	Health health.Settings
	// MaxConnections bounds one router's connections to a back end.
	MaxConnections int
	// Table returns the routing table in force.
	Table func() *table.Table
	// Open returns the link to a server, with a bound on connections.
	Open func(server *state.Server, connections int) Link
}

// BackEnd is what the router holds for one server.
type BackEnd struct {
	// Queue admits the router's requests to the server.
	Queue *admission.Queue
	// Link is the router's connections to the server.
	Link Link

	// server is the newest version that the router has seen.
	server atomic.Pointer[state.Server]
	// since is the clock reading, in nanoseconds, at which the present session
	// was first seen.
	since atomic.Int64
	// answeredAt is the clock reading, in nanoseconds, of the last answer that is
	// no refusal.
	answeredAt atomic.Int64
	// reported is the server's own load in thousandths of its slots.
	reported atomic.Int64
}

// Server returns the newest version of the server's object.
func (b *BackEnd) Server() *state.Server { return b.server.Load() }

// ReportLoad keeps a server's own report of running and queued requests.
func (b *BackEnd) ReportLoad(running, queued, slots int) {
	const thousand = 1000
	b.reported.Store(int64(running+queued) * thousand / int64(max(1, slots)))
}

// Fleet holds the back ends that the router has dealt with. It is as large as
// the routing table at most, and safe for concurrent use.
type Fleet struct {
	options Options
	health  *health.Tracker

	mutex   sync.RWMutex
	servers map[state.ServerID]*BackEnd
	routers int
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	return &Fleet{
		options: options, health: health.NewTracker(options.Health),
		servers: make(map[state.ServerID]*BackEnd), routers: 1,
	}
}

// Health returns the tracker of the fleet's servers.
func (f *Fleet) Health() *health.Tracker { return f.health }

// Get returns the back end of a server, made at first use.
func (f *Fleet) Get(server *state.Server) *BackEnd {
	found, ok := f.find(server.ID)
	if ok && found.Server().Revision >= server.Revision {
		return found
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.updateLocked(server)
}

func (f *Fleet) find(id state.ServerID) (*BackEnd, bool) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	found, ok := f.servers[id]
	return found, ok
}

func (f *Fleet) updateLocked(server *state.Server) *BackEnd {
	found, ok := f.servers[server.ID]
	if !ok {
		return f.createLocked(server)
	}
	earlier := found.Server()
	if earlier.Revision >= server.Revision {
		return found
	}
	found.server.Store(server)
	found.Link.Update(server, f.connections(server))
	if earlier.Session.Number != server.Session.Number {
		found.since.Store(int64(f.options.Clock.Now()))
	}
	if earlier.Session != server.Session {
		found.Queue.Evict(execution.ErrSessionEnded)
	}
	f.limitLocked(found)
	return found
}

func (f *Fleet) createLocked(server *state.Server) *BackEnd {
	created := &BackEnd{
		Queue: admission.NewQueue(f.options.Clock, admission.Limits{}),
		Link:  f.options.Open(server, f.connections(server)),
	}
	created.server.Store(server)
	created.since.Store(int64(f.options.Clock.Now()))
	f.servers[server.ID] = created
	f.limitLocked(created)
	return created
}

// connections returns how many connections the router may hold to the server.
func (f *Fleet) connections(server *state.Server) int {
	share := admission.ConnectionShare(server.Connections, f.routers)
	return min(share, f.options.MaxConnections)
}

func (f *Fleet) limitLocked(target *BackEnd) {
	server := target.Server()
	connections := f.connections(server)
	target.Queue.SetLimits(admission.ServerLimits(server.Slots, connections, f.queueLimit(server.Service)))
	target.Link.Limit(connections)
}

// queueLimit returns how many requests may wait for each server of a service.
func (f *Fleet) queueLimit(name state.ServiceName) int {
	service, found := f.options.Table().Service(name)
	if !found {
		return 0
	}
	return service.QueueLimit
}

// Refresh follows a new version of the table: it updates known back ends and
// forgets those that are gone.
func (f *Fleet) Refresh(view *table.Table) {
	routers := max(1, view.OpenRouters())
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.routers = routers
	for id, known := range f.servers {
		server, found := view.Server(id)
		if !found {
			known.Queue.Evict(execution.ErrSessionEnded)
			known.Link.Close()
			delete(f.servers, id)
			continue
		}
		f.updateLocked(server)
		f.limitLocked(known)
	}
	f.health.Forget(func(id state.ServerID) bool {
		_, found := view.Server(id)
		return found
	})
}

// Known returns the known back ends, in no fixed order.
func (f *Fleet) Known() []*BackEnd {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	known := make([]*BackEnd, 0, len(f.servers))
	for _, item := range f.servers {
		known = append(known, item)
	}
	return known
}

// Load implements dispatch.Fleet.
func (f *Fleet) Load(server *state.Server) dispatch.Load {
	known := f.Get(server)
	const thousandth = 0.001
	return dispatch.Load{
		InFlight: known.Queue.Running() + known.Queue.Waiting(),
		Limit:    known.Queue.Limit(),
		Reported: float64(known.reported.Load()) * thousandth,
		Age:      f.options.Clock.Now() - time.Duration(known.since.Load()),
	}
}

// Answered implements execution.Fleet.
func (f *Fleet) Answered(server *state.Server, now time.Duration) {
	if known, found := f.find(server.ID); found {
		known.answeredAt.Store(int64(now))
	}
}

// AnsweredSince implements execution.Fleet.
func (f *Fleet) AnsweredSince(server *state.Server, reading time.Duration) bool {
	known, found := f.find(server.ID)
	return found && time.Duration(known.answeredAt.Load()) > reading
}

// Choose implements dispatch.Fleet.
func (f *Fleet) Choose(servers []*state.Server, now time.Duration) []*state.Server {
	return f.health.Choose(servers, now)
}
