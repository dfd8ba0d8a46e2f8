package controller

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/descriptor"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

// connections bounds the accepted connections, so that the log and the snapshots find descriptors.
type connections struct {
	budget descriptor.Budget
	// peers serves controllers, routers and gateways; clients, nil before the replica runs, the API.
	peers   *wire.Server
	clients atomic.Pointer[fasthttp.Server]
}

func newConnections(settings config.Controller, log *logrus.Entry) *connections {
	c := &connections{peers: &wire.Server{
		MaxConnections: settings.Table.StreamLimit,
		Options:        wire.Options{WriteTimeout: settings.Table.WriteTimeout},
		Panicked:       telemetry.PanicLogger(log),
	}}
	c.budget = descriptor.Budget{
		Bound: settings.DescriptorLimit, Divide: descriptor.Divide, Clients: c.openClients, Peers: c.peers.Connections,
	}
	return c
}

// attach sets the server of the API.
func (c *connections) attach(clients *fasthttp.Server) { c.clients.Store(clients) }

func (c *connections) openClients() int {
	if clients := c.clients.Load(); clients != nil {
		return int(clients.GetOpenConnectionsCount())
	}
	return 0
}
