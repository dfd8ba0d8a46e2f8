package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/intentapi"
)

// version is set by the linker.
var version = "unknown"

func newMemberCommand(program *program) *cobra.Command {
	transfer := &cobra.Command{
		Use:   "transfer",
		Short: "Ask the leader to hand its leadership to another replica",
		Args:  exactly(),
		RunE: func(command *cobra.Command, _ []string) error {
			return program.withClient(command, func(ctx context.Context, client *intentapi.Client) error {
				if err := client.Transfer(ctx); err != nil {
					return &writeError{cause: err}
				}
				fmt.Fprintln(program.streams.Err, "the leader was asked to hand over; status shows who leads")
				return nil
			})
		},
	}
	command := group("member", "Operate on the replicas of the controllers", transfer)
	program.addClientFlags(command)
	return command
}

func newVersionCommand(program *program) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the version of this program",
		Args:  exactly(),
		RunE: func(*cobra.Command, []string) error {
			fmt.Fprintf(program.streams.Out, "thorntiller %s (%s)\n", version, compilerVersion())
			return nil
		},
	}
}

func compilerVersion() string {
	build, found := debug.ReadBuildInfo()
	if !found {
		return "unknown Go version"
	}
	return build.GoVersion
}
