package trial

import (
	"context"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/thorntiller/thorntiller/internal/clock"
	"github.com/thorntiller/thorntiller/internal/lab/caller"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/process"
	"github.com/thorntiller/thorntiller/internal/lab/record"
	"github.com/thorntiller/thorntiller/internal/state"
)

// Options describe a trial.
type Options struct {
	Fleet fleet.Options
	// Rate is the requests per second of each deployment.
	Rate float64
	// Duration is how long callers send.
	Duration time.Duration
	Seed     uint64
	// Caller changes the settings of a deployment's caller; it may be nil.
	Caller func(*caller.Config)
	// Steps act on the fleet while the callers send. An error ends the trial.
	Steps func(ctx context.Context, t *Trial) error
	// Limits bound what is no broken guarantee but must not happen either.
	Limits Limits
	// Say prints progress.
	Say func(format string, arguments ...any)
}

// Trial is a run in progress.
type Trial struct {
	Fleet    *fleet.Fleet
	options  Options
	started  time.Time
	events   *record.Writer[record.Event]
	observer *observer
	callers  []*process.Process
	// callerFiles are the record files of the callers.
	callerFiles []string
}

// Result is the judgement of a trial.
type Result struct {
	record.Summary
	Violations []record.Violation `json:"violations,omitempty"`
	// Exceeded lists the limits that the run did not keep.
	Exceeded []string `json:"exceeded,omitempty"`
}

// Run runs a trial from start to judgement. No process outlives it.
func Run(ctx context.Context, options Options) (Result, error) {
	events, err := record.OpenWriter[record.Event](filepath.Join(options.Fleet.Folder, "events.jsonl"))
	if err != nil {
		return Result{}, err
	}
	t := &Trial{options: options, started: time.Now(), events: events}
	t.Say("starting the processes")
	if t.Fleet, err = fleet.Start(ctx, options.Fleet); err != nil {
		return Result{}, err
	}
	defer t.Fleet.Stop()
	if err := t.run(ctx); err != nil {
		return Result{}, err
	}
	return t.judge()
}

// Say prints a line of progress with the time since the start.
func (t *Trial) Say(format string, arguments ...any) {
	if t.options.Say != nil {
		t.options.Say("%6.2fs  "+format, append([]any{time.Since(t.started).Seconds()}, arguments...)...)
	}
}

func (t *Trial) run(ctx context.Context) error {
	t.Say("creating the services")
	if err := t.Fleet.CreateServices(ctx); err != nil {
		return err
	}
	if err := t.Fleet.WaitRouters(ctx); err != nil {
		return err
	}
	if err := t.Fleet.CheckRunning(); err != nil {
		return err
	}
	t.observer = newObserver(t.Fleet)
	observing, stopObserving := context.WithCancel(ctx)
	var background conc.WaitGroup
	background.Go(func() { t.observer.run(observing) })
	err := t.load(ctx)
	stopObserving()
	background.Wait()
	if err != nil {
		return err
	}
	return t.observer.observeLast(ctx)
}

// load runs the callers and the steps side by side, and waits for both.
func (t *Trial) load(ctx context.Context) error {
	for number, deployment := range t.options.Fleet.Deployments {
		load := Load{Name: deployment.Name, Deployment: deployment, Rate: t.options.Rate, Duration: t.options.Duration, Seed: t.options.Seed + uint64(number)}
		if err := t.StartLoad(load); err != nil {
			return err
		}
	}
	t.Say("callers send %g requests/s for each deployment", t.options.Rate)
	if t.options.Steps != nil {
		if err := t.options.Steps(ctx, t); err != nil {
			return eris.Wrap(err, "steps of the trial")
		}
	}
	for _, running := range t.callers {
		if err := t.waitCaller(ctx, running); err != nil {
			return err
		}
	}
	return nil
}

// waitCaller waits until a caller has ended by itself, and fails if it does not.
func (t *Trial) waitCaller(ctx context.Context, running *process.Process) error {
	const patience = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, t.options.Duration+patience)
	defer cancel()
	if err := fleet.WaitFor(ctx, running.Name()+" to end", func() bool { return !running.Running() }); err != nil {
		running.Kill()
		return err
	}
	return running.Stop(patience)
}

// Load is what one caller process sends.
type Load struct {
	// Name is unique in the trial.
	Name       string
	Deployment fleet.Deployment
	// Rate is in requests per second over all services.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// StartLoad starts one more caller. The trial waits for its end and judges its
// records with the others.
func (t *Trial) StartLoad(load Load) error {
	config := caller.Config{
		Name: "caller-" + load.Name, Loads: LoadsOf(load.Deployment, load.Rate), Duration: load.Duration, Seed: load.Seed,
		RecordFile:  filepath.Join(t.options.Fleet.Folder, "records", "caller-"+load.Name+".jsonl"),
		OtherRouter: 0.5, Simultaneous: 0.05,
	}
	for _, router := range t.Fleet.Routers {
		config.Routers = append(config.Routers, router.Address)
	}
	if t.options.Caller != nil {
		t.options.Caller(&config)
	}
	started, err := t.Fleet.StartCaller(config)
	if err != nil {
		return err
	}
	t.callers = append(t.callers, started)
	t.callerFiles = append(t.callerFiles, config.RecordFile)
	return nil
}

// CallerFiles returns the record files of the callers.
func (t *Trial) CallerFiles() []string {
	return t.callerFiles
}

// LoadsOf divides a rate over a deployment's services: the first, which is the
// one that people watch, gets half, most of it repeatable reads.
func LoadsOf(deployment fleet.Deployment, rate float64) []caller.Load {
	const firstShare, readShare, skew = 0.5, 0.8, 1.2
	loads := make([]caller.Load, 0, len(deployment.Services))
	for number, service := range deployment.Services {
		load := caller.Load{
			Service: string(service.Name), Keyed: service.Keyed, KeyPrefix: deployment.Name + "-", Skew: skew,
			Rate:    rate * (1 - firstShare) / float64(len(deployment.Services)-1),
			Timeout: time.Duration(service.Settings.DefaultTimeoutMs) * time.Millisecond,
		}
		if number == 0 {
			load.Rate = rate * firstShare
			load.Reads = readShare
		}
		loads = append(loads, load)
	}
	return loads
}

// HotKey returns the key that a deployment's first service is asked for most.
func HotKey(deployment fleet.Deployment) string {
	return deployment.Name + "-0"
}

// MarkDrain records that a server is to get no new work from now on.
func (t *Trial) MarkDrain(server state.ServerID) error {
	return t.events.Write(record.Event{Kind: record.EventDrain, Server: string(server), FromNs: clock.BootTime().Nanoseconds()})
}

// MarkPlannedStop records the span of a planned stop.
func (t *Trial) MarkPlannedStop(server state.ServerID, router string, from time.Duration) error {
	return t.events.Write(record.Event{
		Kind: record.EventPlannedStop, Server: string(server), Router: router,
		FromNs: from.Nanoseconds(), ToNs: clock.BootTime().Nanoseconds(),
	})
}

// judge compares the records after the run.
func (t *Trial) judge() (Result, error) {
	t.Fleet.Stop()
	if err := t.events.Close(); err != nil {
		return Result{}, err
	}
	inputs := record.Inputs{
		EventFiles:  []string{filepath.Join(t.options.Fleet.Folder, "events.jsonl")},
		Assignments: t.observer.assignments,
		Revisions:   t.observer.revisions,
		CallerFiles: t.callerFiles,
	}
	for _, backEnd := range t.Fleet.BackEnds {
		inputs.BackendFiles = append(inputs.BackendFiles, backEnd.RecordFile)
	}
	summary, violations, err := record.Verify(inputs)
	if err != nil {
		return Result{}, err
	}
	result := Result{Summary: summary, Violations: violations, Exceeded: t.options.Limits.exceededBy(summary)}
	result.OK = result.OK && len(result.Exceeded) == 0
	return result, nil
}
