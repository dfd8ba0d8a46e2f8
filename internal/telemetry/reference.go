package telemetry

import (
	"fmt"
	"io"
)

// WriteReference writes docs/LOGS.md, the reference page of log events.
func WriteReference(out io.Writer) error {
	header := "# Log lines\n\nMade from the code by `make docs`; do not edit.\n\n" +
		"Each process writes one JSON object a line to its standard output, through a bounded queue that drops and counts lines rather than wait. Every line has `" +
		FieldTime + "`, `" + FieldLevel + "`, `" + FieldMessage + "`, `" + FieldRole + "` and `" + FieldName +
		"`; `" + FieldEvent + "` is one of the names below, which do not change between versions.\n\n" +
		"| event | level | meaning |\n|---|---|---|\n"
	if _, err := io.WriteString(out, header); err != nil {
		return err
	}
	for _, row := range Events() {
		if _, err := fmt.Fprintf(out, "| `%s` | %s | %s |\n", row.Event, row.Level, row.Meaning); err != nil {
			return err
		}
	}
	return nil
}
