package labcli

import (
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/controller"
	"github.com/thorntiller/thorntiller/internal/lab/slowdisk"
	"github.com/thorntiller/thorntiller/internal/telemetry"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

// newSlowController runs the product's controller role on a disk that a file
// steers. It is for scenarios, so it is not listed.
func newSlowController() *cobra.Command {
	var path, steering string
	command := &cobra.Command{
		Use:    "slow-controller",
		Short:  "Run a controller on a disk that can be slowed down",
		Hidden: true,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := config.LoadController(path)
			if err != nil {
				return err
			}
			log := telemetry.New(string(config.RoleController), settings.Name, settings.Log.Level, command.ErrOrStderr())
			return controller.RunOn(command.Context(), slowdisk.New(vfs.System{}, steering), settings, log)
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file (YAML)")
	command.Flags().StringVar(&steering, "disk", "", "file that says how long the disk takes")
	cobra.CheckErr(command.MarkFlagRequired("config"))
	cobra.CheckErr(command.MarkFlagRequired("disk"))
	return command
}
