package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/background"
	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// reconnectPause is the delay after all controllers were asked without success.
const reconnectPause = 20 * time.Millisecond

func (s *subscription) run(ctx context.Context) {
	search := newRace(s.settings.PongTimeout)
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	for ctx.Err() == nil {
		s.awaitSilence(ctx, search)
		for range raceRounds {
			s.askAll(ctx, search, &group)
		}
		s.awaitCandidates(ctx, search)
		if searching, _ := search.state(); searching {
			s.reloadSeeds()
			clock.Sleep(ctx, reconnectPause)
		}
	}
}

// reloadSeeds applies changes of the seeds in the settings.
func (s *subscription) reloadSeeds() {
	if s.reload == nil {
		return
	}
	fresh, err := s.reload()
	if err != nil || slices.Equal(fresh.Seeds, s.settings.Seeds) {
		return
	}
	telemetry.With(s.log, telemetry.EventSettingsReloaded).WithField("seeds", fresh.Seeds).Info("seeds changed")
	s.settings.Seeds = fresh.Seeds
}

// awaitSilence blocks until the winner is silent or its stream has ended.
func (s *subscription) awaitSilence(ctx context.Context, search *race) {
	for ctx.Err() == nil {
		began := search.searchBegan.Next()
		in, ended := search.searchIfSilent()
		if in <= 0 {
			return
		}
		timer := time.NewTimer(in)
		select {
		case <-ctx.Done():
		case <-ended:
		case <-began:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// askAll asks the controllers in turn until one confirms the directory or the search begins anew.
func (s *subscription) askAll(ctx context.Context, search *race, group *conc.WaitGroup) {
	searching, restarts := search.state()
	if !searching {
		return
	}
	for _, address := range s.candidates() {
		s.ask(ctx, search, address, group)
		for clock.Sleep(ctx, raceStagger); !search.mayAskNext(); clock.Sleep(ctx, raceStagger) {
			if searching, now := search.state(); ctx.Err() != nil || !searching || now != restarts {
				return
			}
		}
	}
}

// awaitCandidates blocks until the candidates that do not wait for long have ended. One that sends updates without
// proof does not end, and others may be back before it does.
func (s *subscription) awaitCandidates(ctx context.Context, search *race) {
	for began := time.Now(); ctx.Err() == nil && search.awaits() && time.Since(began) < s.settings.PongTimeout; {
		clock.Sleep(ctx, reconnectPause)
	}
}

// ask follows one candidate in the background, unless it is already being asked.
func (s *subscription) ask(ctx context.Context, search *race, address string, group *conc.WaitGroup) {
	ctx, cancel := context.WithCancel(ctx)
	asked := search.enter(address, cancel)
	if asked == nil {
		cancel()
		return
	}
	group.Go(func() {
		defer cancel()
		defer search.leave(asked)
		err := background.Result(s.log, "directory stream", func() error {
			return s.follow(ctx, source{address: address, search: search, candidate: asked})
		})
		if ctx.Err() != nil {
			return
		}
		line := telemetry.WithError(s.log, telemetry.EventControllerLost, err).WithField(telemetry.FieldAddress, address).
			WithField(fieldTableAge, ageMs(s.age())).WithField("bytes", asked.bytesReceived())
		switch {
		case errors.Is(err, errSwitchToHome):
			search.restart()
			line.Info("switching the directory stream to the home controller")
		case errors.Is(err, errAskedTwice):
			line.Debug("directory stream ended")
		case s.progress.Failed(address, err):
			line.Warn("directory stream broke")
		}
	})
}
