package gateway

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/balance"
	"github.com/thorntiller/thorntiller/internal/broadcast"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/descriptor"
	"github.com/thorntiller/thorntiller/internal/forward"
	"github.com/thorntiller/thorntiller/internal/link"
	"github.com/thorntiller/thorntiller/internal/listen"
	"github.com/thorntiller/thorntiller/internal/overload"
	"github.com/thorntiller/thorntiller/internal/reach"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/routing"
	"github.com/thorntiller/thorntiller/internal/startup"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/warmup"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const role = "gateway"

// Gateway is one gateway process.
type Gateway struct {
	settings     config.Gateway
	dialect      Dialect
	log          *logrus.Entry
	clock        clock.Clock
	subscription *subscription
	// progress tells how far the start has come.
	progress *startup.Progress
	splitter *routing.Splitter
	balancer *balance.Balancer
	// regions has the region of each zone.
	regions      map[string]string
	upstreams    *upstreams
	drains       *drains
	rejections   *rejections
	reach        *reach.Reach
	relays       *relays
	relayServers *headServers
	signals      *instanceSignals
	evacuations  *evacuations
	crashes      *crashwatch.Watch
	guard        *crashwatch.Guard
	coldStarts   *coldStarts
	ownLink      *ownLink
	meter        *link.Meter
	places       *placeClient
	pacer        *pacer
	callers      *callers
	demand       *demandCounter
	// tenantTokens and instanceTokens bound the rate at which all gateways together send requests for a
	// tenant, and to an instance that advertises a rate limit.
	tenantTokens   *tokens
	instanceTokens *tokens
	// staleLoggedAt is the clock reading of the last line of a request that was answered by a stale table.
	staleLoggedAt atomic.Int64
	registry      *telemetry.Metrics
	metrics       *metrics
	// attemptEnded wakes waiting requests when an attempt ends.
	attemptEnded *broadcast.Broadcast

	budgetLock sync.Mutex
	budgets    map[string]*retry.Budget
	// resendBurst is the burst of each budget.
	resendBurst float64

	// descriptors bounds the connections of callers and of other gateways. The latter are those of peerServer; nil
	// while they are not served.
	descriptors descriptor.Budget
	peerServer  atomic.Pointer[wire.Server]
	// clientBudget bounds what callers' connections, requests and answers take.
	clientBudget *overload.Budget
	largeHeads   largeHeads
	// idleTimeout is the idle timeout of the last table, in nanoseconds.
	idleTimeout atomic.Int64
	// connections counts callers' open connections.
	connections atomic.Int64
	// accepted counts all connections that callers have opened.
	accepted atomic.Int64
	// idleCallers has the callers' connections without a request.
	idleCallers *idleConnections
	// relayStreams counts the connections of other gateways for relayed requests, and relayedRunning the
	// relayed requests whose answers are not written yet.
	relayStreams   atomic.Int64
	relayedRunning atomic.Int64
	// stopping is set once a stop began; each answer then closes its connection.
	stopping atomic.Bool
	// stopPlan is set once a stop began.
	stopPlan atomic.Pointer[stopPlan]
}

// Options are optional parts that the caller of Run may set.
type Options struct {
	// Dialects are further dialects by name, besides the built-in one.
	Dialects map[string]Dialect
	// DialInstance opens connections to instances; nil means TCP.
	DialInstance forward.DialFunc
	// DialPeer opens connections for the directory stream, to controllers and other gateways; nil means TCP.
	DialPeer wire.DialFunc
	// Reload reads the settings again; nil if they do not change.
	Reload func() (config.Gateway, error)
}

// Run serves until the context ends, then stops gracefully.
func Run(ctx context.Context, settings config.Gateway, log *logrus.Entry, options Options) error {
	gateway, err := New(settings, log, options)
	if err != nil {
		return err
	}
	if target, limited := settings.CollectorTarget(); limited {
		debug.SetMemoryLimit(target)
	}
	return gateway.run(ctx)
}

// New returns a gateway that is not yet running.
func New(settings config.Gateway, log *logrus.Entry, options Options) (*Gateway, error) {
	return newWithClock(clock.NewSystem(), settings, log, options)
}

func newWithClock(system clock.Clock, settings config.Gateway, log *logrus.Entry, options Options) (*Gateway, error) {
	dialect, found := options.Dialects[settings.Dialect]
	if settings.Dialect == DefaultDialect {
		dialect, found = ownDialect(), true
	}
	if !found {
		return nil, eris.Errorf("dialect: %q is not known: use %s", settings.Dialect, DefaultDialect)
	}
	meter := &link.Meter{}
	memory := forward.NewAnswerMemory(settings.BackEnd.AnswerMemory)
	gateway := &Gateway{
		settings: settings, dialect: dialect, log: log, clock: system,
		subscription: newSubscription(system, settings, log, options.Reload, meter),
		splitter:     routing.NewSplitter(),
		balancer:     balance.New(balanceSettings(settings)),
		regions:      regionsOf(settings),
		drains:       newDrains(system, settings.DrainTime),
		rejections:   newRejections(system),
		reach:        reach.New(),
		signals:      newInstanceSignals(),
		evacuations:  newEvacuations(system, settings.EvacuationLimit),
		ownLink:      newOwnLink(settings.LinkMegabits),
		meter:        meter,
		coldStarts:   newColdStarts(warmUpBounds(settings)),
		callers:      newCallers(),
		idleCallers:  newIdleConnections(),
		registry:     telemetry.NewMetrics(role),
		attemptEnded: broadcast.New(),
		budgets:      make(map[string]*retry.Budget),
		resendBurst:  float64(settings.RetryBurst),
	}
	gateway.descriptors = descriptor.Budget{
		Bound: settings.DescriptorLimit, Divide: descriptor.DivideForwarding,
		Clients: func() int { return int(gateway.connections.Load()) }, Peers: gateway.peerConnections,
	}
	gateway.clientBudget = newClientBudget(settings, gateway.descriptors.ClientPlaces)
	gateway.pacer = newPacer(system, settings.LinkMegabits)
	gateway.metrics = newMetrics(gateway.registry)
	traffic := upstreamTraffic{connectionTraffic{meter}, gateway.metrics}
	gateway.upstreams = newUpstreams(settings.BackEnd, dialect, traffic, memory, options.DialInstance)
	registerLinkBytes(gateway.registry, meter)
	gateway.registry.GaugeFunction("answer_memory_bytes", "Memory reserved for large answers that are being received.", func() float64 { return float64(memory.Used()) })
	gateway.registry.GaugeFunction("servers_unreachable", "Instances to which the last connection failed.", func() float64 { return float64(gateway.reach.Unreachable()) })
	registerBudget(gateway.registry, gateway.clientBudget)
	gateway.registerLimits()
	gateway.largeHeads.servers = newHeadServers(gateway.newCallerServer)
	gateway.subscription.dial = options.DialPeer
	gateway.progress = gateway.subscription.progress
	gateway.progress.Follow(gateway.ready)
	gateway.progress.Register(gateway.registry)
	gateway.subscription.registerMetrics(gateway.registry)
	gateway.demand = newDemandCounter(system, settings, gateway.subscription, meter)
	gateway.guard = gateway.demand.guard
	gateway.crashes = crashwatch.NewWatch(system, log, crashwatch.Options{
		OnCrash: gateway.guard.Crashed, Dial: options.DialInstance, Others: gateway.otherInstances,
	})
	gateway.guard.RegisterMetrics(gateway.registry)
	gateway.subscription.onCluster = gateway.guard.SetSecret
	gateway.tenantTokens, gateway.instanceTokens = gateway.demand.tenants, gateway.demand.instances
	gateway.subscription.onTable = gateway.tableChanged
	gateway.relays = newRelays(settings, dialect, traffic, memory, gateway.subscription.clusterID)
	gateway.relayServers = newHeadServers(gateway.newRelayServer)
	gateway.places = newPlaceClient(system, settings, log, newPlaceKeeper(system, gateway.usableByKeeper), meter)
	return gateway, nil
}

func warmUpBounds(settings config.Gateway) warmup.Bounds {
	return warmup.Bounds{Overrun: settings.WarmUp.Overrun, Slack: settings.WarmUp.Slack}
}

// tableChanged updates the state that is kept per instance after a new table.
func (g *Gateway) tableChanged(table *routing.Table) {
	g.updateResendBurst(table.Gateways)
	g.drains.update(table)
	g.evacuations.update(table)
	g.checkCrashes(table)
	g.guard.SetSuspects(table.Suspects)
	known := table.Knows
	g.coldStarts.update(g.clock.Now(), table, known)
	g.reach.Forget(known)
	g.relays.setRelays(table.Relays, known)
	g.signals.forget(known)
	g.balancer.Forget(known)
	g.upstreams.forget(known)
	g.places.update(table)
	g.extendIdleConnections()
}

// updateResendBurst adjusts the burst of the resend budgets to the number of gateways.
func (g *Gateway) updateResendBurst(gateways int) {
	g.budgetLock.Lock()
	defer g.budgetLock.Unlock()
	burst := retry.BurstOf(g.settings.RetrySlack, gateways, g.settings.RetryBurst)
	if burst == g.resendBurst {
		return
	}
	g.resendBurst = burst
	for _, budget := range g.budgets {
		budget.SetBurst(burst)
	}
}

// budget returns the resend budget of a service.
func (g *Gateway) budget(service string) *retry.Budget {
	g.budgetLock.Lock()
	defer g.budgetLock.Unlock()
	budget, found := g.budgets[service]
	if !found {
		budget = retry.NewBudget(g.settings.RetryRatio, g.settings.RetryBurst)
		budget.SetBurst(g.resendBurst)
		g.budgets[service] = budget
	}
	return budget
}

// ready reports whether the gateway accepts requests, and otherwise why not.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.stopping.Load():
		return false, "stopping"
	case g.subscription.current() == nil:
		return false, "no directory yet"
	case !g.subscription.mayFollow(g.subscription.age()):
		return false, "the directory is not confirmed"
	default:
		return true, ""
	}
}

func (g *Gateway) run(ctx context.Context) error {
	listeners, err := listen.All(ctx, g.log, listen.Address{Setting: "address", Address: g.settings.Address},
		listen.Address{Setting: "admin_address", Address: g.settings.AdminAddress})
	if err != nil {
		return err
	}
	return g.serveOn(ctx, listeners[0], listeners[1])
}

func (g *Gateway) serveOn(ctx context.Context, callers, admin net.Listener) error {
	running, stopRunning := context.WithCancel(context.Background())
	callerServer := g.newCallerServer(callerBufferBytes)
	adminServer := &fasthttp.Server{Handler: g.adminHandler(), Name: role}
	var group conc.WaitGroup
	failed := make(chan error, 3)
	serve := func(server *fasthttp.Server, listener net.Listener) {
		failed <- background.Result(g.log, "server", func() error { return server.Serve(listener) })
	}
	group.Go(func() { serve(callerServer, g.meteredListener(callers)) })
	group.Go(func() { serve(adminServer, admin) })
	metricsServer := g.serveMetrics(running, &group)
	group.Go(func() { g.keep(running, "subscription", g.subscription.run) })
	g.servePeers(running, &group)
	group.Go(func() { g.keep(running, "places", g.places.run) })
	group.Go(func() { g.keep(running, "callers", g.callers.run) })
	group.Go(func() { g.keep(running, "crashes", g.crashes.Run) })
	group.Go(func() { g.keep(running, "demand", g.demand.run) })
	group.Go(func() { g.keep(running, "link bytes", g.reportLinkBytes) })
	group.Go(func() { g.keep(running, "reach", g.watchReach) })
	group.Go(func() { g.keep(running, "standing", g.subscription.watchStanding) })
	group.Go(func() { g.keep(ctx, "readiness", g.progress.Watch) })
	g.progress.Reach(startup.StepListening)
	telemetry.With(g.log, telemetry.EventListening).
		WithField(telemetry.FieldAddress, callers.Addr().String()).Info("listening for client requests")
	var err error
	select {
	case <-ctx.Done():
		err = g.stop(callerServer)
	case err = <-failed:
		_ = callers.Close()
	}
	stopRunning()
	shutDownServers(adminServer, metricsServer)
	// A server that has not begun to serve yet is not stopped, and would begin later.
	_, _ = callers.Close(), admin.Close() // fail if their servers have closed them
	group.Wait()
	return err
}

// keep runs a loop in the background, see background.Keep.
func (g *Gateway) keep(ctx context.Context, loop string, run func(context.Context)) {
	background.Keep(ctx, g.log, loop, run)
}

// servePeers serves the directory to other gateways, and follows theirs while no controller answers.
func (g *Gateway) servePeers(ctx context.Context, group *conc.WaitGroup) {
	group.Go(func() { g.keep(ctx, "peers", g.subscription.followPeers) })
	if g.settings.PeerAddress == "" {
		return
	}
	group.Go(func() {
		listener, err := listen.TCP(ctx, g.settings.PeerAddress, g.log)
		if err == nil {
			listener = descriptor.Bound(listener, g.descriptors.AdmitsPeer)
			err = background.Result(g.log, "peer server", func() error { return g.servePeersOn(ctx, listener) })
		}
		if err != nil && ctx.Err() == nil {
			telemetry.WithError(g.log, telemetry.EventFailed, err).WithField(telemetry.FieldAddress, g.settings.PeerAddress).
				Warn("cannot serve other gateways at the peer address")
		}
	})
}

// adminHandler serves the health checks and the metrics.
func (g *Gateway) adminHandler() fasthttp.RequestHandler {
	return telemetry.Handler(g.registry, g.progress.Ready)
}

// shutDownServers stops the servers of health checks and metrics. It waits only briefly for their open
// connections.
func shutDownServers(servers ...*fasthttp.Server) {
	bounded, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	for _, server := range servers {
		_ = server.ShutdownWithContext(bounded) // the process ends in any case
	}
}

// serveMetrics serves the metrics at their own address, if one is set.
func (g *Gateway) serveMetrics(ctx context.Context, group *conc.WaitGroup) *fasthttp.Server {
	server := &fasthttp.Server{Handler: g.adminHandler(), Name: role}
	if g.settings.MetricsAddress == "" {
		return server
	}
	group.Go(func() {
		listener, err := listen.TCP(ctx, g.settings.MetricsAddress, g.log)
		if err == nil {
			defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // fails if the server has closed it
			err = server.Serve(listener)
		}
		if err != nil && ctx.Err() == nil {
			telemetry.WithError(g.log, telemetry.EventFailed, err).Warn("metrics endpoint failed")
		}
	})
	return server
}
