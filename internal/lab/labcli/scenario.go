package labcli

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/scenario"
)

// listName is the argument that lists the scenarios.
const listName = "list"

func newScenario() *cobra.Command {
	var folder string
	var seed uint64
	command := &cobra.Command{
		Use:   "scenario NAME",
		Short: "Run the whole system through one failure (scenario list names them)",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if arguments[0] == listName {
				return listScenarios(command.OutOrStdout())
			}
			chosen, found := scenario.Find(arguments[0])
			if !found {
				return eris.Errorf("scenario: is %q: give a name that scenario list shows", arguments[0])
			}
			return runScenario(command, chosen, folder, seed)
		},
	}
	command.Flags().StringVar(&folder, "folder", "", "folder to work in; a temporary one when empty")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the load and of every choice in the run")
	return command
}

func listScenarios(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for _, known := range scenario.All() {
		fmt.Fprintf(table, "%s\t%s\n", known.Name, known.Proves)
	}
	return eris.Wrap(table.Flush(), "print the list of scenarios")
}

func runScenario(command *cobra.Command, chosen scenario.Scenario, folder string, seed uint64) error {
	place, err := newWorkplace(folder)
	if err != nil {
		return err
	}
	defer place.remove()
	output := command.OutOrStdout()
	result, err := chosen.Run(command.Context(), scenario.Options{
		Product: place.product, Lab: place.lab, Folder: place.folder, Seed: seed,
		Say: func(format string, arguments ...any) { fmt.Fprintf(output, format+"\n", arguments...) },
	})
	if err != nil {
		failed := scenario.Result{Scenario: chosen.Name, Seed: seed, Error: err.Error()}
		if printErr := printJSON(output, failed); printErr != nil {
			return printErr
		}
		return eris.Wrapf(err, "logs are in %s", place.keep())
	}
	fmt.Fprint(output, result.Table())
	if !result.OK {
		fmt.Fprintf(output, "records and logs are kept in %s\n", place.keep())
	}
	if err := printJSON(output, result); err != nil {
		return err
	}
	if !result.OK {
		return errNotHeld
	}
	return nil
}
