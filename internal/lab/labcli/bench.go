package labcli

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/bench/capacity"
)

func newCapacity() *cobra.Command {
	var folder, output string
	sizes := capacity.DefaultSizes()
	options := capacity.Options{}
	command := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how use grows with servers, shards and routers; print rows and slopes",
		RunE: func(command *cobra.Command, _ []string) error {
			place, err := newWorkplace(folder)
			if err != nil {
				return err
			}
			defer place.remove()
			options.Product, options.Lab, options.Folder = place.product, place.lab, place.folder
			options.Say = func(format string, arguments ...any) {
				fmt.Fprintf(command.OutOrStdout(), format+"\n", arguments...)
			}
			report := capacity.Run(command.Context(), options, sizes)
			if len(report.Failed) > 0 {
				options.Say("logs are kept in %s", place.keep())
			}
			if err := writeReport(output, report); err != nil {
				return err
			}
			return printJSON(command.OutOrStdout(), report)
		},
	}
	flags := command.Flags()
	flags.StringVar(&folder, "folder", "", "folder to work in; a temporary one when empty")
	flags.StringVar(&output, "out", "", "file that takes rows and slopes as JSON")
	flags.IntSliceVar(&sizes.Servers, "servers", sizes.Servers, "numbers of servers in the sweep of servers")
	flags.IntSliceVar(&sizes.Shards, "shards", sizes.Shards, "numbers of shards in the sweep of shards")
	flags.IntSliceVar(&sizes.Routers, "routers", sizes.Routers, "numbers of hollow routers in the sweep of routers")
	flags.DurationVar(&options.Window, "window", 5*time.Second, "how long the steady state is measured")
	flags.DurationVar(&options.Timeout, "timeout", time.Minute, "bound of one run")
	return command
}

func writeReport(path string, report any) error {
	if path == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the report")
	}
	return eris.Wrapf(os.WriteFile(path, append(encoded, '\n'), 0o600), "write %s", path)
}
