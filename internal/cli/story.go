package cli

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/story"
)

// newStoryCommand prints what the logs of several processes tell of one request.
func newStoryCommand(program *program) *cobra.Command {
	return &cobra.Command{
		Use:   "story REQUEST FILE...",
		Short: "Print what log files tell of one request, in order",
		Long: "Print what log files of any number of processes tell of one request: its own\n" +
			"lines, what changed about the instances that it was sent to and the holder of\n" +
			"its key, and changes of leader, from 6 s before it to 2 s after it.",
		Args: func(command *cobra.Command, arguments []string) error {
			if len(arguments) < 2 {
				return usage(command, "give the request's identifier and one log file at least")
			}
			return nil
		},
		RunE: func(_ *cobra.Command, arguments []string) error {
			lines, err := readLogs(arguments[1:])
			if err != nil {
				return err
			}
			chosen, err := story.Of(arguments[0], lines)
			if err != nil {
				return err
			}
			return story.Write(program.streams.Out, chosen)
		},
	}
}

func readLogs(paths []string) ([]story.Line, error) {
	var all []story.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrap(err, "open a log file")
		}
		lines, err := story.Read(file)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
