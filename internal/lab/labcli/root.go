package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// errNotHeld makes a command end with exit status 1 after it printed a result
// that says that a guarantee was broken.
var errNotHeld = eris.New("a guarantee was broken")

// Execute runs the command line and returns the exit status.
func Execute(ctx context.Context, arguments []string) int {
	root := newRoot()
	root.SetArgs(arguments)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "thorntiller-lab:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "thorntiller-lab",
		Short:         "Stand-ins, demonstration, simulation and measurement for thorntiller",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newBackend(), newPlatform(), newCaller(), newDemo(), newSim(), newHollow(), newBench())
	root.AddCommand(newScenario())
	root.AddCommand(newExperiment())
	root.AddCommand(newUp())
	root.AddCommand(newSlowController())
	return root
}

// readSettings reads a YAML file and refuses unknown fields.
func readSettings(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrapf(err, "config: read %s", path)
	}
	if err := yaml.UnmarshalWithOptions(content, target, yaml.Strict()); err != nil {
		return eris.Wrapf(err, "config: %s", path)
	}
	return nil
}

// printJSON writes one JSON object on one line.
func printJSON(output io.Writer, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode the result")
	}
	_, err = fmt.Fprintln(output, string(encoded))
	return err
}
