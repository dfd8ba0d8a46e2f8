package controller

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	recoverer "github.com/gofiber/fiber/v3/middleware/recover"
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intake"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/overload"
	"github.com/thorntiller/thorntiller/internal/planner"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// api serves the intent API, the health checks and the metrics. It serves from the start on: before the replica runs,
// calls are rejected at once rather than kept waiting for a group that may not form.
type api struct {
	settings config.API
	// replica is set before running is.
	replica *replica
	running atomic.Bool
	// ready is the readiness of the process.
	ready    telemetry.Ready
	log      *logrus.Entry
	security *security
	app      *fiber.App
	clock    clock.Clock
	// budget bounds what clients' connections, calls and answers take.
	budget *overload.Budget
	// forwarder forwards heartbeats to the leader while another replica leads.
	forwarder *forwarder
}

// newAPI returns the API without its replica, see attach. Places is as in overload.Limits.
func newAPI(settings config.API, log *logrus.Entry, security *security, metrics *telemetry.Metrics, ready telemetry.Ready, places func() int) *api {
	service := &api{
		settings: settings, log: log, security: security, clock: clock.NewSystem(), budget: newClientBudget(settings, places),
		ready: ready, forwarder: &forwarder{},
	}
	service.app = fiber.New(fiber.Config{
		BodyLimit: settings.BodyLimit,
		// The listener bounds the connections.
		Concurrency:       math.MaxInt32,
		StreamRequestBody: true,
		// A form would be read before its memory is reserved.
		DisablePreParseMultipartForm: true,
		ReadTimeout:                  settings.RequestTimeout,
		WriteTimeout:                 settings.RequestTimeout,
		IdleTimeout:                  settings.IdleTimeout,
		ErrorHandler:                 service.answerError,
	})
	service.app.Server().ConnState = service.followConnection
	service.app.Use(recoverer.New(recoverer.Config{EnableStackTrace: true, StackTraceHandler: service.logPanic}))
	service.app.Use(service.readBody)
	service.app.Get(intentapi.PathLive, telemetry.LiveHandler())
	service.app.Get(intentapi.PathReady, telemetry.ReadyHandler(ready))
	service.app.Get(intentapi.PathMetrics, telemetry.MetricsHandler(metrics))
	service.directoryRoutes()
	service.app.Use(service.requireReplica)
	service.routes()
	return service
}

// attach lets the replica answer the calls from now on.
func (a *api) attach(r *replica) {
	a.replica, a.forwarder.replica = r, r
	a.running.Store(true)
}

// requireReplica rejects calls before the replica runs.
func (a *api) requireReplica(call fiber.Ctx) error {
	if a.running.Load() {
		return call.Next()
	}
	return fault.New(fault.NotLeader, a.notRunning())
}

// notRunning returns why calls are rejected before the replica runs.
func (a *api) notRunning() string {
	_, reason := a.ready()
	return "this replica does not run yet: " + reason
}

const (
	// minReservedConnections are set aside for other users of file descriptors: the log and its files, the
	// other replicas, and a stream and a report connection for each of several hundred gateways.
	minReservedConnections = 700
	// minReservedShare is the minimum share set aside: a large machine also serves more gateways.
	minReservedShare = 0.17
)

// apiConnections returns how many connections the API accepts. A large limit is assumed to cover all file
// descriptors of the process.
func apiConnections(limit int) int {
	if limit < 2*minReservedConnections {
		return limit
	}
	return limit - max(minReservedConnections, int(minReservedShare*float64(limit)))
}

func (a *api) routes() {
	a.app.Post(intentapi.PathPlans, a.plan)
	a.app.Get(intentapi.PathPlans, a.plans)
	a.app.Get(intentapi.PathPlan, a.getPlan)
	a.app.Post(intentapi.PathConfirm, a.confirm)
	a.app.Get(intentapi.PathServices, a.services)
	a.app.Get(intentapi.PathServers, a.servers)
	a.app.Get(intentapi.PathShards, a.shards)
	a.app.Get(intentapi.PathRouters, a.routers)
	a.app.Get(intentapi.PathDirectory, a.directory)
	a.app.Get(intentapi.PathTenants, a.tenants)
	a.app.Get(intentapi.PathMembers, a.members)
	a.app.Get(intentapi.PathStatus, a.status)
	a.app.Post(intentapi.PathTransfer, a.transfer)
}

// listener returns a listener that admits connections to the budget.
func (a *api) listener(inner net.Listener) net.Listener {
	return intake.Listen(inner, a.budget, a.clock)
}

func (a *api) serve(listener net.Listener) error {
	return a.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

func (a *api) stop(ctx context.Context) error {
	defer a.forwarder.close()
	return a.app.ShutdownWithContext(ctx)
}

// answerError answers a call with the status, outcome and retry delay of the error kind.
func (a *api) answerError(call fiber.Ctx, err error) error {
	var fiberError *fiber.Error
	if errorAs(err, &fiberError) {
		err = faultOfStatus(fiberError)
	}
	body := intentapi.ErrorBody{Kind: fault.KindOf(err), Detail: detailOf(err)}
	answer := fault.AnswerFor(body.Kind)
	body.Outcome = answer.Outcome
	if body.Kind == fault.NotLeader && a.running.Load() {
		if leader, known := a.replica.leader(); known {
			body.Leader = leader.APIAddress
		}
	}
	setRetryAfter(call, answer)
	return call.Status(answer.Status).JSON(body)
}

// logPanic logs a panic of a handler. Unrecovered, it would crash one controller after another as the caller
// retries the call.
func (a *api) logPanic(call fiber.Ctx, cause any) {
	telemetry.With(a.log, telemetry.EventPanicked).WithField("path", call.Path()).WithField(telemetry.FieldError, fmt.Sprint(cause)).
		WithField("stack", string(debug.Stack())).Error("panic while handling an API call")
}

// detailOf returns the human-readable text without the kind, which has its own field.
func detailOf(err error) string {
	var typed *fault.Error
	if errorAs(err, &typed) {
		return typed.Detail
	}
	return err.Error()
}

func faultOfStatus(fiberError *fiber.Error) error {
	switch fiberError.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return fault.Newf(fault.NotFound, "no such path or method: %s", fiberError.Message)
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.InvalidArgument, "body: too large: split the intent")
	default:
		return fault.New(fault.InvalidArgument, fiberError.Message)
	}
}

func (a *api) context(call fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(call.Context(), a.settings.RequestTimeout)
}

// requireCurrent ensures that this replica leads and that a quorum confirms it.
func (a *api) requireCurrent(ctx context.Context) error {
	if _, leads := a.replica.leadershipContext(); !leads {
		return fault.New(fault.NotLeader, "this replica does not lead: ask the leader")
	}
	return a.replica.confirmCurrent(ctx)
}

func (a *api) plan(call fiber.Ctx) error {
	ctx, cancel := a.context(call)
	defer cancel()
	var intent state.Intent
	if err := decodeStrictly(call.Body(), &intent); err != nil {
		return err
	}
	operator, err := a.security.authorize(call, config.RightPlan, intent.Operator)
	if err != nil {
		return err
	}
	intent.Operator = operator
	if err := a.requireCurrent(ctx); err != nil {
		return err
	}
	if a.answeredByState(state.PlanID(intent.ID)) {
		return a.storePlan(ctx, call, state.Plan{ID: state.PlanID(intent.ID), Intent: intent})
	}
	if err := checkIntentTime(intent.ID, time.Now()); err != nil {
		return err
	}
	var built state.Plan
	costs := a.replica.handovers(ctx)
	a.replica.view(func(view *state.State) { built, err = planner.Build(view, costs, intent) })
	if err != nil {
		return err
	}
	return a.storePlan(ctx, call, built)
}

// storePlan commits a plan. A resent intent is answered with the first plan, or with a conflict if its content
// differs.
func (a *api) storePlan(ctx context.Context, call fiber.Ctx, plan state.Plan) error {
	result, err := a.replica.Propose(ctx, state.Command{StorePlan: &state.StorePlan{Plan: plan}})
	if err != nil {
		return err
	}
	return call.JSON(result.Plan)
}

// answeredByState reports whether the state alone determines the answer to an intent: the intent is known, or
// is too old to determine whether it was known.
func (a *api) answeredByState(id state.PlanID) bool {
	var answered bool
	a.replica.view(func(view *state.State) {
		_, planned := view.Plan(id)
		_, received := view.Receipt(id)
		answered = planned || received || view.Expired(id)
	})
	return answered
}

// maxClockLead is how far in the future the time in an intent identifier may lie.
const maxClockLead = time.Minute

// checkIntentTime rejects an identifier from the future: once it is forgotten, every earlier identifier is
// considered forgotten as well.
func checkIntentTime(id state.IntentID, now time.Time) error {
	if !state.DrawnAfter(id, now.Add(maxClockLead).UnixMilli()) {
		return nil
	}
	return fault.Newf(fault.InvalidArgument,
		"intent_id is %q, drawn more than %s in the future by the leader's clock; set the operator's clock, or draw another", id, maxClockLead)
}

func (a *api) confirm(call fiber.Ctx) error {
	ctx, cancel := a.context(call)
	defer cancel()
	var request intentapi.ConfirmRequest
	if err := decodeStrictly(call.Body(), &request); err != nil {
		return err
	}
	operator, err := a.security.authorize(call, config.RightConfirm, request.Operator)
	if err != nil {
		return err
	}
	result, err := a.replica.Propose(ctx, state.Command{ConfirmPlan: &state.ConfirmPlan{
		Plan: state.PlanID(call.Params("id")), Digest: request.Digest, Operator: operator,
	}})
	if err != nil {
		return err
	}
	return call.JSON(result.Plan)
}

func (a *api) getPlan(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error {
		plan, found := view.Plan(state.PlanID(call.Params("id")))
		if receipt, forgotten := view.Receipt(state.PlanID(call.Params("id"))); forgotten {
			return call.JSON(receipt.Known())
		}
		if !found && view.Expired(state.PlanID(call.Params("id"))) {
			return fault.Newf(fault.IntentExpired, "what became of plan %q is forgotten: look at what is in force", call.Params("id"))
		}
		if !found {
			return fault.Newf(fault.NotFound, "no plan %q: list them with get plans", call.Params("id"))
		}
		return call.JSON(plan)
	})
}

// readCurrent answers from the state after a quorum has confirmed that it is current.
func (a *api) readCurrent(call fiber.Ctx, read func(*state.State) error) error {
	ctx, cancel := a.context(call)
	defer cancel()
	if err := a.requireCurrent(ctx); err != nil {
		return err
	}
	var err error
	a.replica.view(func(view *state.State) { err = read(view) })
	return err
}

func (a *api) plans(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error { return call.JSON(view.Plans()) })
}

func (a *api) services(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error { return call.JSON(view.Services()) })
}

func (a *api) servers(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error { return call.JSON(view.Servers()) })
}

func (a *api) shards(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error {
		service := state.ServiceName(call.Query("service"))
		if _, found := view.Service(service); !found {
			return fault.Newf(fault.NotFound, "service: no service %q: list them with get services", service)
		}
		return call.JSON(view.ShardsOf(service))
	})
}

func (a *api) transfer(call fiber.Ctx) error {
	ctx, cancel := a.context(call)
	defer cancel()
	if _, err := a.security.authorize(call, config.RightTransfer, ""); err != nil {
		return err
	}
	if _, leads := a.replica.leadershipContext(); !leads {
		return fault.New(fault.NotLeader, "this replica does not lead: ask the leader")
	}
	if err := a.replica.Transfer(ctx); err != nil {
		return fault.Newf(fault.Conflict, "leadership stays here: %v", err)
	}
	return call.JSON(a.replica.describe(ctx, false))
}
