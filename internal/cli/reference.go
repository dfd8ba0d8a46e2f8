package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/telemetry"
)

func newReferenceCommand(_ *program) *cobra.Command {
	command := group("reference", "Print pages that are made from the code",
		newPageCommand("logs", "Print docs/LOGS.md", telemetry.WriteReference),
		newPageCommand("exit-codes", "Print docs/EXIT_CODES.md", writeExitCodes),
	)
	command.Hidden = true
	return command
}

func writeExitCodes(out io.Writer) error {
	const head = "# Exit codes\n\nMade from the code by `make docs`; do not edit.\n\n" +
		"| code | meaning | remedy |\n|---|---|---|\n"
	if _, err := io.WriteString(out, head); err != nil {
		return err
	}
	for _, row := range ExitCodes() {
		if _, err := fmt.Fprintf(out, "| %d | %s | %s |\n", row.Code, row.Meaning, row.Remedy); err != nil {
			return err
		}
	}
	return nil
}
