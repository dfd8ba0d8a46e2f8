package record

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

const (
	maxLine    = 1 << 20
	lineBuffer = 64 << 10
	// MaxLines bounds the lines of one file that are read.
	MaxLines = 20_000_000
)

// ReadFile reads a record file. An error names the file and the line.
func ReadFile[L Line](path string) (lines []L, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open record file")
	}
	defer func() {
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = eris.Wrapf(closeErr, "close record file %s", path)
		}
	}()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, lineBuffer), maxLine)
	for scanner.Scan() {
		if len(lines) >= MaxLines {
			return nil, eris.Errorf("%s: more than %d lines: split the run", path, MaxLines)
		}
		var line L
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, eris.Wrapf(err, "%s:%d", path, len(lines)+1)
		}
		lines = append(lines, line)
	}
	return lines, eris.Wrapf(scanner.Err(), "read record file %s", path)
}
