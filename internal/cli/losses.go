package cli

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/story"
)

const (
	// defaultLossSpan is long enough for some requests a cause, and short enough to tell
	// one disruption from the next.
	defaultLossSpan = 2 * time.Second
	// defaultLossRows fit a screen.
	defaultLossRows = 40
)

// newLossesCommand prints what failed requests failed of.
func newLossesCommand(program *program) *cobra.Command {
	grouping, rows := story.Grouping{Span: defaultLossSpan}, defaultLossRows
	command := &cobra.Command{
		Use:   "losses FILE...",
		Short: "Print what failed requests failed of, by moment, service and cause",
		Long: "Print what the requests failed of that log files of any number of gateways\n" +
			"tell of: how many, since when, of which service, for which cause, and how their\n" +
			"attempts ended. The most frequent come first. With --by-tenant those of each\n" +
			"tenant stand apart.",
		Args: func(command *cobra.Command, arguments []string) error {
			if len(arguments) == 0 {
				return usage(command, "give one log file at least")
			}
			if grouping.Span <= 0 || rows <= 0 {
				return usage(command, "--span and --rows must be above 0")
			}
			return nil
		},
		RunE: func(_ *cobra.Command, arguments []string) error {
			lines, err := readLogs(arguments)
			if err != nil {
				return err
			}
			return story.WriteLosses(program.streams.Out, story.Losses(lines, grouping), rows)
		},
	}
	command.Flags().DurationVar(&grouping.Span, "span", grouping.Span, "time that one row covers")
	command.Flags().BoolVar(&grouping.ByTenant, "by-tenant", false, "tell the requests of each tenant apart")
	command.Flags().IntVar(&rows, "rows", rows, "rows to print")
	return command
}
