package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// outputFormat is the value of the flag --output.
type outputFormat string

// Forms of the output.
const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// String implements pflag.Value.
func (f *outputFormat) String() string { return string(*f) }

// Type implements pflag.Value.
func (f *outputFormat) Type() string { return "form" }

// Set implements pflag.Value.
func (f *outputFormat) Set(text string) error {
	switch outputFormat(text) {
	case outputTable, outputJSON:
		*f = outputFormat(text)
		return nil
	default:
		return fmt.Errorf("use %s or %s", outputTable, outputJSON)
	}
}

// table is a list of rows below a head.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table {
	return &table{head: head}
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// print writes the value as JSON or as its tables, with an empty line between
// two tables.
func (p *program) print(value any, tables ...*table) error {
	if p.output == outputJSON {
		encoder := json.NewEncoder(p.streams.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	for index, table := range tables {
		if index > 0 {
			fmt.Fprintln(p.streams.Out)
		}
		if err := p.printTable(table); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) printTable(table *table) error {
	const padding = 2
	writer := tabwriter.NewWriter(p.streams.Out, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{table.head}, table.rows...) {
		fmt.Fprintln(writer, strings.Join(orDashes(row), "\t"))
	}
	return writer.Flush()
}

// orDashes shows empty cells as a dash, so that columns can be cut by a shell.
func orDashes(row []string) []string {
	shown := make([]string, 0, len(row))
	for _, cell := range row {
		if cell == "" {
			cell = "-"
		}
		shown = append(shown, cell)
	}
	return shown
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
