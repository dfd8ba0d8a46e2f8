package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/admission"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/execution"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// backEnd is what the router holds for one server.
type backEnd struct {
	// server is the newest version that the router has seen.
	server atomic.Pointer[state.Server]
	client atomic.Pointer[forward.Client]
	queue  *admission.Queue
	// since is the clock reading, in nanoseconds, at which the present session
	// was first seen.
	since atomic.Int64
	// answeredAt is the clock reading, in nanoseconds, of the last answer that is
	// no refusal.
	answeredAt atomic.Int64
	// reported is the server's own load in thousandths of its slots.
	reported atomic.Int64
}

// answered notes an answer that is no refusal.
func (b *backEnd) answered(now time.Duration) {
	b.answeredAt.Store(int64(now))
}

// answeredSince reports whether the server answered after a clock reading.
func (b *backEnd) answeredSince(refused time.Duration) bool {
	return time.Duration(b.answeredAt.Load()) > refused
}

// fleet holds the back ends that the router has dealt with. It is as large as
// the routing table at most.
type fleet struct {
	settings config.Router
	clock    clock.Clock
	builder  *table.Builder
	health   *health.Tracker

	mutex   sync.RWMutex
	servers map[state.ServerID]*backEnd
	routers int
}

func newFleet(settings config.Router, reader clock.Clock, builder *table.Builder) *fleet {
	tracker := health.NewTracker(health.Settings{
		Failures:     settings.Health.EjectFailures,
		BaseEjection: settings.Health.EjectDuration,
		MaxEjection:  maxEjection,
		MaxRatio:     settings.Health.MaxEjectedRatio,
	})
	return &fleet{
		settings: settings, clock: reader, builder: builder, health: tracker,
		servers: make(map[state.ServerID]*backEnd), routers: 1,
	}
}

const maxEjection = 30 * time.Second

// get returns the back end of a server, made at first use.
func (f *fleet) get(server *state.Server) *backEnd {
	f.mutex.RLock()
	found, ok := f.servers[server.ID]
	f.mutex.RUnlock()
	if ok && found.server.Load().Revision >= server.Revision {
		return found
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.updateLocked(server)
}

func (f *fleet) updateLocked(server *state.Server) *backEnd {
	found, ok := f.servers[server.ID]
	if !ok {
		return f.createLocked(server)
	}
	earlier := found.server.Load()
	if earlier.Revision >= server.Revision {
		return found
	}
	found.server.Store(server)
	if earlier.Address != server.Address {
		old := found.client.Swap(f.newClient(server))
		old.CloseIdle()
	}
	if earlier.Session.Number != server.Session.Number {
		found.since.Store(int64(f.clock.Now()))
	}
	if earlier.Session != server.Session {
		found.queue.Evict(execution.ErrSessionEnded)
	}
	f.limitLocked(found)
	return found
}

func (f *fleet) createLocked(server *state.Server) *backEnd {
	created := &backEnd{queue: admission.NewQueue(f.clock, admission.Limits{})}
	created.server.Store(server)
	created.client.Store(f.newClient(server))
	created.since.Store(int64(f.clock.Now()))
	f.servers[server.ID] = created
	f.limitLocked(created)
	return created
}

func (f *fleet) newClient(server *state.Server) *forward.Client {
	return forward.NewClient(server.Address, forward.Settings{
		ConnectTimeout:     f.settings.BackEnd.ConnectTimeout,
		IdleTimeout:        f.settings.BackEnd.IdleTimeout,
		MaxConnections:     f.connections(server),
		ControlConnections: admission.ControlConnections,
		MaxAnswerBytes:     f.settings.BackEnd.MaxAnswerBytes,
	})
}

// connections returns how many connections the router may hold to the server.
func (f *fleet) connections(server *state.Server) int {
	share := admission.ConnectionShare(server.Connections, f.routers)
	return min(share, f.settings.BackEnd.MaxConnections)
}

func (f *fleet) limitLocked(target *backEnd) {
	server := target.server.Load()
	connections := f.connections(server)
	target.queue.SetLimits(admission.ServerLimits(server.Slots, connections, f.queueLimit(server.Service)))
	target.client.Load().SetMaxConnections(connections)
}

// queueLimit returns how many requests may wait for each server of a service.
func (f *fleet) queueLimit(name state.ServiceName) int {
	service, found := f.builder.Table().Service(name)
	if !found {
		return 0
	}
	return service.QueueLimit
}

// refresh follows a new version of the table: it updates known back ends and
// forgets those that are gone.
func (f *fleet) refresh(view *table.Table) {
	routers := max(1, view.OpenRouters())
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.routers = routers
	for id, known := range f.servers {
		server, found := view.Server(id)
		if !found {
			known.queue.Evict(execution.ErrSessionEnded)
			known.client.Load().CloseIdle()
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

// snapshot returns the known back ends.
func (f *fleet) snapshot() []*backEnd {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	known := make([]*backEnd, 0, len(f.servers))
	for _, item := range f.servers {
		known = append(known, item)
	}
	return known
}

// Load implements dispatch.Fleet.
func (f *fleet) Load(server *state.Server) dispatch.Load {
	known := f.get(server)
	const thousandth = 0.001
	return dispatch.Load{
		InFlight: known.queue.Running() + known.queue.Waiting(),
		Limit:    known.queue.Limit(),
		Reported: float64(known.reported.Load()) * thousandth,
		Age:      f.clock.Now() - time.Duration(known.since.Load()),
	}
}

// Answered implements execution.Fleet.
func (f *fleet) Answered(server *state.Server, now time.Duration) { f.get(server).answered(now) }

// AnsweredSince implements execution.Fleet.
func (f *fleet) AnsweredSince(server *state.Server, reading time.Duration) bool {
	return f.get(server).answeredSince(reading)
}

// Choose implements dispatch.Fleet.
func (f *fleet) Choose(servers []*state.Server, now time.Duration) []*state.Server {
	return f.health.Choose(servers, now)
}

// reportLoad keeps a server's own report.
func (b *backEnd) reportLoad(load forward.Load) {
	const thousand = 1000
	b.reported.Store(int64(load.Running+load.Queued) * thousand / int64(load.Slots))
}
