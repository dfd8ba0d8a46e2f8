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

// connections bounds the accepted connections, so that the log and the snapshots find descriptors. The limit of the
// process is read at each accept, since it can be changed from outside.
type connections struct {
	descriptorLimit int
	// peers serves controllers, routers and gateways; clients, nil before the replica runs, the API.
	peers   *wire.Server
	clients atomic.Pointer[fasthttp.Server]
}

func newConnections(settings config.Controller, log *logrus.Entry) *connections {
	return &connections{descriptorLimit: settings.DescriptorLimit, peers: &wire.Server{
		MaxConnections: settings.Table.StreamLimit,
		Options:        wire.Options{WriteTimeout: settings.Table.WriteTimeout},
		Panicked:       telemetry.PanicLogger(log),
	}}
}

// attach sets the server of the API.
func (c *connections) attach(clients *fasthttp.Server) { c.clients.Store(clients) }

func (c *connections) openClients() int {
	if clients := c.clients.Load(); clients != nil {
		return int(clients.GetOpenConnectionsCount())
	}
	return 0
}

// admitsClient reports whether there is room for a further connection to the API.
func (c *connections) admitsClient() bool {
	shares, clients := descriptor.Divide(descriptor.Limit(c.descriptorLimit)), c.openClients()
	return clients < shares.Clients && clients+c.peers.Connections() < shares.Accepted
}

// admitsPeer reports whether there is room for a further connection of another process of the system.
func (c *connections) admitsPeer() bool {
	return c.openClients()+c.peers.Connections() < descriptor.Divide(descriptor.Limit(c.descriptorLimit)).Accepted
}
