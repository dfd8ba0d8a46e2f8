package labcli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/hollow"
)

func newHollow() *cobra.Command {
	command := &cobra.Command{
		Use:   "hollow",
		Short: "Run many hollow nodes in one process",
	}
	command.AddCommand(newHollowBackEnds(), newHollowRouters())
	return command
}

// newHollowBackEnds prints the servers' descriptions as JSON, for an intent,
// and the counters at the end.
func newHollowBackEnds() *cobra.Command {
	var options hollow.BackEndOptions
	command := &cobra.Command{
		Use:   "back-ends",
		Short: "Run hollow back ends that take leases; print their addresses, and the counters at the end",
		RunE: func(command *cobra.Command, _ []string) error {
			backEnds, err := hollow.NewBackEnds(options)
			if err != nil {
				return err
			}
			backEnds.Open()
			if err := printJSON(command.OutOrStdout(), backEnds.Specs()); err != nil {
				return err
			}
			<-command.Context().Done()
			counts := backEnds.Counts()
			backEnds.Stop()
			return printJSON(command.OutOrStdout(), counts)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Count, "count", 100, "number of back ends")
	flags.StringVar(&options.Prefix, "prefix", "server", "beginning of their identifiers")
	flags.StringSliceVar(&options.Zones, "zones", []string{"default"}, "zones, given out in turn")
	flags.IntVar(&options.Slots, "slots", 2, "slots of each")
	flags.IntVar(&options.Connections, "connections", 100, "connections that each accepts")
	return command
}

func newHollowRouters() *cobra.Command {
	var options hollow.RouterOptions
	var wait time.Duration
	command := &cobra.Command{
		Use:   "routers",
		Short: "Run hollow routers that follow the routing table; print the counters at the end",
		RunE: func(command *cobra.Command, _ []string) error {
			routers := hollow.StartRouters(options)
			defer routers.Stop()
			ctx, cancel := context.WithTimeout(command.Context(), wait)
			defer cancel()
			if _, err := routers.WaitProved(ctx, 0); err != nil {
				return err
			}
			<-command.Context().Done()
			return printJSON(command.OutOrStdout(), routers.Counts())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Count, "count", 100, "number of routers")
	flags.StringVar(&options.Prefix, "prefix", "hollow-router", "beginning of their identifiers")
	flags.IntVar(&options.Tables, "tables", 1, "how many of them keep a whole routing table")
	flags.StringSliceVar(&options.Controllers, "controllers", nil, "peer addresses of the controllers, IP:port")
	flags.DurationVar(&options.PingInterval, "ping-interval", 500*time.Millisecond, "time between two pings of one router")
	flags.DurationVar(&wait, "wait", 30*time.Second, "how long the first proof of a current table may take")
	cobra.CheckErr(command.MarkFlagRequired("controllers"))
	return command
}
