package controller

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/gofiber/fiber/v3"
	recoverer "github.com/gofiber/fiber/v3/middleware/recover"
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/planner"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// api serves the intent API, the health checks and the metrics.
type api struct {
	settings config.API
	replica  *replica
	log      *logrus.Entry
	security *security
	app      *fiber.App
	// forwarder hands heartbeats on while another replica leads.
	forwarder *forwarder
}

func newAPI(settings config.API, r *replica, log *logrus.Entry, security *security, metrics *telemetry.Metrics, ready telemetry.Ready) *api {
	service := &api{settings: settings, replica: r, log: log, security: security, forwarder: &forwarder{replica: r}}
	service.app = fiber.New(fiber.Config{
		BodyLimit:    settings.BodyLimit,
		Concurrency:  connectionsOf(settings.MaxConnections),
		ReadTimeout:  settings.RequestTimeout,
		WriteTimeout: settings.RequestTimeout,
		IdleTimeout:  settings.IdleTimeout,
		ErrorHandler: service.answerError,
	})
	service.app.Use(recoverer.New(recoverer.Config{EnableStackTrace: true, StackTraceHandler: service.logPanic}))
	service.routes()
	service.directoryRoutes()
	service.app.Get(intentapi.PathLive, telemetry.LiveHandler())
	service.app.Get(intentapi.PathReady, telemetry.ReadyHandler(ready))
	service.app.Get(intentapi.PathMetrics, telemetry.MetricsHandler(metrics))
	return service
}

const (
	// connectionReserve is kept of the connections for what else takes descriptors: the log and
	// its files, the other replicas, and a stream and a report of each of some hundred gateways.
	connectionReserve = 700
	// reservedShare is kept of them at least: a large machine serves more gateways, too.
	reservedShare = 0.17
)

// connectionsOf returns how many connections the API accepts. A bound that is large stands
// for all descriptors of the process.
func connectionsOf(bound int) int {
	if bound < 2*connectionReserve {
		return bound
	}
	return bound - max(connectionReserve, int(reservedShare*float64(bound)))
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

func (a *api) serve(listener net.Listener) error {
	return a.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

func (a *api) stop(ctx context.Context) error {
	defer a.forwarder.close()
	return a.app.ShutdownWithContext(ctx)
}

// answerError maps an error to its row of the table of kinds.
func (a *api) answerError(call fiber.Ctx, err error) error {
	var framework *fiber.Error
	if errorAs(err, &framework) {
		err = kindOfStatus(framework)
	}
	body := intentapi.ErrorBody{Kind: fault.KindOf(err), Detail: detailOf(err)}
	answer := fault.AnswerFor(body.Kind)
	body.Outcome = answer.Outcome
	if body.Kind == fault.NotLeader {
		if leader, known := a.replica.leader(); known {
			body.Leader = leader.APIAddress
		}
	}
	setRetryAfter(call, answer)
	return call.Status(answer.Status).JSON(body)
}

// logPanic tells of a call that met a defect: it would take down one controller after the other as its
// caller sends it again.
func (a *api) logPanic(call fiber.Ctx, cause any) {
	telemetry.With(a.log, telemetry.EventPanicked).WithField("path", call.Path()).WithField(telemetry.FieldError, fmt.Sprint(cause)).
		WithField("stack", string(debug.Stack())).Error("a call met a defect of this program")
}

// detailOf returns the text for people without the kind, which has its own field.
func detailOf(err error) string {
	var typed *fault.Error
	if errorAs(err, &typed) {
		return typed.Detail
	}
	return err.Error()
}

func kindOfStatus(framework *fiber.Error) error {
	switch framework.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return fault.Newf(fault.NotFound, "no such path or method: %s", framework.Message)
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.InvalidArgument, "body: too large: split the intent")
	default:
		return fault.New(fault.InvalidArgument, framework.Message)
	}
}

func (a *api) context(call fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(call.Context(), a.settings.RequestTimeout)
}

// requireCurrent makes sure that this replica leads and that a quorum agrees.
func (a *api) requireCurrent(ctx context.Context) error {
	if _, leads := a.replica.leadershipContext(); !leads {
		return fault.New(fault.NotLeader, "this replica does not lead: ask the leader")
	}
	return a.replica.readHere(ctx)
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
	if a.answeredBefore(state.PlanID(intent.ID)) {
		return a.storePlan(ctx, call, state.Plan{ID: state.PlanID(intent.ID), Intent: intent})
	}
	if err := checkDrawn(intent.ID, time.Now()); err != nil {
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

// storePlan commits a plan. For a resent intent the answer is the first plan,
// and a conflict if the content differs.
func (a *api) storePlan(ctx context.Context, call fiber.Ctx, plan state.Plan) error {
	result, err := a.replica.Propose(ctx, state.Command{StorePlan: &state.StorePlan{Plan: plan}})
	if err != nil {
		return err
	}
	return call.JSON(result.Plan)
}

// answeredBefore reports whether the state alone answers an intent: it is known,
// or may have been.
func (a *api) answeredBefore(id state.PlanID) bool {
	var answered bool
	a.replica.view(func(view *state.State) {
		_, planned := view.Plan(id)
		_, received := view.Receipt(id)
		answered = planned || received || view.Expired(id)
	})
	return answered
}

// maxAhead is how far in the future an identifier that tells its time may lie.
const maxAhead = time.Minute

// checkDrawn refuses an identifier from the future: once it is forgotten, every
// identifier before it counts as forgotten too.
func checkDrawn(id state.IntentID, now time.Time) error {
	if !state.DrawnAfter(id, now.Add(maxAhead).UnixMilli()) {
		return nil
	}
	return fault.Newf(fault.InvalidArgument,
		"intent_id is %q, drawn more than %s in the future by the leader's clock; set the operator's clock, or draw another", id, maxAhead)
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

// readCurrent answers from a state that a quorum confirmed as current.
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
