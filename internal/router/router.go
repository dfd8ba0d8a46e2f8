package router

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/admission"
	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/descriptor"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/execution"
	"github.com/thorntiller/thorntiller/internal/fleet"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/listen"
	"github.com/thorntiller/thorntiller/internal/overload"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/router/records"
	"github.com/thorntiller/thorntiller/internal/startup"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const role = "router"

// Router is one router process.
type Router struct {
	// clientBudget bounds what callers' connections, requests and answers take.
	clientBudget *overload.Budget
	settings     config.Router
	log          *logrus.Entry
	clock        clock.Clock
	incarnation  string
	sequence     atomic.Uint64
	builder      *table.Builder
	freshness    *table.Freshness
	fleet        *fleet.Fleet
	limiter      *admission.Limiter
	core         *execution.Core
	metrics      *metrics
	registry     *telemetry.Metrics
	// progress tells how far the start has come.
	progress     *startup.Progress
	deduplicator Deduplicator
	records      *records.Service
	// ownDeduplicator is the deduplicator if Options has none, else nil. It holds the
	// completions that are not recorded yet, which a stop waits for.
	ownDeduplicator *recordDeduplicator
	handler         Handler
	// subset is the part of the routing table that the settings select.
	subset table.Subset
	dial   tableDialer
	// certificates is nil for plain text.
	certificates *certificate.Store
	// guard blocks requests in quarantine, and crashes finds requests that may crash servers. crashed
	// receives a value when a crash must be reported to the controllers at once.
	guard   *crashwatch.Guard
	crashes *crashwatch.Watch
	overdue *overdueWatch
	crashed chan struct{}

	// connections is the number of callers' open connections.
	connections atomic.Int64

	// stopping is set when a stop begins; answers then close their connections.
	stopping atomic.Bool
	// stopEnd is the reading of clock at which a stop ends, set when it begins.
	stopEnd atomic.Pointer[time.Duration]
	// closed is set after the grace period of a stop; requests are then refused.
	closed atomic.Bool
	// lifetime is cancelled when running requests must be aborted.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// Options are optional dependencies of a Router.
type Options struct {
	// Deduplicator handles requests with an Idempotency-Key. If it is nil, idempotency
	// records are kept on the routers of the cluster.
	Deduplicator Deduplicator
	// Certificates authenticate the router to controllers and other routers;
	// nil means plain text.
	Certificates *certificate.Store
}

// dial returns the function that opens connections to other processes; nil means plain TCP.
func (o Options) dial() wire.DialFunc {
	if o.Certificates == nil {
		return nil
	}
	return o.Certificates.Dial
}

// Run starts a router and serves until the context ends, then stops it
// gracefully. It returns an error when a listener cannot be opened or running
// requests did not finish within the stop timeout.
func Run(ctx context.Context, settings config.Router, log *logrus.Entry) error {
	certificates, err := certificate.OpenIfNamed(settings.TLS.Files())
	if err != nil {
		return err
	}
	memoryContext, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { limitMemory(memoryContext, uint64(settings.MemoryLimitBytes)) })
	return New(settings, log, Options{Certificates: certificates}).Run(ctx)
}

// New returns a router that is not yet running.
func New(settings config.Router, log *logrus.Entry, options Options) *Router {
	router := &Router{
		settings: settings, log: log, clock: clock.NewSystem(), incarnation: newIncarnation(),
		builder: table.NewBuilder(), freshness: table.NewFreshness(settings.StalenessLimit),
		limiter:  admission.NewLimiter(settings.MaxInFlight),
		subset:   table.NewSubset(serviceNames(settings.Services)),
		registry: telemetry.NewMetrics(role), deduplicator: options.Deduplicator, dial: controllerDialer(options.dial()), certificates: options.Certificates,
	}
	router.progress = startup.New(router.clock, log)
	router.progress.Follow(router.ready)
	router.progress.Register(router.registry)
	router.crashed = make(chan struct{}, 1)
	router.guard = crashwatch.NewGuard(router.clock, settings.Name, settings.QuarantineCrashes, router.crashed)
	router.crashes = crashwatch.NewWatch(router.clock, log, crashwatch.Options{OnCrash: router.guard.Crashed, Others: router.otherServers})
	router.guard.RegisterMetrics(router.registry)
	router.overdue = newOverdueWatch(router.clock)
	router.lifetime, router.endLifetime = context.WithCancel(context.Background())
	router.metrics = newMetrics(router.registry)
	router.fleet = newFleet(settings, router.clock, router.builder, router.metrics)
	router.core = router.newCore()
	router.records = records.New(records.Options{
		Self: router.self(), Settings: settings.Records, Clock: router.clock, Log: log, View: router.builder.Table,
		Dial: options.dial(),
	})
	router.clientBudget = newClientBudget(settings, router.descriptorBudget().ClientPlaces)
	if router.deduplicator == nil {
		router.ownDeduplicator = router.newDeduplicator()
		router.deduplicator = router.ownDeduplicator
	}
	router.registerGauges(router.registry)
	router.handler = chain(router.newExecutor().run,
		router.refuseAfterStop, router.refuseStale, router.resolveService, router.refuseOutlasting, router.limitRequests, router.deduplicate)
	return router
}

// newCore returns the execution core of the router's requests.
func (r *Router) newCore() *execution.Core {
	planning := dispatch.DefaultSettings(r.settings.Zone)
	planning.RampUp = r.settings.Health.RampUp
	return execution.New(execution.Options{
		Planner: dispatch.NewPlanner(planning, mathrand.IntN),
		Policy: retry.Policy{
			MaxAttempts: r.settings.Retry.MaxAttempts,
			BaseDelay:   r.settings.Retry.BackoffBase,
			MaxDelay:    r.settings.Retry.BackoffMax,
		},
		Fleet: r.fleet, Health: r.fleet.Health(), Jitter: mathrand.Float64,
	})
}

func (r *Router) newExecutor() *executor {
	return &executor{
		clock: r.clock, builder: r.builder, fleet: r.fleet, freshness: r.freshness,
		core: r.core, metrics: r.metrics, log: r.log, guard: r.guard, crashes: r.crashes,
		overdue: r.overdue,
	}
}

func (r *Router) newDeduplicator() *recordDeduplicator {
	return &recordDeduplicator{
		self: state.RouterID(r.settings.Name), clock: r.clock, client: r.records, metrics: r.metrics,
		maxAnswerBytes: r.settings.Records.MaxAnswerBytes, peerTimeout: r.settings.Records.PeerTimeout,
		lifetime: r.lifetime, completionSlots: make(chan struct{}, maxCompletions),
	}
}

// newIncarnation returns a random identifier of this process, unique among all processes
// that ever ran.
func newIncarnation() string {
	const size = 8
	var bytes [size]byte
	// crypto/rand.Read never fails on the platforms that Go supports.
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// nextID returns a globally unique request identifier, so that a back end's promise about
// one attempt can never be mistaken for a promise about another.
func (r *Router) nextID() string {
	return r.incarnation + "-" + strconv.FormatUint(r.sequence.Add(1), 36)
}

func (r *Router) self() state.Router {
	return state.Router{
		ID: state.RouterID(r.settings.Name), Address: r.settings.Address,
		PeerAddress: cmp.Or(r.settings.AdvertisedPeer, r.settings.PeerAddress),
		Zone:        r.settings.Zone, Session: state.Session{Incarnation: r.incarnation},
	}
}

// Run serves until the context ends.
func (r *Router) Run(ctx context.Context) error {
	listeners, err := listen.All(ctx, r.log, listen.Address{Setting: "address", Address: r.settings.Address},
		listen.Address{Setting: "admin_address", Address: r.settings.AdminAddress},
		listen.Address{Setting: "peer_address", Address: r.settings.PeerAddress})
	if err != nil {
		return err
	}
	return r.serveOn(ctx, listeners[0], listeners[1], listeners[2])
}

// keep runs a loop in the background, see background.Keep.
func (r *Router) keep(ctx context.Context, loop string, run func(context.Context)) {
	background.Keep(ctx, r.log, loop, run)
}

func (r *Router) descriptorBudget() descriptor.Budget {
	return descriptor.Budget{
		Bound: r.settings.DescriptorLimit, Divide: descriptor.DivideForwarding,
		Clients: func() int { return int(r.connections.Load()) }, Peers: r.records.PeerConnections,
	}
}

func (r *Router) serveOn(ctx context.Context, callers, admin, peers net.Listener) error {
	callers = intake.Listen(callers, r.clientBudget, r.clock)
	callers = &onceListener{Listener: callers}
	peers = descriptor.Bound(peers, r.descriptorBudget().AdmitsPeer)
	running, stopRunning := context.WithCancel(context.Background())
	callerServer := r.newCallerServer()
	adminServer := &fasthttp.Server{Handler: r.serveAdmin(r.registry), Name: role, Concurrency: adminConnections}
	var group conc.WaitGroup
	failed := make(chan error, 3)
	serve := func(server string, run func() error) { failed <- background.Result(r.log, server, run) }
	group.Go(func() { serve("server", func() error { return serveListener(callerServer, callers) }) })
	group.Go(func() { serve("admin server", func() error { return serveListener(adminServer, admin) }) })
	group.Go(func() { serve("records", func() error { return r.records.Run(running, r.tlsListener(peers)) }) })
	group.Go(func() {
		r.keep(running, "certificates", func(ctx context.Context) { r.certificates.Watch(ctx, r.settings.TLS.ReloadInterval, r.log) })
	})
	group.Go(func() { r.keep(running, "subscription", r.newSubscription().run) })
	group.Go(func() { r.keep(running, "probes", r.probe) })
	group.Go(func() { r.keep(running, "crashes", r.crashes.Run) })
	group.Go(func() { r.keep(running, "overdue", r.overdue.run) })
	group.Go(func() { r.keep(running, "freshness", r.watchFreshness) })
	group.Go(func() { r.keep(ctx, "readiness", r.progress.Watch) })
	r.progress.Reach(startup.StepListening)
	telemetry.With(r.log, telemetry.EventListening).
		WithField(telemetry.FieldAddress, callers.Addr().String()).Info("listening for client requests")
	var err error
	select {
	case <-ctx.Done():
		r.records.Leave()
		err = r.stop(callerServer, callers)
		r.handOver()
	case err = <-failed:
		_ = callers.Close()
	}
	stopRunning()
	r.endLifetime()
	if r.ownDeduplicator != nil {
		r.ownDeduplicator.wait()
	}
	_ = adminServer.Shutdown()
	// A server that has not begun to serve yet is not stopped, and would begin later.
	_, _ = callers.Close(), admin.Close() // fail if their servers have closed them
	group.Wait()
	return err
}

const adminConnections = 64

func serveListener(server *fasthttp.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil {
		return eris.Wrapf(err, "serve on %s", listener.Addr())
	}
	return nil
}

func (r *Router) newSubscription() *subscription {
	return &subscription{
		self: r.self(), services: serviceNames(r.settings.Services), controllers: r.settings.Controllers,
		pingInterval: r.settings.PingInterval, times: r.settings.Times(),
		dial: r.dial, clock: r.clock, builder: r.builder, freshness: r.freshness, log: r.log,
		onTableChange: func() {
			r.fleet.Refresh(r.builder.Table())
			r.records.TableChanged()
			r.checkReplacedProcesses()
		},
		records: r.records, guard: r.guard, crashed: r.crashed, progress: r.progress,
	}
}

// watchFreshness logs when the routing table becomes stale or current.
func (r *Router) watchFreshness(ctx context.Context) {
	wasFresh := false
	for ctx.Err() == nil {
		fresh := r.freshness.Fresh(r.clock.Now())
		if fresh && !wasFresh {
			telemetry.With(r.log, telemetry.EventTableCurrent).Info("routing table confirmed")
		}
		if !fresh && wasFresh {
			telemetry.With(r.log, telemetry.EventTableStale).Warn("routing table no longer confirmed")
		}
		wasFresh = fresh
		pause(ctx, freshnessInterval)
	}
}

const freshnessInterval = 100 * time.Millisecond

func serviceNames(names []string) []state.ServiceName {
	services := make([]state.ServiceName, 0, len(names))
	for _, name := range names {
		services = append(services, state.ServiceName(name))
	}
	return services
}
