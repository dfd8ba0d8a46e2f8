package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// suggestionDistance is the largest edit distance of a command's name that is
// suggested in place of an unknown one.
const suggestionDistance = 2

// Streams are the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// program is what the commands share.
type program struct {
	streams Streams
	runners Runners
	client  clientFlags
	output  outputFormat
}

// Execute runs the program with its arguments, without the program's name, and
// returns the exit code. Errors are written to the standard error stream.
func Execute(ctx context.Context, arguments []string, streams Streams, runners Runners) ExitCode {
	root := newRoot(&program{streams: streams, runners: runners, output: outputTable})
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, "error:", err)
	}
	return exitCodeOf(err)
}

func newRoot(program *program) *cobra.Command {
	root := &cobra.Command{
		Use:           "thorntiller",
		Short:         "Router for servers that own keys exclusively",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) > 0 {
				return unknownCommand(command, arguments[0])
			}
			return command.Help()
		},
	}
	root.SuggestionsMinimumDistance = suggestionDistance
	root.SetIn(program.streams.In)
	root.SetOut(program.streams.Out)
	root.SetErr(program.streams.Err)
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return &usageError{cause: fmt.Errorf("%w; see %s --help", err, command.CommandPath())}
	})
	root.AddCommand(
		newControllerCommand(program),
		newRouterCommand(program),
		newGatewayCommand(program),
		newConfigCommand(program),
		newPlanCommand(program),
		newConfirmCommand(program),
		newZoneCommand(program),
		newStatusCommand(program),
		newGetCommand(program),
		newMemberCommand(program),
		newStoryCommand(program),
		newLossesCommand(program),
		newReferenceCommand(program),
		newVersionCommand(program),
	)
	return root
}

// exactly returns a check that the command got one argument for each name.
func exactly(names ...string) cobra.PositionalArgs {
	return func(command *cobra.Command, arguments []string) error {
		if len(arguments) > len(names) {
			return usage(command, fmt.Sprintf("unexpected argument %q", arguments[len(names)]))
		}
		if len(arguments) < len(names) {
			return usage(command, fmt.Sprintf("the argument %s is missing", names[len(arguments)]))
		}
		return nil
	}
}

// group returns a command that only holds others.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(command *cobra.Command, arguments []string) error {
			if len(arguments) > 0 {
				return unknownCommand(command, arguments[0])
			}
			return usage(command, "a command is missing")
		},
	}
	parent.SuggestionsMinimumDistance = suggestionDistance
	parent.AddCommand(commands...)
	return parent
}

func unknownCommand(command *cobra.Command, name string) error {
	message := fmt.Sprintf("unknown command %q", name)
	if near := command.SuggestionsFor(name); len(near) > 0 {
		message += fmt.Sprintf(", did you mean %s?", near[0])
	}
	return usage(command, message)
}

func usage(command *cobra.Command, message string) error {
	return &usageError{cause: errors.New(message + "; see " + command.CommandPath() + " --help")}
}
