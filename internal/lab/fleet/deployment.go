package fleet

import (
	"time"

	"github.com/thorntiller/thorntiller/internal/state"
)

// Service describes one service of a deployment and its stand-in back ends.
type Service struct {
	Name    state.ServiceName
	Keyed   bool
	Shards  int
	Servers int
	// Slots and Connections are those of each server.
	Slots       int
	Connections int
	// ServiceTime is the mean time that a request executes.
	ServiceTime time.Duration
	Settings    state.ServiceSettings
	// Observed services begin under their team's own scripts, each keyed server
	// with an equal share of the key space.
	Observed bool
}

// Deployment is one team's services.
type Deployment struct {
	Name     string
	Zones    []string
	Services []Service
}

// Scale divides the number of servers of each service.
type Scale struct {
	// MaxServers bounds the servers of each service; zero means all of them.
	MaxServers int
	// ShardsPerServer is how many shards a keyed service starts with.
	ShardsPerServer int
}

const (
	paylinkSlots       = 2
	paylinkConnections = 100
	derwentSlots       = 4
	derwentConnections = 130
	serviceTime        = 5 * time.Millisecond
	moneyTimeout       = 3000
	browseTimeout      = 2000
)

// Paylink returns the instant transfer gateway at its size of today. Churn is
// dear: each move of a ledger key is a risk.
func Paylink(scale Scale) Deployment {
	weights := state.Weights{Imbalance: 1, Churn: 20, Unavailable: 5}
	team := team{scale: scale, slots: paylinkSlots, connections: paylinkConnections, weights: weights}
	return Deployment{
		Name:  "paylink",
		Zones: []string{"ahmedabad-1", "ahmedabad-2", "ahmedabad-3"},
		Services: []Service{
			team.service("ledger-view", true, 15, browseTimeout),
			team.service("payout-batcher", false, 7, moneyTimeout),
			team.service("transfer-core", true, 6, moneyTimeout),
		},
	}
}

// Derwent returns the wedding gallery gateway at its size of today. Time
// without an owner is dear: browsing must recover before visitors leave.
func Derwent(scale Scale) Deployment {
	weights := state.Weights{Imbalance: 1, Churn: 2, Unavailable: 20}
	team := team{scale: scale, slots: derwentSlots, connections: derwentConnections, weights: weights}
	return Deployment{
		Name:  "derwent",
		Zones: []string{"derwent-1", "derwent-2", "derwent-3"},
		Services: []Service{
			team.service("viewer", true, 20, browseTimeout),
			team.service("printdesk", false, 10, moneyTimeout),
			team.service("releaser", false, 6, moneyTimeout),
		},
	}
}

type team struct {
	scale       Scale
	slots       int
	connections int
	weights     state.Weights
}

func (t team) service(name state.ServiceName, keyed bool, servers int, timeoutMs int64) Service {
	if t.scale.MaxServers > 0 {
		servers = min(servers, t.scale.MaxServers)
	}
	service := Service{
		Name: name, Keyed: keyed, Servers: servers, Slots: t.slots, Connections: t.connections, ServiceTime: serviceTime,
		Settings: state.ServiceSettings{
			DefaultTimeoutMs: timeoutMs, QueueLimit: 64, RequestLimit: 512, RetryRatio: 0.2, MaxMoves: 8, Weights: t.weights,
		},
	}
	if keyed {
		service.Shards = servers * max(t.scale.ShardsPerServer, 1)
	}
	return service
}
