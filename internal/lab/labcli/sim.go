package labcli

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/sim"
)

// defaultWorkers bounds the seeds that run at the same time.
const defaultWorkers = 4

// simOptions are the flags of the sim command.
type simOptions struct {
	seeds   string
	seed    uint64
	trace   bool
	workers int
	leases  bool
	sameID  bool
	late    bool
}

// runner returns what runs a seed.
func (o simOptions) runner() sim.Runner {
	switch {
	case o.late:
		return sim.RunLateLeases
	case o.sameID:
		return sim.RunSameIDLeases
	case o.leases:
		return sim.RunLeases
	default:
		return sim.Run
	}
}

func newSim() *cobra.Command {
	var options simOptions
	command := &cobra.Command{
		Use:   "sim",
		Short: "Search seeds of simulated deployments for broken guarantees, or replay one",
		RunE: func(command *cobra.Command, _ []string) error {
			if command.Flags().Changed("seed") {
				return replaySeed(command, options)
			}
			return searchSeeds(command, options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.seeds, "seeds", "1-200", "seeds to run, A-B")
	flags.Uint64Var(&options.seed, "seed", 0, "run this seed alone")
	flags.BoolVar(&options.trace, "trace", false, "with --seed: print what happens, the same bytes every time")
	flags.BoolVar(&options.leases, "leases", false, "controllers and instances that renew leases by heartbeats, in place of whole deployments")
	flags.BoolVar(&options.sameID, "same-id", false, "as --leases, with instances that start again under their identifiers")
	flags.BoolVar(&options.late, "late", false, "as --leases, with copies of heartbeats that arrive late")
	flags.IntVar(&options.workers, "workers", defaultWorkers, "seeds that run at the same time")
	return command
}

func replaySeed(command *cobra.Command, options simOptions) error {
	output := command.OutOrStdout()
	if !options.trace {
		return reportSearch(command, sim.RunSeeds(options.runner(), options.seed, options.seed, 1, func(sim.Failure) {}))
	}
	result := options.runner()(options.seed, output)
	if err := printJSON(output, result); err != nil {
		return err
	}
	if result.Violation != nil {
		return errNotHeld
	}
	return nil
}

func searchSeeds(command *cobra.Command, options simOptions) error {
	first, last, err := parseSeeds(options.seeds)
	if err != nil {
		return err
	}
	if options.workers < 1 {
		return eris.Errorf("--workers: %d: give 1 or more", options.workers)
	}
	return reportSearch(command, sim.RunSeeds(options.runner(), first, last, options.workers, func(failure sim.Failure) {
		fmt.Fprintln(command.OutOrStdout(), failure.Describe())
	}))
}

func reportSearch(command *cobra.Command, summary sim.Summary) error {
	if err := printJSON(command.OutOrStdout(), summary); err != nil {
		return err
	}
	if len(summary.Failed) > 0 {
		return errNotHeld
	}
	return nil
}

func parseSeeds(text string) (first, last uint64, err error) {
	from, to, found := strings.Cut(text, "-")
	if !found {
		to = from
	}
	first, errFirst := strconv.ParseUint(from, 10, 64)
	last, errLast := strconv.ParseUint(to, 10, 64)
	if errFirst != nil || errLast != nil || last < first {
		return 0, 0, eris.Errorf("--seeds: %q: give two numbers as A-B with A at most B", text)
	}
	return first, last, nil
}
