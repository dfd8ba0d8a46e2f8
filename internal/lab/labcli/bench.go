package labcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/bench"
	"github.com/thorntiller/thorntiller/internal/lab/bench/capacity"
)

func newBench() *cobra.Command {
	var folder string
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure a router against direct calls, the time to a new owner, and the time until a change is in force",
		RunE: func(command *cobra.Command, _ []string) error {
			place, err := newWorkplace(folder)
			if err != nil {
				return err
			}
			defer place.remove()
			result, err := bench.Run(command.Context(), bench.Options{
				Product: place.product, Lab: place.lab, Folder: place.folder,
				Say: func(format string, arguments ...any) {
					fmt.Fprintf(command.OutOrStdout(), format+"\n", arguments...)
				},
			})
			if err != nil {
				return eris.Wrapf(err, "logs are in %s", place.keep())
			}
			if err := printJSON(command.OutOrStdout(), result); err != nil {
				return err
			}
			if !result.OK {
				return errTargetMissed
			}
			return nil
		},
	}
	command.Flags().StringVar(&folder, "folder", "", "folder to work in; a temporary one when empty")
	return command
}

// errTargetMissed makes the command end with exit status 1 after its result.
var errTargetMissed = eris.New("a request failed or a target was missed")

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
			var failed error
			options.Done = func(row capacity.Row) {
				if err := printJSON(command.OutOrStdout(), row); err != nil {
					failed = err
				}
			}
			report := capacity.Run(command.Context(), options, sizes)
			if len(report.Failed) > 0 {
				options.Say("logs are kept in %s", place.keep())
			}
			if err := writeReport(output, report); err != nil || failed != nil {
				return errors.Join(err, failed)
			}
			return printJSON(command.OutOrStdout(), report)
		},
	}
	command.AddCommand(newParts())
	flags := command.Flags()
	flags.StringVar(&folder, "folder", "", "folder to work in; a temporary one when empty")
	flags.StringVar(&output, "out", "", "file that takes rows and slopes as JSON")
	flags.IntSliceVar(&sizes.Servers, "servers", sizes.Servers, "numbers of servers in the sweep of servers")
	flags.IntVar(&sizes.ShardsPerServer, "shards-per-server", sizes.ShardsPerServer, "shards of each server in the sweep of servers")
	flags.IntSliceVar(&sizes.Shards, "shards", sizes.Shards, "numbers of shards in the sweep of shards")
	flags.IntSliceVar(&sizes.Routers, "routers", sizes.Routers, "numbers of hollow routers in the sweep of routers")
	flags.IntVar(&options.Services, "services", 1, "services that share servers and shards, created one after the other")
	flags.DurationVar(&options.Window, "window", 5*time.Second, "how long the steady state is measured")
	flags.DurationVar(&options.Timeout, "timeout", time.Minute, "bound of one run")
	return command
}

// newParts measures the pure parts up to the size to design for.
func newParts() *cobra.Command {
	var output, folder string
	const designServers, designShards = 6200, 530_000
	servers, shards := designServers, []int{10_000, 50_000, 100_000, 250_000, designShards}
	command := &cobra.Command{
		Use:   "parts",
		Short: "Measure state, snapshots, tables, ticks and the log by themselves",
		RunE: func(command *cobra.Command, _ []string) error {
			say := func(format string, arguments ...any) {
				fmt.Fprintf(command.OutOrStdout(), format+"\n", arguments...)
			}
			report, err := capacity.RunLocal(command.Context(), folder, servers, shards, say)
			if err != nil {
				return err
			}
			if err := writeReport(output, report); err != nil {
				return err
			}
			return printJSON(command.OutOrStdout(), report)
		},
	}
	flags := command.Flags()
	flags.StringVar(&folder, "folder", "", "folder whose disk takes the log; the system's temporary folder when empty")
	flags.StringVar(&output, "out", "", "file that takes the report as JSON")
	flags.IntVar(&servers, "servers", servers, "number of servers")
	flags.IntSliceVar(&shards, "shards", shards, "numbers of shards")
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
