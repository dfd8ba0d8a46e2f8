package controller

import (
	"context"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/quarantine"
	"github.com/thorntiller/thorntiller/internal/state"
)

// The state of instances at which trials of suspected requests were lost. Instances of the directory send heartbeats;
// the servers of routers answer lease messages.

// serverAnswers has the times of the last answers of servers to lease messages.
type serverAnswers map[state.ServerID]time.Duration

// awaitedAnswers returns when the servers answered last, or nil if no trial was lost at one.
func (m *suspectManager) awaitedAnswers(ctx context.Context) serverAnswers {
	if !m.awaitsServer() {
		return nil
	}
	answers := make(serverAnswers)
	for _, view := range m.replica.serverViews(ctx) {
		answers[view.Server] = view.LastAnswer
	}
	return answers
}

// awaitsServer reports whether a trial was lost at a server that the directory does not have.
func (m *suspectManager) awaitsServer() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.ledger == nil {
		return false
	}
	awaited := m.ledger.AwaitedInstances()
	found := false
	m.replica.view(func(view *state.State) {
		for _, id := range awaited {
			_, known := view.Directory().Instance(id)
			found = found || !known
		}
	})
	return found
}

// instanceState returns what this leader knows of an instance.
func (m *suspectManager) instanceState(leadership context.Context, id directory.InstanceID, answers serverAnswers) quarantine.InstanceState {
	var instance directory.Instance
	var server state.Server
	var service state.Service
	inDirectory, isServer := false, false
	m.replica.view(func(view *state.State) {
		if instance, inDirectory = view.Directory().Instance(id); inDirectory {
			return
		}
		server, isServer = view.Server(state.ServerOfProcess(id))
		service, _ = view.Service(server.Service)
	})
	switch {
	case inDirectory:
		known := stateOfInstance(instance)
		known.HeardAt, _ = m.replica.heartbeats.lastHeartbeat(leadership, id)
		return known
	case isServer:
		known := stateOfProcess(id, server)
		known.HeardAt = max(0, answers[server.ID])
		if service.Mode == state.ModeObserved {
			silentFor := m.replica.clock.Now() - max(known.HeardAt, m.replica.leadingSince())
			known.LeaseExpired = silentFor > m.replica.settings.Lease.Duration
		}
		return known
	default:
		// Servers and instances are removed only after they have left.
		return quarantine.InstanceState{Leaving: true}
	}
}

// stateOfInstance returns what the directory tells of an instance. The leader marks an instance as silent once its
// lease has certainly expired, and as ready with its next heartbeat.
func stateOfInstance(instance directory.Instance) quarantine.InstanceState {
	return quarantine.InstanceState{
		Ended:        instance.Ended,
		Leaving:      instance.State == directory.InstanceDraining || instance.State == directory.InstanceGone,
		LeaseExpired: instance.State == directory.InstanceSilent,
	}
}

// stateOfProcess returns what is known of the process of a server that gets its leases by messages.
func stateOfProcess(id directory.InstanceID, server state.Server) quarantine.InstanceState {
	return quarantine.InstanceState{
		Ended:        server.Process() != id,
		Leaving:      server.Withdrawn() || server.Intent != state.ServerActive,
		LeaseExpired: !server.Session.Open,
	}
}
