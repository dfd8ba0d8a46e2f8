package experiment

import (
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

// Options choose what to run.
type Options struct {
	// Deployment is paylink, derwent or both.
	Deployment string
	// Seeds are run one after the other and reported by their means.
	Seeds []uint64
	// Duration is the time that the trace covers.
	Duration time.Duration
}

// DefaultDuration of a trace.
const DefaultDuration = 30 * time.Minute

// minimumDuration lets the zone come back before the end.
const minimumDuration = 10 * time.Minute

// maxParallel bounds the runs at the same time.
const maxParallel = 4

// Run carries out each strategy on each workload and seed. The order of the
// results, and every figure, depend on the options alone.
func Run(options Options) ([]Result, error) {
	workloads, err := workloadsOf(options.Deployment)
	if err != nil {
		return nil, err
	}
	if options.Duration < minimumDuration {
		return nil, eris.Errorf("duration: %s is too short for the trace: give at least %s", options.Duration, minimumDuration)
	}
	results := make([]Result, 0, len(workloads)*len(options.Seeds)*len(Strategies()))
	runs := pool.New().WithMaxGoroutines(min(maxParallel, runtime.GOMAXPROCS(0)))
	for _, workload := range workloads {
		for _, seed := range options.Seeds {
			for _, name := range Strategies() {
				results = append(results, Result{})
				// The slice never grows beyond its capacity, so that the place stays.
				place := &results[len(results)-1]
				runs.Go(func() { *place = runOne(workload, seed, options.Duration, name) })
			}
		}
	}
	runs.Wait()
	return results, nil
}

func workloadsOf(deployment string) ([]Workload, error) {
	switch deployment {
	case "paylink":
		return Paylink(), nil
	case "derwent":
		return Derwent(), nil
	case "both":
		return append(Paylink(), Derwent()...), nil
	default:
		return nil, eris.Errorf("deployment: %q is unknown: give paylink, derwent or both", deployment)
	}
}

func runOne(workload Workload, seed uint64, duration time.Duration, name string) Result {
	measured := newEngine(newTrace(workload, seed, duration), newStrategy(name, workload)).run()
	measured.result.Deployment = workload.Deployment
	measured.result.Service = workload.Service
	measured.result.Strategy = name
	measured.result.Seed = seed
	return measured.result
}
