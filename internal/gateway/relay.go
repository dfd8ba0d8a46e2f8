package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/relay"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const (
	// relayConnections bounds the connections to one relay.
	relayConnections = 64
	// relayDialTimeout bounds the time to open a connection to a relay: many round trips within a region.
	relayDialTimeout = 150 * time.Millisecond
)

// relays sends requests to instances through other gateways. It is safe for concurrent use.
type relays struct {
	chooser  *relay.Chooser
	settings forward.Settings
	mutex    sync.Mutex
	clients  map[string]*forward.Client
}

func newRelays(settings config.Gateway, dialect Dialect, traffic forward.Traffic, memory *forward.AnswerMemory, cluster func() message.ClusterID) *relays {
	hello := func() message.Hello {
		return message.Hello{Purpose: message.PurposeRelay, Cluster: cluster(), From: settings.Name}
	}
	return &relays{
		chooser: relay.NewChooser(settings.PeerAddress, settings.Zone), clients: make(map[string]*forward.Client),
		settings: forward.Settings{
			ConnectTimeout: min(relayDialTimeout, settings.BackEnd.ConnectTimeout), IdleTimeout: settings.BackEnd.IdleTimeout, MaxConnections: relayConnections,
			ControlConnections: 1, MaxAnswerBytes: settings.BackEnd.MaxAnswerBytes, IDHeader: dialect.RequestID,
			AnswerMemory: memory, Traffic: traffic,
			Dial: func(address string, timeout time.Duration) (net.Conn, error) {
				return dialRelay(address, timeout, hello())
			},
		},
	}
}

// dialRelay opens a connection to another gateway that carries relayed requests. It waits until the gateway has
// accepted it, so that no request is sent to one that belongs to another cluster or has too many.
func dialRelay(address string, timeout time.Duration, hello message.Hello) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, eris.Wrap(err, "connect to a relay")
	}
	opened := wire.NewConn(connection, wire.Options{WriteTimeout: timeout, IdleTimeout: timeout, ReadBufferBytes: placeReadBuffer})
	var welcome message.RelayWelcome
	if err := errors.Join(opened.Send(context.Background(), &hello), opened.ReceiveShort(&welcome)); err != nil {
		opened.Close()
		return nil, eris.Wrap(err, "introduce this gateway to a relay")
	}
	return opened.Detach(), nil
}

func (r *relays) client(address string) *forward.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	client, found := r.clients[address]
	if !found {
		client = forward.NewClient(address, r.settings)
		r.clients[address] = client
	}
	return client
}

// setRelays applies the gateways that relay requests according to a new table.
func (r *relays) setRelays(named []directory.Relay, known func(directory.InstanceID) bool) {
	r.chooser.SetRelays(named)
	r.chooser.Forget(known)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, client := range r.clients {
		if !namesRelay(named, address) {
			client.CloseIdle()
			delete(r.clients, address)
		}
	}
}

func namesRelay(named []directory.Relay, address string) bool {
	for _, each := range named {
		if each.Address == address {
			return true
		}
	}
	return false
}

// relayRequest describes a request to the chooser of relays.
func (g *Gateway) relayRequest(current *request, id directory.InstanceID) relay.Request {
	described := relay.Request{
		Now: g.clock.Now(), Instance: id, CutOff: g.reach.CutOff(), Tried: current.relaysTried, Random: [2]float64{rand.Float64(), rand.Float64()},
	}
	if current.regionBound() {
		described.AllowsZone = func(zone string) bool { return g.allowsRegionOf(current, directory.Instance{Zone: zone}) }
	}
	return described
}

// mayReach reports whether there is a way to an instance: a connection, or a relay.
func (g *Gateway) mayReach(current *request, id directory.InstanceID) bool {
	return g.reach.Reachable(id) || g.relays.chooser.Available(g.relayRequest(current, id))
}

// way is how an attempt gets to its instance.
type way struct {
	client *forward.Client
	// relay is the address of the gateway that relays the attempt; empty for a direct one.
	relay string
	// check returns why the request may no longer be sent; nil if it may. It is called just before the first
	// byte is written.
	check func() *fault.Error
}

// chooseWay returns the way of an attempt: directly if the instance is reachable, else through a relay.
func (g *Gateway) chooseWay(current *request, instance directory.Instance) (way, *fault.Error) {
	chosen := way{
		client: g.upstreams.client(instance),
		check:  func() *fault.Error { return g.checkBeforeWrite(current, instance) },
	}
	if g.reach.Reachable(instance.ID) {
		return chosen, nil
	}
	named, found := g.relays.chooser.Choose(g.relayRequest(current, instance.ID))
	if !found {
		return way{}, fault.Newf(fault.ConnectFailed, "no connection to instance %s can be made, and no gateway relays requests to it", instance.ID)
	}
	chosen.client, chosen.relay = g.relays.client(named.Address), named.Address
	return chosen, nil
}

// targetOf returns the target of a request that is relayed.
func targetOf(current *request, instance directory.Instance) relay.Target {
	return relay.Target{Service: current.service, Instance: instance.ID, Keyed: current.keyed, Key: current.key}
}

// endRelayed records what became of a request at a relay, and returns its failure. Failure is that of the
// connection to the relay; nil if the relay answered.
func (g *Gateway) endRelayed(current *request, id directory.InstanceID, address string, answer *fasthttp.Response, failure *fault.Error) *fault.Error {
	result, outcome := relay.Result(""), relay.Declined
	if failure == nil {
		result, failure = relay.TakeResult(&answer.Header)
		outcome = result.Outcome()
	} else {
		current.relayFailed = true
		if !current.interrupt.Fired() && !current.withdrawn {
			outcome, failure = relayFailure(failure)
		}
	}
	now := g.clock.Now()
	g.relays.chooser.End(now, address, id, outcome)
	if outcome == relay.Worked {
		g.reach.Relayed(now, id)
	}
	if failure != nil && fault.AnswerFor(failure.Kind).Outcome == fault.NotRun {
		current.relaysTried = append(current.relaysTried, address)
	}
	if result == relay.Withdrawn {
		current.withdrawn = true
	}
	g.metrics.relayed.WithLabelValues(relayedOut, result.Label()).Inc()
	return failure
}

// relayFailure returns what the failure of a connection to a relay says of the relay, and the failure of the
// attempt: without a free connection to one relay, another one may be asked.
func relayFailure(failure *fault.Error) (relay.Outcome, *fault.Error) {
	switch failure.Kind {
	case fault.ConnectFailed:
		return relay.RelayUnreachable, failure
	case fault.SocketUnavailable:
		return relay.Declined, failure
	case fault.QueueFull:
		return relay.Declined, fault.New(fault.ConnectFailed, "all connections to the relay are in use")
	case fault.DeadlineExceeded:
		return relay.Unanswered, failure
	default:
		return relay.RelayUnusable, failure
	}
}
