package cli

import (
	"context"
	"errors"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/signals"
	"github.com/thorntiller/thorntiller/internal/startup"
	"github.com/thorntiller/thorntiller/internal/telemetry"
)

// Runners run the roles of a process until their context ends.
type Runners struct {
	Router func(context.Context, config.Router, *logrus.Entry) error
	// Controller and Gateway take besides how the settings are read again.
	Controller func(context.Context, config.Controller, *logrus.Entry, func() (config.Controller, error)) error
	Gateway    func(context.Context, config.Gateway, *logrus.Entry, func() (config.Gateway, error)) error
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

// role is how a process of one kind is started from its settings.
type role[T any] struct {
	name config.Role
	load func(path string, overrides ...config.Override) (T, error)
	// common returns what all roles have in their settings.
	common func(T) commonSettings
	run    func(ctx context.Context, settings T, log *logrus.Entry, reload func() (T, error)) error
}

// commonSettings are settings that all roles have. CollectorPercent is zero for the default of the runtime.
type commonSettings struct {
	name             string
	log              config.Log
	collectorPercent int
}

func newControllerCommand(program *program) *cobra.Command {
	flags := []overrideFlag{overrideName, overrideZone, overrideData, overridePeer, overrideAPI}
	return newRoleCommand("controller", "Run one replica of the controllers", flags, starter(program, role[config.Controller]{
		name: config.RoleController, load: config.LoadController,
		common: func(settings config.Controller) commonSettings {
			return commonSettings{settings.Name, settings.Log, settings.CollectorPercent}
		},
		run: program.runners.Controller,
	}))
}

func newRouterCommand(program *program) *cobra.Command {
	flags := []overrideFlag{overrideName, overrideZone, overrideAddress, overridePeer, overrideAdmin, overrideControllers}
	return newRoleCommand("router", "Run a router", flags, starter(program, role[config.Router]{
		name: config.RoleRouter, load: config.LoadRouter,
		common: func(settings config.Router) commonSettings {
			return commonSettings{name: settings.Name, log: settings.Log}
		},
		run: func(ctx context.Context, settings config.Router, log *logrus.Entry, _ func() (config.Router, error)) error {
			return program.runners.Router(ctx, settings, log)
		},
	}))
}

func newGatewayCommand(program *program) *cobra.Command {
	flags := []overrideFlag{overrideName, overrideZone, overrideAddress, overrideAdmin}
	return newRoleCommand("gateway", "Run a gateway, which routes by host and path", flags, starter(program, role[config.Gateway]{
		name: config.RoleGateway, load: config.LoadGateway,
		common: func(settings config.Gateway) commonSettings {
			return commonSettings{settings.Name, settings.Log, settings.CollectorPercent}
		},
		run: program.runners.Gateway,
	}))
}

// starter returns how a role is run from the path of its settings.
func starter[T any](program *program, role role[T]) roleRunner {
	return func(ctx context.Context, path string, overrides []config.Override) error {
		// A change of the settings that is told from here on is read, now or again.
		handler, ctx := signals.New(ctx)
		defer handler.Close()
		load := func() (T, error) { return role.load(path, overrides...) }
		settings, err := loadSettings(ctx, program, role.name, path, load)
		if isStop(ctx, err) {
			return nil
		}
		if err != nil {
			return err
		}
		common := role.common(settings)
		log, closeLog := program.openLog(role.name, common.name, common.log)
		defer closeLog()
		reload := func() (T, error) { return loadUntilStopped(ctx, log, load) }
		if common.collectorPercent > 0 {
			debug.SetGCPercent(common.collectorPercent)
		}
		return supervise(ctx, handler, log, checked(reload), func(ctx context.Context) error {
			return role.run(ctx, settings, log, reload)
		})
	}
}

// loadSettings loads the settings of a role, whose log is not open yet.
func loadSettings[T any](ctx context.Context, program *program, role config.Role, path string, load func() (T, error)) (T, error) {
	log, closeLog := program.openLog(role, "", config.Log{})
	defer closeLog()
	settings, err := awaitSettings(ctx, path, log, load)
	if err != nil {
		logEnd(ctx, log, err)
	}
	return settings, err
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
			"stop; SIGINT during a stop ends the process at once.",
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

// supervise runs a role until a signal asks it to stop, which may come while the role still waits to start.
func supervise(ctx context.Context, handler *signals.Handler, log *logrus.Entry, reload func() error, run func(context.Context) error) error {
	logStart(log)
	finished := make(chan struct{})
	var watcher conc.WaitGroup
	watcher.Go(func() { watchReload(handler.HangUps(), finished, log, reload) })
	watcher.Go(func() { watchStop(ctx, finished, log) })
	endWatch := watchSuspensions(log)
	err := runRecovered(ctx, log, run)
	close(finished)
	endWatch()
	watcher.Wait()
	logEnd(ctx, log, err)
	if isStop(ctx, err) {
		return nil
	}
	return err
}

// isStop reports whether an error only says that a signal ended a wait.
func isStop(ctx context.Context, err error) bool {
	return ctx.Err() != nil && errors.Is(err, context.Canceled)
}

// runRecovered turns a panic of a role into an error, so that the log tells why the process ends.
func runRecovered(ctx context.Context, log *logrus.Entry, run func(context.Context) error) error {
	var err error
	if recovered := panics.Try(func() { err = run(ctx) }); recovered != nil {
		telemetry.Panicked(log, recovered).Error("panic while running the role")
		return recovered.AsError()
	}
	return err
}

// logStart logs the start, with the time that passed until signals were handled.
func logStart(log *logrus.Entry) {
	line := telemetry.With(log, telemetry.EventStarted)
	if age, known := startup.ProcessAge(); known {
		line = line.WithField("process_age_ms", age.Milliseconds())
	}
	line.Info("started")
}

// logEnd logs that the process was stopped or why it ends by itself, and with which status. A process that ends without
// such a line was killed.
func logEnd(ctx context.Context, log *logrus.Entry, err error) {
	if err == nil || isStop(ctx, err) {
		telemetry.With(log, telemetry.EventStopped).Info("stopped")
		return
	}
	telemetry.WithError(log, telemetry.EventFailed, err).WithField("exit_status", int(exitCodeOf(err))).Error("the process ends")
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
// tells what came of it, until the role has ended.
func watchReload(hangUps <-chan os.Signal, finished <-chan struct{}, log *logrus.Entry, reload func() error) {
	for {
		select {
		case <-finished:
			return
		case <-hangUps:
		}
		err := reload()
		if errors.Is(err, context.Canceled) {
			return // the role stops
		}
		if err != nil {
			telemetry.WithError(log, telemetry.EventSettingsReloaded, err).Warn("the settings file is not valid; the settings stay as they are")
			continue
		}
		telemetry.With(log, telemetry.EventSettingsReloaded).Info("the settings file was read again; what cannot change while the process runs waits for its next start")
	}
}

// watchStop waits for the stop of the role and tells of it, unless the role
// ends by itself before.
func watchStop(ctx context.Context, finished <-chan struct{}, log *logrus.Entry) {
	select {
	case <-ctx.Done():
	case <-finished:
		if ctx.Err() == nil {
			return
		}
	}
	telemetry.WithError(log, telemetry.EventStopping, context.Cause(ctx)).Info("stopping; SIGINT ends the process at once")
}
