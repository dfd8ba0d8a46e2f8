package controller

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/directoryapi"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// directoryRoutes adds the calls of instances and the calls about items. A replica that does not lead
// redirects callers to the leader.
func (a *api) directoryRoutes() {
	a.app.Post(directoryapi.PathItems, a.redirectToLeader(a.patchItems))
	a.app.Post(directoryapi.PathReadItems, a.redirectToLeader(a.readItems))
	a.app.Post(directoryapi.PathHeartbeat, a.redirectToLeader(a.heartbeat))
	a.app.Post(directoryapi.PathLeave, a.redirectToLeader(a.leave))
	a.app.Post(directoryapi.PathEvacuate, a.redirectToLeader(a.changeZone(true)))
	a.app.Post(directoryapi.PathRestore, a.redirectToLeader(a.changeZone(false)))
}

// redirectToLeader runs the handler if this replica leads. Otherwise it redirects the caller to the leader, or
// to a replica that may know it.
func (a *api) redirectToLeader(handler fiber.Handler) fiber.Handler {
	return func(call fiber.Ctx) error {
		if !a.running.Load() {
			return fault.New(fault.Unavailable, a.notRunning())
		}
		err := handler(call)
		if err == nil || fault.KindOf(err) != fault.NotLeader {
			return err
		}
		target, known := a.replica.leader()
		if !known || target.ID == a.replica.self.ID {
			target, known = a.replica.redirectTarget()
		}
		if !known {
			return fault.New(fault.Unavailable, "no leader is known: ask another replica, or again")
		}
		call.Set(fiber.HeaderLocation, "http://"+target.APIAddress+call.OriginalURL())
		return call.SendStatus(fiber.StatusTemporaryRedirect)
	}
}

func (a *api) directoryContext(call fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(call.Context(), a.replica.settings.Heartbeat.AnswerTimeout)
}

func (a *api) patchItems(call fiber.Ctx) error {
	ctx, cancel := a.directoryContext(call)
	defer cancel()
	if _, err := a.security.authorize(call, config.RightConfirm, ""); err != nil {
		return err
	}
	patch, err := directory.ReadPatch(call.Body())
	if err != nil {
		a.logRefusal(call, err)
		return err
	}
	if _, err := a.replica.Propose(ctx, state.Command{Directory: &directory.Command{Patch: &patch}}); err != nil {
		a.logRefusal(call, err)
		return err
	}
	return call.JSON(struct{}{})
}

func (a *api) logRefusal(call fiber.Ctx, err error) {
	telemetry.WithError(a.replica.log, telemetry.EventCallRefused, err).WithField("path", call.Path()).
		WithField(telemetry.FieldKind, fault.KindOf(err)).Warn("API request rejected")
}

func (a *api) readItems(call fiber.Ctx) error {
	ctx, cancel := a.directoryContext(call)
	defer cancel()
	if err := a.requireCurrent(ctx); err != nil {
		return err
	}
	var set directory.ItemSet
	configured := false
	a.replica.view(func(view *state.State) {
		set = view.Directory().ItemSet()
		configured = view.Directory().Configured()
	})
	if !configured {
		return fault.New(fault.Unavailable, "no items were taken yet: send them first")
	}
	return call.JSON(set)
}

func (a *api) heartbeat(call fiber.Ctx) error {
	ctx, cancel := a.directoryContext(call)
	defer cancel()
	var body directoryapi.Heartbeat
	if err := json.Unmarshal(call.Body(), &body); err != nil {
		return fault.Newf(fault.InvalidArgument, "body: %v: see docs/BACKEND.md for the fields", err)
	}
	if !body.WarmUpInBounds() {
		telemetry.With(a.replica.log, telemetry.EventCallRefused).WithField(telemetry.FieldServer, pathServerID(call)).
			WithField("warm_up_left_ms", body.WarmUpLeftMs).Warn("warm_up_left_ms of a heartbeat is out of bounds and was limited")
	}
	beat, err := body.Beat(pathServerID(call))
	if err != nil {
		a.logRefusal(call, err)
		return err
	}
	grant, err := a.handleBeat(ctx, beat)
	if err != nil {
		if kind := fault.KindOf(err); kind == fault.InvalidArgument || kind == fault.Conflict {
			a.logRefusal(call, err)
		}
		return err
	}
	answer, omitted := directoryapi.AnswerOf(grant, a.heartbeatAddress(beat.Address))
	if omitted > 0 {
		telemetry.With(a.replica.log, telemetry.EventAnswerCut).WithField(telemetry.FieldServer, beat.Instance).
			WithField(telemetry.FieldCount, omitted).Warn("heartbeat answer truncated: the instance holds more key ranges than fit")
	}
	return call.JSON(answer)
}

// pathServerID returns a copy of the server identifier in the path. The framework reuses the memory of its
// strings once the call has ended.
func pathServerID(call fiber.Ctx) string { return strings.Clone(call.Params("id")) }

func (a *api) leave(call fiber.Ctx) error {
	ctx, cancel := a.directoryContext(call)
	defer cancel()
	body, err := directoryapi.ReadLeave(call.Body())
	if err != nil {
		a.logRefusal(call, err)
		return err
	}
	leaving := directory.Incarnation{Server: pathServerID(call), Born: uint64(body.Born)}
	if err := a.handleLeave(ctx, leaving); err != nil {
		return err
	}
	return call.JSON(struct{}{})
}

// changeZone evacuates or restores a zone. It answers once a quorum has stored the order, which replaces any
// earlier one for the zone.
func (a *api) changeZone(evacuated bool) fiber.Handler {
	return func(call fiber.Ctx) error {
		ctx, cancel := a.directoryContext(call)
		defer cancel()
		if _, err := a.security.authorize(call, config.RightConfirm, ""); err != nil {
			return err
		}
		zone := directory.Zone{Name: strings.Clone(call.Params("zone")), Evacuated: evacuated}
		err := a.requireCurrent(ctx)
		if err == nil {
			a.replica.view(func(view *state.State) { err = view.Directory().CheckZone(zone, a.replica.settings.Zones) })
		}
		if err == nil {
			_, err = a.replica.Propose(ctx, state.Command{Directory: &directory.Command{Zone: &zone}})
		}
		if err != nil {
			a.logRefusal(call, err)
			return err
		}
		return call.JSON(struct{}{})
	}
}

// tenants answers with the tenants, their limits and their usage, without their keys.
func (a *api) tenants(call fiber.Ctx) error {
	var tenants []directory.Tenant
	err := a.readCurrent(call, func(view *state.State) error {
		tenants = view.Directory().Tenants()
		return nil
	})
	if err != nil {
		return err
	}
	answer := []intentapi.Tenant{}
	for _, tenant := range tenants {
		answer = append(answer, intentapi.Tenant{
			Name: tenant.Name, Keys: len(tenant.APIKeys), Priority: tenant.Priority, RatePerSecond: tenant.RatePerSecond,
			Burst: tenant.Burst, AllowedRegions: tenant.AllowedRegions, UsePerSecond: a.replica.quotas.tokenRate(tenant.Name),
		})
	}
	return call.JSON(answer)
}

// directory answers with the redacted content of the directory, for operators.
func (a *api) directory(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error { return call.JSON(view.Directory().Since(0).Redacted()) })
}
