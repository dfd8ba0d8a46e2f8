package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/thorntiller/thorntiller/internal/admission"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/dispatch"
	"github.com/thorntiller/thorntiller/internal/execution"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/fleet"
	"github.com/thorntiller/thorntiller/internal/health"
	"github.com/thorntiller/thorntiller/internal/lab/sim/checker"
	"github.com/thorntiller/thorntiller/internal/retry"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/table"
)

// Chances of what befalls requests while faults are injected, 0 to 1, and what
// callers send.
const (
	connectFailedShare = 0.01
	connectionCutShare = 0.01
	answerCutShare     = 0.01
	keptConnection     = 0.5
	burstShare         = 0.01
	shortestBurst      = 10
	longestBurst       = 100
	freeShare          = 0.3
	repeatableShare    = 0.4
	shortestTimeout    = 40 * time.Millisecond
	longestTimeout     = 1500 * time.Millisecond
	healthEvery        = 700 * time.Millisecond
	healthTimeout      = 300 * time.Millisecond
	// ignoredLeavingShare is of the planted fault ignoreLeaving.
	ignoredLeavingShare = 0.03
)

// processClock is the clock of a process.
type processClock struct{ of *process }

// Now implements clock.Clock.
func (c processClock) Now() time.Duration { return c.of.now() }

// noLink stands for connections, which the simulator models for each attempt.
type noLink struct{}

func (noLink) Update(*state.Server, int) {}
func (noLink) Limit(int)                 {}
func (noLink) Close()                    {}

// routerRequests is the request path of one router process.
type routerRequests struct {
	router    *router
	settings  config.Router
	freshness *table.Freshness
	fleet     *fleet.Fleet
	core      *execution.Core
	limiter   *admission.Limiter
	// waiting are the requests that wait for a change of the table, by number.
	waiting []*flight
	// decided are ends of waits in queues that are not handled yet.
	decided []decidedWait
}

// decidedWait is the end of a request's wait in a server's queue.
type decidedWait struct {
	flight *flight
	turn   int
	reason error
}

func requestBounds() checker.RequestBounds {
	const rateBound = 1.01
	return checker.RequestBounds{
		Queue: queueLimit, Running: admission.ServerLimits(serverSlots, 100, queueLimit).Running, Total: requestLimit,
		Burst: resendBurst, Ratio: retryRatio, Staleness: time.Duration(rateBound * float64(stalenessLimit)),
	}
}

func (r *router) life() checker.RouterLife {
	return checker.RouterLife{Router: string(r.node), Start: r.starts}
}

// startRequests builds the cores as internal/router does.
func (r *router) startRequests() {
	settings := config.DefaultRouter()
	limit := stalenessLimit
	if r.sim.planted.trustOldTable {
		limit = time.Hour
	}
	r.requests = routerRequests{
		router: r, settings: settings, freshness: table.NewFreshness(limit),
		limiter: admission.NewLimiter(settings.MaxInFlight),
	}
	r.requests.fleet = fleet.New(fleet.Options{
		Clock: processClock{r.process}, MaxConnections: settings.BackEnd.MaxConnections, Table: r.builder.Table,
		Health: health.Settings{
			Failures: settings.Health.EjectFailures, BaseEjection: settings.Health.EjectDuration,
			MaxEjection: health.DefaultSettings().MaxEjection, MaxRatio: settings.Health.MaxEjectedRatio,
		},
		Open: func(*state.Server, int) fleet.Link { return noLink{} },
	})
	r.requests.core = r.requests.newCore()
	r.every(requestEvery, r.requests.receive)
	r.every(healthEvery, r.requests.probe)
}

func (r *routerRequests) newCore() *execution.Core {
	random := r.router.sim.random
	planning := dispatch.DefaultSettings("zone-1")
	planning.RampUp = r.settings.Health.RampUp
	return execution.New(execution.Options{
		Planner: dispatch.NewPlanner(planning, random.IntN),
		Policy: retry.Policy{
			MaxAttempts: r.settings.Retry.MaxAttempts, BaseDelay: r.settings.Retry.BackoffBase, MaxDelay: r.settings.Retry.BackoffMax,
		},
		Fleet: r.fleet, Health: r.fleet.Health(), Jitter: random.Float64,
	})
}

func (r *routerRequests) reading() execution.Reading {
	now := r.router.now()
	return execution.Reading{Now: now, Table: r.router.builder.Table(), Fresh: r.freshness.Fresh(now)}
}

// tableChanged follows a new version of the table, in the order of
// internal/router.
func (r *routerRequests) tableChanged() {
	view := r.router.builder.Table()
	r.freshness.Advance(view.Revision())
	r.fleet.Refresh(view)
	waiting := r.waiting
	r.waiting = nil
	for _, each := range waiting {
		each.turn++
		each.carryOut(execution.Action{Kind: execution.Plan})
	}
}

// receive takes what callers send: mostly one request, sometimes many.
func (r *routerRequests) receive() {
	sim := r.router.sim
	count := 1
	if sim.chance(burstShare) {
		count = shortestBurst + sim.random.IntN(longestBurst-shortestBurst)
		sim.counts.Bursts++
	}
	wanted := r.draw()
	for range count {
		if count > 1 && wanted.Keyed {
			// A burst is on one key.
			wanted.Repeatable = sim.chance(repeatableShare)
		}
		r.begin(wanted)
	}
}

// wantedRequest is what a caller asks for.
type wantedRequest struct {
	dispatch.Request
	key string
}

func (r *routerRequests) draw() wantedRequest {
	sim := r.router.sim
	wanted := wantedRequest{Request: dispatch.Request{
		Service: freeServiceName, Repeatable: sim.chance(repeatableShare), Deadline: sim.between(shortestTimeout, longestTimeout),
	}}
	if !sim.chance(freeShare) {
		wanted.key = sim.key()
		wanted.Service, wanted.Keyed, wanted.KeyHash = serviceName, true, state.HashKey(wanted.key)
	}
	return wanted
}

// begin takes one request in, behind the checks of internal/router's layers.
func (r *routerRequests) begin(wanted wantedRequest) {
	counts := &r.router.sim.counts
	counts.Requests++
	view := r.reading()
	if !view.Fresh {
		counts.Stale++
		return
	}
	service, found := view.Table.Service(wanted.Service)
	if !found {
		return
	}
	if !r.limiter.Enter(string(service.Name), service.RequestLimit) {
		counts.Limited++
		return
	}
	timeout := min(service.DefaultTimeout, r.settings.MaxTimeout, wanted.Deadline)
	begun := &flight{requests: r, sim: r.router.sim, number: counts.Requests, request: wanted.Request, key: wanted.key, service: service}
	begun.request.Deadline = view.Now + timeout
	r.router.sim.checker.RequestBegins(checker.RequestStart{
		Number: begun.number, Life: r.router.life(), Service: service.Name, Repeatable: wanted.Repeatable,
	})
	begun.request.Repeatable = wanted.Repeatable || r.router.sim.planted.repeatAll
	if r.router.sim.planted.freeResends {
		generous := *service
		generous.RetryRatio = 1
		begun.service = &generous
	}
	begun.execution = r.core.Begin(&begun.request, begun.service)
	begun.carryOut(execution.Action{Kind: execution.Plan})
}

// decide notes the end of a wait in a queue. It is called under the queue's
// lock, so that the step follows as an event of its own, in the order of the
// requests.
func (r *routerRequests) decide(end decidedWait) {
	r.decided = append(r.decided, end)
	if len(r.decided) == 1 {
		r.router.after(0, r.handleDecided)
	}
}

func (r *routerRequests) handleDecided() {
	decided := r.decided
	r.decided = nil
	slices.SortStableFunc(decided, func(a, b decidedWait) int { return cmp.Compare(a.flight.number, b.flight.number) })
	for _, end := range decided {
		end.flight.decidedInQueue(end)
	}
}

// probe asks the known servers for their health, as a hint.
func (r *routerRequests) probe() {
	known := r.fleet.Known()
	slices.SortFunc(known, func(a, b *fleet.BackEnd) int { return cmp.Compare(a.Server().ID, b.Server().ID) })
	for _, each := range known {
		r.probeOne(each.Server().ID)
	}
}

func (r *routerRequests) probeOne(id state.ServerID) {
	target, found := r.router.sim.server(id)
	if !found {
		return
	}
	tracker := r.fleet.Health()
	answered := false
	generation := r.router.generation
	r.router.sendOnce(target.process, func() {
		well := !target.misleads
		target.sendOnce(r.router.process, func() {
			if r.router.generation == generation {
				answered = true
				tracker.Hint(id, well)
			}
		})
	})
	r.router.after(healthTimeout, func() {
		if !answered {
			tracker.Hint(id, false)
		}
	})
}

// describe names a failure in the trace.
func describe(failure *fault.Error) string {
	if failure == nil {
		return "an answer"
	}
	return string(failure.Kind)
}
