package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/lab/caller"
	"github.com/thorntiller/thorntiller/internal/lab/fleet"
	"github.com/thorntiller/thorntiller/internal/lab/scenario/faultproxy"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

// Scenario is one whole-system run with faults.
type Scenario struct {
	Name string
	// Proves is the guarantee that the run puts to the test, in one line.
	Proves string
	// shape is the fleet and load of the run.
	shape shape
	// steps act on the running fleet.
	steps func(ctx context.Context, r *run) error
}

// shape describes the fleet and load of a run. Zero fields take defaults.
type shape struct {
	deployments []fleet.Deployment
	// rate is in requests per second for each deployment.
	rate float64
	// duration is how long callers send.
	duration time.Duration
	// routers is how many there are. With betweenRouters, faults can act on what
	// all others send to a router.
	routers        int
	betweenRouters bool
	// encrypted gives the processes certificates.
	encrypted bool
	// slowDisks runs the controllers on disks that the run can slow down.
	slowDisks bool
	// limits bound the whole run, its faults included.
	limits trial.Limits
	// caller changes the settings of each caller.
	caller func(*caller.Config)
}

const (
	controllers     = 3
	routers         = 2
	serversPerKind  = 4
	shardsPerServer = 4
	defaultRate     = 150
	defaultDuration = 10 * time.Second
	// runTimeout bounds a whole run, the start of its processes included.
	runTimeout = 58 * time.Second
)

func (s shape) withDefaults() shape {
	if s.deployments == nil {
		s.deployments = []fleet.Deployment{paylink()}
	}
	if s.rate == 0 {
		s.rate = defaultRate
	}
	if s.duration == 0 {
		s.duration = defaultDuration
	}
	if s.routers == 0 {
		s.routers = routers
	}
	return s
}

func paylink() fleet.Deployment {
	return fleet.Paylink(fleet.Scale{MaxServers: serversPerKind, ShardsPerServer: shardsPerServer})
}

func derwent() fleet.Deployment {
	return fleet.Derwent(fleet.Scale{MaxServers: serversPerKind, ShardsPerServer: shardsPerServer})
}

// Options say where a scenario runs.
type Options struct {
	// Product and Lab are the paths of the two binaries.
	Product string
	Lab     string
	// Folder takes settings, data, logs and records. It must exist.
	Folder string
	Seed   uint64
	// Say prints progress; it may be nil.
	Say func(format string, arguments ...any)
}

// Run runs the scenario and judges it. It fails when the run could not be
// carried out; a broken guarantee or bound is told by the result. No process
// outlives it.
func (s Scenario) Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	network := faultproxy.New()
	defer network.Close()
	running := &run{network: network, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
	shape := s.shape.withDefaults()
	judged, err := trial.Run(ctx, trial.Options{
		Fleet: fleet.Options{
			Product: options.Product, Lab: options.Lab, Folder: options.Folder,
			Controllers: controllers, Routers: shape.routers, Deployments: shape.deployments, Dial: network.Address,
			DialRouters: shape.betweenRouters, Encrypted: shape.encrypted, SlowDisks: shape.slowDisks,
		},
		Rate: shape.rate, Duration: shape.duration, Seed: options.Seed, Caller: shape.caller, Limits: shape.limits, Say: options.Say,
		Steps: func(ctx context.Context, t *trial.Trial) error {
			running.Trial = t
			err := s.steps(ctx, running)
			network.Heal()
			return err
		},
	})
	if err != nil {
		return Result{}, eris.Wrapf(err, "scenario %s", s.Name)
	}
	return running.judge(s.Name, options, judged)
}
