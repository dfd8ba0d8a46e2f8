package router

import (
	"sync/atomic"
	"time"

	"github.com/thorntiller/thorntiller/internal/admission"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fleet"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

const maxEjection = 30 * time.Second

func newFleet(settings config.Router, systemClock clock.Clock, builder *table.Builder, traffic forward.Traffic) *fleet.Fleet {
	memory := forward.NewAnswerMemory(settings.BackEnd.AnswerMemory)
	return fleet.New(fleet.Options{
		Clock: systemClock, MaxConnections: settings.BackEnd.MaxConnections, Table: builder.Table,
		Health: health.Settings{
			Failures:     settings.Health.EjectFailures,
			BaseEjection: settings.Health.EjectDuration,
			MaxEjection:  maxEjection,
			MaxRatio:     settings.Health.MaxEjectedRatio,
		},
		Open: func(server *state.Server, connections int) fleet.Link {
			return newLink(settings.BackEnd, memory, traffic, server, connections)
		},
	})
}

// link manages the connections to one back end. It implements fleet.Link.
type link struct {
	settings config.BackEnd
	memory   *forward.AnswerMemory
	traffic  forward.Traffic
	// address is guarded by the fleet's lock.
	address string
	client  atomic.Pointer[forward.Client]
}

func newLink(settings config.BackEnd, memory *forward.AnswerMemory, traffic forward.Traffic, server *state.Server, connections int) *link {
	result := &link{settings: settings, memory: memory, traffic: traffic, address: server.Address}
	result.client.Store(result.newClient(connections))
	return result
}

func (l *link) newClient(connections int) *forward.Client {
	return forward.NewClient(l.address, forward.Settings{
		ConnectTimeout:     l.settings.ConnectTimeout,
		IdleTimeout:        l.settings.IdleTimeout,
		MaxConnections:     connections,
		ControlConnections: admission.ControlConnections,
		MaxAnswerBytes:     l.settings.MaxAnswerBytes,
		AnswerMemory:       l.memory,
		Traffic:            l.traffic,
	})
}

// Update implements fleet.Link: a server with a new address gets a new client.
func (l *link) Update(server *state.Server, connections int) {
	if l.address == server.Address {
		return
	}
	l.address = server.Address
	old := l.client.Swap(l.newClient(connections))
	old.CloseIdle()
}

// Limit implements fleet.Link.
func (l *link) Limit(connections int) { l.client.Load().SetMaxConnections(connections) }

// Close implements fleet.Link.
func (l *link) Close() { l.client.Load().CloseIdle() }

// clientOf returns the current client of a back end.
func clientOf(target *fleet.BackEnd) *forward.Client {
	return target.Link.(*link).client.Load()
}
