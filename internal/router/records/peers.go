package records

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	// clientIdle is shorter than serverIdle, so that the calling side closes idle
	// connections and no call is sent on a connection that the server has closed.
	clientIdle = 20 * time.Second
	serverIdle = 60 * time.Second
	// callsPerConnection is the maximum number of concurrent calls on one router's connection.
	callsPerConnection = 1024
	// peerConnections is the maximum number of connections from other routers.
	peerConnections = 4096
)

// purpose separates claims, which wait for stores, from stores, which wait for nothing, so
// that neither blocks the other on a connection.
type purpose int

const (
	purposeClaim purpose = iota
	purposeStore
)

type peerKey struct {
	router  state.RouterID
	purpose purpose
}

// peers holds the clients for calls to other routers.
type peers struct {
	service *Service
	server  *wire.Server

	mutex   sync.Mutex
	clients map[peerKey]*wire.Client
	closed  bool
}

func newPeers(service *Service) *peers {
	return &peers{service: service, clients: make(map[peerKey]*wire.Client), server: &wire.Server{
		MaxConnections: peerConnections, Panicked: telemetry.PanicLogger(service.options.Log),
		Options: wire.Options{WriteTimeout: service.options.Settings.PeerTimeout, IdleTimeout: serverIdle},
	}}
}

// client returns the client for a router. It creates one at first use and whenever the
// router's address has changed.
func (p *peers) client(router *state.Router, use purpose) (*wire.Client, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, wire.ErrClosed
	}
	key := peerKey{router: router.ID, purpose: use}
	known, found := p.clients[key]
	if found && known.Address() == router.PeerAddress {
		return known, nil
	}
	if found {
		known.Close()
	}
	hello := message.Hello{
		Purpose: message.PurposeRouter, Cluster: p.service.options.View().Cluster(), From: string(p.service.options.Self.ID),
	}
	timeout := p.service.options.Settings.PeerTimeout
	created := wire.NewClient(router.PeerAddress, hello, wire.Options{
		WriteTimeout: timeout, DialTimeout: timeout, IdleTimeout: clientIdle, Dial: p.service.options.Dial,
	})
	p.clients[key] = created
	return created, nil
}

func (p *peers) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, client := range p.clients {
		client.Close()
	}
}

// serve accepts connections from other routers until the context ends.
func (p *peers) serve(ctx context.Context, listener net.Listener) error {
	return p.server.Serve(ctx, listener, func(ctx context.Context, connection *wire.Conn) {
		if err := p.servePeer(ctx, connection); err != nil {
			p.service.options.Log.WithError(err).Debug("connection from another router ended")
		}
	})
}

func (p *peers) servePeer(ctx context.Context, connection *wire.Conn) error {
	var hello message.Hello
	if err := connection.ReceiveShort(&hello); err != nil {
		return err
	}
	if name, secured := connection.PeerName(); secured && name != hello.From {
		return eris.Errorf("peer identifies itself as %q, but its certificate names %q", hello.From, name)
	}
	if hello.Purpose != message.PurposeRouter {
		return eris.Errorf("routers do not serve connections with purpose %q", hello.Purpose)
	}
	if own := p.service.options.View().Cluster(); hello.Cluster != own {
		return eris.Errorf("router %q belongs to cluster %q, not %q", hello.From, hello.Cluster, own)
	}
	return wire.ServeCalls(ctx, connection, callsPerConnection, p.service.handle)
}
