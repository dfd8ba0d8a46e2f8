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
	"github.com/thorntiller/thorntiller/internal/certificate"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/crashwatch"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/execution"
	"github.com/thorntiller/thorntiller/internal/fleet"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/router/records"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/wire"
)

const role = "router"

// Router is one router process.
type Router struct {
	settings     config.Router
	log          *logrus.Entry
	clock        clock.Clock
	incarnation  string
	sequence     atomic.Uint64
	builder      *table.Builder
	freshness    *table.Freshness
	fleet        *fleet.Fleet
	limiter      *admission.Limiter
	requests     *execution.Core
	metrics      *metrics
	registry     *telemetry.Metrics
	deduplicator Deduplicator
	records      *records.Service
	// completions holds the ends of requests that are not recorded yet; nil when
	// another Deduplicator was given.
	completions *recordDeduplicator
	handler     Handler
	// subset is the part of the routing table that the settings ask for.
	subset table.Subset
	dial   tableDialer
	// certificates is nil for plain text.
	certificates *certificate.Store
	// guard keeps requests in quarantine from being sent, and crashes finds those under which servers
	// crash; crashed gets an entry when the controllers are to be told at once.
	guard   *crashwatch.Guard
	crashes *crashwatch.Watch
	overdue *overdueWatch
	crashed chan struct{}

	// connections counts callers' open connections.
	connections atomic.Int64

	// stopping is set once the stop began; answers then close connections.
	stopping atomic.Bool
	// closed is set once requests are refused.
	closed atomic.Bool
	// lifetime ends when running requests must be given up.
	lifetime context.Context
	end      context.CancelFunc
}

// Options are parts that the caller of New may replace.
type Options struct {
	// Deduplicator serves requests with an Idempotency-Key; nil keeps records on
	// the routers of the cluster.
	Deduplicator Deduplicator
	// Certificates authenticate the router to controllers and other routers;
	// nil means plain text.
	Certificates *certificate.Store
}

// dial returns how connections to other processes are opened; nil means plain.
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
	watching, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { limitMemory(watching, uint64(settings.MemoryLimitBytes)) })
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
	router.crashed = make(chan struct{}, 1)
	router.guard = crashwatch.NewGuard(router.clock, settings.Name, settings.QuarantineCrashes, router.crashed)
	router.crashes = crashwatch.NewWatch(router.clock, log, router.guard.Crashed)
	router.guard.RegisterMetrics(router.registry)
	router.overdue = newOverdueWatch(router.clock)
	router.lifetime, router.end = context.WithCancel(context.Background())
	router.fleet = newFleet(settings, router.clock, router.builder)
	router.requests = router.newRequests()
	router.metrics = newMetrics(router.registry)
	router.records = records.New(records.Options{
		Self: router.self(), Settings: settings.Records, Clock: router.clock, Log: log, View: router.builder.Table,
		Dial: options.dial(),
	})
	if router.deduplicator == nil {
		router.completions = router.newDeduplicator()
		router.deduplicator = router.completions
	}
	router.registerGauges(router.registry)
	router.handler = chain(router.newExecutor().run,
		router.refuseAfterStop, router.refuseStale, router.resolveService, router.limitRequests, router.deduplicate)
	return router
}

// newRequests returns the core that decides about requests.
func (r *Router) newRequests() *execution.Core {
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
		core: r.requests, metrics: r.metrics, log: r.log, guard: r.guard, crashes: r.crashes,
		overdue: r.overdue,
	}
}

func (r *Router) newDeduplicator() *recordDeduplicator {
	return &recordDeduplicator{
		self: state.RouterID(r.settings.Name), clock: r.clock, client: r.records, metrics: r.metrics,
		maxAnswerBytes: r.settings.Records.MaxAnswerBytes, peerTimeout: r.settings.Records.PeerTimeout,
		lifetime: r.lifetime, places: make(chan struct{}, maxCompletions),
	}
}

// newIncarnation names this process among all that ever ran.
func newIncarnation() string {
	const size = 8
	var bytes [size]byte
	// crypto/rand.Read never fails on the platforms that Go supports.
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// nextID returns a request identifier that no other request ever has, so that
// a back end's promise about one attempt can never be taken for another's.
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
	callers, err := net.Listen("tcp", r.settings.Address)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on address %q", r.settings.Address)
	}
	admin, err := net.Listen("tcp", r.settings.AdminAddress)
	if err != nil {
		_ = callers.Close()
		return eris.Wrapf(err, "listen on admin_address %q", r.settings.AdminAddress)
	}
	peers, err := net.Listen("tcp", r.settings.PeerAddress)
	if err != nil {
		_ = callers.Close()
		_ = admin.Close()
		return eris.Wrapf(err, "listen for routers on peer_address %q", r.settings.PeerAddress)
	}
	return r.serveOn(ctx, callers, admin, peers)
}

func (r *Router) serveOn(ctx context.Context, callers, admin, peers net.Listener) error {
	callers = &onceListener{Listener: callers}
	background, stopBackground := context.WithCancel(context.Background())
	callerServer := r.newCallerServer()
	adminServer := &fasthttp.Server{Handler: r.serveAdmin(r.registry), Name: role, Concurrency: adminConnections}
	var group conc.WaitGroup
	failed := make(chan error, 3)
	group.Go(func() { failed <- serveListener(callerServer, callers) })
	group.Go(func() { failed <- serveListener(adminServer, admin) })
	group.Go(func() { failed <- r.records.Run(background, r.secure(peers)) })
	group.Go(func() { r.certificates.Watch(background, r.settings.TLS.ReloadInterval, r.log) })
	group.Go(func() { r.newSubscription().run(background) })
	group.Go(func() { r.probe(background) })
	group.Go(func() { r.crashes.Run(background) })
	group.Go(func() { r.overdue.run(background) })
	group.Go(func() { r.watchFreshness(background) })
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
	stopBackground()
	r.end()
	if r.completions != nil {
		r.completions.wait()
	}
	_ = adminServer.Shutdown()
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
		self: r.self(), services: serviceNames(r.settings.Services), controllers: r.settings.Controllers, interval: r.settings.PingInterval, times: r.settings.Times(),
		dial: r.dial, clock: r.clock, builder: r.builder, freshness: r.freshness, log: r.log,
		changed: func() {
			r.fleet.Refresh(r.builder.Table())
			r.records.TableChanged()
			r.noteEnded()
		},
		records: r.records, guard: r.guard, crashed: r.crashed,
	}
}

// watchFreshness logs when the router becomes stale or current again.
func (r *Router) watchFreshness(ctx context.Context) {
	was := false
	for ctx.Err() == nil {
		fresh := r.freshness.Fresh(r.clock.Now())
		if fresh && !was {
			telemetry.With(r.log, telemetry.EventTableCurrent).Info("the routing table is proved current")
		}
		if !fresh && was {
			telemetry.With(r.log, telemetry.EventTableStale).Warn("the routing table is no longer proved current")
		}
		was = fresh
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
