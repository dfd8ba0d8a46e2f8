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

// directoryRoutes adds the calls of instances and the calls about items. A replica
// that does not lead sends callers to the leader.
func (a *api) directoryRoutes() {
	a.app.Post(directoryapi.PathItems, a.toLeader(a.patchItems))
	a.app.Post(directoryapi.PathReadItems, a.toLeader(a.readItems))
	a.app.Post(directoryapi.PathHeartbeat, a.toLeader(a.heartbeat))
	a.app.Post(directoryapi.PathLeave, a.toLeader(a.leave))
	a.app.Post(directoryapi.PathEvacuate, a.toLeader(a.changeZone(true)))
	a.app.Post(directoryapi.PathRestore, a.toLeader(a.changeZone(false)))
}

// toLeader answers a call here if this replica leads, and names the leader else, or a replica that may
// know it.
func (a *api) toLeader(handler fiber.Handler) fiber.Handler {
	return func(call fiber.Ctx) error {
		err := handler(call)
		if err == nil || fault.KindOf(err) != fault.NotLeader {
			return err
		}
		next, known := a.replica.leader()
		if !known || next.ID == a.replica.self.ID {
			next, known = a.replica.elsewhere()
		}
		if !known {
			return fault.New(fault.Unavailable, "no leader is known: ask another replica, or again")
		}
		call.Set(fiber.HeaderLocation, "http://"+next.APIAddress+call.OriginalURL())
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
		telemetry.With(a.replica.log, telemetry.EventCallRefused).WithField(telemetry.FieldServer, serverOf(call)).
			WithField("warm_up_left_ms", body.WarmUpLeftMs).Warn("warm_up_left_ms of a heartbeat is out of bounds and was limited")
	}
	beat, err := body.Beat(serverOf(call))
	if err != nil {
		a.logRefusal(call, err)
		return err
	}
	grant, err := a.beat(ctx, beat)
	if err != nil {
		if kind := fault.KindOf(err); kind == fault.InvalidArgument || kind == fault.Conflict {
			a.logRefusal(call, err)
		}
		return err
	}
	answer, leftOut := directoryapi.AnswerOf(grant, a.heartbeatAddress(beat.Address))
	if leftOut > 0 {
		telemetry.With(a.replica.log, telemetry.EventAnswerCut).WithField(telemetry.FieldServer, beat.Instance).
			WithField(telemetry.FieldCount, leftOut).Warn("an instance holds more ranges of keys than an answer has room for")
	}
	return call.JSON(answer)
}

// serverOf returns the identifier of the server that the path names. The framework uses the
// memory of its strings again once the call has ended.
func serverOf(call fiber.Ctx) string { return strings.Clone(call.Params("id")) }

func (a *api) leave(call fiber.Ctx) error {
	ctx, cancel := a.directoryContext(call)
	defer cancel()
	body, err := directoryapi.ReadLeave(call.Body())
	if err != nil {
		a.logRefusal(call, err)
		return err
	}
	leaving := directory.Incarnation{Server: serverOf(call), Born: uint64(body.Born)}
	if err := a.leaving(ctx, leaving); err != nil {
		return err
	}
	return call.JSON(struct{}{})
}

// changeZone evacuates or restores a zone. It is answered once a quorum holds the order,
// which takes the place of any earlier one for the zone.
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

// tenants answers the tenants with their limits and use, without their keys.
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
			Burst: tenant.Burst, AllowedRegions: tenant.AllowedRegions, UsePerSecond: a.replica.quotas.use(tenant.Name),
		})
	}
	return call.JSON(answer)
}

// directory answers what the directory holds, for people.
func (a *api) directory(call fiber.Ctx) error {
	return a.readCurrent(call, func(view *state.State) error { return call.JSON(view.Directory().Since(0).Redacted()) })
}
