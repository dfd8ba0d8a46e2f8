package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Runners run the roles of a process until their context ends.
type Runners struct {
	Controller func(context.Context, config.Controller, *logrus.Entry) error
	Router     func(context.Context, config.Router, *logrus.Entry) error
	// Gateway takes besides how the settings are read again.
	Gateway func(context.Context, config.Gateway, *logrus.Entry, func() (config.Gateway, error)) error
}

// overrideFlag is a flag that takes the place of a field of the settings file.
type overrideFlag struct {
	flag  string
	field string
	help  string
}

var (
	overrideName        = overrideFlag{"name", "name", "name of this process"}
	overrideZone        = overrideFlag{"zone", "zone", "zone that the machine stands in"}
	overrideData        = overrideFlag{"data-directory", "data_directory", "folder of the replica's state"}
	overrideAddress     = overrideFlag{"address", "address", "IP:port for callers"}
	overridePeer        = overrideFlag{"peer-address", "peer_address", "IP:port for other processes of the system"}
	overrideAPI         = overrideFlag{"api-address", "api_address", "IP:port of the intent API"}
	overrideAdmin       = overrideFlag{"admin-address", "admin_address", "IP:port of the health checks and the metrics"}
	overrideControllers = overrideFlag{"controllers", "controllers", "peer addresses of the controllers, with commas between them"}
)

func newControllerCommand(program *program) *cobra.Command {
	flags := []overrideFlag{overrideName, overrideZone, overrideData, overridePeer, overrideAPI}
	return newRoleCommand("controller", "Run one replica of the controllers", flags,
		func(ctx context.Context, path string, overrides []config.Override) error {
			reload := func() (config.Controller, error) { return config.LoadController(path, overrides...) }
			settings, err := reload()
			if err != nil {
				return err
			}
			log, closeLog := program.openLog(config.RoleController, settings.Name, settings.Log)
			defer closeLog()
			debug.SetGCPercent(settings.CollectorPercent)
			return supervise(ctx, log, checked(reload), func(ctx context.Context) error {
				return program.runners.Controller(ctx, settings, log)
			})
		})
}

func newRouterCommand(program *program) *cobra.Command {
	flags := []overrideFlag{overrideName, overrideZone, overrideAddress, overridePeer, overrideAdmin, overrideControllers}
	return newRoleCommand("router", "Run a router", flags,
		func(ctx context.Context, path string, overrides []config.Override) error {
			reload := func() (config.Router, error) { return config.LoadRouter(path, overrides...) }
			settings, err := reload()
			if err != nil {
				return err
			}
			log, closeLog := program.openLog(config.RoleRouter, settings.Name, settings.Log)
			defer closeLog()
			return supervise(ctx, log, checked(reload), func(ctx context.Context) error {
				return program.runners.Router(ctx, settings, log)
			})
		})
}

func newGatewayCommand(program *program) *cobra.Command {
	flags := []overrideFlag{overrideName, overrideZone, overrideAddress, overrideAdmin}
	return newRoleCommand("gateway", "Run a gateway, which routes by host and path", flags,
		func(ctx context.Context, path string, overrides []config.Override) error {
			reload := func() (config.Gateway, error) { return config.LoadGateway(path, overrides...) }
			settings, err := reload()
			if err != nil {
				return err
			}
			log, closeLog := program.openLog(config.RoleGateway, settings.Name, settings.Log)
			defer closeLog()
			debug.SetGCPercent(settings.CollectorPercent)
			return supervise(ctx, log, checked(reload), func(ctx context.Context) error {
				return program.runners.Gateway(ctx, settings, log, reload)
			})
		})
}

// openLog returns the log of a role, and how its lines that wait are written at the
// end.
func (p *program) openLog(role config.Role, name string, settings config.Log) (*logrus.Entry, func()) {
	queue := telemetry.NewQueue(p.streams.Out)
	return telemetry.New(string(role), name, settings.Level, queue), queue.Close
}

type roleRunner func(ctx context.Context, path string, overrides []config.Override) error

func newRoleCommand(use, short string, flags []overrideFlag, run roleRunner) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   use + " --config FILE",
		Short: short,
		Long: short + ".\n\nLog lines go to the standard output. SIGTERM and SIGINT begin a graceful\n" +
			"stop; a second signal ends the process at once.",
		Args: exactly(),
		RunE: func(command *cobra.Command, _ []string) error {
			if path == "" {
				return usage(command, "the flag --config is missing")
			}
			return run(command.Context(), path, overridesOf(command.Flags(), flags))
		},
	}
	command.Flags().StringVarP(&path, "config", "c", "", "settings file")
	for _, flag := range flags {
		command.Flags().String(flag.flag, "", flag.help+"; overrides the settings file")
	}
	return command
}

func overridesOf(set *pflag.FlagSet, flags []overrideFlag) []config.Override {
	var overrides []config.Override
	for _, flag := range flags {
		given := set.Lookup(flag.flag)
		if given.Changed {
			overrides = append(overrides, config.Override{Field: flag.field, Flag: "--" + flag.flag, Value: given.Value.String()})
		}
	}
	return overrides
}

// checked returns a function that reads the settings only to check them.
func checked[T any](reload func() (T, error)) func() error {
	return func() error {
		_, err := reload()
		return err
	}
}

// supervise runs a role until a signal asks it to stop. After the first signal
// the default action is back in place, so that a second one ends the process.
func supervise(ctx context.Context, log *logrus.Entry, reload func() error, run func(context.Context) error) error {
	endReloads := watchReload(log, reload)
	defer endReloads()
	ctx, restore := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer restore()
	telemetry.With(log, telemetry.EventStarted).Info("started")
	finished := make(chan struct{})
	var watcher conc.WaitGroup
	watcher.Go(func() { watchStop(ctx, finished, restore, log) })
	endWatch := watchSuspensions(log)
	err := run(ctx)
	close(finished)
	endWatch()
	watcher.Wait()
	if err != nil {
		telemetry.WithError(log, telemetry.EventFailed, err).Error("the process ends")
		return err
	}
	telemetry.With(log, telemetry.EventStopped).Info("stopped")
	return nil
}

// watchSuspensions tells of suspensions of the machine. It returns how to end that.
func watchSuspensions(log *logrus.Entry) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watcher conc.WaitGroup
	watcher.Go(func() {
		clock.WatchSuspensions(ctx, func(slept time.Duration) {
			telemetry.With(log, telemetry.EventSuspended).WithField(telemetry.FieldDuration, slept.Milliseconds()).Warn("the machine was suspended")
		})
	})
	return func() {
		cancel()
		watcher.Wait()
	}
}

// watchReload checks the settings file whenever SIGHUP says that it has changed, and
// tells what came of it. It returns how to end that.
func watchReload(log *logrus.Entry, reload func() error) (end func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	var watcher conc.WaitGroup
	watcher.Go(func() {
		for range signals {
			if err := reload(); err != nil {
				telemetry.WithError(log, telemetry.EventSettingsReloaded, err).Warn("the settings file is not valid; the settings stay as they are")
				continue
			}
			telemetry.With(log, telemetry.EventSettingsReloaded).Info("the settings file was read again; what cannot change while the process runs waits for its next start")
		}
	})
	return func() {
		signal.Stop(signals)
		close(signals)
		watcher.Wait()
	}
}

// watchStop waits for the stop of the role and tells of it, unless the role
// ends by itself before.
func watchStop(ctx context.Context, finished <-chan struct{}, restore func(), log *logrus.Entry) {
	select {
	case <-ctx.Done():
	case <-finished:
		if ctx.Err() == nil {
			return
		}
	}
	restore()
	telemetry.With(log, telemetry.EventStopping).Info("stopping; a second signal ends the process at once")
}
