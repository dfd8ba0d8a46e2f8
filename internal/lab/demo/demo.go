package demo

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

// Options say where the demonstration runs.
type Options struct {
	Product string
	Lab     string
	Folder  string
	Say     func(format string, arguments ...any)
}

const (
	controllers     = 3
	routers         = 2
	serversPerKind  = 4
	shardsPerServer = 8
	rate            = 150
	loadDuration    = 20 * time.Second
	betweenSteps    = 1500 * time.Millisecond
	stepTimeout     = 15 * time.Second
	// maxUnavailable covers the loss of a back end, of the leading controller and
	// of a router, 1.5 s apart.
	maxUnavailable = 2 * time.Second
	minAnswered    = 0.99
)

// Run runs the demonstration and returns its judgement.
func Run(ctx context.Context, options Options) (trial.Result, error) {
	scale := fleet.Scale{MaxServers: serversPerKind, ShardsPerServer: shardsPerServer}
	paylink := fleet.Paylink(scale)
	derwent := fleet.Derwent(scale)
	return trial.Run(ctx, trial.Options{
		Fleet: fleet.Options{
			Product: options.Product, Lab: options.Lab, Folder: options.Folder,
			Controllers: controllers, Routers: routers, Deployments: []fleet.Deployment{paylink, derwent},
		},
		Rate: rate, Duration: loadDuration, Seed: 1, Say: options.Say,
		Limits: trial.Limits{MaxUnavailable: maxUnavailable, MinAnswered: minAnswered},
		Steps:  func(ctx context.Context, t *trial.Trial) error { return steps(ctx, t, paylink, derwent) },
	})
}

// step is one act on the running fleet.
type step struct {
	say string
	act func(ctx context.Context, t *trial.Trial) error
}

func steps(ctx context.Context, t *trial.Trial, paylink, derwent fleet.Deployment) error {
	sequence := []step{
		{"moving the hot key " + trial.HotKey(paylink) + " of ledger-view to another server", func(ctx context.Context, t *trial.Trial) error {
			return t.MoveKey(ctx, "ledger-view", trial.HotKey(paylink))
		}},
		{"retiring server viewer-1", func(ctx context.Context, t *trial.Trial) error {
			return t.Retire(ctx, "viewer-1")
		}},
		{"killing the back end ledger-view-2", func(_ context.Context, t *trial.Trial) error {
			return t.KillBackEnd("ledger-view-2")
		}},
		{"killing the leading controller", func(ctx context.Context, t *trial.Trial) error {
			return t.KillLeader(ctx)
		}},
		{"killing router-2", func(context.Context, *trial.Trial) error {
			t.Fleet.Routers[1].Process.Kill()
			return nil
		}},
		{"starting the killed processes again", func(ctx context.Context, t *trial.Trial) error {
			return t.RestartDead(ctx)
		}},
		{"moving the hot key " + trial.HotKey(derwent) + " of viewer to another server", func(ctx context.Context, t *trial.Trial) error {
			return t.MoveKey(ctx, "viewer", trial.HotKey(derwent))
		}},
		{"stopping router-1 as planned", func(ctx context.Context, t *trial.Trial) error {
			return t.StopRouter(ctx, t.Fleet.Routers[0])
		}},
	}
	for _, next := range sequence {
		if err := pause(ctx, betweenSteps); err != nil {
			return err
		}
		t.Say("%s", next.say)
		if err := perform(ctx, t, next); err != nil {
			return err
		}
	}
	return nil
}

func perform(ctx context.Context, t *trial.Trial, next step) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	started := clock.BootTime()
	if err := next.act(ctx, t); err != nil {
		return eris.Wrap(err, next.say)
	}
	t.Say("  done in %d ms", (clock.BootTime() - started).Milliseconds())
	return nil
}

func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
