package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/config"
	"github.com/thorntiller/thorntiller/internal/config/reference"
)

func newConfigCommand(program *program) *cobra.Command {
	return group("config", "Check settings files", newCheckCommand(program), newConfigReferenceCommand())
}

func newCheckCommand(program *program) *cobra.Command {
	var role string
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and report every problem",
		Args:  exactly("FILE"),
		RunE: func(_ *cobra.Command, arguments []string) error {
			checked, err := checkFile(arguments[0], config.Role(role))
			if err != nil {
				return err
			}
			fmt.Fprintf(program.streams.Out, "%s: valid settings of a %s\n", arguments[0], checked)
			return nil
		},
	}
	command.Flags().StringVar(&role, "role", "", "check as the settings of a controller or router; the file's own role if not given")
	return command
}

func checkFile(path string, role config.Role) (config.Role, error) {
	if role == "" {
		detected, err := config.DetectRole(path)
		if err != nil {
			return "", err
		}
		role = detected
	}
	var err error
	switch role {
	case config.RoleController:
		_, err = config.LoadController(path)
	case config.RoleRouter:
		_, err = config.LoadRouter(path)
	case config.RoleGateway:
		_, err = config.LoadGateway(path)
	default:
		err = &usageError{cause: fmt.Errorf("--role %q is no role; use controller, router or gateway", role)}
	}
	return role, err
}

func newConfigReferenceCommand() *cobra.Command {
	return newPageCommand("reference", "Print docs/CONFIGURATION.md", reference.WriteSettings)
}

// newPageCommand returns a hidden command that prints a page made from code.
func newPageCommand(use, short string, write func(io.Writer) error) *cobra.Command {
	return &cobra.Command{
		Use:    use,
		Short:  short,
		Hidden: true,
		Args:   exactly(),
		RunE: func(command *cobra.Command, _ []string) error {
			return write(command.OutOrStdout())
		},
	}
}
