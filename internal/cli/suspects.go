package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/intentapi"
	"github.com/thorntiller/thorntiller/internal/state"
)

func newReleaseRequestCommand(program *program, flags *planFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "release-request FINGERPRINT",
		Short: "Send a request in quarantine to servers again; get suspects shows the fingerprints",
		Args:  exactly("FINGERPRINT"),
		RunE: func(command *cobra.Command, arguments []string) error {
			return program.plan(command, flags, state.Intent{Kind: state.IntentRelease, Release: &state.ReleaseRequest{Fingerprint: arguments[0]}})
		},
	}
}

// suspectLine is what the command shows of a suspected request.
type suspectLine struct {
	Fingerprint string                 `json:"fingerprint"`
	Service     string                 `json:"service"`
	State       string                 `json:"state"`
	Crashes     []directory.InstanceID `json:"crashes"`
	Trials      int                    `json:"trials"`
}

func (p *program) getSuspects(ctx context.Context, client *intentapi.Client) error {
	content, err := client.Directory(ctx)
	if err != nil {
		return err
	}
	lines := []suspectLine{}
	if content.Suspects != nil {
		lines = suspectLines(content.Suspects.List)
	}
	rows := newTable("REQUEST", "SERVICE", "STATE", "CRASHED", "TRIALS")
	for _, line := range lines {
		var crashed []string
		for _, id := range line.Crashes {
			crashed = append(crashed, string(id))
		}
		rows.add(line.Fingerprint, line.Service, line.State, strings.Join(crashed, ", "), fmt.Sprint(line.Trials))
	}
	return p.print(lines, rows)
}

func suspectLines(suspects []directory.Suspect) []suspectLine {
	lines := make([]suspectLine, 0, len(suspects))
	for _, suspect := range suspects {
		lines = append(lines, suspectLine{suspect.Fingerprint.String(), suspect.Service, suspectState(suspect), suspect.Crashes, suspect.Trials})
	}
	return lines
}

func suspectState(suspect directory.Suspect) string {
	switch {
	case suspect.TrialBy != "":
		return "on trial by " + suspect.TrialBy
	case suspect.Quarantined && suspect.Doubtful:
		return "in quarantine, doubtful"
	case suspect.Quarantined:
		return "in quarantine"
	case suspect.Released:
		return "released"
	case suspect.Probation:
		return "on probation"
	default:
		return "suspected"
	}
}
