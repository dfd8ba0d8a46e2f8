package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// maxIntentBytes bounds the file of an intent; the API takes no more.
const maxIntentBytes = 1 << 20

func addFileFlag(command *cobra.Command, path *string, help string) {
	command.Flags().StringVarP(path, "file", "f", "", help)
}

// readFile decodes a YAML file strictly: an unknown field is an error that
// names its line.
func (p *program) readFile(command *cobra.Command, path string, target any) error {
	if path == "" {
		return usage(command, "the flag --file is missing")
	}
	content, err := p.readBounded(path)
	if err != nil {
		return &usageError{cause: fmt.Errorf("--file: %w", err)}
	}
	err = yaml.UnmarshalWithOptions(content, target, yaml.Strict())
	if err == nil {
		return nil
	}
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		token := located.GetToken()
		return fault.Newf(fault.InvalidArgument, "%s:%d: %q: %s; correct this line", path, token.Position.Line, token.Value, located.GetMessage())
	}
	return fault.Newf(fault.InvalidArgument, "%s: %v", path, err)
}

func (p *program) readBounded(path string) ([]byte, error) {
	if path == "-" {
		return readLimited(p.streams.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readLimited(file)
}

func readLimited(source io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(source, maxIntentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxIntentBytes {
		return nil, fmt.Errorf("the file is larger than %d bytes; split the intent", maxIntentBytes)
	}
	return content, nil
}
