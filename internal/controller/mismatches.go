package controller

import (
	"context"
	"slices"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/message"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// mustDenySession reports whether the settings of the router rule out a session.
func (s *tableStream) mustDenySession() bool {
	return slices.ContainsFunc(s.mismatches, func(mismatch config.Mismatch) bool { return mismatch.NoSession })
}

func (s *tableStream) logMismatches() {
	for _, text := range problemsOf(s.mismatches) {
		telemetry.With(s.replica.log, telemetry.EventSettingsMismatch).WithField("router", s.router).WithField("problem", text).
			Warn("router settings are incompatible")
	}
}

// writeNotice tells the router which of its settings are incompatible.
func (s *tableStream) writeNotice(ctx context.Context) error {
	if len(s.mismatches) == 0 {
		return nil
	}
	return s.connection.Send(ctx, &message.ControllerFrame{Notice: &message.Notice{Problems: problemsOf(s.mismatches)}})
}

func problemsOf(mismatches []config.Mismatch) []string {
	var problems []string
	for _, mismatch := range mismatches {
		problems = append(problems, mismatch.String())
	}
	return problems
}
