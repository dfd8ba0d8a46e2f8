package labcli

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/experiment"
)

// experimentFlags are the flags of the experiment command.
type experimentFlags struct {
	deployment string
	seed       uint64
	seeds      int
	duration   time.Duration
	out        string
}

// Defaults and bounds of the experiment command.
const (
	defaultExperimentSeed  = 11
	defaultExperimentSeeds = 5
	maxExperimentSeeds     = 100
)

func newExperiment() *cobra.Command {
	flags := &experimentFlags{}
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Measure ways of placing shards against each other on one trace",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return runExperiment(command, flags) },
	}
	command.Flags().StringVar(&flags.deployment, "deployment", "both", "paylink, derwent or both")
	command.Flags().Uint64Var(&flags.seed, "seed", defaultExperimentSeed, "first seed")
	command.Flags().IntVar(&flags.seeds, "seeds", defaultExperimentSeeds, "number of seeds, from the first one on")
	command.Flags().DurationVar(&flags.duration, "duration", experiment.DefaultDuration, "time that the trace covers")
	command.Flags().StringVar(&flags.out, "out", "out/experiment", "folder for the plots and their page")
	return command
}

func runExperiment(command *cobra.Command, flags *experimentFlags) error {
	if flags.seeds < 1 || flags.seeds > maxExperimentSeeds {
		return eris.Errorf("seeds: %d is out of range: give 1 to %d", flags.seeds, maxExperimentSeeds)
	}
	seeds := make([]uint64, flags.seeds)
	for position := range seeds {
		seeds[position] = flags.seed + uint64(position)
	}
	results, err := experiment.Run(experiment.Options{Deployment: flags.deployment, Seeds: seeds, Duration: flags.duration})
	if err != nil {
		return err
	}
	summary := experiment.Summarize(results, seeds)
	page, err := experiment.WritePage(flags.out, summary)
	if err != nil {
		return err
	}
	fmt.Fprint(command.OutOrStdout(), summary.Table())
	fmt.Fprintf(command.OutOrStdout(), "\nplots: %s\n", page)
	return printJSON(command.OutOrStdout(), summary)
}
