package labcli

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/lab/demo"
	"github.com/thorntiller/thorntiller/internal/lab/trial"
)

func newDemo() *cobra.Command {
	var folder string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a small fleet of both deployments through moves and losses",
		RunE: func(command *cobra.Command, _ []string) error {
			place, err := newWorkplace(folder)
			if err != nil {
				return err
			}
			defer place.remove()
			result, err := demo.Run(command.Context(), demo.Options{
				Product: place.product, Lab: place.lab, Folder: place.folder,
				Say: func(format string, arguments ...any) {
					fmt.Fprintf(command.OutOrStdout(), format+"\n", arguments...)
				},
			})
			if err != nil {
				return eris.Wrapf(err, "logs are in %s", place.keep())
			}
			return report(command, place, result)
		},
	}
	command.Flags().StringVar(&folder, "folder", "", "folder to work in; a temporary one when empty")
	return command
}

// report prints the table and, last, the JSON object of a trial.
func report(command *cobra.Command, place *workplace, result trial.Result) error {
	output := command.OutOrStdout()
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

// workplace is the folder of one run and the binaries that it starts.
type workplace struct {
	folder    string
	product   string
	lab       string
	temporary bool
}

func newWorkplace(folder string) (*workplace, error) {
	lab, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "find this program's path")
	}
	place := &workplace{lab: lab, product: filepath.Join(filepath.Dir(lab), "thorntiller"), folder: folder}
	if _, err := os.Stat(place.product); err != nil {
		return nil, eris.Wrapf(err, "the product must stand beside this program: run make build")
	}
	if folder != "" {
		return place, os.MkdirAll(folder, 0o700)
	}
	place.temporary = true
	place.folder, err = os.MkdirTemp("", "thorntiller-lab-")
	return place, err
}

// keep leaves the folder in place after the run, and returns it.
func (w *workplace) keep() string {
	w.temporary = false
	return w.folder
}

func (w *workplace) remove() {
	if w.temporary {
		// A folder that stays behind does no harm to the result.
		_ = os.RemoveAll(w.folder)
	}
}
