package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/thorntiller/thorntiller/internal/state"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// logResult writes one line for each command that matters to an operator.
func logResult(log *logrus.Entry, index uint64, command state.Command, result state.Result) {
	log = log.WithField("revision", index)
	switch {
	case command.StorePlan != nil:
		plan := command.StorePlan.Plan
		telemetry.With(log, planEvent(result, telemetry.EventPlanStored)).WithField("plan", plan.ID).
			WithField("intent", plan.Intent.Kind).WithField("operator", plan.Intent.Operator).Info("plan")
	case command.ConfirmPlan != nil:
		telemetry.With(log, planEvent(result, telemetry.EventPlanConfirmed)).WithField("plan", command.ConfirmPlan.Plan).
			WithField("operator", command.ConfirmPlan.Operator).Info("confirmation")
	case result.Err != nil:
		log.WithField("detail", result.Err.Error()).Debug("command rejected")
	case command.OpenSession != nil:
		telemetry.With(log, telemetry.EventSessionOpened).WithField("server", command.OpenSession.Server).Info("session opened")
	case command.OpenSessions != nil:
		for _, object := range result.Changed {
			telemetry.With(log, telemetry.EventSessionOpened).WithField("server", object.Server.ID).Info("session opened")
		}
	case command.CloseSession != nil:
		telemetry.With(log, telemetry.EventSessionClosed).WithField("server", command.CloseSession.Server).
			WithField("shards", len(result.Changed)-1).Warn("session closed")
	case command.CloseSessions != nil:
		logClosures(log, result.Changed)
	case command.RevokeShards != nil:
		telemetry.With(log, telemetry.EventShardRevoked).WithField("shards", len(result.Changed)).Info("shards revoked")
	case command.ReleaseShards != nil:
		telemetry.With(log, telemetry.EventShardReleased).WithField("server", command.ReleaseShards.Server).
			WithField("shards", len(result.Changed)).Info("shards released")
	case command.AssignShards != nil:
		telemetry.With(log, telemetry.EventShardAssigned).WithField("shards", len(result.Changed)).Info("shards assigned")
	case command.MergeShards != nil:
		telemetry.With(log, telemetry.EventShardMerged).WithField("merges", len(command.MergeShards.Merges)).Info("shards merged")
	case command.SetLeaving != nil:
		telemetry.With(log, telemetry.EventServerLeaving).WithField("server", command.SetLeaving.Server).
			WithField("leaving", command.SetLeaving.Leaving).Info("server leaving state changed by the platform")
	case command.RetireServerDone != nil:
		telemetry.With(log, telemetry.EventServerRetired).WithField("server", command.RetireServerDone.Server).Info("server retired")
	case command.PutRouter != nil:
		telemetry.With(log, telemetry.EventRouterJoined).WithField("router", command.PutRouter.Router.ID).Info("router session opened")
	case command.CloseRouter != nil:
		telemetry.With(log, telemetry.EventRouterClosed).WithField("router", command.CloseRouter.Router).Info("router session closed")
	case command.PutPartitions != nil:
		telemetry.With(log, telemetry.EventPartitionsMoved).WithField("partitions", len(result.Changed)).Info("record partitions placed")
	}
}

// logClosures logs each server whose session a command closed, with the number of closed sessions and of
// shards that lost their owner.
func logClosures(log *logrus.Entry, changed []state.Object) {
	closed := 0
	for _, object := range changed {
		if object.Server != nil {
			closed++
		}
	}
	for _, object := range changed {
		if object.Server != nil {
			telemetry.With(log, telemetry.EventSessionClosed).WithField("server", object.Server.ID).
				WithField("sessions", closed).WithField("shards", len(changed)-closed).Warn("session closed")
		}
	}
}

func planEvent(result state.Result, accepted telemetry.Event) telemetry.Event {
	if result.Err != nil {
		return telemetry.EventPlanRefused
	}
	return accepted
}
