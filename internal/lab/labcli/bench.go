package labcli

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/bench"
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
